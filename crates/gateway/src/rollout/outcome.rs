//! Outcomes of sends, and what they say about the version of an upstream.

use std::{collections::HashMap, time::Duration};

/// Outcome of a send, as evidence for or against a version. A send that reached no upstream or was
/// turned away has none: upstreams of every version die or fill up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A good answer, or the first event of a stream, after this time.
    Answered(Duration),
    /// A failure of the upstream itself, or an answer that does not match the request.
    Failed,
    /// No answer, or an incomplete one: the upstream or its connection may be gone.
    Lost,
}

/// Outcome of a send, compared with the typical latency of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// Counts for the version.
    Good,
    /// The answer took much longer than usual.
    Slow,
    /// The answer was a failure.
    Failed,
    /// The answer was lost or incomplete.
    Lost,
}

impl Quality {
    /// Whether it counts against the version.
    #[must_use]
    pub fn is_bad(self) -> bool {
        match self {
            Self::Good => false,
            Self::Slow | Self::Failed | Self::Lost => true,
        }
    }

    /// Name used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Multiple of the typical latency above which an answer counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// An answer must be later than usual by at least this time to count as slow. Hosts and upstreams
/// that wait for a processor delay even answers of a few ms by up to this time, for all versions,
/// but not at the same moments.
const MIN_SLOWDOWN_MS: f64 = 20.0;
/// Weight of one answer in the moving average of a route's latency.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Answers needed on a route before one counts as slow.
const MIN_ANSWERS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct RouteLatency {
    answers: u32,
    mean_ms: f64,
}

/// Typical latency by route, learned from answers of versions that are not under trial.
#[derive(Clone, Debug, Default)]
pub struct TypicalLatencies(HashMap<String, RouteLatency>);

impl TypicalLatencies {
    /// Updates the typical latency of a route with an answer.
    pub fn observe(&mut self, route: &str, took: Duration) {
        let typical = self.0.entry(route.to_owned()).or_default();
        let weight = if typical.answers == 0 {
            1.0
        } else {
            SAMPLE_WEIGHT
        };
        typical.mean_ms += (took.as_secs_f64() * 1_000.0 - typical.mean_ms) * weight;
        typical.answers = typical.answers.saturating_add(1);
    }

    /// Whether an answer took much longer than usual on its route. False until `MIN_ANSWERS` answers
    /// were observed.
    #[must_use]
    pub fn is_slow(&self, route: &str, took: Duration) -> bool {
        self.0.get(route).is_some_and(|typical| {
            let bound_ms = (typical.mean_ms * SLOW_FACTOR).max(typical.mean_ms + MIN_SLOWDOWN_MS);
            typical.answers >= MIN_ANSWERS && took.as_secs_f64() * 1_000.0 > bound_ms
        })
    }
}
