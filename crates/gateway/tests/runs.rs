//! Tests of how the run of a caller that comes back is found.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    std::time::{Duration, Instant},
    tealshore_gateway::{
        read_rate::ReadRate,
        runs::{RunHost, Runs},
    },
    tealshore_runs::RunTrace,
};

fn trace(fingerprint: u64, request: &str, engine: &str) -> RunTrace {
    RunTrace {
        fingerprint,
        request: request.to_owned(),
        engine: engine.to_owned(),
        copy: Some(("holder".to_owned(), "127.0.0.1:9".parse().unwrap())),
    }
}

#[test]
fn an_aborted_run_is_found_and_a_completed_one_is_not() {
    let runs = Runs::default();
    let now = Instant::now();
    runs.begin(trace(1, "r1", "e1"));
    runs.begin(trace(2, "r2", "e2"));
    runs.end(1, &"r1".to_owned(), false, now);
    runs.end(2, &"r2".to_owned(), true, now);
    assert_eq!(runs.find(1, now).unwrap().engine, "e1");
    assert_eq!(runs.find(2, now), None);
    assert_eq!(runs.find(3, now), None);
}

#[test]
fn a_copy_is_removed_before_the_engine_that_read_the_prompt() {
    let runs = Runs::default();
    let now = Instant::now();
    runs.begin(trace(1, "r1", "e1"));
    runs.end(1, &"r1".to_owned(), false, now);
    let soon = runs.find(1, now + Duration::from_secs(2)).unwrap();
    let copy = soon.memory_copy().unwrap();
    assert_eq!(
        (copy.upstream.as_str(), copy.name.as_str()),
        ("holder", "r1")
    );
    let late = runs.find(1, now + Duration::from_secs(18)).unwrap();
    assert_eq!((late.engine.as_str(), late.memory_copy()), ("e1", None));
    assert_eq!(runs.find(1, now + Duration::from_secs(60)), None);
}

#[test]
fn the_end_of_an_earlier_attempt_does_not_touch_a_later_one() {
    let runs = Runs::default();
    let now = Instant::now();
    runs.begin(trace(1, "first", "e1"));
    runs.begin(trace(1, "second", "e2"));
    runs.end(1, &"first".to_owned(), true, now);
    assert_eq!(runs.find(1, now).unwrap().request, "second");
}

#[test]
fn a_peer_report_does_not_replace_a_run_of_this_host() {
    let runs = Runs::default();
    let now = Instant::now();
    runs.begin(trace(1, "here", "e1"));
    runs.record_peer(trace(1, "there", "e2"), RunHost::InGroup, now);
    assert_eq!(runs.find(1, now).unwrap().request, "here");
    runs.record_peer(trace(2, "there", "e2"), RunHost::InGroup, now);
    assert_eq!(runs.find(2, now).unwrap().request, "there");
    assert_eq!(runs.own(now).len(), 1);
}

#[test]
fn a_run_restored_from_the_store_names_its_engine_and_a_recent_copy() {
    let runs = Runs::default();
    let now = Instant::now();
    let mut restored = trace(1, "old attempt", "e1");
    restored.copy = Some(("e9".to_owned(), "127.0.0.1:9".parse().unwrap()));
    runs.restore(restored, now);
    let found = runs.find(1, now).unwrap();
    assert_eq!(found.engine, "e1");
    let copy = found.memory_copy().unwrap();
    // The copy is named after the attempt that it was made for.
    assert_eq!(
        (copy.upstream.as_str(), copy.name.as_str()),
        ("e9", "old attempt")
    );
    let later = runs.find(1, now + Duration::from_secs(7)).unwrap();
    assert_eq!((later.engine.as_str(), later.memory_copy()), ("e1", None));
    runs.record_peer(trace(2, "r", "e2"), RunHost::InGroup, now);
    runs.restore(trace(2, "r", "older"), now);
    assert_eq!(runs.find(2, now).unwrap().engine, "e2");
}

#[test]
fn recently_reported_runs_of_all_hosts_are_running() {
    let runs = Runs::default();
    let now = Instant::now();
    runs.begin(trace(2, "here", "e1"));
    runs.record_peer(trace(1, "there", "e2"), RunHost::InGroup, now);
    let digests = |at| -> Vec<u64> {
        let running = runs.running(at);
        running.iter().map(|run| run.fingerprint).collect()
    };
    assert_eq!(digests(now), [1, 2]);
    assert_eq!(digests(now + Duration::from_secs(9)), [2]);
}

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
