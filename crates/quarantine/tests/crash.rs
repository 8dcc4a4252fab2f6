//! Which crashes speak against a request.

use {
    std::time::{Duration, Instant},
    tealshore_quarantine::crash::{Crash, count_against},
};

/// An upstream that ended `ended_ms` after a fixed moment, under a run of `ran_ms`.
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

fn moment() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[test]
fn crashes_at_one_place_in_runs_that_followed_one_another_count() {
    let start = moment();
    let crashes = [
        crash(start, "i-1", 0, 50, 100),
        crash(start, "i-2", 0, 50, 200),
        crash(start, "i-3", 1, 50, 900),
    ];
    assert_eq!(count_against(&crashes), 3);
}

#[test]
fn a_request_that_got_further_in_each_run_has_one_against_it() {
    let start = moment();
    let crashes = [
        crash(start, "i-1", 2, 50, 100),
        crash(start, "i-2", 4, 50, 200),
        crash(start, "i-3", 9, 50, 300),
    ];
    assert_eq!(count_against(&crashes), 1);
}

/// A hall dies while many callers' runs of one request are on its engines.
#[test]
fn engines_that_end_together_under_many_runs_of_one_request_count_once() {
    let start = moment();
    let crashes = [
        crash(start, "i-1", 0, 400, 1_000),
        crash(start, "i-2", 0, 300, 1_010),
        crash(start, "i-3", 0, 350, 1_030),
    ];
    assert_eq!(count_against(&crashes), 1);
}

#[test]
fn an_upstream_that_started_again_may_end_again() {
    let start = moment();
    let crashes = [
        crash(start, "i-1", 0, 50, 100),
        crash(start, "i-1", 0, 50, 500),
        crash(start, "i-1", 0, 50, 6_100),
    ];
    assert_eq!(count_against(&crashes), 3);
    assert!(!crashes[0].is_same_end(&crashes[1]));
}

#[test]
fn what_two_hosts_see_of_one_end_is_the_same() {
    let start = moment();
    let seen_here = crash(start, "i-1", 0, 50, 100);
    let seen_there = crash(start, "i-1", 0, 400, 300);
    assert!(seen_here.is_same_end(&seen_there));
    let another = crash(start, "i-2", 0, 50, 100);
    assert!(!seen_here.is_same_end(&another));
}

/// Two requests end three engines within 25 ms; the copies of a stream beside them lie alike, so it goes on from one to
/// the next and is lost at each, at one place. No run of it was long enough to have done it three times.
#[test]
fn ends_that_follow_within_milliseconds_do_not_all_count() {
    let start = moment();
    let crashes = [
        crash(start, "i-1", 0, 11, 100),
        crash(start, "i-2", 0, 4, 109),
        crash(start, "i-3", 0, 7, 122),
    ];
    assert!(count_against(&crashes) < 3);
}
