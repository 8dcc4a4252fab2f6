//! Upstreams that announce that they fail if they have to reject too many requests.

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

/// How long a notice is kept without a further answer of the upstream.
pub const BRITTLE_RETENTION: Duration = Duration::from_secs(60);
/// How long a notice also applies to another incarnation with the same id, which is empty after its start and would
/// be the first choice of all hosts before its first answer.
pub const BRITTLE_AFTER_RESTART: Duration = Duration::from_secs(10);
/// Longest time for which a host sends nothing to an upstream that rejected its request.
pub const MAX_REJECTION_PAUSE: Duration = Duration::from_secs(30);
/// Maximum number of upstreams with stored notices. Beyond it, the oldest notice is dropped.
const MAX_BRITTLE_UPSTREAMS: usize = 8_192;

/// Whether an upstream announces in an answer that it fails if it has to reject too many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Brittleness {
    /// It announces nothing.
    #[default]
    No,
    /// It fails if it rejects more requests than this within a second, from all hosts together.
    MaxRejections(f64),
    /// The number is unreadable, and counts as 0.
    Unreadable,
}

impl Brittleness {
    fn max_rejections(self) -> Option<f64> {
        match self {
            Self::No => None,
            Self::MaxRejections(max) => Some(max),
            Self::Unreadable => Some(0.0),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BrittleNotice {
    born: StartTime,
    received: Instant,
    max_rejections: f64,
}

/// The upstreams that are brittle, by their last answers to this host.
#[derive(Debug, Default)]
pub struct BrittleUpstreams {
    notices: HashMap<EngineId, BrittleNotice>,
}

impl BrittleUpstreams {
    /// Records an answer of an incarnation of an upstream to a request that was sent at `sent`. Returns whether it
    /// begins or ends being brittle, or changes the number. An answer without a notice ends it only if its request was
    /// sent after the notice was received.
    pub fn record(
        &mut self,
        id: &EngineId,
        born: StartTime,
        announced: Brittleness,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let earlier = self.notices.get(id).copied();
        let Some(max_rejections) = announced.max_rejections() else {
            let is_ended = earlier.is_some_and(|earlier| earlier.received < sent);
            if is_ended {
                self.notices.remove(id);
            }
            return is_ended;
        };
        if earlier.is_none() && self.notices.len() >= MAX_BRITTLE_UPSTREAMS {
            self.evict(now);
        }
        let notice = BrittleNotice {
            born,
            received: now,
            max_rejections,
        };
        self.notices.insert(id.clone(), notice);
        earlier.is_none_or(|earlier| {
            earlier.born != born || earlier.max_rejections.to_bits() != max_rejections.to_bits()
        })
    }

    /// Whether an incarnation of an upstream is brittle.
    #[must_use]
    pub fn is_brittle(&self, id: &EngineId, born: StartTime, now: Instant) -> bool {
        self.current(id, born, now).is_some()
    }

    /// Returns how long this host sends nothing to a brittle upstream that rejected its request, so that all hosts that
    /// send there together cause no more rejections than it bears. `None` if it is not brittle.
    #[must_use]
    pub fn pause_after_rejection(
        &self,
        id: &EngineId,
        born: StartTime,
        senders: usize,
        now: Instant,
    ) -> Option<Duration> {
        let notice = self.current(id, born, now)?;
        let senders = f64::from(u32::try_from(senders.max(1)).unwrap_or(u32::MAX));
        let pause = Duration::try_from_secs_f64(senders / notice.max_rejections);
        Some(pause.map_or(MAX_REJECTION_PAUSE, |pause| pause.min(MAX_REJECTION_PAUSE)))
    }

    /// Returns whether no upstream is known to be brittle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    fn current(&self, id: &EngineId, born: StartTime, now: Instant) -> Option<&BrittleNotice> {
        if !enabled(Protection::BrittleSlots) {
            return None;
        }
        let notice = self.notices.get(id)?;
        let retention = if notice.born == born {
            BRITTLE_RETENTION
        } else {
            BRITTLE_AFTER_RESTART
        };
        let age = now.saturating_duration_since(notice.received);
        (age < retention).then_some(notice)
    }

    fn evict(&mut self, now: Instant) {
        self.notices
            .retain(|_, notice| now.saturating_duration_since(notice.received) < BRITTLE_RETENTION);
        if self.notices.len() < MAX_BRITTLE_UPSTREAMS {
            return;
        }
        let oldest = self
            .notices
            .iter()
            .min_by_key(|(_, notice)| notice.received);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.notices.remove(&id);
        }
    }
}

/// Returns how many requests a host may have at once at a brittle upstream: its part of the upstream's slots, so that
/// none has to wait there. `position` is the host's position among all hosts in an order that depends on the upstream;
/// the first hosts get what an equal division leaves over.
#[must_use]
pub fn host_places(slots: u32, hosts: usize, position: usize) -> u32 {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    let remainder = usize::try_from(slots % hosts).unwrap_or(usize::MAX);
    slots / hosts + u32::from(position < remainder)
}
