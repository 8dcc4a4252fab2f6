//! When answers last began on each part.

use {
    super::{PartId, RuntimeId},
    crate::recent::RecentMoments,
    std::time::{Duration, Instant},
};

/// How long before a crash an answer may have begun on a part for the part to be an unlikely cause.
const RECENT_BEGIN: Duration = Duration::from_secs(60);
/// The maximum number of remembered begins; they take about 300 kB.
const MAX_BEGINS: usize = 4_096;

/// When this host last saw an answer begin on each part.
#[derive(Debug, Default)]
pub(super) struct Begins(RecentMoments<(PartId, RuntimeId), MAX_BEGINS>);

impl Begins {
    /// Records that an answer began.
    pub fn record(&mut self, part: PartId, runtime: RuntimeId, now: Instant) {
        self.0.record((part, runtime), now);
    }

    /// Returns whether an answer began at this moment or later.
    pub fn is_begun_since(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let last = self.0.last((part, runtime));
        last.is_some_and(|at| at >= moment)
    }

    /// Returns whether an answer began shortly before this moment.
    pub fn is_begun_before(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let last = self.0.last((part, runtime));
        last.is_some_and(|at| moment.saturating_duration_since(at) <= RECENT_BEGIN)
    }
}
