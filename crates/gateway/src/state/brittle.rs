//! Upstreams that fail if they have to reject too many requests: how many requests this host may have there.

use {
    super::GatewayState,
    crate::{
        balance::Need,
        edge::AnswerFacts,
        view::{Upstream, UpstreamRecord, Work},
    },
    std::{sync::Arc, time::Instant},
    tealshore_notices::host_places,
};

impl GatewayState {
    /// Records whether an upstream is brittle, by its answer to a request that was sent at `sent`. If it is, and it
    /// rejected the request, this host pauses sending there.
    pub(super) fn record_brittleness(
        &self,
        record: &UpstreamRecord,
        facts: &AnswerFacts,
        request: &str,
        sent: Instant,
    ) {
        let now = Instant::now();
        let (id, born) = (&record.id, record.born);
        let announced = facts.brittleness;
        let is_change = self.brittle.write().record(id, born, announced, sent, now);
        if is_change {
            self.count_notice("brittle");
            log::info!(
                "upstream: brittleness changed request={request} upstream={id} announced={announced:?}"
            );
        }
        if facts.rejected {
            self.pause_after_rejection(record, request, now);
        }
    }

    fn pause_after_rejection(&self, record: &UpstreamRecord, request: &str, now: Instant) {
        let (id, born) = (&record.id, record.born);
        let senders = self.peers.max_known_hosts();
        let pause = self
            .brittle
            .read()
            .pause_after_rejection(id, born, senders, now);
        let Some(pause) = pause else {
            return;
        };
        self.notices.write().record_rest(id, born, pause, now);
        log::info!(
            "upstream: paused after a rejection request={request} upstream={id} pause_ms={}",
            pause.as_millis()
        );
    }

    /// Whether a brittle upstream has a slot left for a request of this host, given the work of the other hosts there.
    /// Always true for other upstreams, which may let requests wait.
    pub(super) fn has_free_slot(
        &self,
        upstream: &Upstream,
        elsewhere: Work,
        need: Need<'_>,
        min_places: u32,
        now: Instant,
    ) -> bool {
        let record = &upstream.record;
        if !self.is_brittle(record, now) {
            return true;
        }
        let own = upstream.own_work().running;
        match need {
            Need::Call { .. } => own < self.places_at(record, now).max(min_places),
            Need::Prompt { .. } | Need::Copy { .. } => own + elsewhere.running < record.slots,
        }
    }

    /// The minimum number of calls that this host may have at a brittle upstream: one if there are more hosts than slots
    /// at all of these upstreams, and none of the slots is this host's. Pauses after rejections bound what that costs.
    pub(super) fn min_call_places(&self, ready: &[Arc<Upstream>], now: Instant) -> u32 {
        let is_open = |upstream: &Arc<Upstream>| {
            let record = &upstream.record;
            !self.is_brittle(record, now) || self.places_at(record, now) > 0
        };
        u32::from(!self.brittle.read().is_empty() && !ready.iter().any(is_open))
    }

    fn is_brittle(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let brittle = self.brittle.read();
        brittle.is_brittle(&record.id, record.born, now)
    }

    fn places_at(&self, record: &UpstreamRecord, now: Instant) -> u32 {
        let (position, hosts) = self.peers.position_for(&record.id, now);
        host_places(record.slots, hosts, position)
    }
}
