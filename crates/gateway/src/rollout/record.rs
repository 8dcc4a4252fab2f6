//! Orders of operators, and the records of their progress.

use {
    crate::edge::{Revision, StoreTime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::{EngineVersion, ServiceId},
};

/// An operator's order to move a service to another version of its software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Version of the order's row. It identifies the order.
    pub revision: Revision,
    /// The service to move.
    pub service: ServiceId,
    /// The version to move to.
    pub target: EngineVersion,
    /// Time from the order to the end of the roll-out, whether it completes or is rolled back.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Whether both orders request the same move of the same service.
    #[must_use]
    pub fn is_equivalent_to(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}

/// Phase of a roll-out. The variants are in chronological order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The target receives a bounded share of the requests and is evaluated.
    Canary,
    /// The target receives all new requests; the old version finishes its running ones.
    Shifting,
    /// The target serves. Upstreams of the old version may be stopped at any time.
    Completed,
    /// The old version serves; the target receives no requests.
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

    /// Name used in logs and rows.
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

/// State of a roll-out, as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service that is rolled out.
    pub service: ServiceId,
    /// Version of the order's row.
    pub order: Revision,
    /// The version that served when the order was given.
    pub from: EngineVersion,
    /// The version to move to.
    pub target: EngineVersion,
    /// The current phase.
    pub phase: Phase,
    /// Start of this phase, by the store's clock.
    pub since: StoreTime,
    /// Time by which the roll-out must end, by the store's clock.
    pub deadline: StoreTime,
}

impl RolloutRecord {
    /// Whether this record is at an earlier phase of the same move than `other`, and has not
    /// ended.
    #[must_use]
    pub fn is_earlier_phase_of(&self, other: &Self) -> bool {
        self.has_same_versions_as(other) && self.phase < other.phase && !self.phase.is_over()
    }

    /// Whether both records describe a move between the same versions.
    #[must_use]
    pub fn has_same_versions_as(&self, other: &Self) -> bool {
        self.from == other.from && self.target == other.target
    }

    /// The version that serves requests other than canaries.
    #[must_use]
    pub fn serving(&self) -> &EngineVersion {
        match self.phase {
            Phase::Canary | Phase::RolledBack => &self.from,
            Phase::Shifting | Phase::Completed => &self.target,
        }
    }

    /// The record that determines permits where a version under trial gets at most its share until
    /// the roll-out is completed: `Shifting` counts as `Canary`, also if a later order arrives in
    /// that phase. An order for the serving version tries nothing and is not affected.
    #[must_use]
    pub fn with_bounded_shift(&self) -> Self {
        let is_tried = self.phase == Phase::Shifting && self.from != self.target;
        let phase = if is_tried { Phase::Canary } else { self.phase };
        self.in_phase(phase, self.since)
    }

    /// The same roll-out in a phase that begins at `now`.
    #[must_use]
    pub fn in_phase(&self, phase: Phase, now: StoreTime) -> Self {
        Self {
            phase,
            since: now,
            ..self.clone()
        }
    }
}
