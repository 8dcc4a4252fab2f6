//! The order and the record of one service, also across the eras of the store.
//!
//! A store that came back from an older copy may hold an order that was replaced, or none, or an earlier
//! phase; and the same order in another row once it is written again. A roll-out neither begins again nor
//! goes back for that.

use {
    crate::{
        edge::{Revision, StoreEra, era_of},
        rollout::record::{RolloutOrder, RolloutRecord},
    },
    std::time::Instant,
};

/// An order with the moment at which this host heard of it.
#[derive(Clone, Debug)]
pub(super) struct ReceivedOrder {
    pub(super) order: RolloutOrder,
    pub(super) received_at: Instant,
}

/// The order and the record of one service.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) order: Option<ReceivedOrder>,
    /// The record, with the version of its row.
    pub(super) record: Option<(Revision, RolloutRecord)>,
    /// An order of a restored store that differs from the one that was known before.
    deferred: Option<RolloutOrder>,
    /// The row in the store says less than the record.
    needs_rewrite: bool,
}

impl Progress {
    /// Takes in an order; whether it is a new one. `is_in_restore_grace` tells that rows may predate a restore of the store.
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

    /// Applies an order that was held; whether there was one.
    pub(super) fn apply_deferred_orders(&mut self, now: Instant) -> bool {
        let Some(order) = self.deferred.take() else {
            return false;
        };
        self.replace_order(order, now);
        true
    }

    /// Takes in a record, unless a newer one is known, or one that is further; whether it did.
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
            // Another host knows what the store lost.
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
            // A later order may ask for the same move once more.
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

    /// The record, and the version that its row must have, where the store of an era may have lost it.
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

    /// Lets a record of an earlier era belong to the order that is written again in another row.
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
