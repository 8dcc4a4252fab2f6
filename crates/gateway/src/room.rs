//! How long a request waits for room at an upstream, and for the retry budget, before it is refused.

use {
    crate::state::ClosedReason,
    std::time::Duration,
    tealshore_core::answer::{ErrorKind, Failure},
};

/// A request waits for room for its objective divided by this. Room that becomes free within that time is
/// worth the wait. Otherwise the request is refused early, so that its caller can retry or go elsewhere in
/// time.
const OBJECTIVE_DIVISOR: u32 = 8;

/// Minimum time for which a stream that lost its engine waits for the retry budget. The unused budget is
/// shared anew at least once a second, and a late end of the stream is better for its caller than none.
const MIN_BUDGET_WAIT: Duration = Duration::from_secs(2);

/// How long a request with this objective waits for room.
#[must_use]
pub fn room_wait(objective: Duration) -> Duration {
    objective / OBJECTIVE_DIVISOR
}

/// How long a stream with this objective waits for the retry budget.
#[must_use]
pub fn budget_wait(objective: Duration) -> Duration {
    room_wait(objective).max(MIN_BUDGET_WAIT)
}

/// The refusal of a request whose upstreams are all closed. Its caller is told to come back when the first
/// one opens, and not before.
#[must_use]
pub fn closed_failure(first_to_open: ClosedReason) -> Failure {
    match first_to_open {
        ClosedReason::Resting(left) => resting_failure(left),
        ClosedReason::Limited(left) => limited_failure(left),
    }
}

/// The refusal of a request for whose upstreams no permit is left, by the limits that they announce. Other
/// callers compete for the next permit, so the caller is told to wait at least the default time of this kind
/// of refusal.
#[must_use]
pub fn limited_failure(next_permit: Duration) -> Failure {
    let kind = ErrorKind::UpstreamsLimited;
    let default_wait = kind.answer().retry_after.unwrap_or_default();
    let detail = "the upstreams of the service take no more requests, by the limits that they name";
    Failure::new(kind, detail).with_retry_after(next_permit.max(default_wait))
}

fn resting_failure(until_first_open: Duration) -> Failure {
    let detail = format!(
        "all upstreams of the service asked for rest, the first of them for {} ms more",
        until_first_open.as_millis()
    );
    Failure::new(ErrorKind::UpstreamsResting, detail).with_retry_after(until_first_open)
}
