//! Which upstream a request goes to, from all that is known of upstreams.

use {
    super::GatewayState,
    crate::{
        balance::{Candidate, Need, choose},
        rollout::{Outcome, SendKind},
        run_trace::Fingerprint,
        topology::Distance,
        view::{Upstream, UpstreamRecord, Work},
    },
    rand::RngExt,
    std::{sync::Arc, time::Instant},
    tealshore_core::ids::{EngineId, HallId, ServiceId},
    tealshore_notices::Availability,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How many limited upstreams are asked for at once where a request has nowhere else to go.
const ASKS_OF_LAST: usize = 3;

impl GatewayState {
    /// What all hosts have at an upstream.
    pub fn work_at(&self, upstream: &Upstream) -> Work {
        let elsewhere = self.peers.work(Instant::now());
        let mut work = upstream.own_work();
        work.add(
            elsewhere
                .get(&upstream.record.id)
                .copied()
                .unwrap_or_default(),
        );
        work
    }

    /// Chooses an upstream of a service.
    pub fn choose_upstream(
        &self,
        service: &ServiceId,
        need: Need<'_>,
        avoid: &[EngineId],
    ) -> Option<Arc<Upstream>> {
        let ready = self.view.upstreams.ready(service);
        let bounds = self.options.bounds.rollouts;
        if let Need::Copy { version, .. } = need {
            // A run's memory is of use to its own version only.
            let is_alike =
                |it: &Arc<Upstream>| it.record.version == *version || !bounds.needs_order;
            let alike: Vec<_> = ready.into_iter().filter(is_alike).collect();
            return self.choose_among(&alike, need, avoid);
        }
        let store_time = self.feed.store_time(Instant::now());
        let sets = self.rollouts.admitted(service, ready, bounds, store_time);
        let mut chosen = sets.iter().map(|set| self.choose_among(set, need, avoid));
        chosen.find_map(|chosen| chosen)
    }

    /// Notes that a request is sent to an upstream. It may be chosen many times before, while it waits for the
    /// retry budget.
    pub fn note_send(&self, upstream: &UpstreamRecord, send: SendKind) {
        self.rollouts.note_send(upstream, send);
        let requests = &self.metrics.version_requests;
        let labels = [upstream.service.as_str(), &upstream.version];
        requests.with_label_values(&labels).inc();
    }

    /// Notes what a send said of its upstream's version.
    pub fn note_outcome(&self, upstream: &UpstreamRecord, route: &str, outcome: Outcome) {
        let quality = self.rollouts.note_outcome(upstream, route, outcome);
        self.metrics.count_answer(upstream, quality);
    }

    /// How far a hall is from this host.
    pub fn distance_to(&self, hall: &HallId) -> Distance {
        let options = &self.options;
        options.topology.distance(&options.host.hall, hall)
    }

    /// Whether an upstream, to which a request would rather go than to any other, may get it.
    pub fn may_get(&self, upstream: &Upstream) -> bool {
        let bounds = self.options.bounds.rollouts;
        self.rollouts.may_get(&upstream.record, bounds)
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
        let now = Instant::now();
        let elsewhere = self.peers.work(now);
        let notices = self.notices.read();
        let wants_work = |record: &UpstreamRecord| {
            notices.availability(&record.id, record.born, now) == Availability::Open
        };
        let candidates = ready
            .iter()
            .filter(|upstream| wants_work(&upstream.record))
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
                    unsound: upstream.is_suspected(now) || upstream.is_failing(now),
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

    /// Takes out of the candidates for a request those whose limit leaves no permit, and asks for one where the
    /// request would rather go. A copy goes to one that names a limit only where there is no other: what would
    /// go on from it there may find no permit.
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
                candidate.unsound |= limit.is_some();
            }
            return;
        }
        let is_short = |candidate: &mut Candidate<'_>| {
            record_of(candidate.id).is_some_and(|record| self.is_short(record, now))
        };
        let mut short: Vec<Candidate<'_>> = candidates.extract_if(.., is_short).collect();
        short.retain(|candidate| self.limits.may_ask(candidate.id, now));
        let (hall, topology) = (&self.options.host.hall, &self.options.topology);
        let most_asks = if candidates.is_empty() {
            ASKS_OF_LAST
        } else {
            1
        };
        for _ in 0..most_asks {
            let Some(best) = choose(&short, need, hall, topology, avoid) else {
                return;
            };
            let best = best.id;
            let limit = record_of(best).and_then(|it| Some((it, self.limit_of(it, now)?)));
            if let Some((record, per_s)) = limit {
                self.want_permit(record, per_s, now);
            }
            short.retain(|candidate| candidate.id != best);
        }
    }
}

/// A number from 0 to 1 that is the same on all hosts for a request and an upstream.
fn affinity_draw(fingerprint: Fingerprint, upstream: &EngineId) -> f64 {
    let hash = xxh3_64_with_seed(upstream.as_bytes(), fingerprint);
    let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}
