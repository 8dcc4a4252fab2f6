//! The size of each hall: the number of engines that its work needs, without spare engines.

use {
    super::{HoldReason, Observation, Policy},
    crate::{
        fleet::HallFleet,
        order::{EngineKind, EngineOrder, last_order},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::HallId,
};

/// How long the list of engines must not have grown before it counts as complete. When a whole system
/// starts, engines and hosts start within the same second.
const LIST_STABLE_TIME: Duration = Duration::from_millis(800);
/// Fraction of the total size below which a lower need shrinks it. Between this and the size nothing changes.
const SHRINK_THRESHOLD: f64 = 0.9;

/// A period in which the work needs fewer engines than the size.
#[derive(Clone, Copy, Debug)]
struct Surplus {
    since: Instant,
    /// The highest need in this period.
    max_needed: u32,
}

/// The sizes of all halls.
#[derive(Debug, Default)]
pub(super) struct HallSizes {
    halls: BTreeMap<HallId, u32>,
    is_list_stable: bool,
    surplus: Option<Surplus>,
}

impl HallSizes {
    pub(super) fn halls(&self) -> &BTreeMap<HallId, u32> {
        &self.halls
    }

    pub(super) fn get(&self, hall: &HallId) -> u32 {
        self.halls.get(hall).copied().unwrap_or_default()
    }

    /// Returns `size` plus spare engines, such that the remaining halls still have the original total if one
    /// hall is lost.
    pub(super) fn with_spare(&self, size: u32) -> u32 {
        let halls = u32::try_from(self.halls.len()).unwrap_or(u32::MAX);
        if halls < 2 {
            return size;
        }
        size.saturating_mul(halls).div_ceil(halls - 1)
    }

    pub(super) fn total(&self) -> u32 {
        self.halls.values().sum()
    }

    /// Updates the sizes. Returns whether they are known.
    pub(super) fn update(
        &mut self,
        seen: &Observation<'_>,
        needed: Option<u32>,
        policy: &Policy,
        now: Instant,
    ) -> bool {
        self.derive_sizes(seen, policy);
        if !self.is_list_stable {
            return false;
        }
        match needed {
            Some(needed) if needed > self.total() => {
                self.surplus = None;
                // After the loss of a hall's engines, moved streams make new copies, so that memory seems
                // short for a moment.
                if seen.hold != Some(HoldReason::HallStruck) {
                    self.set_total(needed, seen);
                }
            }
            Some(needed) if seen.hold.is_none() => self.shrink(needed, seen, policy, now),
            Some(_) | None => self.surplus = None,
        }
        true
    }

    /// Derives the size of each hall from the last orders, or from the serving engines if there are none.
    fn derive_sizes(&mut self, seen: &Observation<'_>, policy: &Policy) {
        for (hall, listed) in seen.fleet {
            let is_known = self.halls.contains_key(hall);
            let orders = [seen.ordered, seen.refused].concat();
            let spares = policy.keeps_spare_hall(seen.scaling);
            let halls = if spares { seen.fleet.len() } else { 1 };
            let by_orders = size_by_orders(&orders, hall, *listed, policy.least_on_demand, halls);
            let size = match by_orders {
                Some(_) if is_known => continue,
                Some(size) => size,
                None if self.is_list_stable && is_known => continue,
                None => listed.serving(),
            };
            let bounded = size
                .max(seen.scaling.least_engines)
                .min(seen.scaling.most_engines);
            let known = self.halls.entry(hall.clone()).or_default();
            *known = bounded.max(*known);
        }
        self.is_list_stable |= !self.halls.is_empty() && seen.unchanged_for >= LIST_STABLE_TIME;
    }

    /// Shrinks the sizes to the highest need in the period that the policy requires.
    fn shrink(&mut self, needed: u32, seen: &Observation<'_>, policy: &Policy, now: Instant) {
        if f64::from(needed) > f64::from(self.total()) * SHRINK_THRESHOLD {
            self.surplus = None;
            return;
        }
        let surplus = self.surplus.get_or_insert(Surplus {
            since: now,
            max_needed: needed,
        });
        surplus.max_needed = surplus.max_needed.max(needed);
        if now.saturating_duration_since(surplus.since) < policy.shrink_after {
            return;
        }
        let needed = surplus.max_needed;
        self.surplus = None;
        self.set_total(needed, seen);
    }

    /// Distributes a total evenly over the halls, so that the loss of one hall costs the fewest engines.
    fn set_total(&mut self, total: u32, seen: &Observation<'_>) {
        let halls = u32::try_from(self.halls.len()).unwrap_or(u32::MAX).max(1);
        let is_more = total > self.total();
        let each = total.div_ceil(halls);
        for size in self.halls.values_mut() {
            let wanted = if is_more {
                each.max(*size)
            } else {
                each.min(*size)
            };
            *size = wanted
                .max(seen.scaling.least_engines)
                .min(seen.scaling.most_engines);
        }
    }
}

/// Returns the size for which the last orders of a hall were placed, or `None` if there are none. While
/// preemptible engines replace on-demand engines both are ordered, so the larger number counts. With spare
/// engines, `halls` is the number of halls that together cover the loss of one; otherwise it is 1.
fn size_by_orders(
    orders: &[EngineOrder],
    hall: &HallId,
    listed: HallFleet,
    on_demand_floor: u32,
    halls: usize,
) -> Option<u32> {
    let on_demand = last_order(orders, hall, EngineKind::OnDemand);
    let preemptible = last_order(orders, hall, EngineKind::Preemptible);
    if on_demand.is_none() && preemptible.is_none() {
        return None;
    }
    let on_demand = on_demand.unwrap_or(listed.on_demand.serving);
    let preemptible = preemptible.unwrap_or(listed.preemptible.serving);
    let held = preemptible + on_demand.min(on_demand_floor);
    let halls = u32::try_from(halls).unwrap_or(u32::MAX);
    let size = if halls < 2 {
        held
    } else {
        held.saturating_mul(halls - 1) / halls
    };
    Some(on_demand.max(size))
}
