//! What is ordered in one hall.

use {
    super::{LET_GO_PART, Reason},
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
    pub most: u32,
    /// How many engines the work asks for.
    pub size: u32,
    /// How many it is to have, spare ones included.
    pub wanted: u32,
    /// How many of them are not preemptible.
    pub floor: u32,
    pub preemptible_to_be_had: bool,
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
    pub(super) fn raised_to(&self, kind: EngineKind) -> u32 {
        let planned = self.planned(kind);
        if planned > self.ordered(kind) {
            planned
        } else {
            0
        }
    }

    /// How many more engines the hall may hold.
    fn room(&self) -> u32 {
        let held: u32 = EngineKind::ALL
            .into_iter()
            .map(|kind| self.planned(kind))
            .sum();
        self.most.saturating_sub(held)
    }

    fn raise(&mut self, kind: EngineKind, target: u32, reason: Reason) -> u32 {
        let planned = self.planned(kind);
        let more = target.saturating_sub(planned).min(self.room());
        if more > 0 {
            self.changes.insert(kind, (planned + more, reason));
        }
        more
    }

    /// Orders what the hall's size asks for. The engines on demand that are to go stay until the
    /// others serve.
    pub(super) fn order_size(&mut self) {
        self.raise(EngineKind::OnDemand, self.floor, Reason::Size);
        if self.preemptible_to_be_had {
            let target = self.wanted.saturating_sub(self.floor);
            self.raise(EngineKind::Preemptible, target, Reason::Size);
        }
    }

    /// Whether one more engine of a kind may be ordered to fill a gap. Not where engines of that kind
    /// were ordered and are missing: more of them would not come either.
    pub(super) fn has_room_for(&self, kind: EngineKind) -> bool {
        self.room() > 0 && !self.lacks(kind)
    }

    /// Orders one more engine of a kind.
    pub(super) fn fill_one(&mut self, kind: EngineKind) {
        let target = self.planned(kind) + 1;
        self.raise(kind, target, Reason::Short);
    }

    /// Engines on demand that stand in for others.
    pub(super) fn stand_ins(&self) -> u32 {
        self.planned(EngineKind::OnDemand)
            .saturating_sub(self.floor)
    }

    /// How many engines may be asked of the hall, spare ones included. Where it is full, some may go, so
    /// that there is room for what takes their place.
    pub(super) fn most_needed(&self) -> u32 {
        let step = self.size.div_ceil(LET_GO_PART);
        self.wanted.min(self.most.saturating_sub(step))
    }

    /// How many more engines serve than the work asks for in this hall.
    pub(super) fn excess_here(&self) -> u32 {
        self.listed.serving().saturating_sub(self.size)
    }

    /// Lets engines on demand go that others stand in for: at most so many, and one part in `part` of
    /// the hall's size; how many go.
    pub(super) fn let_go_on_demand(&mut self, excess: u32, part: u32) -> u32 {
        self.lower(
            EngineKind::OnDemand,
            self.floor,
            excess,
            part,
            Reason::Replaced,
        )
    }

    /// Lets preemptible engines go that are more than the hall is to have, in the same way.
    pub(super) fn let_go_preemptible(&mut self, excess: u32, part: u32) -> u32 {
        let excess = excess.min(self.listed.serving().saturating_sub(self.wanted));
        let least = self.wanted.saturating_sub(self.floor);
        self.lower(
            EngineKind::Preemptible,
            least,
            excess,
            part,
            Reason::NotNeeded,
        )
    }

    fn lower(
        &mut self,
        kind: EngineKind,
        least: u32,
        excess: u32,
        part: u32,
        reason: Reason,
    ) -> u32 {
        let ordered = self.ordered(kind);
        let most = self.size.div_ceil(part).max(1);
        let most = if part == 1 { ordered } else { most };
        let gone = ordered.saturating_sub(least).min(excess).min(most);
        if gone > 0 {
            self.changes.insert(kind, (ordered - gone, reason));
        }
        gone
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
    pub(super) fn is_missing(&self, kind: EngineKind) -> bool {
        !self.changes.contains_key(&kind) && self.lacks(kind)
    }

    /// Says the last order of a kind again.
    pub(super) fn repeat(&mut self, kind: EngineKind) {
        let engines = self.ordered(kind);
        self.changes.insert(kind, (engines, Reason::Missing));
    }
}
