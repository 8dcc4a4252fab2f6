//! How long a request waits for room at an upstream, and for the retry budget, before it is refused.

use {
    crate::state::Closed,
    std::time::Duration,
    tealshore_core::answer::{ErrorKind, Failure},
};

/// A request waits for one part in this many of its objective. What comes to nothing is refused early,
/// so that its caller may come back or go elsewhere while there is time; a place that is free within
/// this is worth the wait.
const OBJECTIVE_PART: u32 = 8;

/// A stream that lost its engine waits at least so long for the retry budget: what others leave over
/// is shared anew once a second at the latest, and its caller would rather have the rest late than not
/// at all.
const BUDGET_PATIENCE: Duration = Duration::from_secs(2);

/// How long a request with this objective waits for room.
#[must_use]
pub fn patience(objective: Duration) -> Duration {
    objective / OBJECTIVE_PART
}

/// How long a stream with this objective waits for the retry budget.
#[must_use]
pub fn budget_patience(objective: Duration) -> Duration {
    patience(objective).max(BUDGET_PATIENCE)
}

/// The refusal of a request whose upstreams are all closed. Its caller is told to come back when the first is
/// open, and not before.
#[must_use]
pub fn all_closed(first: Closed) -> Failure {
    match first {
        Closed::Resting(left) => all_rest(left),
        Closed::Limited(left) => all_limited(left),
    }
}

/// The refusal of a request whose upstreams have no permit left, by the limits that they name. The next permit
/// is not for this caller alone, so that it is told the time of the kind of refusal at least.
#[must_use]
pub fn all_limited(next_permit: Duration) -> Failure {
    let kind = ErrorKind::UpstreamsLimited;
    let usual = kind.answer().retry_after.unwrap_or_default();
    let detail = "the upstreams of the service take no more requests, by the limits that they name";
    Failure::new(kind, detail).with_retry_after(next_permit.max(usual))
}

fn all_rest(first_back: Duration) -> Failure {
    let detail = format!(
        "all upstreams of the service asked for rest, the first of them for {} ms more",
        first_back.as_millis()
    );
    Failure::new(ErrorKind::UpstreamsResting, detail).with_retry_after(first_back)
}
