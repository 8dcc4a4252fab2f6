//! Tests of how a relay divides its group: which hosts receive a datagram, how often, and how many copies
//! each host sends.

use {
    proptest::prelude::*,
    std::{
        collections::{HashMap, HashSet},
        net::{Ipv4Addr, SocketAddr},
    },
    tealshore_gateway::peers::{Share, divide_into_shares},
};

fn hosts(count: u16) -> Vec<SocketAddr> {
    let ips = (0..count).map(|index| {
        let [high, low] = index.to_be_bytes();
        Ipv4Addr::new(10, 1, high, low)
    });
    ips.map(|ip| SocketAddr::new(ip.into(), 7_200)).collect()
}

/// Simulates one round of the relay. Returns how many copies of the datagram each host receives, and how many
/// each sender sends. Forwarders know only the hosts of `forwarder_view`; those in `dead` forward nothing.
fn relay_round(
    group: &[SocketAddr],
    live: &[SocketAddr],
    forwarder_view: &[SocketAddr],
    dead: &HashSet<SocketAddr>,
    round: u64,
) -> (HashMap<SocketAddr, usize>, Vec<usize>) {
    let mut received: HashMap<SocketAddr, usize> = HashMap::new();
    let first = divide_into_shares(group, live, round);
    let mut sent = vec![first.len()];
    for (host, share) in first {
        *received.entry(host).or_default() += 1;
        let Some(share) = share.filter(|_| !dead.contains(&host)) else {
            continue;
        };
        let receivers = forwarder_view
            .iter()
            .filter(|other| share.contains(**other));
        let others: Vec<_> = receivers.filter(|other| **other != host).collect();
        sent.push(others.len());
        for other in others {
            *received.entry(*other).or_default() += 1;
        }
    }
    (received, sent)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(60) })]

    /// All hosts receive the datagram at most twice, and none sends many more copies than the square root of
    /// their number.
    #[test]
    fn every_host_receives_the_datagram_and_none_sends_to_all(count in 1_u16..640, round: u64) {
        let group = hosts(count);
        let (received, sent) = relay_round(&group, &group, &group, &HashSet::new(), round);
        prop_assert_eq!(received.len(), group.len());
        prop_assert!(received.values().all(|copies| *copies <= 2));
        let root = group.len().isqrt();
        prop_assert!(sent.iter().all(|copies| *copies <= 3 * root + 16), "{sent:?}");
        let copies: usize = sent.iter().sum();
        prop_assert!(copies <= group.len() + root);
    }

    /// A host that its forwarder has not heard of yet misses the datagram; all others receive it.
    #[test]
    fn hosts_need_not_agree_on_the_group(round: u64, unknown in 0_usize..100) {
        let group = hosts(100);
        let mut view = group.clone();
        let missing = view.remove(unknown);
        let (received, _) = relay_round(&group, &group, &view, &HashSet::new(), round);
        let receivers = group.iter().filter(|host| received.contains_key(*host));
        prop_assert!(receivers.count() >= 99);
        prop_assert!(view.iter().all(|host| received.contains_key(host)), "{missing}");
    }
}

/// Guards against a relay that sends to each of its 99 hosts in every round.
#[test]
fn a_relay_of_a_hundred_hosts_sends_a_tenth() {
    let group = hosts(99);
    for round in 0..50 {
        assert_eq!(divide_into_shares(&group, &group, round).len(), 9);
    }
}

#[test]
fn each_host_misses_only_some_datagrams_when_forwarders_die() {
    const ROUNDS: u64 = 40;
    let group = hosts(100);
    let dead: HashSet<_> = group.iter().step_by(4).copied().collect();
    let mut received_counts: HashMap<SocketAddr, usize> = HashMap::new();
    for round in 0..ROUNDS {
        // The relay has not detected yet that they are dead.
        let (received, _) = relay_round(&group, &group, &group, &dead, round);
        for host in received.into_keys() {
            *received_counts.entry(host).or_default() += 1;
        }
    }
    let fewest = group.iter().map(|host| received_counts[host]).min();
    assert!(fewest > Some(15), "a host received {fewest:?} of {ROUNDS}");
}

#[test]
fn only_live_hosts_forward() {
    let group = hosts(100);
    let live = &group[..30];
    for round in 0..50 {
        let forwarders = divide_into_shares(&group, live, round);
        assert!(forwarders.iter().all(|(host, _)| live.contains(host)));
    }
}

#[test]
fn without_live_hosts_and_in_a_small_group_all_are_sent_to_directly() {
    let group = hosts(100);
    let direct = |group: &[SocketAddr], live: &[SocketAddr]| {
        let forwarders = divide_into_shares(group, live, 5);
        let is_direct = forwarders.iter().all(|(_, share)| share.is_none());
        is_direct && forwarders.len() == group.len()
    };
    assert!(direct(&group, &[]));
    assert!(direct(&group[..16], &group[..16]));
}

#[test]
fn a_share_with_count_zero_does_not_divide_by_zero() {
    let share = Share {
        round: 1,
        index: 0,
        count: 0,
    };
    assert!(share.contains(hosts(1)[0]));
}
