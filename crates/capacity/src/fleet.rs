//! The listed engines of a service.

use {crate::order::EngineKind, std::collections::BTreeMap, tealshore_core::ids::HallId};

/// The number of engines of one kind in one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedEngines {
    /// Engines that accept new work.
    pub serving: u32,
    /// Engines that only finish their current work.
    pub leaving: u32,
}

/// The engines of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallFleet {
    /// On-demand engines.
    pub on_demand: ListedEngines,
    /// Preemptible engines.
    pub preemptible: ListedEngines,
}

impl HallFleet {
    /// Returns the engines of a kind.
    #[must_use]
    pub fn engines(&self, kind: EngineKind) -> ListedEngines {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Preemptible => self.preemptible,
        }
    }

    /// Returns the engines of a kind for modification.
    pub fn engines_mut(&mut self, kind: EngineKind) -> &mut ListedEngines {
        match kind {
            EngineKind::OnDemand => &mut self.on_demand,
            EngineKind::Preemptible => &mut self.preemptible,
        }
    }

    /// Returns the number of engines of both kinds that accept new work.
    #[must_use]
    pub fn serving(&self) -> u32 {
        self.on_demand.serving + self.preemptible.serving
    }
}

/// The engines of all halls in which the service runs.
pub type Fleet = BTreeMap<HallId, HallFleet>;
