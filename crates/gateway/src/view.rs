//! What this host believes about the outside: one versioned view with an age.

mod active;
mod configuration;
mod freshness;
mod listing;
mod upstream;
mod upstreams;

pub use {
    configuration::{Configuration, Customer, Engines, Limits, Route, RouteKind, Service, Target},
    freshness::Freshness,
    upstream::{Condition, Upstream, UpstreamRecord, UpstreamState, Work},
    upstreams::{UpstreamChanges, Upstreams, are_in_use},
};
use {
    parking_lot::RwLock,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::ConfigVersion,
        protection::{Protection, enabled},
    },
};

/// What this host believes about the outside.
#[derive(Default)]
pub struct View {
    configuration: RwLock<Option<Arc<Configuration>>>,
    freshness: RwLock<Freshness>,
    /// The upstreams.
    pub upstreams: Upstreams,
}

impl View {
    /// The configuration in force; none before the first.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        let configuration = self.configuration.read();
        configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Puts a configuration in force unless it is older than what is; whether it did.
    pub fn apply(&self, new: Configuration) -> bool {
        let mut current = self.configuration.write();
        if current
            .as_ref()
            .is_some_and(|known| new.version <= known.version)
            && enabled(Protection::MonotonicVersion)
        {
            return false;
        }
        *current = Some(Arc::new(new));
        true
    }

    /// Notes that the configuration in force was the newest one at `moment`.
    pub fn confirm(&self, moment: Instant) {
        self.freshness.write().confirm(moment);
    }

    /// How long ago the configuration in force was known to be the newest; none if never.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freshness.read().age(now)
    }
}
