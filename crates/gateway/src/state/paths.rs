//! What this host knows of its network paths to upstreams.

use {
    super::GatewayState,
    crate::view::UpstreamRecord,
    std::time::Instant,
    tealshore_core::ids::{HostId, ServiceId},
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
        let now = Instant::now();
        let change = self
            .paths
            .lock()
            .record_tunnel(&upstream.service, &upstream.id, now);
        self.report_path_change(change, upstream, through);
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
