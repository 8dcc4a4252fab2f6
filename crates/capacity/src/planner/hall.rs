//! What is ordered in one hall.

use {
    super::{RELEASE_DIVISOR, Reason},
    crate::{fleet::HallFleet, order::EngineKind},
    std::collections::BTreeMap,
};

/// One hall while its orders are decided.
#[derive(Clone, Debug)]
pub(super) struct HallPlan {
    pub listed: HallFleet,
    pub ordered_on_demand: Option<u32>,
    pub ordered_preemptible: Option<u32>,
    /// The most engines that the hall holds.
    pub max_engines: u32,
    /// How many engines the work asks for.
    pub size: u32,
    /// How many it is to have, spare ones included.
    pub target_size: u32,
    /// How many of them are not preemptible.
    pub on_demand_floor: u32,
    pub preemptible_available: bool,
    /// The orders that are given now.
    pub changes: BTreeMap<EngineKind, (u32, Reason)>,
}

impl HallPlan {
    /// What was ordered last; where nothing was, what runs.
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

    /// What is ordered now, where that is more than before; 0 elsewhere.
    pub(super) fn raised_target(&self, kind: EngineKind) -> u32 {
        let planned = self.planned(kind);
        if planned > self.ordered(kind) {
            planned
        } else {
            0
        }
    }

    /// How many more engines the hall may hold.
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

    /// Orders what the hall's size asks for. The engines on demand that are to go stay until the
    /// others serve.
    pub(super) fn order_size(&mut self) {
        self.raise(EngineKind::OnDemand, self.on_demand_floor, Reason::Size);
        if self.preemptible_available {
            let target = self.target_size.saturating_sub(self.on_demand_floor);
            self.raise(EngineKind::Preemptible, target, Reason::Size);
        }
    }

    /// Whether one more engine of a kind may be ordered to fill a gap. Not where engines of that kind
    /// were ordered and are missing: more of them would not come either.
    pub(super) fn can_add(&self, kind: EngineKind) -> bool {
        self.free_slots() > 0 && !self.lacks(kind)
    }

    /// Orders one more engine of a kind.
    pub(super) fn add_one(&mut self, kind: EngineKind) {
        let target = self.planned(kind) + 1;
        self.raise(kind, target, Reason::Short);
    }

    /// Engines on demand that stand in for others.
    pub(super) fn substitutes(&self) -> u32 {
        self.planned(EngineKind::OnDemand)
            .saturating_sub(self.on_demand_floor)
    }

    /// How many engines may be asked of the hall, spare ones included. Where it is full, some may go, so
    /// that there is room for what takes their place.
    pub(super) fn max_needed(&self) -> u32 {
        let step = self.size.div_ceil(RELEASE_DIVISOR);
        self.target_size.min(self.max_engines.saturating_sub(step))
    }

    /// How many more engines serve than the work asks for in this hall.
    pub(super) fn surplus(&self) -> u32 {
        self.listed.serving().saturating_sub(self.size)
    }

    /// Lets engines on demand go that others stand in for: at most so many, and one part in `divisor` of
    /// the hall's size; how many go.
    pub(super) fn release_on_demand(&mut self, excess: u32, divisor: u32) -> u32 {
        self.lower(
            EngineKind::OnDemand,
            self.on_demand_floor,
            excess,
            divisor,
            Reason::Replaced,
        )
    }

    /// Lets preemptible engines go that are more than the hall is to have, in the same way.
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

    /// Whether fewer engines are listed than were ordered.
    fn lacks(&self, kind: EngineKind) -> bool {
        let was_ordered = match kind {
            EngineKind::OnDemand => self.ordered_on_demand.is_some(),
            EngineKind::Preemptible => self.ordered_preemptible.is_some(),
        };
        was_ordered && self.listed.engines(kind).serving < self.ordered(kind)
    }

    /// Whether engines are missing that were ordered, and no order of that kind is given now.
    pub(super) fn needs_repeat(&self, kind: EngineKind) -> bool {
        !self.changes.contains_key(&kind) && self.lacks(kind)
    }

    /// Says the last order of a kind again.
    pub(super) fn repeat_order(&mut self, kind: EngineKind) {
        let engines = self.ordered(kind);
        self.changes.insert(kind, (engines, Reason::Missing));
    }
}
