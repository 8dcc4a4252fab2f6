//! Handles failed calls to the store: logs the cause, waits, and checks whether other hosts can
//! replace the store.

use {
    super::{Follower, PROBE_SET, StoreCallFailure, follow::Source, pause::FailedCall},
    crate::peers::SourceScope,
    std::time::{Duration, Instant},
    tealshore_core::{clock, spread::with_jitter},
};

/// How often a host that waits before its next call re-evaluates the pause and its other sources.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Follower {
    /// Logs a failure unless it has the same cause as the previous one.
    fn log_failure(&mut self, failure: &StoreCallFailure) {
        let before = self.cause.replace(failure.name());
        if before == self.cause {
            return;
        }
        let answered = match failure {
            StoreCallFailure::Stale { revision } => Some(revision),
            StoreCallFailure::Unreachable
            | StoreCallFailure::Silent
            | StoreCallFailure::Refused(_)
            | StoreCallFailure::EarlierEra
            | StoreCallFailure::NewEra => None,
        };
        log::warn!(
            "store: sync interrupted set={} cause={} before={} revision={} answered={answered:?}",
            self.set.name(),
            failure.name(),
            before.unwrap_or("-"),
            self.known_revision()
        );
    }

    /// Waits before the next call, or until another host feeds this one.
    pub(super) async fn pause_after(&mut self, failure: &StoreCallFailure) {
        self.log_failure(failure);
        self.state
            .metrics
            .store_failures
            .with_label_values(&[self.set.name(), failure.name()])
            .inc();
        if failure.is_outage() {
            self.state.feed.record_failure();
            self.unavailable_since.get_or_insert_with(clock::now);
        }
        let failures = self.failures;
        self.failures += 1;
        let started_at = clock::now();
        let jitter = with_jitter(Duration::from_secs(1) / 2).as_secs_f64();
        loop {
            // A host that becomes disconnected from the others while it waits gets a shorter pause.
            let pause = self.pause(failure, failures, clock::now());
            let until = started_at + pause.mul_f64(jitter);
            let wake_at = until.min(clock::now() + RECHECK_INTERVAL);
            self.state.feed.wait_for_update(self.set, wake_at).await;
            let now = clock::now();
            if self.has_other_source(now).await || now >= until {
                return;
            }
        }
    }

    /// The maximum pause after a failed call.
    fn pause(&self, failure: &StoreCallFailure, failures: u32, now: Instant) -> Duration {
        let peers = &self.state.peers;
        let failed = FailedCall {
            failures,
            is_outage: failure.is_outage(),
            is_probe_set: self.set == PROBE_SET,
            live_peers: peers.live_peers(now),
            hosts_before: peers.hosts_before(now),
        };
        failed.pause()
    }

    /// Whether the follower can continue without waiting: another host has the set, or the store
    /// answers again.
    async fn has_other_source(&mut self, now: Instant) -> bool {
        match self.source(now) {
            Source::Fed { .. } => true,
            Source::Behind => self.read_from_peers(SourceScope::AllHalls).await,
            Source::Store if self.known_revision() == 0 => {
                self.read_from_peers(SourceScope::AllHalls).await
            }
            Source::Store | Source::FeederSilent => self.is_store_back(),
        }
    }

    /// Whether the set used to probe an unavailable store has been answered since the failure.
    fn is_store_back(&self) -> bool {
        self.set != PROBE_SET && self.state.feed.reaches_store()
    }

    pub(super) fn record_recovery(&mut self) {
        if self.failures > 0 {
            log::info!(
                "store: calls succeeding again set={} failures={} revision={}",
                self.set.name(),
                self.failures,
                self.known_revision()
            );
            self.state.feed.notify();
        }
        self.failures = 0;
        self.cause = None;
        self.unavailable_since = None;
    }
}
