//! Upstreams that this host found to be down, failing or replaced.

use {
    super::GatewayState,
    crate::view::Upstream,
    tealshore_core::clock,
    tealshore_core::protection::{Protection, enabled},
};

impl GatewayState {
    /// Marks an upstream as suspected. Reports it to the peers, unless this host's own path may be at fault.
    pub fn suspect(&self, upstream: &Upstream, cause: &str) {
        let now = clock::now();
        let record = &upstream.record;
        let is_doubtful = self.paths.lock().is_doubtful(&record.id, now)
            && enabled(Protection::ConfirmedSuspicion);
        let is_change = if is_doubtful {
            upstream.suspect_unreported(now)
        } else {
            upstream.suspect(now)
        };
        if is_change {
            log::warn!(
                "upstream: suspected upstream={} address={} hall={} cause={cause} is_reported={}",
                record.id,
                record.address,
                record.hall,
                !is_doubtful
            );
            self.peers.wake_sender();
        }
    }

    /// Records that an upstream failed a request that another one then served, and reports it to the peers. A request
    /// that fails everywhere is no evidence against an upstream.
    pub fn record_failing(&self, upstream: &Upstream, succeeded_at: &Upstream) {
        log::warn!(
            "upstream: failed a request that another served upstream={} hall={} did_it={}",
            upstream.record.id,
            upstream.record.hall,
            succeeded_at.record.id
        );
        upstream.record_failing(clock::now());
        self.metrics
            .failing_upstreams
            .with_label_values(&["here"])
            .inc();
        self.peers.wake_sender();
    }

    /// Records that another incarnation has taken over an upstream's address, and reports it to the peers.
    pub fn record_replaced(&self, upstream: &Upstream) {
        let now = clock::now();
        if !upstream.is_suspected(now) {
            log::warn!(
                "upstream: replaced by another incarnation upstream={}",
                upstream.record.id
            );
        }
        upstream.mark_replaced(now);
        self.peers.wake_sender();
    }
}
