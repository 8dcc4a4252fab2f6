//! Tests of which crashes incriminate a request.

use {
    std::time::{Duration, Instant},
    tealshore_quarantine::crash::{Crash, incriminating_count},
};

/// Returns a crash that happened `ended_ms` after `start`, under a run of `ran_ms`.
fn crash(start: Instant, upstream: &str, position: u64, ran_ms: u64, ended_ms: u64) -> Crash {
    let ended = start + Duration::from_millis(ended_ms);
    Crash {
        attempt: format!("{upstream} {ended_ms}"),
        upstream: upstream.to_owned(),
        position,
        run_events: 0,
        began: ended - Duration::from_millis(ran_ms),
        ended,
    }
}

fn base_instant() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[test]
fn consecutive_crashes_at_one_position_count() {
    let start = base_instant();
    let crashes = [
        crash(start, "i-1", 0, 50, 100),
        crash(start, "i-2", 0, 50, 200),
        crash(start, "i-3", 1, 50, 900),
    ];
    assert_eq!(incriminating_count(&crashes), 3);
}

#[test]
fn progress_between_crashes_leaves_one_incriminating_crash() {
    let start = base_instant();
    let crashes = [
        crash(start, "i-1", 2, 50, 100),
        crash(start, "i-2", 4, 50, 200),
        crash(start, "i-3", 9, 50, 300),
    ];
    assert_eq!(incriminating_count(&crashes), 1);
}

/// A hall fails while its engines run one request for many callers.
#[test]
fn engines_that_crash_together_under_one_request_count_once() {
    let start = base_instant();
    let crashes = [
        crash(start, "i-1", 0, 400, 1_000),
        crash(start, "i-2", 0, 300, 1_010),
        crash(start, "i-3", 0, 350, 1_030),
    ];
    assert_eq!(incriminating_count(&crashes), 1);
}

#[test]
fn an_upstream_may_crash_again_after_a_restart() {
    let start = base_instant();
    let crashes = [
        crash(start, "i-1", 0, 50, 100),
        crash(start, "i-1", 0, 50, 500),
        crash(start, "i-1", 0, 50, 6_100),
    ];
    assert_eq!(incriminating_count(&crashes), 3);
    assert!(!crashes[0].is_same_crash(&crashes[1]));
}

#[test]
fn observations_of_one_crash_by_two_hosts_match() {
    let start = base_instant();
    let observed_here = crash(start, "i-1", 0, 50, 100);
    let observed_there = crash(start, "i-1", 0, 400, 300);
    assert!(observed_here.is_same_crash(&observed_there));
    let another = crash(start, "i-2", 0, 50, 100);
    assert!(!observed_here.is_same_crash(&another));
}

/// Guards against blaming a bystander: when two requests crash three engines within 25 ms, a stream next to
/// them is resumed from one engine to the next and lost on each at the same position. None of its runs was long
/// enough to have caused all three crashes.
#[test]
fn crashes_within_milliseconds_do_not_all_count() {
    let start = base_instant();
    let crashes = [
        crash(start, "i-1", 0, 11, 100),
        crash(start, "i-2", 0, 4, 109),
        crash(start, "i-3", 0, 7, 122),
    ];
    assert!(incriminating_count(&crashes) < 3);
}
