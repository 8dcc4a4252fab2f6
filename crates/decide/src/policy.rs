//! A customer's trade-off between resume latency and extra resource use.

use std::time::Duration;

/// Whether a request may reach a model more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run again on another engine.
    Allowed,
    /// The request reaches a model at most once.
    Forbidden,
}

/// What the customer prefers when an engine falls silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResumePolicy {
    /// Start a standby on another engine as soon as the engine is suspected, at the cost of extra
    /// work.
    Latency,
    /// Tolerate longer silence, and start no other attempt before the silent one is given up.
    #[default]
    Thrift,
}

/// The silence timeouts of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceBounds {
    /// An engine is never suspected after a shorter silence than this.
    pub floor: Duration,
    /// An engine is always suspected after a longer silence than this.
    pub ceiling: Duration,
    /// The timeout for the first token of an attempt, since an engine sends nothing during queueing
    /// and prefill.
    pub first_token: Duration,
    /// Silence after which a suspected engine counts as dead.
    pub dead_after: Duration,
}

impl ResumePolicy {
    /// Returns the silence timeouts; `docs/design/resume.md` explains their values.
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
