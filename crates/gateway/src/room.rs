//! How long a request waits for room at an upstream, or for the retry budget, before it is refused.

use std::time::Duration;

/// A request waits for one part in this many of its objective. What comes to nothing is refused early,
/// so that its caller may come back or go elsewhere while there is time; a place that is free within
/// this is worth the wait. Two days of bursts before 73 hosts, worth with a quarter, an eighth and a
/// sixteenth: 0.694, 0.708, 0.698 and 0.537, 0.543, 0.538 (one play each; streams in time 1,809, 1,816,
/// 1,816 and 1,317, 1,342, 1,324). Where little waits, nothing changes.
const OBJECTIVE_PART: u32 = 8;

/// How long a request with this objective waits.
#[must_use]
pub fn patience(objective: Duration) -> Duration {
    objective / OBJECTIVE_PART
}
