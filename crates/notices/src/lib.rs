//! Which upstreams want no new work from this host, by what they said of themselves in their answers.
//! Pure decisions: the time and all that was heard come in as arguments.

mod unknown;

pub use unknown::{MAX_UNKNOWN_HEADERS, UnknownHeaders};
use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{Born, EngineId},
        protection::{Protection, enabled},
    },
};

/// The longest time that an upstream is left alone at its word; then it is asked again. Upstreams ask for
/// seconds. The bound guards against a slip of a unit, which would take an upstream away for good.
pub const MAX_REST: Duration = Duration::from_secs(3_600);
/// How long an upstream is left alone that asked for it in words that can't be read: the shortest time that
/// the HTTP header can tell in whole seconds.
pub const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// How long a rest binds also towards another life under the same id. An answer names no life, and the row
/// of a new one comes later than its first answers: by a watch's way, or by a second or two where the
/// store was away. Longer, and a sound upstream would pay for the one before.
pub const REST_AFTER_RESTART: Duration = Duration::from_secs(2);
/// How long an upstream's word that it leaves is kept. Those that leave are gone within minutes.
pub const LEAVING_RETENTION: Duration = Duration::from_secs(3_600);
/// How many upstreams are remembered: more than the largest fleet lists at once. Past it the word that was
/// heard longest ago is forgotten.
pub const MAX_UPSTREAMS: usize = 8_192;

/// Whether an upstream that turned a request away asks to be left alone for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestRequest {
    /// It does not.
    #[default]
    No,
    /// It does, for this long.
    For(Duration),
    /// It does; for how long can't be read.
    Unreadable,
}

impl RestRequest {
    /// How long the upstream is to be left alone; none where it did not ask.
    #[must_use]
    pub fn duration(self) -> Option<Duration> {
        match self {
            Self::No => None,
            Self::For(rest) => Some(rest.min(MAX_REST)),
            Self::Unreadable => Some(UNREADABLE_REST),
        }
    }
}

/// Whether an upstream wants new work from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
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
struct RestNotice {
    born: Born,
    received: Instant,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    born: Born,
    received: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamNotice {
    rest: Option<RestNotice>,
    leaving: Option<LeavingNotice>,
}

impl UpstreamNotice {
    fn last_received(&self) -> Option<Instant> {
        let rest = self.rest.map(|rest| rest.received);
        rest.max(self.leaving.map(|leaving| leaving.received))
    }

    fn is_in_effect(&self, now: Instant) -> bool {
        let is_resting = self.rest.is_some_and(|rest| rest.until > now);
        let is_leaving = self.leaving.is_some_and(|leaving| {
            let age = now.saturating_duration_since(leaving.received);
            age < LEAVING_RETENTION
        });
        is_resting || is_leaving
    }
}

/// What this host heard of upstreams in their answers. It asks for nothing on behalf of other hosts: an
/// upstream that asks for rest asks each host by itself.
#[derive(Debug, Default)]
pub struct Notices {
    notices: HashMap<EngineId, UpstreamNotice>,
}

impl Notices {
    /// Notes that a life of an upstream asked for rest; whether it wanted work until now. Of two words the one
    /// that binds longer stands: both were said.
    pub fn record_rest(&mut self, id: &EngineId, born: Born, rest: Duration, now: Instant) -> bool {
        let was_open = self.availability(id, born, now) == Availability::Open;
        let requested_until = now + rest.min(MAX_REST);
        let notice = self.entry(id, now);
        let earlier = notice.rest.filter(|earlier| earlier.born == born);
        let until = earlier.map_or(requested_until, |earlier| {
            earlier.until.max(requested_until)
        });
        notice.rest = Some(RestNotice {
            born,
            received: now,
            until,
        });
        was_open && until > now
    }

    /// Notes that a life of an upstream leaves; whether that is news.
    pub fn record_leaving(&mut self, id: &EngineId, born: Born, now: Instant) -> bool {
        let notice = self.entry(id, now);
        let is_new = notice.leaving.is_none_or(|leaving| leaving.born != born);
        notice.leaving = Some(LeavingNotice {
            born,
            received: now,
        });
        is_new
    }

    /// Whether a life of an upstream wants new work.
    #[must_use]
    pub fn availability(&self, id: &EngineId, born: Born, now: Instant) -> Availability {
        if !enabled(Protection::UpstreamNotices) {
            return Availability::Open;
        }
        let Some(notice) = self.notices.get(id) else {
            return Availability::Open;
        };
        if notice.leaving.is_some_and(|leaving| leaving.born == born) {
            return Availability::Leaving;
        }
        let end = notice.rest.map(|rest| {
            if rest.born == born {
                rest.until
            } else {
                rest.until.min(rest.received + REST_AFTER_RESTART)
            }
        });
        let left = end.map(|end| end.saturating_duration_since(now));
        match left {
            Some(left) if left > Duration::ZERO => Availability::Resting { left },
            Some(_) | None => Availability::Open,
        }
    }

    /// Whether nothing was heard, so that all upstreams are open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// How many upstreams are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    fn entry(&mut self, id: &EngineId, now: Instant) -> &mut UpstreamNotice {
        if self.notices.len() >= MAX_UPSTREAMS && !self.notices.contains_key(id) {
            self.evict(now);
        }
        self.notices.entry(id.clone()).or_default()
    }

    fn evict(&mut self, now: Instant) {
        self.notices.retain(|_, notice| notice.is_in_effect(now));
        if self.notices.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = self
            .notices
            .iter()
            .min_by_key(|(_, notice)| notice.last_received());
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.notices.remove(&id);
        }
    }
}
