//! Which tunnels count as ended by their upstream.

use {
    std::time::{Duration, Instant},
    tealshore_paths::{TUNNEL_END_RETENTION, TunnelEnds},
};

#[test]
fn an_end_is_confirmed_only_if_the_upstream_made_it_recently() {
    let mut ends = TunnelEnds::default();
    let now = Instant::now();
    ends.record(1, now);
    assert!(ends.was_ended_by_upstream(1, now));
    assert!(ends.was_ended_by_upstream(1, now + TUNNEL_END_RETENTION));
    let later = now + TUNNEL_END_RETENTION + Duration::from_millis(1);
    assert!(!ends.was_ended_by_upstream(1, later));
    assert!(!ends.was_ended_by_upstream(2, now));
}

#[test]
fn memory_is_bounded_and_what_has_no_room_is_not_confirmed() {
    let mut ends = TunnelEnds::default();
    let now = Instant::now();
    for tunnel in 0..10_001 {
        ends.record(tunnel, now);
    }
    assert!(ends.was_ended_by_upstream(9_999, now));
    assert!(!ends.was_ended_by_upstream(10_000, now));
    // Expired ends give way.
    let later = now + TUNNEL_END_RETENTION * 2;
    ends.record(10_001, later);
    assert!(ends.was_ended_by_upstream(10_001, later));
}
