//! Rate of calls to a store that is unavailable.

use {std::time::Duration, tealshore_gateway::sync::FailedCall};

const OUTAGE: Duration = Duration::from_secs(8);

/// Number of calls that all hosts make during an outage if each call fails at once and pauses are half of their maximum
/// on average.
fn total_calls(hosts: usize, is_probe_set: bool) -> u32 {
    (0..hosts)
        .map(|rank| calls_of_host(hosts, rank, is_probe_set))
        .sum()
}

fn calls_of_host(hosts: usize, rank: usize, is_probe_set: bool) -> u32 {
    let mut time = Duration::ZERO;
    let mut failures = 0;
    while time < OUTAGE {
        let failed = FailedCall {
            failures,
            is_outage: true,
            is_probe_set,
            live_peers: hosts - 1,
            hosts_before: rank,
        };
        time += failed.pause() / 2;
        failures += 1;
    }
    failures
}

#[test]
fn most_hosts_leave_probing_to_the_first_by_rank() {
    // If all hosts doubled their pauses, 73 hosts would make 876 such calls, and 9 would make 189.
    assert_eq!(total_calls(73, true), 596);
    assert_eq!(total_calls(9, true), 165);
    assert!(calls_of_host(73, 3, true) < calls_of_host(73, 2, true));
}

fn pause_after_many_failures(hosts: usize, rank: usize) -> Duration {
    let failed = FailedCall {
        failures: 40,
        is_outage: true,
        is_probe_set: true,
        live_peers: hosts - 1,
        hosts_before: rank,
    };
    failed.pause()
}

/// Maximum rate of calls by all hosts together during an outage. The platform's rates allow a large fleet 16,000 calls
/// a second and a small one 2,000; retries use less than a tenth.
const MAX_CALLS_PER_S: u32 = 120;

/// Guards against a pause that stops growing at some number of hosts: with a limit of 3.2 s from 120 hosts on, 984
/// hosts would make 600 calls a second during an outage, by computation.
#[test]
fn the_call_rate_during_an_outage_is_bounded_in_a_large_fleet() {
    for hosts in [73, 300, 984, 2_000] {
        // Each host makes one call before its first pause.
        let further_calls = total_calls(hosts, true) - u32::try_from(hosts).unwrap();
        let bound = MAX_CALLS_PER_S * u32::try_from(OUTAGE.as_secs()).unwrap();
        assert!(
            further_calls <= bound,
            "{hosts} hosts made {further_calls} further calls"
        );
    }
}

#[test]
fn connected_hosts_call_at_least_every_100_ms() {
    for hosts in [9_usize, 73, 300, 984, 2_000] {
        let mean_s = |rank| pause_after_many_failures(hosts, rank).as_secs_f64() / 2.0;
        let calls_per_s: f64 = (0..hosts).map(|rank| 1.0 / mean_s(rank)).sum();
        assert!(
            calls_per_s >= 10.0,
            "{hosts} hosts make {calls_per_s} calls a second"
        );
    }
}

#[test]
fn an_isolated_host_pauses_less_than_a_second() {
    assert!(pause_after_many_failures(1, 0) < Duration::from_secs(1));
}

#[test]
fn an_isolated_host_backs_off_exponentially() {
    let pause = |failures| {
        let failed = FailedCall {
            failures,
            is_outage: true,
            is_probe_set: true,
            live_peers: 0,
            hosts_before: 0,
        };
        failed.pause().as_millis()
    };
    assert_eq!([0, 1, 2, 3, 4, 5].map(pause), [50, 100, 200, 400, 800, 800]);
}
