//! What is known of the roll-out of one service.

use {
    super::progress::Progress,
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

/// What is known of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceRollout {
    pub(super) progress: Progress,
    /// The version that was seen to serve while no order was known.
    pub(super) serving: Option<EngineVersion>,
    pub(super) canary_budget: CanaryBudget,
    pub(super) evidence: Evidence,
    pub(super) typical: TypicalLatencies,
    /// The most bad answers of the target that any host knows of, and since which order.
    max_bad: (Revision, u32),
    /// The order whose target gets nothing more from this host.
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

    /// The record; as one that was rolled back, where this host stopped sending to the target.
    pub(super) fn effective_record(&self) -> Option<RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        let is_stopped = self.stopped_order == Some(record.order) && !record.phase.is_over();
        Some(if is_stopped {
            record.in_phase(Phase::RolledBack, record.since)
        } else {
            record.clone()
        })
    }

    /// What the record says, unless a newer order than that of the record is known.
    pub(super) fn permit_by_record(&self, bounds: RolloutBounds) -> Option<Permit> {
        let record = self.bounded_record(bounds)?;
        let ordered = self
            .progress
            .order
            .as_ref()
            .map(|known| known.order.revision);
        (ordered <= Some(record.order)).then(|| permit_of(&record))
    }

    /// That a version is not the target of an order whose record was not heard of.
    pub(super) fn is_not_unrecorded_target(&self, version: &EngineVersion) -> bool {
        let target = self
            .progress
            .order
            .as_ref()
            .map(|known| &known.order.target);
        target != Some(version) || self.serving.as_ref() == Some(version)
    }

    /// Records how many bad answers of an order's target a host knows of; the most that any does.
    pub(super) fn record_bad_answers(&mut self, order: Revision, count: u32) -> u32 {
        let most = match order.cmp(&self.max_bad.0) {
            Ordering::Less => return count,
            Ordering::Equal => self.max_bad.1.max(count),
            Ordering::Greater => count,
        };
        self.max_bad = (order, most);
        most
    }

    /// The most bad answers of the roll-out's target that any host knows of.
    pub(super) fn max_bad_of(&self, order: Revision) -> u32 {
        let (of, count) = self.max_bad;
        if of == order { count } else { 0 }
    }

    /// Counts anew where the order is another one than was counted for.
    pub(super) fn reset_for_order(&mut self, order: Revision, initial_credit: f64) {
        if self.evidence.order != order {
            self.evidence = Evidence::new(order);
            self.canary_budget = CanaryBudget::with_initial_credit(initial_credit);
        }
    }

    /// The roll-out that is under way.
    pub(super) fn open_record(&self) -> Option<&RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        (!record.phase.is_over()).then_some(record)
    }
}
