//! What is known of the roll-out of one service.

use {
    super::progress::Progress,
    crate::{
        edge::Revision,
        options::RolloutBounds,
        rollout::{
            evidence::Evidence,
            exposure::Exposure,
            outcome::TypicalTimes,
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
    pub(super) exposure: Exposure,
    pub(super) evidence: Evidence,
    pub(super) typical: TypicalTimes,
    /// The most bad answers of the target that any host knows of, and since which order.
    most_bad: (Revision, u32),
    /// The order whose target gets nothing more from this host.
    pub(super) stopped: Option<Revision>,
}

impl ServiceRollout {
    pub(super) fn permit(&self, listed: &[ListedVersion], bounds: RolloutBounds) -> Option<Permit> {
        permit(
            listed,
            self.progress.order.as_ref().map(|known| &known.order),
            self.record_in_force(bounds).as_ref(),
            self.serving.as_ref(),
        )
    }

    fn record_in_force(&self, bounds: RolloutBounds) -> Option<RolloutRecord> {
        let record = self.record_unless_stopped()?;
        Some(if bounds.is_shift_bounded {
            record.with_bounded_shift()
        } else {
            record
        })
    }

    /// The record; as one that was rolled back, where this host stopped sending to the target.
    pub(super) fn record_unless_stopped(&self) -> Option<RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        let is_stopped = self.stopped == Some(record.order) && !record.phase.is_over();
        Some(if is_stopped {
            record.in_phase(Phase::RolledBack, record.since)
        } else {
            record.clone()
        })
    }

    /// What the record says, unless a newer order than that of the record is known.
    pub(super) fn permit_by_record(&self, bounds: RolloutBounds) -> Option<Permit> {
        let record = self.record_in_force(bounds)?;
        let ordered = self
            .progress
            .order
            .as_ref()
            .map(|known| known.order.revision);
        (ordered <= Some(record.order)).then(|| permit_of(&record))
    }

    /// That a version is not the target of an order whose record was not heard of.
    pub(super) fn is_not_tried_unheard(&self, version: &EngineVersion) -> bool {
        let target = self
            .progress
            .order
            .as_ref()
            .map(|known| &known.order.target);
        target != Some(version) || self.serving.as_ref() == Some(version)
    }

    /// Records how many bad answers of an order's target a host knows of; the most that any does.
    pub(super) fn record_bad_answers(&mut self, order: Revision, count: u32) -> u32 {
        let most = match order.cmp(&self.most_bad.0) {
            Ordering::Less => return count,
            Ordering::Equal => self.most_bad.1.max(count),
            Ordering::Greater => count,
        };
        self.most_bad = (order, most);
        most
    }

    /// The most bad answers of the roll-out's target that any host knows of.
    pub(super) fn most_bad_of(&self, order: Revision) -> u32 {
        let (of, count) = self.most_bad;
        if of == order { count } else { 0 }
    }

    /// Counts anew where the order is another one than was counted for.
    pub(super) fn count_for(&mut self, order: Revision, first_part: f64) {
        if self.evidence.order != order {
            self.evidence = Evidence::none(order);
            self.exposure = Exposure::beginning_with(first_part);
        }
    }

    /// The roll-out that is under way.
    pub(super) fn current(&self) -> Option<&RolloutRecord> {
        let (_, record) = self.progress.record.as_ref()?;
        (!record.phase.is_over()).then_some(record)
    }
}
