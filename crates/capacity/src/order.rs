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
#[derive(Clone, Debug, Default, PartialEq)]
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
