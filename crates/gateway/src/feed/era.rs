//! The latest store era that this host knows of, and since when.

use {
    crate::edge::{EraNamed, Revision, StoreEra, era_of},
    std::{
        cmp::Ordering,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
};

/// How long after learning of a new era a host prefers what it knew before over contradicting rows of the restored
/// store. Within this time upstreams and operators rewrite what was lost.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// The latest store era that this host knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEra {
    era: StoreEra,
    /// When this host learned of the era; `None` if the store was never restored.
    since: Option<Instant>,
}

impl KnownEra {
    /// The latest known era.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Records an era. Returns whether it is later than the one known so far.
    pub fn record(&mut self, era: StoreEra, now: Instant) -> bool {
        if era <= self.era {
            return false;
        }
        *self = Self {
            era,
            since: Some(now),
        };
        true
    }

    /// Returns the era to which a store answer belongs, or `None` if that era is earlier than the known one. An answer
    /// that does not name its era counts as one of the known era.
    #[must_use]
    pub fn accepted_era(&self, named: EraNamed) -> Option<StoreEra> {
        match named {
            EraNamed::No | EraNamed::Unreadable => Some(self.era),
            EraNamed::Era(_) if !enabled(Protection::StoreEra) => Some(self.era),
            EraNamed::Era(era) => (era >= self.era).then_some(era),
        }
    }

    /// Returns whether rows of a restored store may still be older than what this host knew before the restore.
    #[must_use]
    pub fn is_in_restore_grace(&self, now: Instant) -> bool {
        let age = self.since.map(|since| now.saturating_duration_since(since));
        age.is_some_and(|age| age < RESTORE_GRACE)
    }
}

/// The lowest revision of any answer that this host knows of in the latest era. One counter numbers the rows of all
/// sets, so a row with a higher revision was written after the restore, whichever set the answer was about.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowestRevision(Option<Revision>);

impl LowestRevision {
    /// Records the revision of an answer.
    pub fn record(&mut self, revision: Revision) {
        let is_lower = self
            .0
            .is_none_or(|known| match era_of(revision).cmp(&era_of(known)) {
                Ordering::Greater => true,
                Ordering::Equal => revision < known,
                Ordering::Less => false,
            });
        if is_lower {
            self.0 = Some(revision);
        }
    }

    /// Whether a row was written after an answer of the same era that this host knows of.
    #[must_use]
    pub fn precedes(&self, revision: Revision) -> bool {
        self.0
            .is_some_and(|known| era_of(known) == era_of(revision) && known < revision)
    }
}
