//! Which upstreams a host reaches over its own network path, and which only through a tunnel of another host. The
//! decisions are pure: results of connection attempts and the time are arguments.

#![deny(clippy::disallowed_methods)]

mod doubt;
mod outage;
mod path;
mod refusals;
mod tunnel_ends;

use {
    doubt::Doubts,
    outage::Outage,
    path::{MIN_TUNNELS, Path},
    refusals::{Refusals, RefusedTarget},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId, ServiceId},
};
pub use {
    outage::OUTAGE_CHECK_INTERVAL,
    path::{CHECK_INTERVAL, DialOrder, PathChange, SERVICE_CHECK_INTERVAL},
    refusals::REFUSAL_LIFETIME,
    tunnel_ends::{TUNNEL_END_RETENTION, TunnelEnds, TunnelId},
};

/// How long a lost path is remembered without use.
pub const PATH_LIFETIME: Duration = Duration::from_secs(10);
/// Number of lost paths at which those that were not used for `PATH_LIFETIME` are removed.
const PRUNE_LEN: usize = 1_024;

/// The network paths of a host to the upstreams that it uses.
#[derive(Debug, Default)]
pub struct Paths {
    /// Upstreams whose last connections were tunnels.
    upstreams: HashMap<EngineId, Path>,
    /// Services of such upstreams. A direct connection to any upstream of a service restores its path.
    services: HashMap<ServiceId, Path>,
    doubts: Doubts,
    refusals: Refusals,
    /// Services to which no connection can be opened at the moment.
    outages: HashMap<ServiceId, Outage>,
}

impl Paths {
    /// Returns in which order to try connecting to an upstream. If that says to check the direct path, the next calls
    /// don't say so until the check interval has passed again.
    pub fn dial_order(
        &mut self,
        service: &ServiceId,
        upstream: &EngineId,
        now: Instant,
    ) -> DialOrder {
        if let Some(path) = self.upstreams.get_mut(upstream)
            && path.is_lost(now)
        {
            return path.dial_order(CHECK_INTERVAL, now);
        }
        match self.services.get_mut(service) {
            Some(path) if path.is_lost(now) => path.dial_order(SERVICE_CHECK_INTERVAL, now),
            Some(_) | None => DialOrder::DirectFirst,
        }
    }

    /// Records a direct connection to an upstream. Returns how it changed what is known of the path to the service.
    pub fn record_direct(
        &mut self,
        service: &ServiceId,
        upstream: &EngineId,
    ) -> Option<PathChange> {
        self.doubts.remove(upstream);
        self.outages.remove(service);
        self.upstreams.remove(upstream);
        let path = self.services.remove(service)?;
        (path.tunnels >= MIN_TUNNELS).then_some(PathChange::Restored)
    }

    /// Records a tunnel to an upstream to which no direct connection was opened in the meantime. Returns how it changed
    /// what is known of the path to the service.
    pub fn record_tunnel(
        &mut self,
        service: &ServiceId,
        upstream: &EngineId,
        now: Instant,
    ) -> Option<PathChange> {
        self.doubts.remove(upstream);
        self.outages.remove(service);
        self.prune(now);
        let by_upstream = self.upstreams.entry(upstream.clone());
        by_upstream
            .or_insert_with(|| Path::new(now))
            .record_tunnel(now);
        let by_service = self.services.entry(service.clone());
        let path = by_service.or_insert_with(|| Path::new(now));
        path.record_tunnel(now);
        (path.tunnels == MIN_TUNNELS).then_some(PathChange::Lost)
    }

    /// Whether this host reaches upstreams of the service only through other hosts.
    #[must_use]
    pub fn is_cut_off(&self, service: &ServiceId, now: Instant) -> bool {
        let path = self.services.get(service);
        path.is_some_and(|path| path.is_lost(now))
    }

    /// Returns the services from whose upstreams this host is cut off, sorted by name.
    #[must_use]
    pub fn cut_off_services(&self, now: Instant) -> Vec<ServiceId> {
        let lost = self.services.iter().filter(|(_, path)| path.is_lost(now));
        let mut services: Vec<ServiceId> = lost.map(|(service, _)| service.clone()).collect();
        services.sort();
        services
    }

    /// Records that an upstream can't be reached directly, which may be a fault of this host's path.
    pub fn record_unreachable(&mut self, upstream: &EngineId, now: Instant) {
        self.doubts.add(upstream, now);
    }

    /// Records that a host could not open a tunnel to an upstream of the service.
    pub fn record_refused_tunnel(&mut self, service: &ServiceId, host: &HostId, now: Instant) {
        let target = RefusedTarget::Service(service.clone());
        self.refusals.add(target, host, now);
    }

    /// Records that a host does not know an upstream, which says nothing of the other upstreams of its service.
    pub fn record_unknown_upstream(&mut self, upstream: &EngineId, host: &HostId, now: Instant) {
        let target = RefusedTarget::Upstream(upstream.clone());
        self.refusals.add(target, host, now);
    }

    /// Returns the hosts that recently could not open a tunnel to an upstream of the service, or to this one.
    #[must_use]
    pub fn hosts_without_tunnels(
        &self,
        service: &ServiceId,
        upstream: &EngineId,
        now: Instant,
    ) -> Vec<HostId> {
        self.refusals.hosts(service, upstream, now)
    }

    /// Records that no connection to an upstream could be opened, neither directly nor through another host, and that
    /// no other host reaches the service.
    pub fn record_out_of_reach(&mut self, service: &ServiceId, upstream: &EngineId, now: Instant) {
        let outage = self.outages.entry(service.clone());
        let outage = outage.or_insert_with(|| Outage::new(now));
        outage.record_failure(upstream, now);
    }

    /// Whether a request for a service with this number of upstreams should be refused at once, since most of them are
    /// out of reach. One request in each check interval should not.
    pub fn refuses(&mut self, service: &ServiceId, upstreams: usize, now: Instant) -> bool {
        let outage = self.outages.get_mut(service);
        outage.is_some_and(|outage| outage.refuses(upstreams, now))
    }

    /// Records that a host whose own path works can't reach the upstream either.
    pub fn record_confirmed_unreachable(&mut self, upstream: &EngineId) {
        self.doubts.remove(upstream);
    }

    /// Whether an upstream that seems to be down may be sound, as only this host found it unreachable.
    #[must_use]
    pub fn is_doubtful(&self, upstream: &EngineId, now: Instant) -> bool {
        self.doubts.contains(upstream, now)
    }

    fn prune(&mut self, now: Instant) {
        if self.upstreams.len() >= PRUNE_LEN {
            self.upstreams.retain(|_, path| path.is_remembered(now));
        }
    }
}
