//! Decides which orders for the engines of one service change.
//!
//! Each hall has a size, the number of engines that its work needs. It starts as the number of engines that
//! run before the first order, grows immediately when the work needs more, and shrinks only after less work
//! has been measured for long enough. Within the size, preemptible engines replace on-demand engines above
//! a floor: they are ordered first, and on-demand engines are released only as far as preemptible ones
//! serve. Beyond the size, a service may keep spare preemptible engines that cover the loss of one hall.

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

/// How long an unavailable kind of engine is not ordered again in a hall. Each refusal costs a call, and
/// such shortages last for some seconds.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Additional time after the boot until ordered engines must be listed; then they are ordered again.
/// Engines report about once per second.
const BOOT_GRACE: Duration = Duration::from_secs(2);
/// How long work is measured before the measured need replaces the size. Requests are counted over a window
/// of ten seconds, and datagrams report them within two. A need taken earlier would be too low, and gaps
/// would not be filled while work starts.
const MEASUREMENT_TIME: Duration = Duration::from_secs(12);
/// Fraction of the engines serving at the time of an order below which engines count as lost since. A few
/// engines come and go all the time.
const LOSS_THRESHOLD: f64 = 0.8;
/// Time between releases of engines while streams run, so that moved streams find free capacity.
const RELEASE_INTERVAL: Duration = Duration::from_secs(1);
/// Divisor of a hall's size that gives the most engines of a kind released at once while streams run.
const RELEASE_DIVISOR: u32 = 8;

/// The operator's settings for orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Minimum number of on-demand engines in each hall.
    pub least_on_demand: u32,
    /// Fraction by which bursts may exceed the measured work.
    pub reserve: f64,
    /// How the number of engines is computed from the load.
    pub sizing: Sizing,
    /// Whether spare preemptible engines are kept that cover the loss of one hall.
    pub spare_hall: bool,
    /// How long the need must stay below the size before the size shrinks.
    pub shrink_after: Duration,
}

impl Policy {
    /// Returns whether a service keeps spare engines. They must be cheaper than on-demand engines.
    fn keeps_spare_hall(&self, scaling: &Scaling) -> bool {
        self.spare_hall && scaling.offers_preemptible()
    }
}

/// The reason why no engine may be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// A roll-out is open, and its versions must be compared under the same load.
    RolloutOpen,
    /// Too few hosts report, so the known work is incomplete.
    FewHostsHeard,
    /// Most engines of a hall seem to have failed.
    HallStruck,
}

/// The input of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The limits and prices of the service.
    pub scaling: &'a Scaling,
    /// The listed engines.
    pub fleet: &'a Fleet,
    /// The last accepted orders.
    pub ordered: &'a [EngineOrder],
    /// Orders that the platform refused because no such engines were available; they changed nothing.
    pub refused: &'a [EngineOrder],
    /// The work of the service.
    pub demand: Demand,
    /// Time since an engine was last added to the list.
    pub unchanged_for: Duration,
    /// Why no engine may be released; `None` if engines may be released.
    pub hold: Option<HoldReason>,
}

/// The reason for an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The size of the hall changed, or preemptible engines are to replace on-demand engines.
    Size,
    /// On-demand engines are released because other engines have replaced them.
    Replaced,
    /// Ordered engines are missing, so the order is repeated.
    Missing,
    /// Too few engines serve for the work.
    Short,
    /// Preemptible engines are released because they are more than the hall needs.
    NotNeeded,
}

impl Reason {
    /// Returns the name used in logs.
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
    /// The reason for it.
    pub reason: Reason,
}

/// The last order for a pool of engines.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    placed_at: Instant,
    engines: u32,
    /// Number of engines that served when the order was placed.
    serving: u32,
}

impl PlacedOrder {
    /// Returns the number of engines that are still expected from the order. This is 0 if engines were lost
    /// since: engines ordered before a hall's engines were reclaimed do not arrive.
    fn pending_engines(&self, serving: u32, boot: Duration, now: Instant) -> u32 {
        let has_losses = f64::from(serving) < f64::from(self.serving) * LOSS_THRESHOLD;
        if has_losses || !is_booting(self, boot, now) {
            return 0;
        }
        self.engines
    }
}

/// The engines of one kind in one hall.
type EnginePool = (HallId, EngineKind);

/// Plans the engines of one service for the holder of the duty. The state is not stored: a successor starts
/// anew from the last orders.
#[derive(Debug, Default)]
pub struct Planner {
    sizes: HallSizes,
    placed: BTreeMap<EnginePool, PlacedOrder>,
    unavailable_until: BTreeMap<EnginePool, Instant>,
    last_release: Option<Instant>,
    /// When work was first measured.
    work_since: Option<Instant>,
}

impl Planner {
    /// Returns the size of each hall.
    #[must_use]
    pub fn sizes(&self) -> &BTreeMap<HallId, u32> {
        self.sizes.halls()
    }

    /// Returns the orders that change or must be repeated.
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
        // Without measured work there is no gap to fill.
        let needed = needed.map_or(0, |needed| self.min_engines(needed, keeps_spare_hall, now));
        let mut plans = self.hall_plans(seen, policy, now);
        let needed = needed.min(plans.values().map(HallPlan::max_needed).sum());
        // Releases engines first, so that a full hall has space for their replacements.
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

    /// Returns the minimum number of engines: the total size, until the work has been measured for long
    /// enough. It includes spare engines, since after the loss of one hall the next one may be lost as well.
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

    /// Releases engines that have been replaced or are no longer needed.
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
            // On-demand engines that replaced engines of another hall, which has new ones now or gets none.
            for plan in plans.values_mut() {
                remaining -= plan.release_on_demand(remaining.saturating_sub(size), divisor);
            }
        }
        // Substitutes are released before preemptible engines, though only some at a time, so all
        // remaining ones are counted here.
        let substitutes: u32 = plans.values().map(HallPlan::substitutes).sum();
        for plan in plans.values_mut() {
            let excess = remaining.saturating_sub(target_size + substitutes);
            remaining -= plan.release_preemptible(excess, divisor);
        }
        if remaining < serving {
            self.last_release = Some(now);
        }
    }

    /// Returns the orders that differ from the last ones, and repeats orders whose engines are missing.
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

    /// Returns whether missing engines have had enough time to arrive. For an order of an earlier holder, the
    /// time starts when this one first finds its engines missing.
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
