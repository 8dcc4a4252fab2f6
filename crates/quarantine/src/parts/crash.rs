//! The crash of an upstream under a request, with the parts of the prompt that may have caused it.

use {
    super::{PartId, RunId, RuntimeId},
    crate::crash::{MIN_CRASH_INTERVAL, MIN_RESTART_TIME, OVERLAP_TOLERANCE},
    serde::{Deserialize, Serialize},
    std::time::Instant,
    tealshore_core::ids::{EngineId, Fingerprint},
};

/// The maximum number of parts that are recorded for one crash.
pub const MAX_PARTS: usize = 32;

/// A part that may have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleCause {
    /// The part.
    pub part: PartId,
    /// Whether an answer on this part had begun shortly before the crash, as far as any host knows.
    pub began_before: bool,
}

/// The crash of an upstream that had begun to answer a request and had sent hardly any events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// The run during which the upstream crashed.
    pub run: RunId,
    /// The upstream's id.
    pub upstream: EngineId,
    /// The request.
    pub request: Fingerprint,
    /// What ran the request. Answers from another runtime are no evidence for or against a part.
    pub runtime: RuntimeId,
    /// The parts on which no answer has begun since. Parts are only ever removed, so hosts that exchange the crash in
    /// any order agree; a crash that turned out not to have happened has none.
    pub causes: Vec<PossibleCause>,
    /// When the run began.
    pub began: Instant,
    /// When the crash was detected.
    pub ended: Instant,
}

impl PartCrash {
    /// Returns whether an answer on this part may have caused the crash.
    #[must_use]
    pub fn may_be_caused_by(&self, part: PartId) -> bool {
        self.causes.iter().any(|cause| cause.part == part)
    }

    /// Returns whether both runs were on the upstream when it crashed once.
    #[must_use]
    pub fn is_same_upstream_crash(&self, other: &Self) -> bool {
        let overlap = self.began < other.ended && other.began < self.ended;
        let gap = self.ended.max(other.ended) - self.ended.min(other.ended);
        self.upstream == other.upstream && (overlap || gap < MIN_RESTART_TIME)
    }

    /// Returns whether the run began after another one had crashed its upstream, and lasted long enough to be the
    /// cause of a crash of its own. Upstreams that crash together have another cause.
    #[must_use]
    pub fn follows(&self, earlier: &Self) -> bool {
        let began_after = self.began + OVERLAP_TOLERANCE >= earlier.ended;
        let gap = self.ended.saturating_duration_since(earlier.ended);
        began_after && gap >= MIN_CRASH_INTERVAL
    }

    /// Merges what another host knows of the same crash: a part that either host has excluded is excluded. Returns
    /// whether anything changed.
    pub(super) fn merge(&mut self, other: &[PossibleCause]) -> bool {
        let count_before = self.causes.len();
        self.causes
            .retain(|cause| other.iter().any(|it| it.part == cause.part));
        let mut has_changed = self.causes.len() < count_before;
        for cause in &mut self.causes {
            let began_before = other
                .iter()
                .any(|it| it.part == cause.part && it.began_before);
            has_changed |= began_before && !cause.began_before;
            cause.began_before |= began_before;
        }
        has_changed
    }
}
