//! What an operator orders, and how far it is.

use {
    crate::edge::{Revision, StoreTime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::{EngineVersion, ServiceId},
};

/// An operator's order to move a service to another version of its software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version of its row, which tells it from any other order.
    pub revision: Revision,
    /// The service.
    pub service: ServiceId,
    /// The version that is to serve.
    pub target: EngineVersion,
    /// The time from the order to the end of the roll-out, either way.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Whether another order asks the same of the same service.
    #[must_use]
    pub fn is_equivalent_to(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}

/// How far a roll-out is. The order of the variants is the order in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The target gets a bounded share of the requests, to be judged by.
    Canary,
    /// The target gets all new requests; the version before it finishes what it has.
    Shifting,
    /// The target serves. Upstreams of the version before it may be stopped at any moment.
    Completed,
    /// The version from before the order serves, and the target gets nothing.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_over(self) -> bool {
        match self {
            Self::Canary | Self::Shifting => false,
            Self::Completed | Self::RolledBack => true,
        }
    }

    /// Its name in logs and rows.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Shifting => "shifting",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// A roll-out as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceId,
    /// The version of the order's row.
    pub order: Revision,
    /// The version that served when the order came.
    pub from: EngineVersion,
    /// The version that is to serve.
    pub target: EngineVersion,
    /// How far it is.
    pub phase: Phase,
    /// When this phase began, by the store's clock.
    pub since: StoreTime,
    /// When it has to be over, by the store's clock.
    pub deadline: StoreTime,
}

impl RolloutRecord {
    /// Whether it tells of an earlier phase of the same move than another record, and of no end.
    #[must_use]
    pub fn is_earlier_phase_of(&self, other: &Self) -> bool {
        self.has_same_versions_as(other) && self.phase < other.phase && !self.phase.is_over()
    }

    /// Whether another record tells of a move between the same versions.
    #[must_use]
    pub fn has_same_versions_as(&self, other: &Self) -> bool {
        self.from == other.from && self.target == other.target
    }

    /// The version that serves requests that are no canaries.
    #[must_use]
    pub fn serving(&self) -> &EngineVersion {
        match self.phase {
            Phase::Canary | Phase::RolledBack => &self.from,
            Phase::Shifting | Phase::Completed => &self.target,
        }
    }

    /// What it lets get requests where a version gets its share at most until it is completed: as
    /// long as it is shifted to it is still tried, also for an order that comes then. An order for
    /// the version that serves tries nothing.
    #[must_use]
    pub fn with_bounded_shift(&self) -> Self {
        let is_tried = self.phase == Phase::Shifting && self.from != self.target;
        let phase = if is_tried { Phase::Canary } else { self.phase };
        self.in_phase(phase, self.since)
    }

    /// The same roll-out in another phase that begins now.
    #[must_use]
    pub fn in_phase(&self, phase: Phase, now: StoreTime) -> Self {
        Self {
            phase,
            since: now,
            ..self.clone()
        }
    }
}
