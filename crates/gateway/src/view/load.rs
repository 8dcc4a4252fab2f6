//! The load that an upstream reports of itself, with its age.

use std::time::{Duration, Instant};

/// The age past which a reported load says nothing: plain calls take some tens of milliseconds,
/// so by then an upstream works on other requests than those it reported.
const LOAD_KEPT: Duration = Duration::from_millis(250);

/// The load that an upstream reported in an answer, all callers' requests included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

impl UpstreamLoad {
    /// The requests per slot; above 1 some of them wait.
    #[must_use]
    pub fn per_slot(&self) -> f64 {
        let requests = self.running.saturating_add(self.waiting);
        f64::from(requests) / f64::from(self.slots.max(1))
    }
}

/// The newest load that an upstream reported to this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    newest: Option<(UpstreamLoad, Instant)>,
}

impl ReportedLoad {
    /// Records a load that was reported at a moment.
    pub fn record(&mut self, load: UpstreamLoad, reported: Instant) {
        self.newest = Some((load, reported));
    }

    /// The requests per slot that are still to be expected there: those reported, less the
    /// share that will have ended by now.
    #[must_use]
    pub fn per_slot(&self, now: Instant) -> f64 {
        let Some((load, reported)) = self.newest else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported);
        let elapsed_share = age.as_secs_f64() / LOAD_KEPT.as_secs_f64();
        load.per_slot() * (1.0 - elapsed_share).max(0.0)
    }
}
