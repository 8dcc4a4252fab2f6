//! Rechecks upstreams that seem to have ended under a request, once that begins to matter for it.

use {
    crate::{forward::UpstreamKind, state::GatewayState, view::Upstream},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{Fingerprint, RequestId},
    tealshore_quarantine::uncertain::{Evidence, Next, UncertainEnd, next},
    tokio::time::sleep,
};

/// How often such an upstream is looked at: one that starts again is back after some seconds.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// The most requests whose upstreams are looked at, at a time: some 200 probes a second at most.
const WATCHED_BOUND: usize = 64;

/// A request whose upstreams are looked at again.
struct Watched {
    request: RequestId,
    digest: Fingerprint,
    kind: UpstreamKind,
}

impl GatewayState {
    /// Takes in that an upstream seems to have ended under a run that this host carried.
    pub fn note_end(
        self: &Arc<Self>,
        request: &RequestId,
        digest: Fingerprint,
        end: UncertainEnd<Arc<Upstream>>,
        kind: UpstreamKind,
        is_certain: bool,
    ) {
        let crash = end.crash.clone();
        let counts = end.evidence == Evidence::Refused;
        if !is_certain {
            let mut uncertain = self.crashes.uncertain.lock();
            uncertain.note(digest, end, Instant::now());
        }
        if counts {
            self.note_crash(request, digest, crash);
        }
        if self.crashes.is_doubtful(digest) {
            self.watch(Watched {
                request: request.clone(),
                digest,
                kind,
            });
        }
    }

    /// Rechecks the upstreams of a request each second, until all is certain.
    fn watch(self: &Arc<Self>, watched: Watched) {
        let mut all = self.crashes.watched.lock();
        if all.len() >= WATCHED_BOUND || !all.insert(watched.digest) {
            return;
        }
        drop(all);
        let state = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(LOOK_INTERVAL).await;
                let ends = state.crashes.uncertain.lock().of(watched.digest);
                if ends.is_empty() {
                    break;
                }
                for end in ends {
                    state.recheck(&watched, end).await;
                }
            }
            state.crashes.watched.lock().remove(&watched.digest);
        });
    }

    async fn recheck(&self, watched: &Watched, end: UncertainEnd<Arc<Upstream>>) {
        let (kind, request) = (watched.kind, &watched.request);
        let found = kind.look(self, &end.upstream, request, end.crash.began);
        let found = found.await;
        let now = Instant::now();
        let age = now.saturating_duration_since(end.crash.ended);
        let most_serve = self.most_others_serve(&end.upstream, now);
        let what_follows = next(end.evidence, found, age, most_serve);
        if what_follows == Next::Wait {
            return;
        }
        log::info!(
            "quarantine: looked again request={} digest={:016x} upstream={} evidence={:?} found={found:?} \
             age_ms={} most_serve={most_serve} outcome={what_follows:?}",
            watched.request,
            watched.digest,
            end.upstream.record.id,
            end.evidence,
            age.as_millis()
        );
        self.settle(watched, end, what_follows, now);
    }

    fn settle(
        &self,
        watched: &Watched,
        end: UncertainEnd<Arc<Upstream>>,
        what_follows: Next,
        now: Instant,
    ) {
        let digest = watched.digest;
        let crash = end.crash.clone();
        self.crashes.uncertain.lock().settle(digest, &crash);
        match what_follows {
            Next::Wait | Next::Settled | Next::WasNone => {}
            Next::Counts { stays_open } => {
                if stays_open {
                    let evidence = Evidence::Refused;
                    let mut uncertain = self.crashes.uncertain.lock();
                    uncertain.note(digest, UncertainEnd { evidence, ..end }, now);
                }
                self.note_crash(&watched.request, digest, crash);
            }
            Next::TakeBack => {
                let mut log = self.crashes.log.lock();
                let is_news = log.take_back(digest, &crash, now);
                drop(log);
                if is_news {
                    self.metrics.retracted_crashes.inc();
                    self.count_quarantined(now);
                    self.peers.wake_sender();
                }
            }
        }
    }

    /// Whether at least half of the other upstreams of its service seem to answer.
    fn most_others_serve(&self, upstream: &Upstream, now: Instant) -> bool {
        let record = &upstream.record;
        let listed = self.view.upstreams.ready(&record.service);
        let others: Vec<_> = listed
            .iter()
            .filter(|it| it.record.id != record.id)
            .collect();
        let sound = others.iter().filter(|it| !it.is_suspected(now)).count();
        !others.is_empty() && sound * 2 >= others.len()
    }
}
