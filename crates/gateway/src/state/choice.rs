//! Selects the upstream for a request from the candidates of its service.

use {
    super::GatewayState,
    crate::{
        balance::{Candidate, Need, choose},
        rollout::{Outcome, SendKind},
        topology::Distance,
        view::{Upstream, UpstreamRecord, Work},
    },
    rand::RngExt,
    std::{sync::Arc, time::Instant},
    tealshore_core::clock,
    tealshore_core::ids::{EngineId, Fingerprint, HallId, ServiceId},
    tealshore_notices::Availability,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The maximum number of rate-limited upstreams for which permits are requested at once, if no other upstream can take
/// the request.
const MAX_PERMIT_REQUESTS: usize = 3;

impl GatewayState {
    /// The work that all hosts have at an upstream.
    pub fn work_at(&self, upstream: &Upstream) -> Work {
        let elsewhere = self.peers.work(clock::now());
        let mut work = upstream.own_work();
        work.add(
            elsewhere
                .get(&upstream.record.id)
                .copied()
                .unwrap_or_default(),
        );
        work
    }

    /// Chooses an upstream of a service, other than those in `avoid`.
    pub fn choose_upstream(
        &self,
        service: &ServiceId,
        need: Need<'_>,
        avoid: &[EngineId],
    ) -> Option<Arc<Upstream>> {
        let ready = self.view.upstreams.ready(service);
        let bounds = self.options.bounds.rollouts;
        if let Need::Copy { version, .. } = need {
            // The memory of a run can only be used by an engine of the same version.
            let has_same_version =
                |it: &Arc<Upstream>| it.record.version == *version || !bounds.needs_order;
            let same_version: Vec<_> = ready.into_iter().filter(has_same_version).collect();
            return self.choose_among(&same_version, need, avoid);
        }
        let store_time = self.feed.store_time(clock::now());
        let sets = self
            .rollouts
            .eligible_upstreams(service, ready, bounds, store_time);
        let mut chosen = sets.iter().map(|set| self.choose_among(set, need, avoid));
        chosen.find_map(|chosen| chosen)
    }

    /// Records that a request is sent to an upstream. This is separate from the choice, which may be made many times
    /// while the request waits for the retry budget.
    pub fn record_send(&self, upstream: &UpstreamRecord, send: SendKind) {
        self.rollouts.record_send(upstream, send);
        let requests = &self.metrics.version_requests;
        let labels = [upstream.service.as_str(), &upstream.version];
        requests.with_label_values(&labels).inc();
    }

    /// Records the outcome of a send as evidence about the upstream's version.
    pub fn record_outcome(&self, upstream: &UpstreamRecord, route: &str, outcome: Outcome) {
        let quality = self.rollouts.record_outcome(upstream, route, outcome);
        self.metrics.count_answer(upstream, quality);
    }

    /// The distance from this host to a hall.
    pub fn distance_to(&self, hall: &HallId) -> Distance {
        let options = &self.options;
        options.topology.distance(&options.host.hall, hall)
    }

    fn choose_among(
        &self,
        ready: &[Arc<Upstream>],
        need: Need<'_>,
        avoid: &[EngineId],
    ) -> Option<Arc<Upstream>> {
        let affinity = match need {
            Need::Prompt { fingerprint, .. } => Some(fingerprint),
            Need::Call { .. } | Need::Copy { .. } => None,
        };
        let now = clock::now();
        let elsewhere = self.peers.work(now);
        let notices = self.notices.read();
        let accepts_work = |record: &UpstreamRecord| {
            notices.availability(&record.id, record.born, now) == Availability::Open
        };
        let full = self.full_brittle_upstreams(ready, &elsewhere, need, now);
        let candidates = ready
            .iter()
            .filter(|upstream| accepts_work(&upstream.record))
            .filter(|upstream| !full.contains(&upstream.record.id))
            .map(|upstream| {
                let id = &upstream.record.id;
                let mut work = upstream.own_work();
                work.add(elsewhere.get(id).copied().unwrap_or_default());
                Candidate {
                    id,
                    hall: &upstream.record.hall,
                    kind: upstream.record.kind,
                    work,
                    slots: upstream.record.slots,
                    failure_score: upstream.failure_score(),
                    degraded: upstream.is_suspected(now) || upstream.is_failing(now),
                    draw: match affinity {
                        Some(fingerprint) => affinity_draw(fingerprint, id),
                        None => rand::rng().random::<f64>(),
                    },
                }
            });
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        drop(notices);
        self.exclude_limited(&mut candidates, ready, need, avoid, now);
        let (hall, topology) = (&self.options.host.hall, &self.options.topology);
        let chosen = choose(&candidates, need, hall, topology, avoid)?;
        ready
            .iter()
            .find(|upstream| upstream.record.id == chosen.id)
            .cloned()
    }

    /// Removes the candidates whose rate limit leaves no permit, and requests permits for the best of them. For a copy,
    /// candidates with a rate limit are only marked as degraded, so that they are chosen only if there is no other: a
    /// stream that resumes from a copy there may find no permit.
    fn exclude_limited(
        &self,
        candidates: &mut Vec<Candidate<'_>>,
        ready: &[Arc<Upstream>],
        need: Need<'_>,
        avoid: &[EngineId],
        now: Instant,
    ) {
        if self.limits.is_empty() {
            return;
        }
        let record_of = |id: &str| {
            let found = ready.iter().find(|upstream| upstream.record.id == *id);
            found.map(|upstream| &upstream.record)
        };
        if let Need::Copy { .. } = need {
            for candidate in candidates {
                let limit = record_of(candidate.id).and_then(|it| self.limit_of(it, now));
                candidate.degraded |= limit.is_some();
            }
            return;
        }
        let lacks_permit = |candidate: &mut Candidate<'_>| {
            record_of(candidate.id).is_some_and(|record| self.lacks_permit(record, now))
        };
        let mut short: Vec<Candidate<'_>> = candidates.extract_if(.., lacks_permit).collect();
        short.retain(|candidate| self.limits.may_ask(candidate.id, now));
        let (hall, topology) = (&self.options.host.hall, &self.options.topology);
        let max_requests = if candidates.is_empty() {
            MAX_PERMIT_REQUESTS
        } else {
            1
        };
        for _ in 0..max_requests {
            let Some(best) = choose(&short, need, hall, topology, avoid) else {
                return;
            };
            let best = best.id;
            let limit = record_of(best).and_then(|it| Some((it, self.limit_of(it, now)?)));
            if let Some((record, per_s)) = limit {
                self.request_permit(record, per_s, now);
            }
            short.retain(|candidate| candidate.id != best);
        }
    }
}

/// A number from 0 to 1, derived from the request and the upstream so that it is the same on all hosts.
fn affinity_draw(fingerprint: Fingerprint, upstream: &EngineId) -> f64 {
    let hash = xxh3_64_with_seed(upstream.as_bytes(), fingerprint);
    let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}
