//! Orders additional engines if fewer serve than the work needs.

use {
    super::{HallPlan, Observation, Planner},
    crate::order::{EngineKind, Scaling},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::HallId,
};

impl Planner {
    /// Returns the number of engines of a hall that serve or are expected because they were ordered now or
    /// within the boot time.
    fn expected_engines(
        &self,
        hall: &HallId,
        plan: &HallPlan,
        boot: Duration,
        now: Instant,
    ) -> u32 {
        let of_kind = |kind: EngineKind| {
            let serving = plan.listed.engines(kind).serving;
            let pool = (hall.clone(), kind);
            let was_refused = self.unavailable_until.contains_key(&pool);
            let placed = self.placed.get(&pool).filter(|_| !was_refused);
            let pending = placed.map_or(0, |placed| placed.pending_engines(serving, boot, now));
            // An order that repeats a refused one counts only after it is accepted.
            let ordered_now = if was_refused {
                0
            } else {
                plan.raised_target(kind)
            };
            serving.max(pending).max(ordered_now)
        };
        EngineKind::ALL.into_iter().map(of_kind).sum()
    }

    /// Orders additional engines if too few serve, starting with the halls that have the fewest.
    /// Preemptible and on-demand engines are ordered together. Whether preemptible ones are available is known
    /// only from the answer, and waiting for it would make the gap last a second longer. On-demand engines are
    /// released again as soon as preemptible ones serve.
    pub(super) fn fill_gap(
        &self,
        seen: &Observation<'_>,
        needed: u32,
        plans: &mut BTreeMap<HallId, HallPlan>,
        now: Instant,
    ) {
        let boot = seen.scaling.boot;
        let expected_engines: BTreeMap<HallId, u32> = plans
            .iter()
            .map(|(hall, plan)| (hall.clone(), self.expected_engines(hall, plan, boot, now)))
            .collect();
        let all: u32 = expected_engines.values().sum();
        let substitutes: u32 = plans.values().map(HallPlan::substitutes).sum();
        let missing = needed.saturating_sub(all);
        for kind in EngineKind::ALL {
            let mut missing = match kind {
                EngineKind::OnDemand => missing,
                // Enough to replace the substitutes as well.
                EngineKind::Preemptible if missing + substitutes > 0 && needed > 0 => {
                    (self.sizes.total().max(needed) + substitutes).saturating_sub(all)
                }
                EngineKind::Preemptible => 0,
            };
            let mut expected_engines = expected_engines.clone();
            let is_offered = kind == EngineKind::OnDemand || seen.scaling.offers_preemptible();
            let mut halls = halls_by_price(seen.scaling, plans, kind);
            halls.retain(|hall| is_offered && self.is_available(hall, kind, now));
            while missing > 0 {
                halls.retain(|hall| plans.get(hall).is_some_and(|plan| plan.can_add(kind)));
                let fewest = halls
                    .iter()
                    .min_by_key(|hall| expected_engines.get(*hall).copied());
                let Some(hall) = fewest else {
                    break;
                };
                if let Some(plan) = plans.get_mut(hall) {
                    plan.add_one(kind);
                }
                *expected_engines.entry(hall.clone()).or_default() += 1;
                missing -= 1;
            }
        }
    }
}

/// Returns the halls by ascending price of engines of a kind.
fn halls_by_price(
    scaling: &Scaling,
    plans: &BTreeMap<HallId, HallPlan>,
    kind: EngineKind,
) -> Vec<HallId> {
    let mut halls: Vec<HallId> = plans.keys().cloned().collect();
    halls.sort_by(|a, b| scaling.price(a, kind).total_cmp(&scaling.price(b, kind)));
    halls
}
