//! Rate of calls to a store that is unavailable.

use {std::time::Duration, tealshore_gateway::sync::FailedCall};

const OUTAGE: Duration = Duration::from_secs(8);

/// Number of calls that all hosts make during an outage if each call fails at once and pauses are half of their maximum
/// on average.
fn calls(hosts: usize, is_tried_set: bool) -> u32 {
    (0..hosts)
        .map(|rank| calls_of(hosts, rank, is_tried_set))
        .sum()
}

fn calls_of(hosts: usize, rank: usize, is_tried_set: bool) -> u32 {
    let mut time = Duration::ZERO;
    let mut failures = 0;
    while time < OUTAGE {
        let failed = FailedCall {
            failures,
            shows_loss: true,
            is_tried_set,
            hosts_heard: hosts - 1,
            hosts_before: rank,
        };
        time += failed.pause() / 2;
        failures += 1;
    }
    failures
}

#[test]
fn most_hosts_leave_a_store_that_is_away_to_the_first_by_rank() {
    // If all hosts doubled their pauses, 73 hosts would make 876 such calls, and 9 would make 189.
    assert_eq!(calls(73, true), 596);
    assert_eq!(calls(9, true), 165);
    assert!(calls_of(73, 3, true) < calls_of(73, 2, true));
}

fn pause_after_many(hosts: usize, rank: usize) -> Duration {
    let failed = FailedCall {
        failures: 40,
        shows_loss: true,
        is_tried_set: true,
        hosts_heard: hosts - 1,
        hosts_before: rank,
    };
    failed.pause()
}

/// Maximum rate of calls by all hosts together during an outage. The platform's rates allow a large fleet 16,000 calls
/// a second and a small one 2,000; retries use less than a tenth.
const TRIES_PER_S: u32 = 120;

/// Guards against a pause that stops growing at some number of hosts: with a limit of 3.2 s from 120 hosts on, 984
/// hosts would make 600 calls a second during an outage, by computation.
#[test]
fn a_large_fleet_calls_a_store_that_is_away_as_often_as_a_small_one() {
    for hosts in [73, 300, 984, 2_000] {
        // Each host makes one call before its first pause.
        let again = calls(hosts, true) - u32::try_from(hosts).unwrap();
        let bound = TRIES_PER_S * u32::try_from(OUTAGE.as_secs()).unwrap();
        assert!(again <= bound, "{hosts} hosts made {again} further calls");
    }
}

#[test]
fn a_fleet_that_hears_each_other_tries_every_100_ms_at_least() {
    for hosts in [9_usize, 73, 300, 984, 2_000] {
        let mean_s = |rank| pause_after_many(hosts, rank).as_secs_f64() / 2.0;
        let tries_per_s: f64 = (0..hosts).map(|rank| 1.0 / mean_s(rank)).sum();
        assert!(
            tries_per_s >= 10.0,
            "{hosts} hosts make {tries_per_s} calls a second"
        );
    }
}

#[test]
fn a_host_that_hears_nobody_is_silent_for_less_than_a_second() {
    assert!(pause_after_many(1, 0) < Duration::from_secs(1));
}

#[test]
fn a_host_alone_tries_more_and_more_slowly() {
    let pause = |failures| {
        let failed = FailedCall {
            failures,
            shows_loss: true,
            is_tried_set: true,
            hosts_heard: 0,
            hosts_before: 0,
        };
        failed.pause().as_millis()
    };
    assert_eq!([0, 1, 2, 3, 4, 5].map(pause), [50, 100, 200, 400, 800, 800]);
}
