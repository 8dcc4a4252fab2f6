//! Which era of the store is the latest that this host knows of, and since when.

use {
    crate::edge::{EraNamed, StoreEra},
    std::time::{Duration, Instant},
    tealshore_core::protection::{Protection, enabled},
};

/// For how long after a host learned of an era what it knew before stands against rows of the restored store
/// that contradict it. By then upstreams and operators have written again what was lost.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// The latest era that this host knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEra {
    era: StoreEra,
    /// When it was learned of; none while the store was never restored.
    since: Option<Instant>,
}

impl KnownEra {
    /// The latest era.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Notes an era; whether it is later than the one that was known.
    pub fn note(&mut self, era: StoreEra, now: Instant) -> bool {
        if era <= self.era {
            return false;
        }
        *self = Self {
            era,
            since: Some(now),
        };
        true
    }

    /// The era of an answer of the store; none where it is of an earlier era than is known. One that does not
    /// name its era counts as of the one that is known.
    #[must_use]
    pub fn of_answer(&self, named: EraNamed) -> Option<StoreEra> {
        match named {
            EraNamed::No | EraNamed::Unreadable => Some(self.era),
            EraNamed::Era(_) if !enabled(Protection::StoreEra) => Some(self.era),
            EraNamed::Era(era) => (era >= self.era).then_some(era),
        }
    }

    /// Whether rows of the store may be older than what was known before.
    #[must_use]
    pub fn is_in_restore_grace(&self, now: Instant) -> bool {
        let age = self.since.map(|since| now.saturating_duration_since(since));
        age.is_some_and(|age| age < RESTORE_GRACE)
    }
}
