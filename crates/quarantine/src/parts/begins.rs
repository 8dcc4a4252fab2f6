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

/// The maximum number of remembered begins whatever their parts.
const MAX_BEGINS_OF_RUNTIMES: usize = 256;

/// When this host last saw an answer begin on each part, and at each runtime.
#[derive(Debug, Default)]
pub(super) struct Begins {
    by_part: RecentMoments<(PartId, RuntimeId), MAX_BEGINS>,
    by_runtime: RecentMoments<RuntimeId, MAX_BEGINS_OF_RUNTIMES>,
}

impl Begins {
    /// Records that an answer on these parts began.
    pub fn record(&mut self, parts: &[PartId], runtime: RuntimeId, now: Instant) {
        for part in parts {
            self.by_part.record((*part, runtime), now);
        }
        self.by_runtime.record(runtime, now);
    }

    /// Returns whether any answer began at this moment or later.
    pub fn is_any_begun_since(&self, runtime: RuntimeId, moment: Instant) -> bool {
        let last = self.by_runtime.last(runtime);
        last.is_some_and(|at| at >= moment)
    }

    /// Returns whether an answer began at this moment or later.
    pub fn is_begun_since(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let last = self.by_part.last((part, runtime));
        last.is_some_and(|at| at >= moment)
    }

    /// Returns whether an answer began shortly before this moment.
    pub fn is_begun_before(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let last = self.by_part.last((part, runtime));
        last.is_some_and(|at| moment.saturating_duration_since(at) <= RECENT_BEGIN)
    }
}
