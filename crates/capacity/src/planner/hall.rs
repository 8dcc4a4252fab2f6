//! The orders of one hall.

use {
    super::{RELEASE_DIVISOR, Reason},
    crate::{fleet::HallFleet, order::EngineKind},
    std::collections::BTreeMap,
};

/// The state of one hall while its orders are decided.
#[derive(Clone, Debug)]
pub(super) struct HallPlan {
    pub listed: HallFleet,
    pub ordered_on_demand: Option<u32>,
    pub ordered_preemptible: Option<u32>,
    /// Maximum number of engines in the hall.
    pub max_engines: u32,
    /// Number of engines that the work needs.
    pub size: u32,
    /// Number of engines that the hall should have, including spare ones.
    pub target_size: u32,
    /// Number of these that must be on-demand engines.
    pub on_demand_floor: u32,
    pub preemptible_available: bool,
    /// The orders that are placed now.
    pub changes: BTreeMap<EngineKind, (u32, Reason)>,
}

impl HallPlan {
    /// Returns the number last ordered, or the number of serving engines if there was no order.
    fn ordered(&self, kind: EngineKind) -> u32 {
        let ordered = match kind {
            EngineKind::OnDemand => self.ordered_on_demand,
            EngineKind::Preemptible => self.ordered_preemptible,
        };
        ordered.unwrap_or(self.listed.engines(kind).serving)
    }

    fn planned(&self, kind: EngineKind) -> u32 {
        let change = self.changes.get(&kind);
        change.map_or_else(|| self.ordered(kind), |(engines, _)| *engines)
    }

    /// Returns the number ordered now if it exceeds the last order, and 0 otherwise.
    pub(super) fn raised_target(&self, kind: EngineKind) -> u32 {
        let planned = self.planned(kind);
        if planned > self.ordered(kind) {
            planned
        } else {
            0
        }
    }

    /// Returns how many more engines the hall may have.
    fn free_slots(&self) -> u32 {
        let held: u32 = EngineKind::ALL
            .into_iter()
            .map(|kind| self.planned(kind))
            .sum();
        self.max_engines.saturating_sub(held)
    }

    fn raise(&mut self, kind: EngineKind, target: u32, reason: Reason) -> u32 {
        let planned = self.planned(kind);
        let more = target.saturating_sub(planned).min(self.free_slots());
        if more > 0 {
            self.changes.insert(kind, (planned + more, reason));
        }
        more
    }

    /// Orders engines up to the target size. Surplus on-demand engines stay until preemptible ones serve.
    pub(super) fn order_size(&mut self) {
        self.raise(EngineKind::OnDemand, self.on_demand_floor, Reason::Size);
        if self.preemptible_available {
            let target = self.target_size.saturating_sub(self.on_demand_floor);
            self.raise(EngineKind::Preemptible, target, Reason::Size);
        }
    }

    /// Returns whether one more engine of a kind may be ordered to fill a gap. This is not the case if ordered
    /// engines of that kind are missing, since more of them would not arrive either.
    pub(super) fn can_add(&self, kind: EngineKind) -> bool {
        self.free_slots() > 0 && !self.lacks(kind)
    }

    /// Orders one more engine of a kind.
    pub(super) fn add_one(&mut self, kind: EngineKind) {
        let target = self.planned(kind) + 1;
        self.raise(kind, target, Reason::Short);
    }

    /// Returns the number of on-demand engines above the floor, which substitute for preemptible ones.
    pub(super) fn substitutes(&self) -> u32 {
        self.planned(EngineKind::OnDemand)
            .saturating_sub(self.on_demand_floor)
    }

    /// Returns the most engines that the work may require of the hall, including spare ones. It is below the
    /// limit of the hall, so that a full hall can release some engines and has space for their replacements.
    pub(super) fn max_needed(&self) -> u32 {
        let step = self.size.div_ceil(RELEASE_DIVISOR);
        self.target_size.min(self.max_engines.saturating_sub(step))
    }

    /// Returns how many more engines serve in this hall than its size.
    pub(super) fn surplus(&self) -> u32 {
        self.listed.serving().saturating_sub(self.size)
    }

    /// Releases on-demand engines above the floor: at most `excess`, and at most the hall's size divided by
    /// `divisor`, rounded up; a `divisor` of 1 sets no such limit. Returns the number of released engines.
    pub(super) fn release_on_demand(&mut self, excess: u32, divisor: u32) -> u32 {
        self.lower(
            EngineKind::OnDemand,
            self.on_demand_floor,
            excess,
            divisor,
            Reason::Replaced,
        )
    }

    /// Releases preemptible engines above the target size, with the same limits.
    pub(super) fn release_preemptible(&mut self, excess: u32, divisor: u32) -> u32 {
        let excess = excess.min(self.listed.serving().saturating_sub(self.target_size));
        let least = self.target_size.saturating_sub(self.on_demand_floor);
        self.lower(
            EngineKind::Preemptible,
            least,
            excess,
            divisor,
            Reason::NotNeeded,
        )
    }

    fn lower(
        &mut self,
        kind: EngineKind,
        least: u32,
        excess: u32,
        divisor: u32,
        reason: Reason,
    ) -> u32 {
        let ordered = self.ordered(kind);
        let max_released = self.size.div_ceil(divisor).max(1);
        let max_released = if divisor == 1 { ordered } else { max_released };
        let released = ordered.saturating_sub(least).min(excess).min(max_released);
        if released > 0 {
            self.changes.insert(kind, (ordered - released, reason));
        }
        released
    }

    /// Returns whether fewer engines serve than were ordered.
    fn lacks(&self, kind: EngineKind) -> bool {
        let was_ordered = match kind {
            EngineKind::OnDemand => self.ordered_on_demand.is_some(),
            EngineKind::Preemptible => self.ordered_preemptible.is_some(),
        };
        was_ordered && self.listed.engines(kind).serving < self.ordered(kind)
    }

    /// Returns whether ordered engines are missing and no order of that kind is placed now.
    pub(super) fn needs_repeat(&self, kind: EngineKind) -> bool {
        !self.changes.contains_key(&kind) && self.lacks(kind)
    }

    /// Repeats the last order of a kind.
    pub(super) fn repeat_order(&mut self, kind: EngineKind) {
        let engines = self.ordered(kind);
        self.changes.insert(kind, (engines, Reason::Missing));
    }
}
