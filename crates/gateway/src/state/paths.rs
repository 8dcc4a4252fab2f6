//! What this host knows of its network paths to upstreams.

use {
    super::GatewayState,
    crate::{peers::TunnelHost, view::UpstreamRecord},
    std::time::Instant,
    tealshore_core::{
        answer::{ErrorKind, Failure},
        clock,
        ids::{HostId, ServiceId},
        protection::{Protection, enabled},
    },
    tealshore_paths::PathChange,
};

impl GatewayState {
    /// Records a direct connection to an upstream.
    pub fn record_direct_connection(&self, upstream: &UpstreamRecord) {
        let change = self
            .paths
            .lock()
            .record_direct(&upstream.service, &upstream.id);
        self.report_path_change(change, upstream, "-");
    }

    /// Records a connection to an upstream that passes through another host.
    pub fn record_tunnel(&self, upstream: &UpstreamRecord, through: &HostId) {
        self.metrics.count_tunnel("used", "opened");
        let now = clock::now();
        let change = self
            .paths
            .lock()
            .record_tunnel(&upstream.service, &upstream.id, now);
        self.report_path_change(change, upstream, through);
    }

    /// Returns up to `count` hosts to ask for a tunnel to an upstream: none that recently could not open one.
    pub fn tunnel_hosts(
        &self,
        upstream: &UpstreamRecord,
        count: usize,
        now: Instant,
    ) -> Vec<TunnelHost> {
        if !enabled(Protection::Tunnels) {
            return Vec::new();
        }
        let excluded =
            self.paths
                .lock()
                .hosts_without_tunnels(&upstream.service, &upstream.id, now);
        self.peers.tunnel_hosts(upstream, &excluded, count, now)
    }

    /// Records that no connection to an upstream could be opened. The service is out of reach only if no host is left
    /// to ask. If a host that reaches the service confirmed the failure, the fault is the upstream's alone.
    pub fn record_dial_failure(&self, upstream: &UpstreamRecord) {
        let now = clock::now();
        let is_host_left = !self.tunnel_hosts(upstream, 1, now).is_empty();
        let mut paths = self.paths.lock();
        if !is_host_left && paths.is_doubtful(&upstream.id, now) {
            paths.record_out_of_reach(&upstream.service, &upstream.id, now);
        }
    }

    /// Checks that this host reaches a service, as far as is known: directly or through another host.
    ///
    /// # Errors
    /// Most upstreams of the service are out of reach.
    pub fn check_in_reach(&self, service: &ServiceId) -> Result<(), Failure> {
        let upstreams = self.view.upstreams.ready(service).len();
        let refuses = self.paths.lock().refuses(service, upstreams, clock::now());
        if !refuses {
            return Ok(());
        }
        let detail = "neither this host nor another one reaches an upstream of the service";
        Err(Failure::new(ErrorKind::UpstreamsOutOfReach, detail))
    }

    /// The services from whose upstreams this host is cut off, to report them to its peers; `None` if this host offers
    /// no tunnels.
    pub fn cut_off_services(&self, now: Instant) -> Option<Vec<ServiceId>> {
        self.options.peers.tunnel_address?;
        Some(self.paths.lock().cut_off_services(now))
    }

    fn report_path_change(
        &self,
        change: Option<PathChange>,
        upstream: &UpstreamRecord,
        through: &str,
    ) {
        let (service, id) = (&upstream.service, &upstream.id);
        match change {
            None => return,
            Some(PathChange::Lost) => {
                log::warn!("path: lost to service={service} upstream={id} through={through}");
            }
            Some(PathChange::Restored) => {
                log::info!("path: restored to service={service} upstream={id}");
            }
        }
        self.peers.wake_sender();
    }
}
