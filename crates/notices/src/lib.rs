//! Tracks which upstreams want no new work from this host, according to notices in their answers. The
//! decisions are pure functions of their input: the time and all notices are arguments.

#![deny(clippy::disallowed_methods)]

mod brittle;
mod unknown;

pub use {
    brittle::{
        BRITTLE_AFTER_RESTART, BRITTLE_RETENTION, BrittleUpstreams, Brittleness,
        MAX_REJECTION_PAUSE, host_places,
    },
    unknown::{MAX_UNKNOWN_HEADERS, UnknownHeaders},
};
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

/// Maximum time that an upstream rests at its own request. Upstreams ask for seconds; the limit guards
/// against a value in the wrong unit, which would exclude the upstream permanently.
pub const MAX_REST: Duration = Duration::from_secs(3_600);
/// How long an upstream rests if its request has an unreadable duration: the shortest time that the HTTP
/// header can express in whole seconds.
pub const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// How long a rest also applies to another incarnation with the same ID. Answers don't name the incarnation,
/// and the row of a new one arrives after its first answers: by the delay of a watch, or by one or two
/// seconds after an outage of the store. With a longer time, a healthy upstream would get no work because of
/// its predecessor.
pub const REST_AFTER_RESTART: Duration = Duration::from_secs(2);
/// How long a leaving notice is kept. Upstreams that leave are gone within minutes.
pub const LEAVING_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of upstreams with stored notices, more than the largest fleet lists at once. Beyond it, the
/// oldest notice is dropped.
pub const MAX_UPSTREAMS: usize = 8_192;

/// Whether an upstream that refused a request asks to get no requests for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestRequest {
    /// It does not ask for a rest.
    #[default]
    No,
    /// It asks for a rest of this duration.
    For(Duration),
    /// It asks for a rest, but the duration is unreadable.
    Unreadable,
}

impl RestRequest {
    /// Returns how long the upstream should rest, or `None` if it did not ask.
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
    /// It accepts new work.
    Open,
    /// It wants no new work for a time.
    Resting {
        /// The remaining time.
        left: Duration,
    },
    /// It is leaving and wants no more work.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct RestNotice {
    born: StartTime,
    received: Instant,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    born: StartTime,
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

/// The notices that this host received in answers of upstreams. They are not shared with other hosts: an
/// upstream asks each host separately.
#[derive(Debug, Default)]
pub struct Notices {
    notices: HashMap<EngineId, UpstreamNotice>,
}

impl Notices {
    /// Records that an incarnation of an upstream asked for a rest. Returns whether this closes an upstream that
    /// was open. Of several requests of one incarnation, the one that ends last applies.
    pub fn record_rest(
        &mut self,
        id: &EngineId,
        born: StartTime,
        rest: Duration,
        now: Instant,
    ) -> bool {
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

    /// Records that an incarnation of an upstream is leaving. Returns whether this is new.
    pub fn record_leaving(&mut self, id: &EngineId, born: StartTime, now: Instant) -> bool {
        let notice = self.entry(id, now);
        let is_new = notice.leaving.is_none_or(|leaving| leaving.born != born);
        notice.leaving = Some(LeavingNotice {
            born,
            received: now,
        });
        is_new
    }

    /// Returns whether an incarnation of an upstream wants new work.
    #[must_use]
    pub fn availability(&self, id: &EngineId, born: StartTime, now: Instant) -> Availability {
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

    /// Returns whether there are no notices, so that all upstreams are open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Returns the number of upstreams with stored notices.
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
