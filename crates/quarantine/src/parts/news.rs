//! Crashes with their possible causes as hosts exchange and store them. Times are sent as ages, because each host has
//! its own clock.

use {
    super::{
        RunId, RuntimeId,
        crash::{MAX_PARTS, PartCrash, PossibleCause},
    },
    crate::news::{ago, to_millis},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, Fingerprint},
};

/// A crash as it is sent and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashReport {
    /// The run during which the upstream crashed.
    pub run: RunId,
    /// The upstream's id.
    pub upstream: EngineId,
    /// The request.
    pub request: Fingerprint,
    /// What ran the request.
    pub runtime: RuntimeId,
    /// The parts that may have caused the crash; none if it turned out not to have happened.
    pub causes: Vec<PossibleCause>,
    /// How long the run lasted, in milliseconds.
    pub ran_ms: u32,
    /// How long ago the upstream crashed, in milliseconds.
    pub age_ms: u32,
}

impl PartCrashReport {
    pub(super) fn of(crash: &PartCrash, now: Instant) -> Self {
        Self {
            run: crash.run,
            upstream: crash.upstream.clone(),
            request: crash.request,
            runtime: crash.runtime,
            causes: crash.causes.clone(),
            ran_ms: to_millis(crash.ended.saturating_duration_since(crash.began)),
            age_ms: to_millis(now.saturating_duration_since(crash.ended)),
        }
    }

    pub(super) fn at(&self, now: Instant) -> PartCrash {
        let ended = ago(now, self.age_ms);
        PartCrash {
            run: self.run,
            upstream: self.upstream.clone(),
            request: self.request,
            runtime: self.runtime,
            causes: self.causes.iter().copied().take(MAX_PARTS).collect(),
            began: ago(ended, self.ran_ms),
            ended,
        }
    }

    /// Returns the report with its age increased.
    #[must_use]
    pub fn aged(mut self, age: Duration) -> Self {
        self.age_ms = self.age_ms.saturating_add(to_millis(age));
        self
    }
}
