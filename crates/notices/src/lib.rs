//! Which upstreams want no new work from this host, by what they said of themselves in their answers.
//! Pure decisions: the time and all that was heard come in as arguments.

mod unknown;

pub use unknown::{MOST_WORDS, UnknownWords};
use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{EngineId, StartTime},
        protection::{Protection, enabled},
    },
};

/// The longest time that an upstream is left alone at its word; then it is asked again. Upstreams ask for
/// seconds. The bound guards against a slip of a unit, which would take an upstream away for good.
pub const LONGEST_REST: Duration = Duration::from_secs(3_600);
/// How long an upstream is left alone that asked for it in words that can't be read: the shortest time that
/// the HTTP header can tell in whole seconds.
pub const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// How long a rest binds also towards another life under the same id. An answer names no life, and the row
/// of a new one comes later than its first answers: by a watch's way, or by a second or two where the
/// store was away. Longer, and a sound upstream would pay for the one before.
pub const KEPT_PAST_LIFE: Duration = Duration::from_secs(2);
/// How long an upstream's word that it leaves is kept. Those that leave are gone within minutes.
pub const LEAVING_KEPT: Duration = Duration::from_secs(3_600);
/// How many upstreams are remembered: more than the largest fleet lists at once. Past it the word that was
/// heard longest ago is forgotten.
pub const MOST_UPSTREAMS: usize = 8_192;

/// Whether an upstream that turned a request away asks to be left alone for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestAsked {
    /// It does not.
    #[default]
    No,
    /// It does, for this long.
    For(Duration),
    /// It does; for how long can't be read.
    Unreadable,
}

impl RestAsked {
    /// How long the upstream is to be left alone; none where it did not ask.
    #[must_use]
    pub fn duration(self) -> Option<Duration> {
        match self {
            Self::No => None,
            Self::For(rest) => Some(rest.min(LONGEST_REST)),
            Self::Unreadable => Some(UNREADABLE_REST),
        }
    }
}

/// Whether an upstream wants new work from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It said nothing against it.
    Open,
    /// Not before this time is over.
    Resting {
        /// The time.
        left: Duration,
    },
    /// It leaves, and wants none any more.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    born: StartTime,
    heard: Instant,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Leave {
    born: StartTime,
    heard: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    rest: Option<Rest>,
    leave: Option<Leave>,
}

impl Heard {
    fn last(&self) -> Option<Instant> {
        let rest = self.rest.map(|rest| rest.heard);
        rest.max(self.leave.map(|leave| leave.heard))
    }

    fn still_binds(&self, now: Instant) -> bool {
        let rests = self.rest.is_some_and(|rest| rest.until > now);
        let leaves = self.leave.is_some_and(|leave| {
            let age = now.saturating_duration_since(leave.heard);
            age < LEAVING_KEPT
        });
        rests || leaves
    }
}

/// What this host heard of upstreams in their answers. It asks for nothing on behalf of other hosts: an
/// upstream that asks for rest asks each host by itself.
#[derive(Debug, Default)]
pub struct Notices {
    heard: HashMap<EngineId, Heard>,
}

impl Notices {
    /// Notes that a life of an upstream asked for rest; whether it wanted work until now. Of two words the one
    /// that binds longer stands: both were said.
    pub fn note_rest(
        &mut self,
        id: &EngineId,
        born: StartTime,
        rest: Duration,
        now: Instant,
    ) -> bool {
        let was_open = self.standing(id, born, now) == Standing::Open;
        let asked_until = now + rest.min(LONGEST_REST);
        let heard = self.entry(id, now);
        let earlier = heard.rest.filter(|earlier| earlier.born == born);
        let until = earlier.map_or(asked_until, |earlier| earlier.until.max(asked_until));
        heard.rest = Some(Rest {
            born,
            heard: now,
            until,
        });
        was_open && until > now
    }

    /// Notes that a life of an upstream leaves; whether that is news.
    pub fn note_leaving(&mut self, id: &EngineId, born: StartTime, now: Instant) -> bool {
        let heard = self.entry(id, now);
        let is_news = heard.leave.is_none_or(|leave| leave.born != born);
        heard.leave = Some(Leave { born, heard: now });
        is_news
    }

    /// Whether a life of an upstream wants new work.
    #[must_use]
    pub fn standing(&self, id: &EngineId, born: StartTime, now: Instant) -> Standing {
        if !enabled(Protection::UpstreamNotices) {
            return Standing::Open;
        }
        let Some(heard) = self.heard.get(id) else {
            return Standing::Open;
        };
        if heard.leave.is_some_and(|leave| leave.born == born) {
            return Standing::Leaving;
        }
        let ends = heard.rest.map(|rest| {
            if rest.born == born {
                rest.until
            } else {
                rest.until.min(rest.heard + KEPT_PAST_LIFE)
            }
        });
        let left = ends.map(|ends| ends.saturating_duration_since(now));
        match left {
            Some(left) if left > Duration::ZERO => Standing::Resting { left },
            Some(_) | None => Standing::Open,
        }
    }

    /// Whether nothing was heard, so that all upstreams are open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// How many upstreams are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    fn entry(&mut self, id: &EngineId, now: Instant) -> &mut Heard {
        if self.heard.len() >= MOST_UPSTREAMS && !self.heard.contains_key(id) {
            self.make_room(now);
        }
        self.heard.entry(id.clone()).or_default()
    }

    fn make_room(&mut self, now: Instant) {
        self.heard.retain(|_, heard| heard.still_binds(now));
        if self.heard.len() < MOST_UPSTREAMS {
            return;
        }
        let oldest = self.heard.iter().min_by_key(|(_, heard)| heard.last());
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.heard.remove(&id);
        }
    }
}
