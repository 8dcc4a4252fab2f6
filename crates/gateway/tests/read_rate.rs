//! Tests of the rate at which engines read prompts.

use {std::time::Duration, tealshore_gateway::read_rate::ReadRate};

#[test]
fn first_event_timeout_follows_the_rate_at_which_engines_read() {
    let mut rate = ReadRate::default();
    let before = rate.first_event_timeout(8_000);
    for _ in 0..100 {
        rate.observe(8_000, Duration::from_secs(1));
    }
    let after = rate.first_event_timeout(8_000);
    assert!(after < before);
    assert!(after > Duration::from_millis(6_500) && after < Duration::from_millis(7_500));
    // The time for a prompt that the engine still held says nothing of the read rate.
    rate.observe(8_000, Duration::from_millis(5));
    assert_eq!(rate.first_event_timeout(8_000), after);
}
