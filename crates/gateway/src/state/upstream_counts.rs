//! Counts of a service's upstreams by what keeps a request from them, for the log line of a refusal.

use {
    super::GatewayState,
    crate::balance::{Need, has_room},
    std::fmt,
    tealshore_core::clock,
    tealshore_core::ids::{EngineId, ServiceId},
};

/// The number of upstreams of a service, in total and by what keeps a request from them. One upstream may count several
/// times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpstreamCounts {
    /// Upstreams that are ready.
    ready: usize,
    /// Upstreams that the request tried already.
    tried: usize,
    /// Upstreams that are suspected to be down.
    suspected: usize,
    /// Upstreams without room for the request.
    full: usize,
    /// Upstreams that would have room if other hosts had no work there.
    full_by_peers: usize,
}

impl fmt::Display for UpstreamCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "ready={} tried={} suspected={} full={} full_by_peers={}",
            self.ready, self.tried, self.suspected, self.full, self.full_by_peers
        )
    }
}

impl GatewayState {
    /// Counts the upstreams of a service by what keeps a request from them.
    pub(crate) fn count_upstreams(
        &self,
        service: &ServiceId,
        need: Need<'_>,
        tried: &[EngineId],
    ) -> UpstreamCounts {
        let now = clock::now();
        let elsewhere = self.peers.work(now);
        let mut counts = UpstreamCounts::default();
        for upstream in self.view.upstreams.ready(service) {
            let id = &upstream.record.id;
            let mut work = upstream.own_work();
            let fits_own_work = has_room(work, upstream.record.slots, need);
            work.add(elsewhere.get(id).copied().unwrap_or_default());
            let fits = has_room(work, upstream.record.slots, need);
            counts.ready += 1;
            counts.tried += usize::from(tried.contains(id));
            counts.suspected += usize::from(upstream.is_suspected(now));
            counts.full += usize::from(!fits);
            counts.full_by_peers += usize::from(fits_own_work && !fits);
        }
        counts
    }
}
