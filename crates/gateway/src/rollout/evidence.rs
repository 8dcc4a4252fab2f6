//! What answers told of two versions of a service.

use {
    crate::edge::Revision,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
    tealshore_core::ids::EngineId,
};

/// How often a version was answered, and how often badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, and sends that were lost.
    pub answers: u32,
    /// Those that failed, or came much later than usual.
    pub bad: u32,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// What answers told since an order, on one host or on several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version of the order's row.
    pub order: Revision,
    /// Of the version that serves.
    pub from: Tally,
    /// Of the version that is tried, by upstream: one bad upstream does not make a bad version.
    pub target: Vec<(EngineId, Tally)>,
}

impl Evidence {
    /// No evidence yet.
    #[must_use]
    pub fn none(order: Revision) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Adds an answer of the version that is tried.
    pub fn note_target(&mut self, upstream: &EngineId, one: Tally) {
        match self.target.iter_mut().find(|(id, _)| id == upstream) {
            Some((_, tally)) => tally.add(one),
            None => self.target.push((upstream.clone(), one)),
        }
    }

    /// Adds what another host saw of the same roll-out; that of another order is left out.
    pub fn add(&mut self, other: &Self) {
        if self.order != other.order {
            return;
        }
        self.from.add(other.from);
        for (upstream, tally) in &other.target {
            self.note_target(upstream, *tally);
        }
    }

    /// The sum over the upstreams of the version that is tried.
    #[must_use]
    pub fn target_sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in &self.target {
            sum.add(*tally);
        }
        sum
    }
}

/// How a send ended, as far as it speaks for or against a version. Sends that reached nobody or
/// were turned away are none: engines of all versions die and are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered well, or a stream's first event came, after so long.
    Answered(Duration),
    /// The answer was a failure, or did not come whole.
    Failed,
}

/// An answer that takes this many times as long as usual counts as bad.
const SLOW_FACTOR: f64 = 2.5;
/// What one answer weighs in the average.
const WEIGHT: f64 = 0.05;
/// Answers that must have come before one counts as slow.
const LEAST_ANSWERS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct TypicalTime {
    answers: u32,
    mean_ms: f64,
}

/// How long answers usually take, by route, learned from the version that serves.
#[derive(Clone, Debug, Default)]
pub struct TypicalTimes(HashMap<String, TypicalTime>);

impl TypicalTimes {
    /// Learns from an answer.
    pub fn observe(&mut self, route: &str, took: Duration) {
        let typical = self.0.entry(route.to_owned()).or_default();
        let weight = if typical.answers == 0 { 1.0 } else { WEIGHT };
        typical.mean_ms += (took.as_secs_f64() * 1_000.0 - typical.mean_ms) * weight;
        typical.answers = typical.answers.saturating_add(1);
    }

    /// Whether an answer took much longer than usual on its route; not before enough were seen.
    #[must_use]
    pub fn is_slow(&self, route: &str, took: Duration) -> bool {
        self.0.get(route).is_some_and(|typical| {
            let bound_ms = typical.mean_ms * SLOW_FACTOR;
            typical.answers >= LEAST_ANSWERS && took.as_secs_f64() * 1_000.0 > bound_ms
        })
    }
}
