//! Tests of who tries again after a quarantine.

use {
    std::time::{Duration, Instant},
    tealshore_quarantine::trial::{TRIAL_INTERVAL, Trials},
};

const KEY: u64 = 7;
const REQUEST: u64 = 8;
const OTHER_REQUEST: u64 = 9;
const HOSTS: usize = 9;

/// The number of requests that all hosts together send in this time after a quarantine, if none of them gets a result.
fn sent_within(time: Duration) -> usize {
    let start = Instant::now();
    let due = start + Duration::from_secs(3_600);
    let mut hosts: Vec<Trials> = (0..HOSTS).map(|_| Trials::new(start)).collect();
    let mut sent = 0;
    let mut now = due;
    while now < due + time {
        for (rank, host) in hosts.iter_mut().enumerate() {
            for request in [REQUEST, OTHER_REQUEST] {
                sent += usize::from(host.admit(KEY, request, due, rank, now) && request == REQUEST);
            }
        }
        now += TRIAL_INTERVAL;
    }
    sent
}

#[test]
fn hosts_try_one_after_the_other() {
    assert_eq!(sent_within(TRIAL_INTERVAL), 1);
}

#[test]
fn a_request_on_trial_may_be_sent_again_and_no_other_one() {
    let start = Instant::now();
    let due = start + Duration::from_secs(600);
    let mut trials = Trials::new(start);
    assert!(trials.admit(KEY, REQUEST, due, 0, due));
    assert!(trials.admit(KEY, REQUEST, due, 0, due));
    assert!(!trials.admit(KEY, OTHER_REQUEST, due, 0, due));
}

/// A crash in the trial begins another quarantine, after which the next trial does not wait for the first one.
#[test]
fn a_later_quarantine_has_a_trial_of_its_own() {
    let start = Instant::now();
    let due = start + Duration::from_secs(600);
    let mut trials = Trials::new(start);
    assert!(trials.admit(KEY, REQUEST, due, 0, due));
    let next_due = due + Duration::from_secs(60);
    assert!(trials.admit(KEY, OTHER_REQUEST, next_due, 0, next_due));
}

#[test]
fn many_keys_stay_within_bounds() {
    let start = Instant::now();
    let due = start + Duration::from_secs(600);
    let mut trials = Trials::new(start);
    let admitted = (0..10_000).filter(|key| trials.admit(*key, REQUEST, due, 0, due));
    assert_eq!(admitted.count(), 256);
}
