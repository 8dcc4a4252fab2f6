//! Upstreams that fail if they have to reject too many requests: how many requests this host may have there.

use {
    super::GatewayState,
    crate::{
        balance::Need,
        edge::AnswerFacts,
        view::{Upstream, UpstreamRecord, Work},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Instant,
    },
    tealshore_core::{clock, ids::EngineId},
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
        let now = clock::now();
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

    /// Returns the brittle upstreams that have no slot left for a request of this host, given the work of the other hosts.
    /// Other upstreams may let requests wait.
    pub(super) fn full_brittle_upstreams(
        &self,
        ready: &[Arc<Upstream>],
        elsewhere: &HashMap<EngineId, Work>,
        need: Need<'_>,
        now: Instant,
    ) -> HashSet<EngineId> {
        let brittle = self.brittle.read();
        if brittle.is_empty() {
            return HashSet::new();
        }
        let is_brittle = |record: &UpstreamRecord| brittle.is_brittle(&record.id, record.born, now);
        let (brittle, other): (Vec<_>, Vec<_>) =
            ready.iter().partition(|it| is_brittle(&it.record));
        let places = match need {
            Need::Call { .. } => self.call_places(&brittle, !other.is_empty(), now),
            // All hosts tell their streams, so each of them may use any slot.
            Need::Prompt { .. } | Need::Copy { .. } => {
                brittle.iter().map(|it| it.record.slots).collect()
            }
        };
        let running = |it: &Upstream| {
            let elsewhere = elsewhere.get(&it.record.id).map_or(0, |work| work.running);
            it.own_work().running + elsewhere
        };
        let with_places = brittle.into_iter().zip(places);
        let full = with_places.filter(|(it, places)| running(it) >= *places);
        full.map(|(it, _)| it.record.id.clone()).collect()
    }

    /// Returns how many calls this host may have at each of these upstreams of a service. If none of the slots is this
    /// host's, and the service has no other upstream, it may have one call at each; pauses after rejections bound what
    /// that costs.
    fn call_places(&self, brittle: &[&Arc<Upstream>], has_other: bool, now: Instant) -> Vec<u32> {
        let places = brittle.iter().map(|upstream| {
            let record = &upstream.record;
            let (position, hosts) = self.peers.position_for(&record.id, now);
            host_places(record.slots, hosts, position)
        });
        let places: Vec<u32> = places.collect();
        let has_place = has_other || places.iter().any(|places| *places > 0);
        let least = u32::from(!has_place);
        places.into_iter().map(|places| places.max(least)).collect()
    }
}
