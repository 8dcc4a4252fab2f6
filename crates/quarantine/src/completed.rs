//! Requests that were completed recently, and therefore are not the cause of a crash.

use {
    crate::recent::RecentMoments,
    std::time::{Duration, Instant},
    tealshore_core::ids::Fingerprint,
};

/// How long a completed answer exonerates its request. A popular request is completed far more often than this,
/// and is running on almost every engine that crashes.
const EXONERATION_PERIOD: Duration = Duration::from_secs(60);
/// The maximum number of completed requests that are remembered; they take about 100 kB.
const MAX_COMPLETED: usize = 4_096;

/// The requests that were completed recently.
#[derive(Debug, Default)]
pub struct Completed(RecentMoments<Fingerprint, MAX_COMPLETED>);

impl Completed {
    /// Records that a request was completed.
    pub fn record(&mut self, request: Fingerprint, now: Instant) {
        self.0.record(request, now);
    }

    /// Returns whether a request was completed shortly before a moment, or since then.
    #[must_use]
    pub fn outweighs_crash_at(&self, request: Fingerprint, moment: Instant) -> bool {
        let answered = self.0.last(request);
        answered.is_some_and(|at| moment.saturating_duration_since(at) < EXONERATION_PERIOD)
    }
}
