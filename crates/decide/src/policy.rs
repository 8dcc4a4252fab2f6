//! A customer's choice between resume latency and extra resource use.

use std::time::Duration;

/// Whether a request may reach a model more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again on another engine.
    Allowed,
    /// It reaches a model at most once.
    Forbidden,
}

/// What a customer weighs more when an engine falls silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResumePolicy {
    /// Prepare the next engine on suspicion; pay with extra work.
    Latency,
    /// Be surer of a death before anything is spent.
    #[default]
    Thrift,
}

/// The bounds of silence that go with a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceBounds {
    /// Silence shorter than this never raises suspicion.
    pub floor: Duration,
    /// Silence longer than this always does.
    pub ceiling: Duration,
    /// The bound before the first token of an attempt, when queueing and prefill are silent.
    pub first_token: Duration,
    /// Silence after which a suspected engine counts as dead.
    pub dead_after: Duration,
}

impl ResumePolicy {
    /// The bounds of silence; `docs/design/resume.md` tells where they come from.
    #[must_use]
    pub fn bounds(self) -> SilenceBounds {
        match self {
            Self::Latency => SilenceBounds {
                floor: Duration::from_millis(150),
                ceiling: Duration::from_millis(500),
                first_token: Duration::from_secs(2),
                dead_after: Duration::from_secs(2),
            },
            Self::Thrift => SilenceBounds {
                floor: Duration::from_millis(1_000),
                ceiling: Duration::from_millis(2_500),
                first_token: Duration::from_secs(10),
                dead_after: Duration::from_millis(2_500),
            },
        }
    }
}
