//! Orders for engines, and the limits and prices that a service sets for them.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    tealshore_core::ids::{HallId, ServiceId},
};

/// How an engine is paid for, and whether the platform may reclaim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EngineKind {
    /// It runs until it is no longer ordered.
    OnDemand,
    /// It costs less than an on-demand engine, and may be reclaimed at short notice, together with all
    /// preemptible engines of its hall.
    Preemptible,
}

impl EngineKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::OnDemand, Self::Preemptible];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OnDemand => "on-demand",
            Self::Preemptible => "preemptible",
        }
    }
}

/// The number of engines of a kind that a service should have in a hall. The number is absolute, so that a
/// repeated order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The service.
    pub service: ServiceId,
    /// The hall.
    pub hall: HallId,
    /// The kind of engine. Each kind is ordered separately.
    pub kind: EngineKind,
    /// The number of engines.
    pub engines: u32,
}

/// The limits and prices for orders in the configuration of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of engines of both kinds in a hall.
    pub least_engines: u32,
    /// Maximum number of engines of both kinds in a hall.
    pub most_engines: u32,
    /// Time from the order of an engine until it serves.
    pub boot: Duration,
    /// Price of a preemptible engine relative to an on-demand one; `None` if there are none.
    pub preemptible_price: Option<f64>,
    /// Price of an engine per second, by hall; 1 for a hall that is not listed.
    pub hall_prices: BTreeMap<HallId, f64>,
}

impl Scaling {
    /// Returns the price of an engine per second.
    #[must_use]
    pub fn price(&self, hall: &HallId, kind: EngineKind) -> f64 {
        let of_hall = self.hall_prices.get(hall).copied().unwrap_or(1.0);
        match kind {
            EngineKind::OnDemand => of_hall,
            EngineKind::Preemptible => of_hall * self.preemptible_price.unwrap_or(1.0),
        }
    }

    /// Returns whether preemptible engines are offered and cost less than on-demand ones.
    #[must_use]
    pub fn offers_preemptible(&self) -> bool {
        self.preemptible_price.is_some_and(|price| price < 1.0)
    }
}

/// Returns the number of engines of a kind last ordered in a hall, or `None` if there was no order.
pub(crate) fn last_order(orders: &[EngineOrder], hall: &HallId, kind: EngineKind) -> Option<u32> {
    let mut matching = orders
        .iter()
        .filter(|order| order.hall == *hall && order.kind == kind);
    matching.next_back().map(|order| order.engines)
}
