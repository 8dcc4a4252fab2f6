//! This host's local view of the deployment: the versioned configuration with its age, and the upstreams.

mod active;
mod configuration;
mod freshness;
mod in_force;
mod listing;
mod source;
mod upstream;
mod upstreams;

use {
    crate::edge::Revision,
    parking_lot::RwLock,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::ConfigVersion,
};
pub use {
    configuration::{Configuration, Customer, Engines, Limits, Route, RouteKind, Service, Target},
    freshness::Freshness,
    in_force::{Applied, InForce, RowOrigin},
    source::{ViewFacts, ViewSource},
    upstream::{Condition, Upstream, UpstreamRecord, UpstreamState, Work},
    upstreams::{MISSING_ROW_GRACE, UpstreamChanges, Upstreams, are_in_use},
};

/// This host's local copy of the configuration and of the upstreams.
#[derive(Default)]
pub struct View {
    configuration: RwLock<InForce>,
    freshness: RwLock<Freshness>,
    source: RwLock<Arc<ViewSource>>,
    /// The upstreams and their state.
    pub upstreams: Upstreams,
}

impl View {
    /// The configuration in force; `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().configuration().cloned()
    }

    /// The version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        let in_force = self.configuration.read();
        in_force.configuration().map_or(0, |known| known.version)
    }

    /// The revision of the row of the configuration in force; 0 before the first one.
    pub fn configuration_revision(&self) -> Revision {
        self.configuration.read().revision()
    }

    /// Applies a configuration that was read, with the revision of its row, unless a newer one is in force.
    pub fn apply(
        &self,
        new: Configuration,
        revision: Revision,
        origin: RowOrigin,
        is_in_restore_grace: bool,
    ) -> Applied {
        let mut in_force = self.configuration.write();
        in_force.apply(new, revision, origin, is_in_restore_grace)
    }

    /// Whether the store has a change, written since its restore, that is not in force yet.
    pub fn has_unconfirmed_change(&self) -> bool {
        self.configuration.read().has_unconfirmed_change()
    }

    /// Records that the configuration in force was the newest one at `moment`.
    pub fn confirm(&self, moment: Instant) {
        self.freshness.write().confirm(moment);
    }

    /// From whose answer the age counts.
    pub fn source(&self) -> Arc<ViewSource> {
        self.source.read().clone()
    }

    /// Records from whose answer the age counts. Returns the previous source if it was another one.
    pub fn set_source(&self, source: &ViewSource) -> Option<Arc<ViewSource>> {
        let mut known = self.source.write();
        if **known == *source {
            return None;
        }
        Some(std::mem::replace(&mut known, Arc::new(source.clone())))
    }

    /// The time since the configuration in force was last known to be the newest; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.read().age(now)
    }
}
