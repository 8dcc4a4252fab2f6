//! Orders for engines, and what a service allows.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    tealshore_core::ids::{HallId, ServiceId},
};

/// How an engine is paid for, and whether it may be taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EngineKind {
    /// It stays until it is no longer ordered.
    OnDemand,
    /// It costs a part of the others, and may be taken away with a short notice, together with all of
    /// its kind in its hall.
    Preemptible,
}

impl EngineKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::OnDemand, Self::Preemptible];

    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OnDemand => "on-demand",
            Self::Preemptible => "preemptible",
        }
    }
}

/// How many engines of a kind a service is to have in a hall. Absolute, so that a repeat changes
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The service.
    pub service: ServiceId,
    /// The hall.
    pub hall: HallId,
    /// The kind; each is counted on its own.
    pub kind: EngineKind,
    /// How many.
    pub engines: u32,
}

/// What a service allows of orders, as its configuration says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// The least engines that a hall holds, both kinds together.
    pub least_engines: u32,
    /// The most engines that a hall holds, both kinds together.
    pub most_engines: u32,
    /// How long a new engine takes until it serves.
    pub boot: Duration,
    /// What a preemptible engine costs, as a part of another one; none where there are none.
    pub preemptible_price: Option<f64>,
    /// What a second of an engine costs, by hall. A hall that is not listed costs 1.
    pub hall_prices: BTreeMap<HallId, f64>,
}

impl Scaling {
    /// What a second of an engine costs.
    #[must_use]
    pub fn price(&self, hall: &HallId, kind: EngineKind) -> f64 {
        let of_hall = self.hall_prices.get(hall).copied().unwrap_or(1.0);
        match kind {
            EngineKind::OnDemand => of_hall,
            EngineKind::Preemptible => of_hall * self.preemptible_price.unwrap_or(1.0),
        }
    }

    /// Whether preemptible engines are to be had, and cost less than others.
    #[must_use]
    pub fn offers_preemptible(&self) -> bool {
        self.preemptible_price.is_some_and(|price| price < 1.0)
    }
}

/// How many engines of a kind were last ordered in a hall; none where nothing was.
pub(crate) fn last_order(orders: &[EngineOrder], hall: &HallId, kind: EngineKind) -> Option<u32> {
    let mut matching = orders
        .iter()
        .filter(|order| order.hall == *hall && order.kind == kind);
    matching.next_back().map(|order| order.engines)
}
