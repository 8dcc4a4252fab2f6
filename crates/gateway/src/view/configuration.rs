//! The versioned configuration: routes, services, customers and limits.

use {
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
    tealshore_capacity::Scaling,
    tealshore_core::ids::{ConfigVersion, CustomerId, ServiceId},
};

/// One version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// The version, which increases with each change.
    pub version: ConfigVersion,
    routes: HashMap<String, Vec<Route>>,
    /// The services, by name.
    pub services: HashMap<ServiceId, Service>,
    /// The customers, by API key. A customer may have no key.
    pub customers: HashMap<String, Customer>,
    /// Limits on requests.
    pub limits: Limits,
    /// Whether there are customers, so that requests need the key of one. Snapshots carry it in a field of their own, as
    /// earlier builds read the others.
    #[serde(skip)]
    pub requires_keys: bool,
}

/// Whether requests of a route may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Calls that may be executed more than once.
    Safe,
    /// Calls that must be executed at most once.
    Unsafe,
    /// Streams of events.
    Stream {
        /// Whether a stream may be resumed at another upstream after its last event.
        resumable: bool,
    },
}

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the service.
    pub service: ServiceId,
    /// Its share of the traffic, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Maps requests, by host and path prefix, to services, with the limits that apply to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host name that requests must carry.
    pub host: String,
    /// The prefix that request paths must have.
    pub path_prefix: String,
    /// Whether requests may be sent again.
    pub kind: RouteKind,
    /// The maximum time for a request.
    pub timeout: Duration,
    /// The latency objective for a response or, of a stream, for its first event.
    pub objective: Duration,
    /// The longest pause between two events of a stream that still meets the objective.
    pub pause_objective: Duration,
    /// The maximum number of upstreams at which one request may run.
    pub max_attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// The services among which the traffic is split.
    pub targets: Vec<Target>,
}

/// What the configuration says about one service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health check.
    pub health_path: String,
    /// The properties of its engines; `None` if they serve no model.
    pub engines: Option<Engines>,
    /// The bounds for ordering engines; `None` if none may be ordered.
    pub scaling: Option<Scaling>,
}

/// Properties that all model engines of a service share.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Engines {
    /// The number of tokens that fit into one engine's memory.
    pub memory_tokens: u64,
    /// Whether the memory of a run can be copied to another engine while it runs.
    pub copies: bool,
}

/// The owner of an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerId,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
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
    /// Whether a request has to be authenticated. One that carries a key has it checked also if none is needed: the key
    /// may have been taken away together with its customer.
    #[must_use]
    pub fn must_authenticate(&self, key: Option<&String>) -> bool {
        self.requires_keys || key.is_some()
    }

    /// Replaces all routes.
    pub fn set_routes(&mut self, routes: Vec<Route>) {
        self.routes.clear();
        for route in routes {
            self.routes
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for host_routes in self.routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
    }

    /// Finds the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The number of routes.
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

    /// Chooses one of the services at random, in proportion to their weights; `None` if all weights are 0.
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
