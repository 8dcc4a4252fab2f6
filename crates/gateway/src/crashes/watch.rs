//! Rechecks upstreams that seem to have ended under a request, once the result matters for that request.

use {
    crate::{
        forward::{LostRequest, UpstreamKind},
        state::GatewayState,
        view::Upstream,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::clock,
    tealshore_quarantine::uncertain::{CrashEvidence, NextStep, UncertainCrash, next_step},
    tokio::time::sleep,
};

/// Interval between checks of such an upstream: one that restarts is back after some seconds.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of requests whose upstreams are rechecked at the same time, which limits this to about 200
/// probes per second.
const MAX_WATCHED_REQUESTS: usize = 64;

/// A request whose upstreams are being rechecked.
struct WatchedRequest {
    lost: LostRequest,
    kind: UpstreamKind,
}

impl GatewayState {
    /// Records that an upstream seems to have ended while it ran a request that this host had sent.
    pub fn record_end(
        self: &Arc<Self>,
        lost: LostRequest,
        end: UncertainCrash<Arc<Upstream>>,
        kind: UpstreamKind,
        is_certain: bool,
    ) {
        let fingerprint = lost.fingerprint;
        let crash = end.crash.clone();
        let counts_at_once = end.evidence == CrashEvidence::Refused;
        if !is_certain {
            let mut uncertain = self.crashes.uncertain.lock();
            uncertain.record(fingerprint, end, clock::now());
        }
        if counts_at_once {
            self.record_crash(&lost, crash);
        }
        let is_near = self.crashes.is_near(fingerprint, &lost.shared_parts);
        if is_near {
            self.watch(WatchedRequest { lost, kind });
        }
    }

    /// Rechecks the upstreams of a request every second until none of them is uncertain.
    fn watch(self: &Arc<Self>, watched: WatchedRequest) {
        let fingerprint = watched.lost.fingerprint;
        let mut watched_requests = self.crashes.watched.lock();
        if watched_requests.len() >= MAX_WATCHED_REQUESTS || !watched_requests.insert(fingerprint) {
            return;
        }
        drop(watched_requests);
        let state = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(RECHECK_INTERVAL).await;
                let ends = state.crashes.uncertain.lock().of(fingerprint);
                if ends.is_empty() {
                    break;
                }
                for end in ends {
                    state.recheck(&watched, end).await;
                }
            }
            state.crashes.watched.lock().remove(&fingerprint);
        });
    }

    async fn recheck(&self, watched: &WatchedRequest, end: UncertainCrash<Arc<Upstream>>) {
        let (kind, request) = (watched.kind, &watched.lost.request);
        let found = kind.find_state(self, &end.upstream, request, end.crash.began);
        let found = found.await;
        let now = clock::now();
        let age = now.saturating_duration_since(end.crash.ended);
        let most_serve = self.most_others_serve(&end.upstream, now);
        let outcome = next_step(end.evidence, found, age, most_serve);
        if outcome == NextStep::Wait {
            return;
        }
        log::info!(
            "quarantine: upstream rechecked request={} digest={:016x} upstream={} evidence={:?} found={found:?} \
             age_ms={} most_serve={most_serve} outcome={outcome:?}",
            watched.lost.request,
            watched.lost.fingerprint,
            end.upstream.record.id,
            end.evidence,
            age.as_millis()
        );
        self.apply_outcome(watched, end, outcome, now);
    }

    fn apply_outcome(
        &self,
        watched: &WatchedRequest,
        end: UncertainCrash<Arc<Upstream>>,
        outcome: NextStep,
        now: Instant,
    ) {
        let fingerprint = watched.lost.fingerprint;
        let crash = end.crash.clone();
        self.crashes.uncertain.lock().settle(fingerprint, &crash);
        match outcome {
            NextStep::Wait | NextStep::Settled | NextStep::WasNone => {}
            NextStep::Counts { stays_open } => {
                if stays_open {
                    let evidence = CrashEvidence::Refused;
                    let mut uncertain = self.crashes.uncertain.lock();
                    uncertain.record(fingerprint, UncertainCrash { evidence, ..end }, now);
                }
                self.record_crash(&watched.lost, crash);
            }
            NextStep::TakeBack => {
                let mut log = self.crashes.log.lock();
                let has_cleared = log.retract(fingerprint, &crash, now);
                drop(log);
                let was_counted = self.retract_part_crash(&crash, now);
                if has_cleared || was_counted {
                    self.metrics.retracted_crashes.inc();
                    self.count_quarantined(now);
                    self.peers.wake_sender();
                }
            }
        }
    }

    /// Whether at least half of the other upstreams of the same service seem to respond.
    fn most_others_serve(&self, upstream: &Upstream, now: Instant) -> bool {
        let record = &upstream.record;
        let listed = self.view.upstreams.ready(&record.service);
        let others: Vec<_> = listed
            .iter()
            .filter(|it| it.record.id != record.id)
            .collect();
        let healthy = others.iter().filter(|it| !it.is_suspected(now)).count();
        !others.is_empty() && healthy * 2 >= others.len()
    }
}
