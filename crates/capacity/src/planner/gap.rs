//! Fills the gap where fewer engines serve than the work needs.

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
    /// Engines of a hall that serve, or are on their way: ordered now or within the time of a boot.
    fn present(&self, hall: &HallId, plan: &HallPlan, boot: Duration, now: Instant) -> u32 {
        let of_kind = |kind: EngineKind| {
            let serving = plan.listed.engines(kind).serving;
            let subject = (hall.clone(), kind);
            let was_refused = self.unavailable.contains_key(&subject);
            let asked = self.asked.get(&subject).filter(|_| !was_refused);
            let coming = asked.map_or(0, |asked| asked.expected(serving, boot, now));
            // What was refused is asked for again, and counts once it is accepted.
            let ordered_now = if was_refused { 0 } else { plan.raised_to(kind) };
            serving.max(coming).max(ordered_now)
        };
        EngineKind::ALL.into_iter().map(of_kind).sum()
    }

    /// Orders more where what serves is less than the work needs, in the halls with the fewest first.
    /// Preemptible engines and others are ordered at once: whether there are some of the former is known
    /// only from the answer, and with the latter ordered a second later the gap lasts as much longer.
    /// Those on demand go again as soon as the others serve.
    pub(super) fn fill(
        &self,
        seen: &Observation<'_>,
        needed: u32,
        plans: &mut BTreeMap<HallId, HallPlan>,
        now: Instant,
    ) {
        let boot = seen.scaling.boot;
        let present: BTreeMap<HallId, u32> = plans
            .iter()
            .map(|(hall, plan)| (hall.clone(), self.present(hall, plan, boot, now)))
            .collect();
        let all: u32 = present.values().sum();
        let stand_ins: u32 = plans.values().map(HallPlan::stand_ins).sum();
        let lacking = needed.saturating_sub(all);
        for kind in EngineKind::ALL {
            let mut lacking = match kind {
                EngineKind::OnDemand => lacking,
                // As many as let those go that stand in.
                EngineKind::Preemptible if lacking + stand_ins > 0 && needed > 0 => {
                    (self.size.total().max(needed) + stand_ins).saturating_sub(all)
                }
                EngineKind::Preemptible => 0,
            };
            let mut present = present.clone();
            let is_offered = kind == EngineKind::OnDemand || seen.scaling.offers_preemptible();
            let mut halls = halls_by_price(seen.scaling, plans, kind);
            halls.retain(|hall| is_offered && self.is_to_be_had(hall, kind, now));
            while lacking > 0 {
                halls.retain(|hall| plans.get(hall).is_some_and(|plan| plan.has_room_for(kind)));
                let fewest = halls.iter().min_by_key(|hall| present.get(*hall).copied());
                let Some(hall) = fewest else {
                    break;
                };
                if let Some(plan) = plans.get_mut(hall) {
                    plan.fill_one(kind);
                }
                *present.entry(hall.clone()).or_default() += 1;
                lacking -= 1;
            }
        }
    }
}

/// The halls, those first whose engines of a kind cost least.
fn halls_by_price(
    scaling: &Scaling,
    plans: &BTreeMap<HallId, HallPlan>,
    kind: EngineKind,
) -> Vec<HallId> {
    let mut halls: Vec<HallId> = plans.keys().cloned().collect();
    halls.sort_by(|a, b| scaling.price(a, kind).total_cmp(&scaling.price(b, kind)));
    halls
}
