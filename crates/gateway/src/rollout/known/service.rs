//! State of the roll-out of one service.

use {
    super::progress::RolloutProgress,
    crate::{
        edge::Revision,
        options::RolloutBounds,
        rollout::{
            evidence::Evidence,
            exposure::CanaryBudget,
            outcome::TypicalLatencies,
            record::{Phase, RolloutRecord},
            versions::{ListedVersion, Permit, permit, permit_of},
        },
    },
    std::cmp::Ordering,
    tealshore_core::ids::EngineVersion,
};

/// State of the roll-out of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) progress: RolloutProgress,
    /// The serving version seen while no order was known.
    pub(super) serving: Option<EngineVersion>,
    pub(super) canary_budget: CanaryBudget,
    pub(super) evidence: Evidence,
    pub(super) typical: TypicalLatencies,
    /// The largest count of bad answers of the target that any host knows of, with its order.
    max_bad: (Revision, u32),
    /// The order whose target receives no more requests from this host.
    pub(super) stopped_order: Option<Revision>,
}

impl ServiceRollout {
    pub(super) fn permit(&self, listed: &[ListedVersion], bounds: RolloutBounds) -> Option<Permit> {
        permit(
            listed,
            self.progress.order.as_ref().map(|known| &known.order),
            self.bounded_record(bounds).as_ref(),
            self.serving.as_ref(),
        )
    }

    fn bounded_record(&self, bounds: RolloutBounds) -> Option<RolloutRecord> {
        let record = self.effective_record()?;
        Some(if bounds.is_shift_bounded {
            record.with_bounded_shift()
        } else {
            record
        })
    }

    /// The record, with the phase `RolledBack` if this host has stopped sending to the target.
    pub(super) fn effective_record(&self) -> Option<RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        let is_stopped = self.stopped_order == Some(record.order) && !record.phase.is_over();
        Some(if is_stopped {
            record.in_phase(Phase::RolledBack, record.since)
        } else {
            record.clone()
        })
    }

    /// The permit given by the record, or `None` if there is no record or a newer order is known.
    pub(super) fn permit_by_record(&self, bounds: RolloutBounds) -> Option<Permit> {
        let record = self.bounded_record(bounds)?;
        let ordered = self
            .progress
            .order
            .as_ref()
            .map(|known| known.order.revision);
        (ordered <= Some(record.order)).then(|| permit_of(&record))
    }

    /// Whether a version may be used without a record: it is not the target of a known order, or
    /// it already serves.
    pub(super) fn is_permitted_without_record(&self, version: &EngineVersion) -> bool {
        let target = self
            .progress
            .order
            .as_ref()
            .map(|known| &known.order.target);
        target != Some(version) || self.serving.as_ref() == Some(version)
    }

    /// Records a host's count of bad answers of an order's target. Returns the largest known
    /// count.
    pub(super) fn record_bad_answers(&mut self, order: Revision, count: u32) -> u32 {
        let known_max = match order.cmp(&self.max_bad.0) {
            Ordering::Less => return count,
            Ordering::Equal => self.max_bad.1.max(count),
            Ordering::Greater => count,
        };
        self.max_bad = (order, known_max);
        known_max
    }

    /// The largest known count of bad answers of an order's target.
    pub(super) fn max_bad_of(&self, order: Revision) -> u32 {
        let (of, count) = self.max_bad;
        if of == order { count } else { 0 }
    }

    /// Resets the evidence and the canary budget if they belong to another order.
    pub(super) fn reset_for_order(&mut self, order: Revision, initial_credit: f64) {
        if self.evidence.order != order {
            self.evidence = Evidence::new(order);
            self.canary_budget = CanaryBudget::with_initial_credit(initial_credit);
        }
    }

    /// The record of a roll-out that has not ended.
    pub(super) fn open_record(&self) -> Option<&RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        (!record.phase.is_over()).then_some(record)
    }
}
