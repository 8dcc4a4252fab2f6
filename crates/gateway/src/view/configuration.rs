//! The configuration: routes, services, customers and limits, with its version.

use {
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
    tealshore_capacity::Scaling,
    tealshore_core::ids::{ConfigVersion, CustomerId, ServiceId},
};

/// A configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; it only rises.
    pub version: ConfigVersion,
    routes: HashMap<String, Vec<Route>>,
    /// The services by name.
    pub services: HashMap<ServiceId, Service>,
    /// The customers by their keys; without any, requests need no key.
    pub customers: HashMap<String, Customer>,
    /// What a caller may send.
    pub limits: Limits,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Calls that may run more than once.
    Safe,
    /// Calls that run at most once.
    Unsafe,
    /// Streams of events.
    Stream {
        /// They may go on elsewhere after the last event.
        resumable: bool,
    },
}

/// One of the services that share a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share, against the sum of all shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What a path must begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is held.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is worth most.
    pub objective: Duration,
    /// The longest pause between events that keeps a stream in time.
    pub pause_objective: Duration,
    /// The most upstreams that one request may run at.
    pub max_attempts: u32,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// The services that share its traffic.
    pub targets: Vec<Target>,
}

/// A service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Service {
    /// The path of its health check.
    pub health_path: String,
    /// What is known of its engines, where they serve a model.
    pub engines: Option<Engines>,
    /// What may be ordered of its engines; none where nothing may.
    pub scaling: Option<Scaling>,
}

/// What all model engines of a service have in common.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Engines {
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// Whether a run's memory can be copied to another engine while it runs.
    pub copies: bool,
}

/// The holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: CustomerId,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
        }
    }
}

impl Configuration {
    /// Replaces the routes.
    pub fn set_routes(&mut self, routes: Vec<Route>) {
        self.routes.clear();
        for route in routes {
            self.routes
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for of_host in self.routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
    }

    /// The route of a host with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// How many routes there are.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Whether a request may run at more than one upstream.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Stream { resumable: true } => true,
            RouteKind::Unsafe | RouteKind::Stream { resumable: false } => false,
        }
    }

    /// Chooses one of the services by their weights.
    #[must_use]
    pub fn choose_service(&self) -> Option<&ServiceId> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut drawn = rand::rng().random_range(0..total);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if drawn < weight {
                return Some(&target.service);
            }
            drawn -= weight;
        }
        None
    }
}
