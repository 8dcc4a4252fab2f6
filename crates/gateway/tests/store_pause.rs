//! How often hosts call a store that is away.

use {std::time::Duration, tealshore_gateway::sync::FailedCall};

const OUTAGE: Duration = Duration::from_secs(8);

/// How often hosts call a store in an outage, if a call fails at once and pauses are half of the
/// longest on average.
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
            most_hosts: hosts,
            hosts_before: rank,
        };
        time += failed.pause() / 2;
        failures += 1;
    }
    failures
}

#[test]
fn most_hosts_leave_a_store_that_is_away_to_the_first_by_rank() {
    // With all of them doubling their pauses, 73 hosts made 876 such calls, and 9 made 189.
    assert_eq!(calls(73, true), 596);
    assert_eq!(calls(9, true), 165);
    assert!(calls_of(73, 3, true) < calls_of(73, 2, true));
}

#[test]
fn no_host_is_silent_for_longer_than_the_longest_pause() {
    for hosts in [1, 9, 73, 635] {
        for rank in [0, 2, 3, hosts - 1] {
            let pause = FailedCall {
                failures: 40,
                shows_loss: true,
                is_tried_set: true,
                most_hosts: hosts,
                hosts_before: rank,
            }
            .pause();
            assert!(pause <= Duration::from_millis(3_200), "{hosts} {rank}");
        }
    }
}

#[test]
fn a_host_alone_tries_more_and_more_slowly() {
    let pause = |failures| {
        let failed = FailedCall {
            failures,
            shows_loss: true,
            is_tried_set: true,
            most_hosts: 1,
            hosts_before: 0,
        };
        failed.pause().as_millis()
    };
    assert_eq!([0, 1, 2, 3, 4, 5].map(pause), [50, 100, 200, 400, 800, 800]);
}
