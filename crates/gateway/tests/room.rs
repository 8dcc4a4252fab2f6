//! Tests of how long requests wait for room and for the retry budget.

use {
    std::time::Duration,
    tealshore_gateway::room::{budget_wait, room_wait},
};

/// The unused budget is divided anew within a second. A stream that waited for less would be refused although
/// it could be resumed.
#[test]
fn a_stream_waits_for_the_next_share_of_the_retry_budget() {
    for objective_ms in [300, 4_500, 60_000] {
        let objective = Duration::from_millis(objective_ms);
        assert!(budget_wait(objective) > Duration::from_secs(1));
        assert!(budget_wait(objective) >= room_wait(objective));
    }
}
