//! The engines of a service that are listed.

use {crate::order::EngineKind, std::collections::BTreeMap, tealshore_core::ids::HallId};

/// Engines of one kind in one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedEngines {
    /// Those that take new work.
    pub serving: u32,
    /// Those that finish what they have.
    pub leaving: u32,
}

/// The engines of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallFleet {
    /// Those that stay.
    pub on_demand: ListedEngines,
    /// Those that may be taken away.
    pub preemptible: ListedEngines,
}

impl HallFleet {
    /// The engines of a kind.
    #[must_use]
    pub fn engines(&self, kind: EngineKind) -> ListedEngines {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Preemptible => self.preemptible,
        }
    }

    /// The engines of a kind, to be changed.
    pub fn engines_mut(&mut self, kind: EngineKind) -> &mut ListedEngines {
        match kind {
            EngineKind::OnDemand => &mut self.on_demand,
            EngineKind::Preemptible => &mut self.preemptible,
        }
    }

    /// Engines of both kinds that take new work.
    #[must_use]
    pub fn serving(&self) -> u32 {
        self.on_demand.serving + self.preemptible.serving
    }
}

/// The engines of all halls in which the service runs.
pub type Fleet = BTreeMap<HallId, HallFleet>;
