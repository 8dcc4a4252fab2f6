//! What the end of one send says of its upstream's version.

use std::{collections::HashMap, time::Duration};

/// How a send ended, as far as it speaks for or against a version. Sends that reached nobody or
/// were turned away are none: engines of all versions die and are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered well, or a stream's first event came, after so long.
    Answered(Duration),
    /// The answer was a failure of the upstream's own, or not what was asked for.
    Failed,
    /// The answer did not come, or did not come whole: the upstream may have ended, or its link.
    Lost,
}

/// What an outcome says of a version, held against what is usual on the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// It speaks for the version.
    Good,
    /// The answer took much longer than usual.
    Slow,
    /// The answer was a failure.
    Failed,
    /// The answer was lost.
    Lost,
}

impl Quality {
    /// Whether it speaks against the version.
    #[must_use]
    pub fn is_bad(self) -> bool {
        match self {
            Self::Good => false,
            Self::Slow | Self::Failed | Self::Lost => true,
        }
    }

    /// Its name in metrics.
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

/// An answer that takes this many times as long as usual counts as bad.
const SLOW_FACTOR: f64 = 2.5;
/// An answer that comes by less than this later than usual is not slow: hosts and upstreams that
/// wait for a processor delay answers of a few ms so, of all versions, but not at the same moments.
const MIN_SLOWDOWN_MS: f64 = 20.0;
/// What one answer weighs in the average.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Answers that must have come before one counts as slow.
const MIN_ANSWERS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct RouteLatency {
    answers: u32,
    mean_ms: f64,
}

/// How long answers usually take, by route, learned from the version that serves.
#[derive(Clone, Debug, Default)]
pub struct TypicalLatencies(HashMap<String, RouteLatency>);

impl TypicalLatencies {
    /// Learns from an answer.
    pub fn observe(&mut self, route: &str, took: Duration) {
        let typical = self.0.entry(route.to_owned()).or_default();
        let weight = if typical.answers == 0 {
            1.0
        } else {
            AVERAGE_WEIGHT
        };
        typical.mean_ms += (took.as_secs_f64() * 1_000.0 - typical.mean_ms) * weight;
        typical.answers = typical.answers.saturating_add(1);
    }

    /// Whether an answer took much longer than usual on its route; not before enough were seen.
    #[must_use]
    pub fn is_slow(&self, route: &str, took: Duration) -> bool {
        self.0.get(route).is_some_and(|typical| {
            let bound_ms = (typical.mean_ms * SLOW_FACTOR).max(typical.mean_ms + MIN_SLOWDOWN_MS);
            typical.answers >= MIN_ANSWERS && took.as_secs_f64() * 1_000.0 > bound_ms
        })
    }
}
