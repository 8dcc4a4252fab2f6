//! What a follower does while the store gives it nothing: it logs the cause, waits, and looks whether
//! other hosts make up for the store.

use {
    super::{CallFailure, Follower, TRIED_SET, follow::Source, pause::FailedCall},
    crate::peers::Reach,
    std::time::{Duration, Instant},
    tealshore_core::spread::with_jitter,
};

/// How often a host that waits to call the store again looks whom it still hears.
const PAUSE_INTERVAL: Duration = Duration::from_millis(500);

impl Follower {
    /// Logs a failure unless the one before it had the same cause.
    fn log_failure(&mut self, failure: &CallFailure) {
        let before = self.cause.replace(failure.name());
        if before == self.cause {
            return;
        }
        let answered = match failure {
            CallFailure::Stale { revision } => Some(revision),
            CallFailure::Unreachable
            | CallFailure::Silent
            | CallFailure::Refused(_)
            | CallFailure::EarlierEra
            | CallFailure::NewEra => None,
        };
        log::warn!(
            "store: lost set={} cause={} before={} revision={} answered={answered:?}",
            self.set.name(),
            failure.name(),
            before.unwrap_or("-"),
            self.newest()
        );
    }

    /// Waits before the next call, unless another host feeds this one meanwhile.
    pub(super) async fn pause_after(&mut self, failure: &CallFailure) {
        self.log_failure(failure);
        self.state
            .metrics
            .store_failures
            .with_label_values(&[self.set.name(), failure.name()])
            .inc();
        if failure.shows_loss() {
            self.state.feed.note_failure();
            self.lost_at.get_or_insert_with(Instant::now);
        }
        let failures = self.failures;
        self.failures += 1;
        let began = Instant::now();
        let drawn_part = with_jitter(Duration::from_secs(1) / 2).as_secs_f64();
        loop {
            // A host that is cut off from the others stops hearing them meanwhile, and waits less.
            let pause = self.pause(failure, failures, Instant::now());
            let until = began + pause.mul_f64(drawn_part);
            let wake_at = until.min(Instant::now() + PAUSE_INTERVAL);
            self.state.feed.wait_for_update(self.set, wake_at).await;
            let now = Instant::now();
            if self.is_helped(now).await || now >= until {
                return;
            }
        }
    }

    /// The longest time until the next call after one that failed.
    fn pause(&self, failure: &CallFailure, failures: u32, now: Instant) -> Duration {
        let peers = &self.state.peers;
        let failed = FailedCall {
            failures,
            shows_loss: failure.shows_loss(),
            is_tried_set: self.set == TRIED_SET,
            hosts_heard: peers.hosts_heard(now),
            hosts_before: peers.hosts_before(now),
        };
        failed.pause()
    }

    /// Whether other hosts make up for the store.
    async fn is_helped(&mut self, now: Instant) -> bool {
        match self.source(now) {
            Source::Fed { .. } => true,
            Source::Behind => self.learn_from_peers(Reach::Everywhere).await,
            Source::Store if self.newest() == 0 => self.learn_from_peers(Reach::Everywhere).await,
            Source::Store | Source::Late => self.is_store_back(),
        }
    }

    /// Whether the one set by which hosts try a store that is away was answered since the failure.
    fn is_store_back(&self) -> bool {
        self.set != TRIED_SET && self.state.feed.reaches_store()
    }

    pub(super) fn note_regained(&mut self) {
        if self.failures > 0 {
            log::info!(
                "store: regained set={} failures={} revision={}",
                self.set.name(),
                self.failures,
                self.newest()
            );
            self.state.feed.notify();
        }
        self.failures = 0;
        self.cause = None;
        self.lost_at = None;
    }
}
