//! The order and the record of one service, across eras of the store.
//!
//! A store restored from an older copy may lack the current order, or hold one that was replaced, or an
//! earlier phase. An order that is written again gets another row. A restore must neither restart a roll-out
//! nor move it back.

use {
    crate::{
        edge::{Revision, StoreEra, era_of},
        rollout::record::{RolloutOrder, RolloutRecord},
    },
    std::time::Instant,
};

/// An order, with the time at which this host received it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedOrder {
    pub(super) order: RolloutOrder,
    pub(super) received_at: Instant,
}

/// The order and the record of one service.
#[derive(Debug, Default)]
pub(super) struct RolloutProgress {
    pub(super) order: Option<ReceivedOrder>,
    /// The record, with the version of its row.
    pub(super) record: Option<(Revision, RolloutRecord)>,
    /// An order from a restored store that differs from the known one. It is applied at the end of the grace
    /// period.
    deferred: Option<RolloutOrder>,
    /// The row in the store is behind the record.
    needs_rewrite: bool,
}

impl RolloutProgress {
    /// Applies an order and returns whether it is a new one. `is_in_restore_grace` says that rows may predate
    /// a restore of the store.
    pub(super) fn apply_order(
        &mut self,
        order: RolloutOrder,
        is_in_restore_grace: bool,
        now: Instant,
    ) -> bool {
        let Some(known) = &mut self.order else {
            self.replace_order(order, now);
            self.rebind_record(is_in_restore_grace);
            return true;
        };
        let before = known.order.revision;
        if before >= order.revision {
            return false;
        }
        if era_of(before) == era_of(order.revision) || !is_in_restore_grace {
            self.replace_order(order, now);
            return true;
        }
        if known.order.is_equivalent_to(&order) {
            known.order.revision = order.revision;
            self.deferred = None;
            self.rebind_record(is_in_restore_grace);
        } else {
            self.deferred = Some(order);
        }
        false
    }

    /// Applies a deferred order. Returns whether there was one.
    pub(super) fn apply_deferred_order(&mut self, now: Instant) -> bool {
        let Some(order) = self.deferred.take() else {
            return false;
        };
        self.replace_order(order, now);
        true
    }

    /// Applies a record, unless a newer one is known or, after a restore of the store, a later phase or a record
    /// of a later order. A record of an earlier era that the restore lost is applied despite its older revision.
    /// Returns whether the record was applied.
    pub(super) fn apply_record(
        &mut self,
        revision: Revision,
        record: &RolloutRecord,
        is_in_restore_grace: bool,
    ) -> bool {
        let Some((known_revision, known)) = &mut self.record else {
            self.record = Some((revision, record.clone()));
            self.rebind_record(is_in_restore_grace);
            return true;
        };
        if *known_revision >= revision {
            // Another host may report a record of an earlier era that the restored store lost.
            let is_of_earlier_era = era_of(revision) < era_of(*known_revision);
            let is_behind = if known.has_same_versions_as(record) {
                known.is_earlier_phase_of(record)
            } else {
                known.order < record.order
            };
            let is_lost = is_of_earlier_era && is_behind;
            if is_lost {
                let order = known.order.max(record.order);
                *known = record.clone();
                known.order = order;
                self.needs_rewrite = true;
            }
            return is_lost;
        }
        let is_of_later_era = era_of(revision) > era_of(*known_revision);
        let is_older = if record.has_same_versions_as(known) {
            // A later order may repeat the same move.
            record.order <= known.order && record.is_earlier_phase_of(known)
        } else {
            record.order < known.order
        };
        if is_of_later_era && is_older {
            *known_revision = revision;
            self.needs_rewrite = true;
            return false;
        }
        self.record = Some((revision, record.clone()));
        self.needs_rewrite = false;
        self.rebind_record(is_in_restore_grace);
        true
    }

    /// Returns the record and the expected row version if the store of this era may have lost the record.
    pub(super) fn pending_rewrite(&self, era: StoreEra) -> Option<(Revision, RolloutRecord)> {
        let (revision, record) = self.record.as_ref()?;
        let has_row = era_of(*revision) == era;
        let expected = if has_row { *revision } else { 0 };
        (self.needs_rewrite || !has_row).then(|| (expected, record.clone()))
    }

    fn replace_order(&mut self, order: RolloutOrder, now: Instant) {
        self.deferred = None;
        self.order = Some(ReceivedOrder {
            order,
            received_at: now,
        });
    }

    /// Assigns a record of an earlier era to the same order written again in another row.
    fn rebind_record(&mut self, is_in_restore_grace: bool) {
        let (Some(known), Some((_, record))) = (&self.order, &mut self.record) else {
            return;
        };
        let order = &known.order;
        let is_of_earlier_era = era_of(record.order) < era_of(order.revision);
        if is_in_restore_grace && is_of_earlier_era && record.target == order.target {
            record.order = order.revision;
            self.needs_rewrite = true;
        }
    }
}
