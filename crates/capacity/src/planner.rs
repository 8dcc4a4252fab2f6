//! Decides which orders for the engines of one service change.
//!
//! The size of each hall is what runs there when nothing was ordered yet, until the work was measured
//! for long enough to say that it is too much; it grows at once where the work needs more. Within the
//! size, preemptible engines take the place of those on demand, above a floor: they are ordered first,
//! and others let go only as far as those serve. Beyond it, cheap engines are kept that bear the loss of
//! one hall's.

mod gap;
mod hall;
mod size;

use {
    crate::{
        demand::{Demand, Sizing},
        fleet::Fleet,
        order::{EngineKind, EngineOrder, Scaling, last_order},
    },
    hall::HallPlan,
    size::HallSizes,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{HallId, ServiceId},
};

/// How long a kind of engine that was not to be had in a hall is not asked for again: a refusal costs a
/// call, and such times last for some seconds.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How much longer than their boot engines may take until they are listed; then they are ordered
/// again. They tell of themselves about each second.
const BOOT_GRACE: Duration = Duration::from_secs(2);
/// How long work is measured before its need counts: requests are counted over a window of ten seconds,
/// and datagrams tell of them within two. Counted sooner, the fleet would not be filled up while work
/// begins.
const MEASUREMENT_TIME: Duration = Duration::from_secs(12);
/// The part of the engines that served when others were ordered, below which some count as lost: a few
/// come and go all the time.
const LOSS_THRESHOLD: f64 = 0.8;
/// How often engines are let go while streams run, so that those which lose theirs find room.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);
/// The part of a hall's engines of a kind that is let go at once while streams run.
const RELEASE_DIVISOR: u32 = 8;

/// What an operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Engines a hall that are never preemptible.
    pub least_on_demand: u32,
    /// The part by which bursts exceed what was measured.
    pub reserve: f64,
    /// How the number follows from the load.
    pub sizing: Sizing,
    /// Whether preemptible engines are kept that stand in for those of one hall.
    pub spare_hall: bool,
    /// How long less work than the size is for must last before it shrinks.
    pub shrink_after: Duration,
}

impl Policy {
    /// Whether a service has spare engines: cheap ones that bear the loss of a hall.
    fn keeps_spare_hall(&self, scaling: &Scaling) -> bool {
        self.spare_hall && scaling.offers_preemptible()
    }
}

/// Why no engine is let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// A roll-out is open: its versions have to be compared under the same load.
    RolloutOpen,
    /// Few of the hosts are heard, so what is known of the work is not all.
    FewHostsHeard,
    /// Most engines of a hall seem dead.
    HallStruck,
}

/// What is known at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// What it allows.
    pub scaling: &'a Scaling,
    /// Its engines.
    pub fleet: &'a Fleet,
    /// The last orders.
    pub ordered: &'a [EngineOrder],
    /// Those that the platform turned down: there were no such engines, and nothing changed.
    pub refused: &'a [EngineOrder],
    /// Its work.
    pub demand: Demand,
    /// How long no engine was listed that was not before.
    pub unchanged_for: Duration,
    /// Why no engine is let go; none where some may be.
    pub hold: Option<HoldReason>,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Cheaper engines are to take the place of others, or the size of the hall changed.
    Size,
    /// Others serve in their place.
    Replaced,
    /// Engines that were ordered are missing.
    Missing,
    /// The engines that serve are too few for the work.
    Short,
    /// Engines that stood in for others are no longer needed.
    NotNeeded,
}

impl Reason {
    /// Its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Replaced => "replaced",
            Self::Missing => "missing",
            Self::Short => "short",
            Self::NotNeeded => "not-needed",
        }
    }
}

/// An order with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The order.
    pub order: EngineOrder,
    /// Why it is given.
    pub reason: Reason,
}

/// When a kind of engine was last ordered in a hall.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    placed_at: Instant,
    engines: u32,
    /// How many served then.
    serving: u32,
}

impl PlacedOrder {
    /// How many engines it may still bring. None where some were lost since that served then: what was
    /// asked for before a hall was taken away does not come.
    fn pending_engines(&self, serving: u32, boot: Duration, now: Instant) -> u32 {
        let has_losses = f64::from(serving) < f64::from(self.serving) * LOSS_THRESHOLD;
        if has_losses || !is_booting(self, boot, now) {
            return 0;
        }
        self.engines
    }
}

/// A hall and a kind.
type EnginePool = (HallId, EngineKind);

/// What the holder of the duty remembers of one service. A successor begins anew from the last orders.
#[derive(Debug, Default)]
pub struct Planner {
    sizes: HallSizes,
    placed: BTreeMap<EnginePool, PlacedOrder>,
    unavailable_until: BTreeMap<EnginePool, Instant>,
    last_release: Option<Instant>,
    /// Since when there is work.
    work_since: Option<Instant>,
}

impl Planner {
    /// How many engines each hall is to have.
    #[must_use]
    pub fn sizes(&self) -> &BTreeMap<HallId, u32> {
        self.sizes.halls()
    }

    /// The orders that change, or are to be said again.
    pub fn decide(
        &mut self,
        seen: &Observation<'_>,
        policy: &Policy,
        now: Instant,
    ) -> Vec<Decision> {
        for order in seen.refused {
            let pool = (order.hall.clone(), order.kind);
            let until = now + UNAVAILABLE_RETRY_DELAY;
            self.unavailable_until.entry(pool).or_insert(until);
        }
        let needed = seen.demand.engines_needed(policy.sizing, policy.reserve);
        if !self.sizes.update(seen, needed, policy, now) {
            return Vec::new();
        }
        let keeps_spare_hall = policy.keeps_spare_hall(seen.scaling);
        // Where nothing is to be done, nothing is to be filled up.
        let needed = needed.map_or(0, |needed| self.min_engines(needed, keeps_spare_hall, now));
        let mut plans = self.hall_plans(seen, policy, now);
        let needed = needed.min(plans.values().map(HallPlan::max_needed).sum());
        // First, so that a hall has room for what takes their place.
        self.release_surplus(seen, needed, &mut plans, now);
        for plan in plans.values_mut() {
            plan.order_size();
        }
        self.fill_gap(seen, needed, &mut plans, now);
        self.changes(seen, plans, now)
    }

    fn hall_plans(
        &self,
        seen: &Observation<'_>,
        policy: &Policy,
        now: Instant,
    ) -> BTreeMap<HallId, HallPlan> {
        let offers_preemptible = seen.scaling.offers_preemptible();
        let halls = seen.fleet.iter().map(|(hall, listed)| {
            let size = self.sizes.get(hall);
            let target_size = if policy.keeps_spare_hall(seen.scaling) {
                self.sizes.with_spare(size)
            } else {
                size
            };
            let on_demand_floor = if offers_preemptible {
                policy.least_on_demand.min(size)
            } else {
                target_size
            };
            let plan = HallPlan {
                listed: *listed,
                ordered_on_demand: last_order(seen.ordered, hall, EngineKind::OnDemand),
                ordered_preemptible: last_order(seen.ordered, hall, EngineKind::Preemptible),
                max_engines: seen.scaling.most_engines,
                size,
                target_size: target_size.min(seen.scaling.most_engines),
                on_demand_floor,
                preemptible_available: self.is_available(hall, EngineKind::Preemptible, now),
                changes: BTreeMap::new(),
            };
            (hall.clone(), plan)
        });
        halls.collect()
    }

    /// How many engines are to be there at least: as many as ran, until the work is known. Spare engines
    /// are part of it: where one hall was taken away, the next one may be.
    fn min_engines(&mut self, needed: u32, keeps_spare_hall: bool, now: Instant) -> u32 {
        let since = *self.work_since.get_or_insert(now);
        let is_known = now.saturating_duration_since(since) >= MEASUREMENT_TIME;
        let size = self.sizes.total();
        let needed = if is_known { needed.min(size) } else { size };
        if keeps_spare_hall {
            self.sizes.with_spare(needed)
        } else {
            needed
        }
    }

    fn is_available(&self, hall: &HallId, kind: EngineKind, now: Instant) -> bool {
        let until = self.unavailable_until.get(&(hall.clone(), kind));
        until.is_none_or(|until| *until <= now)
    }

    /// Lets engines go that others stand in for.
    fn release_surplus(
        &mut self,
        seen: &Observation<'_>,
        needed: u32,
        plans: &mut BTreeMap<HallId, HallPlan>,
        now: Instant,
    ) {
        let is_idle = seen.demand.running == 0;
        let is_too_early = self.last_release.is_some_and(|released_at| {
            now.saturating_duration_since(released_at) < RELEASE_INTERVAL
        });
        if seen.hold.is_some() || (is_too_early && !is_idle) {
            return;
        }
        let divisor = if is_idle { 1 } else { RELEASE_DIVISOR };
        let serving: u32 = plans.values().map(|plan| plan.listed.serving()).sum();
        let target_size: u32 = plans.values().map(|plan| plan.target_size).sum();
        let size = self.sizes.total().max(needed);
        let mut remaining = serving;
        for plan in plans.values_mut() {
            let excess = plan.surplus().min(remaining.saturating_sub(size));
            remaining -= plan.release_on_demand(excess, divisor);
        }
        if remaining == serving {
            // What stands in for another hall, which has others by now or will not get them.
            for plan in plans.values_mut() {
                remaining -= plan.release_on_demand(remaining.saturating_sub(size), divisor);
            }
        }
        // Those on demand that stand in go first, though only some at once.
        let substitutes: u32 = plans.values().map(HallPlan::substitutes).sum();
        for plan in plans.values_mut() {
            let excess = remaining.saturating_sub(target_size + substitutes);
            remaining -= plan.release_preemptible(excess, divisor);
        }
        if remaining < serving {
            self.last_release = Some(now);
        }
    }

    /// The orders that differ from the last ones, and those whose engines are missing.
    fn changes(
        &mut self,
        seen: &Observation<'_>,
        plans: BTreeMap<HallId, HallPlan>,
        now: Instant,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (hall, mut plan) in plans {
            for kind in EngineKind::ALL {
                if plan.needs_repeat(kind)
                    && self.may_repeat_order(&hall, kind, seen.scaling.boot, now)
                {
                    plan.repeat_order(kind);
                }
            }
            for (kind, (engines, reason)) in plan.changes {
                let pool = (hall.clone(), kind);
                self.unavailable_until.remove(&pool);
                let serving = plan.listed.engines(kind).serving;
                let placed = PlacedOrder {
                    placed_at: now,
                    engines,
                    serving,
                };
                self.placed.insert(pool, placed);
                let order = EngineOrder {
                    service: seen.service.clone(),
                    hall: hall.clone(),
                    kind,
                    engines,
                };
                decisions.push(Decision { order, reason });
            }
        }
        decisions
    }

    /// Whether engines that are missing have had the time to come. Orders of an earlier holder count
    /// from when this one first saw that their engines are missing.
    fn may_repeat_order(
        &mut self,
        hall: &HallId,
        kind: EngineKind,
        boot: Duration,
        now: Instant,
    ) -> bool {
        if !self.is_available(hall, kind, now) {
            return false;
        }
        let pool = (hall.clone(), kind);
        let was_refused = self.unavailable_until.contains_key(&pool);
        let placed = self.placed.entry(pool).or_insert(PlacedOrder {
            placed_at: now,
            engines: 0,
            serving: 0,
        });
        was_refused || !is_booting(placed, boot, now)
    }
}

fn is_booting(placed: &PlacedOrder, boot: Duration, now: Instant) -> bool {
    now.saturating_duration_since(placed.placed_at) < boot + BOOT_GRACE
}
