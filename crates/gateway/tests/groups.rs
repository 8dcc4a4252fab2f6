//! Hosts in groups: digests add up to the state of a group, count each host once, and tolerate loss and silence.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

#[path = "support/rollouts.rs"]
mod rollouts;

use {
    proptest::prelude::*,
    rollouts::{ORDER, SERVICE, report_with_bad_answers},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_capacity::EngineKind,
    tealshore_core::clock,
    tealshore_gateway::{
        budget::BudgetUse,
        options::GatewayOptions,
        peers::{
            AskedHost, Datagram, DigestSource, GroupDigest, GroupMember, GroupSums, HostAddress,
            HostPhase, LastDigest, PeerState, Peers, ServiceUse, Unreadable, UpstreamLender,
            UpstreamWork,
        },
        view::{Condition, UpstreamRecord, UpstreamState, Work},
    },
    tealshore_runs::RunTrace,
};

/// Heartbeat interval of the relays in these tests.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Longer than a host or a group may be silent.
const LONG_SILENCE: Duration = Duration::from_secs(4);

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn work(running: u32) -> Work {
    Work {
        running,
        unread_tokens: 0,
        memory_tokens: u64::from(running) * 9_000,
    }
}

fn at_upstream(upstream: &str, running: u32, condition: Condition) -> UpstreamWork {
    UpstreamWork {
        upstream: upstream.to_owned(),
        work: work(running),
        condition,
    }
}

fn used(requests: u32, repeats: u32) -> Vec<ServiceUse> {
    vec![ServiceUse {
        rollout: None,
        service: "model".to_owned(),
        used: BudgetUse { requests, repeats },
    }]
}

/// Host `index` of a hall, with one stream at an upstream.
fn host(hall: &str, index: u32) -> PeerState {
    PeerState {
        host: format!("{hall}-{index}"),
        hall: hall.to_owned(),
        callers_address: address(&format!("127.{}.{}.1:1", 1 + index / 250, index % 250)),
        peers_address: address(&format!(
            "127.{}.{}.{}:2",
            1 + index / 250,
            index % 250,
            hall.len()
        )),
        phase: HostPhase::Serving,
        incarnation: 1,
        sequence: 1,
        work: vec![at_upstream("i-1", 1, Condition::Healthy)],
        watermark: None,
        reaches_store: true,
        link_mbps: 20,
        fleet_hosts: 2,
        budgets: used(10, 1),
        runs: Vec::new(),
        named: Vec::new(),
        clock_offset_ms: None,
        lease: None,
        crashes: None,
    }
}

fn member(hall: &str, index: u32) -> GroupMember {
    let host = host(hall, index);
    GroupMember {
        host: host.host,
        callers_address: host.callers_address,
        peers_address: host.peers_address,
        phase: host.phase,
    }
}

fn source(hall: &str) -> DigestSource {
    DigestSource {
        host: format!("{hall}-0"),
        hall: hall.to_owned(),
        address: address("127.2.0.1:2"),
        link_mbps: 20,
        incarnation: 1,
        watermark: None,
        reaches_store: true,
        relays: Vec::new(),
        lease: None,
        usage: Vec::new(),
        crashes: Vec::new(),
    }
}

/// The aggregated state of `hosts` hosts of a hall, with one stream each at an upstream.
fn sums(hosts: u32) -> GroupSums {
    let mut sums = GroupSums::default();
    for index in 0..hosts {
        let host = host("bb", index);
        sums.add_work(&host.work);
        sums.add_budgets(&host.budgets);
        sums.members.push(member("bb", index));
    }
    sums
}

fn digest(hosts: u32) -> GroupDigest {
    let mut last = LastDigest::default();
    last.next(source("bb"), sums(hosts), HEARTBEAT, clock::now())
        .unwrap()
}

/// The peers of a host of hall `a`.
fn peers(test: &str) -> Peers {
    let options = "[host]\nid = own\nhall = a\ncallers_address = 127.0.0.1:9\n\
        directory_address = 127.0.0.1:10\nreadiness_address = 127.0.0.1:11\n\
        metrics_address = 127.0.0.1:12\nlink_mbps = 20\n[store]\naddress = 127.0.0.1:13\n\
        [peers]\naddress = 127.0.0.1:14\ntunnel_address = 127.0.0.1:15\n";
    let name = format!("tealshore-groups-{test}-{}.ini", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, options).unwrap();
    let options = GatewayOptions::load(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    tealshore_core::protection::start();
    Peers::new(&options.host, &options.peers, &options.topology)
}

/// The peers of a host of hall `a`, in a fleet that is divided into groups.
fn grouped_peers(test: &str, now: Instant) -> Peers {
    let peers = peers(test);
    let mut newcomer = host("a", 200);
    newcomer.fleet_hosts = 300;
    newcomer.work.clear();
    newcomer.budgets.clear();
    peers.apply_state(newcomer, now);
    assert!(peers.is_grouped());
    peers
}

/// The work at each upstream, as the receiver of digests sees it.
fn received(peers: &Peers, now: Instant) -> BTreeMap<String, Work> {
    peers.work(now).into_iter().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(60) })]

    /// A full digest restores the correct state after any sequence of lost, repeated and late digests.
    #[test]
    fn a_full_digest_repairs_lost_repeated_and_late_digests(
        steps in prop::collection::vec((0_u8..5, 0_u32..4, any::<bool>()), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let start = clock::now();
        let peers = grouped_peers("mends", start);
        let mut last = LastDigest::default();
        let mut now = start;
        let mut truth: BTreeMap<String, Work> = BTreeMap::new();
        let mut sent = Vec::new();
        for (upstream, running, arrives) in steps {
            now += Duration::from_millis(20);
            let id = format!("i-{upstream}");
            if running == 0 {
                truth.remove(&id);
            } else {
                truth.insert(id, work(running));
            }
            let entries = truth.iter().map(|(id, work)| (id.clone(), (*work, Condition::Healthy)));
            let sums = GroupSums { work: entries.collect(), ..GroupSums::default() };
            if let Some(digest) = last.next(source("bb"), sums, HEARTBEAT, now) {
                if arrives {
                    peers.apply_digest(&digest, now);
                }
                sent.push(digest);
            }
        }
        for index in order {
            if !sent.is_empty() {
                peers.apply_digest(index.get(&sent), now);
            }
        }
        now += Duration::from_secs(3);
        let entries = truth.iter().map(|(id, work)| (id.clone(), (*work, Condition::Healthy)));
        let sums = GroupSums { work: entries.collect(), ..GroupSums::default() };
        let whole = last.next(source("bb"), sums, HEARTBEAT, now).unwrap();
        prop_assert!(whole.is_whole);
        peers.apply_digest(&whole, now);
        prop_assert_eq!(received(&peers, now), truth);
    }
}

#[test]
fn a_host_seen_directly_and_in_a_digest_is_counted_once() {
    let now = clock::now();
    let peers = grouped_peers("once", now);
    peers.apply_state(host("bb", 0), now);
    assert_eq!(peers.work(now)["i-1"], work(1));
    peers.apply_digest(&digest(3), now);
    assert_eq!(peers.work(now)["i-1"], work(3));
    let pool = peers.budget_pool(&"model".to_owned(), now);
    assert_eq!((pool.used.requests, pool.used.repeats), (30, 3));
    // One more host of this host's own hall.
    assert_eq!(pool.live_peers, 4);
}

#[test]
fn plain_calls_in_a_digest_of_an_earlier_build_do_not_fill_an_upstream() {
    let now = clock::now();
    let peers = grouped_peers("plain-calls", now);
    let mut digest = digest(1);
    let calls = Work {
        running: 4,
        ..Work::default()
    };
    digest.work = vec![UpstreamWork {
        work: calls,
        ..at_upstream("i-plain", 0, Condition::Suspected(None))
    }];
    peers.apply_digest(&digest, now);
    assert_eq!(received(&peers, now).get("i-plain"), None);
}

#[test]
fn a_group_with_a_silent_relay_is_not_live() {
    let now = clock::now();
    let peers = grouped_peers("silent", now);
    peers.apply_digest(&digest(60), now);
    assert_eq!(
        peers.callers_addresses(None, HostPhase::Serving, now).len(),
        62
    );
    let later = now + Duration::from_secs(2);
    let pool = peers.budget_pool(&"model".to_owned(), later);
    // Hosts that have gone silent keep their budget shares, so this host must not claim what they may have used.
    assert!(pool.live_peers == 0 && pool.hosts >= 61, "{pool:?}");
    assert_eq!(
        peers
            .callers_addresses(None, HostPhase::Serving, later)
            .len(),
        1
    );
}

#[test]
fn another_relay_of_a_group_replaces_the_first() {
    let now = clock::now();
    let peers = grouped_peers("successor", now);
    peers.apply_digest(&digest(5), now);
    let mut successor = digest(4);
    successor.relay = "bb-1".to_owned();
    successor.incarnation = 9;
    peers.apply_digest(&successor, now);
    assert_eq!(peers.work(now)["i-1"], work(4));
    let relays: Vec<String> = peers.relays(now).into_iter().map(|it| it.host).collect();
    assert_eq!(relays, ["bb-1"]);
}

/// A digest of a group that saw `bad` bad answers of the version under trial.
fn digest_with_bad_answers(relay: &str, bad: u32) -> GroupDigest {
    let mut digest = digest(4);
    digest.relay = relay.to_owned();
    digest.budgets[0].service = SERVICE.to_owned();
    digest.budgets[0].rollout = Some(report_with_bad_answers(bad));
    digest
}

/// Bad answers must not be forgotten when the relay changes: a new relay has not received what departed hosts saw.
#[test]
fn bad_answers_still_count_after_a_new_relay_reports_fewer() {
    let now = clock::now();
    let peers = grouped_peers("bad-answers", now);
    let known_bad = || {
        let evidence = peers.rollout_evidence(&SERVICE.to_owned(), ORDER);
        evidence.target_sum().bad
    };
    peers.apply_digest(&digest_with_bad_answers("bb-0", 20), now);
    assert_eq!(known_bad(), 20);
    let mut successor = digest_with_bad_answers("bb-1", 7);
    successor.incarnation = 9;
    peers.apply_digest(&successor, now);
    assert_eq!(known_bad(), 20);
    successor = digest_with_bad_answers("bb-1", 24);
    successor.incarnation = 9;
    successor.sequence += 1;
    peers.apply_digest(&successor, now);
    assert_eq!(known_bad(), 24);
}

#[test]
fn a_late_digest_changes_nothing() {
    let now = clock::now();
    let peers = grouped_peers("late", now);
    let mut last = LastDigest::default();
    let early = last.next(source("bb"), sums(2), HEARTBEAT, now).unwrap();
    let later = now + Duration::from_millis(100);
    let newer = last.next(source("bb"), sums(3), HEARTBEAT, later).unwrap();
    peers.apply_digest(&early, now);
    peers.apply_digest(&newer, later);
    peers.apply_digest(&early, later);
    assert_eq!(peers.work(later)["i-1"], work(3));
}

#[test]
fn the_host_with_the_best_link_is_the_relay_until_it_is_silent() {
    let now = clock::now();
    let peers = peers("relay");
    assert!(peers.is_relay(now), "a host without live peers");
    let mut strong = host("a", 1);
    strong.link_mbps = 200;
    strong.fleet_hosts = 300;
    peers.apply_state(strong, now);
    assert!(!peers.is_relay(now));
    assert!(peers.is_relay(now + Duration::from_secs(2)));
}

#[test]
fn in_a_small_fleet_all_hosts_exchange_state() {
    let now = clock::now();
    let peers = peers("small");
    for index in 0..9 {
        peers.apply_state(host(if index < 3 { "a" } else { "bb" }, index), now);
    }
    assert!(!peers.is_grouped());
    assert!(peers.relays(now).is_empty());
    assert_eq!(peers.work(now)["i-1"], work(9));
}

#[test]
fn a_digest_contains_changes_and_none_is_sent_without_changes() {
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut last = LastDigest::default();
    let mut next_digest =
        |sums: &GroupSums, ms| last.next(source("bb"), sums.clone(), HEARTBEAT, at(ms));
    let mut now = sums(60);
    assert!(next_digest(&now, 0).unwrap().members.is_some());
    assert!(next_digest(&now, 100).is_none());
    now.add_work(&[at_upstream("i-2", 1, Condition::Suspected(None))]);
    let changed = next_digest(&now, 200).unwrap();
    assert_eq!(
        changed.work,
        [at_upstream("i-2", 1, Condition::Suspected(None))]
    );
    assert!(changed.members.is_none() && !changed.is_whole);
    now.runs = vec![RunTrace {
        fingerprint: 4,
        request: "r".to_owned(),
        engine: "i-2".to_owned(),
        copy: None,
    }];
    assert_eq!(next_digest(&now, 300).unwrap().runs.len(), 1);
    assert!(next_digest(&now, 400).is_none(), "the run was sent already");
    assert!(
        next_digest(&now, 850).unwrap().work.is_empty(),
        "a heartbeat"
    );
    now.members[7].phase = HostPhase::Leaving;
    let leaving = next_digest(&now, 900).unwrap().members.unwrap();
    let phases = leaving.iter().filter(|it| it.phase == HostPhase::Leaving);
    assert_eq!(phases.count(), 1);
}

/// The size of digests between halls depends on how much work changes, not on the number of hosts.
#[test]
fn digest_size_depends_on_changes_and_not_on_the_number_of_hosts() {
    let changed_bytes = |hosts: u32| {
        let start = clock::now();
        let mut last = LastDigest::default();
        let mut now = sums(hosts);
        last.next(source("bb"), now.clone(), HEARTBEAT, start);
        now.add_work(&[at_upstream("i-2", 1, Condition::Healthy)]);
        let later = start + Duration::from_millis(100);
        let digest = last.next(source("bb"), now, HEARTBEAT, later).unwrap();
        postcard::to_stdvec(&digest).unwrap().len()
    };
    assert!(changed_bytes(250) <= changed_bytes(10) + 8);
}

#[test]
fn an_advertised_host_of_another_hall_is_not_counted() {
    let now = clock::now();
    let peers = grouped_peers("names", now);
    let mut seed = host("bb", 1);
    seed.named = vec![
        HostAddress {
            hall: "bb".to_owned(),
            address: address("127.3.0.1:2"),
        },
        HostAddress {
            hall: "a".to_owned(),
            address: address("127.3.0.2:2"),
        },
    ];
    let before = peers.max_known_hosts();
    peers.apply_state(seed, now);
    // A host of another hall is neither contacted nor counted before the digest of its relay reports it.
    assert!(peers.max_known_hosts() <= before.max(300));
}

#[test]
fn datagrams_of_another_layout_are_distinguished_from_damaged_ones() {
    let bytes = Datagram::Relayed {
        digests: vec![digest(3)],
        share: None,
    }
    .to_bytes()
    .unwrap();
    assert!(matches!(
        Datagram::from_bytes(&bytes),
        Ok(Datagram::Relayed { .. })
    ));
    let mut other = bytes.clone();
    other[0] = other[0].wrapping_add(1);
    let unreadable = Datagram::from_bytes(&other).unwrap_err();
    assert_eq!(unreadable, Unreadable::OtherVersion(Some(other[0])));
    let cut = Datagram::from_bytes(&bytes[..bytes.len() / 2]).unwrap_err();
    assert_eq!(cut, Unreadable::Damaged);
    assert_eq!(
        Datagram::from_bytes(&[]).unwrap_err(),
        Unreadable::OtherVersion(None)
    );
}

#[test]
fn a_host_of_another_version_keeps_its_share_of_the_budget() {
    let now = clock::now();
    let peers = peers("versions");
    for index in 0..5 {
        let sender = address(&format!("127.4.0.{index}:2"));
        peers.record_unreadable(sender, now);
        peers.record_unreadable(sender, now);
    }
    let pool = peers.budget_pool(&"model".to_owned(), now);
    assert_eq!((pool.hosts, pool.live_peers), (6, 0));
}

fn upstream(number: u32, hall: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{number}"),
        born: None,
        service: "tiles".to_owned(),
        address: address("127.0.0.1:9"),
        hall: hall.to_owned(),
        version: "v1".to_owned(),
        kind: EngineKind::OnDemand,
        slots: 6,
        state: UpstreamState::Ready,
    }
}

/// The lenders of 40 upstreams of a hall, as computed by one host.
fn lenders(peers: &Peers, hall: &str, phase: HostPhase, now: Instant) -> Vec<UpstreamLender> {
    let upstreams = (0..40).map(|number| upstream(number, hall));
    upstreams
        .map(|upstream| peers.lender_of(&upstream, phase, now))
        .collect()
}

fn address_of(hall: &str, index: u32) -> UpstreamLender {
    UpstreamLender::Host(host(hall, index).peers_address)
}

#[test]
fn the_lender_of_an_upstream_is_a_live_lending_host_preferably_of_its_hall() {
    let now = clock::now();
    let peers = peers("lenders");
    assert_eq!(
        lenders(&peers, "a", HostPhase::Starting, now),
        vec![UpstreamLender::NotKnown; 40]
    );
    assert_eq!(
        lenders(&peers, "a", HostPhase::Serving, now),
        vec![UpstreamLender::ThisHost; 40]
    );
    for index in 0..2 {
        peers.apply_state(host("a", index), now);
        peers.apply_state(host("bb", index), now);
    }
    // Hosts of the previous build do not advertise that they lend.
    assert_eq!(
        lenders(&peers, "bb", HostPhase::Serving, now),
        vec![UpstreamLender::ThisHost; 40]
    );
    for (hall, index) in [("a", 0), ("a", 1), ("bb", 0), ("bb", 1)] {
        peers.set_lends_permits(&host(hall, index).host, true);
    }
    let of_hall = lenders(&peers, "bb", HostPhase::Serving, now);
    let expected = [address_of("bb", 0), address_of("bb", 1)];
    assert!(of_hall.iter().all(|lender| expected.contains(lender)));
    assert!(expected.iter().all(|lender| of_hall.contains(lender)));
    let own_hall = lenders(&peers, "a", HostPhase::Serving, now);
    assert!(own_hall.contains(&UpstreamLender::ThisHost));
    assert!(own_hall.contains(&address_of("a", 0)));

    let mut leaving = host("bb", 0);
    leaving.phase = HostPhase::Leaving;
    leaving.sequence += 1;
    peers.apply_state(leaving, now);
    peers.set_lends_permits(&host("bb", 0).host, true);
    let remaining = lenders(&peers, "bb", HostPhase::Serving, now);
    assert_eq!(remaining, vec![address_of("bb", 1); 40]);
    // All other hosts have gone silent.
    let later = now + Duration::from_secs(3);
    let alone = lenders(&peers, "bb", HostPhase::Serving, later);
    assert_eq!(alone, vec![UpstreamLender::ThisHost; 40]);
    assert!(peers.lendable_fraction(now) > 0.99);
    assert!(
        peers.lendable_fraction(later) < 0.3,
        "one of five hosts is live"
    );
}

/// All hosts of a grouped fleet must select the same lender, also while some hosts run a build that does not lend.
/// Other groups learn from the relay which hosts those are, and select none of the group if the relay itself does not
/// lend.
#[test]
fn all_hosts_exclude_group_members_that_do_not_lend() {
    let now = clock::now();
    let peers = grouped_peers("group-lenders", now);
    let bb = "bb".to_owned();
    let serving = HostPhase::Serving;
    peers.set_lends_permits(&host("a", 200).host, true);
    peers.apply_digest(&digest(3), now);
    assert!(!lenders(&peers, "bb", serving, now).contains(&address_of("bb", 0)));
    peers.set_group_lends_permits(&bb, true, &[]);
    let of_group = lenders(&peers, "bb", serving, now);
    let expected: Vec<_> = (0..3).map(|index| address_of("bb", index)).collect();
    assert!(of_group.iter().all(|lender| expected.contains(lender)));
    assert!(expected.iter().all(|lender| of_group.contains(lender)));
    peers.set_group_lends_permits(&bb, true, &[host("bb", 1).host]);
    assert!(!lenders(&peers, "bb", serving, now).contains(&address_of("bb", 1)));
    // In this host's own group, a host that does not lend leaves the others eligible.
    peers.apply_state(host("a", 0), now);
    assert!(!lenders(&peers, "a", serving, now).contains(&address_of("a", 0)));
    peers.set_lends_permits(&host("a", 0).host, true);
    assert!(lenders(&peers, "a", serving, now).contains(&address_of("a", 0)));
}

/// Largest datagram that is sent, in bytes.
const MAX_SENT_BYTES: usize = 60_000;

/// A hall of 400 hosts, each with work at ten upstreams of its own and with five runs that have a copy.
fn busy_hall() -> GroupSums {
    let mut sums = GroupSums::default();
    for index in 0..400 {
        let work = (0..10).map(|number| {
            let upstream = format!("summary-llm-{:08}", index * 10 + number);
            at_upstream(&upstream, 1, Condition::Healthy)
        });
        sums.add_work(&work.collect::<Vec<_>>());
        sums.members.push(member("bb", index));
        sums.runs.extend((0..5).map(|number| RunTrace {
            fingerprint: u64::from(index * 5 + number),
            request: format!("attempt-{index}-{number}"),
            engine: format!("summary-llm-{index:08}"),
            copy: Some((
                format!("summary-llm-{number:08}"),
                address("127.3.0.1:8080"),
            )),
        }));
    }
    sums
}

/// Guards against digests that exceed the datagram size. Such a digest was logged and dropped each time a full one was
/// due: with 2,000 upstreams in use by one hall, or after a new relay took over and reported all streams of its hall.
/// Hosts of other halls then missed new members, and any work left out by a lost datagram.
#[test]
fn a_digest_of_a_busy_hall_comes_in_parts_that_datagrams_carry() {
    let now = clock::now();
    let mut last = LastDigest::default();
    let parts = last.next_parts(source("bb"), busy_hall(), HEARTBEAT, now);
    assert!(parts.len() > 1);
    let peers = peers("parts");
    let mut runs = Vec::new();
    for part in &parts {
        let datagram = Datagram::Digest {
            digest: Box::new(part.clone()),
            is_passed_on: false,
        };
        let bytes = datagram.to_bytes().unwrap().len();
        assert!(bytes <= MAX_SENT_BYTES, "a part has {bytes} bytes");
        peers.apply_digest(part, now);
        runs.extend(part.runs.iter().map(|run| run.fingerprint));
    }
    assert_eq!(peers.work(now).len(), 4_000);
    runs.sort_unstable();
    assert_eq!(runs, (0..2_000).collect::<Vec<u64>>());
    assert_eq!(peers.max_known_hosts(), 401);
    // The next digest is newer than all parts and contains only changes.
    let later = now + HEARTBEAT;
    let next = last.next_parts(source("bb"), busy_hall(), HEARTBEAT, later);
    assert_eq!(next.len(), 1);
    assert!(next[0].sequence > parts.last().unwrap().sequence);
    assert!(next[0].work.is_empty() && next[0].runs.is_empty());
}

/// A lost part hides only its own content, and only until the next full digest.
#[test]
fn the_next_full_digest_repairs_a_lost_part() {
    let now = clock::now();
    let mut last = LastDigest::default();
    let peers = peers("lost-part");
    let parts = last.next_parts(source("bb"), busy_hall(), HEARTBEAT, now);
    for part in parts.iter().skip(1) {
        peers.apply_digest(part, now);
    }
    assert!(peers.work(now).len() < 4_000);
    let later = now + Duration::from_secs(2);
    for part in last.next_parts(source("bb"), busy_hall(), HEARTBEAT, later) {
        peers.apply_digest(&part, later);
    }
    assert_eq!(peers.work(later).len(), 4_000);
}

/// The names of the hosts that are asked for a tunnel to an upstream, without the excluded ones.
fn asked_for_tunnel(peers: &Peers, excluded: &[&str], count: usize, now: Instant) -> Vec<String> {
    let excluded: Vec<String> = excluded.iter().map(|host| (*host).to_owned()).collect();
    let hosts = peers.tunnel_hosts(&upstream(1, "bb"), &excluded, count, now);
    assert!(hosts.iter().all(|host| host.address.port() == 15));
    let mut names: Vec<String> = hosts.into_iter().map(|host| host.host).collect();
    names.sort();
    names
}

#[test]
fn only_hosts_that_offer_tunnels_and_reach_the_service_are_asked() {
    let now = clock::now();
    let peers = peers("tunnels");
    for index in 0..5 {
        peers.apply_state(host("a", index), now);
    }
    let service = upstream(1, "bb").service;
    peers.set_cut_off_services(&"a-0".to_owned(), Some(Vec::new()));
    peers.set_cut_off_services(&"a-1".to_owned(), Some(vec![service]));
    peers.set_cut_off_services(&"a-2".to_owned(), Some(vec!["other".to_owned()]));
    peers.set_cut_off_services(&"a-3".to_owned(), Some(Vec::new()));
    assert_eq!(asked_for_tunnel(&peers, &[], 9, now), ["a-0", "a-2", "a-3"]);
    assert_eq!(asked_for_tunnel(&peers, &["a-0"], 9, now), ["a-2", "a-3"]);
    assert_eq!(asked_for_tunnel(&peers, &[], 2, now).len(), 2);
}

#[test]
fn hosts_of_other_groups_are_asked_if_no_host_of_the_group_can_help() {
    let now = clock::now();
    let peers = grouped_peers("tunnels-of-groups", now);
    peers.apply_digest(&digest(3), now);
    let service = upstream(1, "bb").service;
    peers.set_cut_off_services(&"a-200".to_owned(), Some(vec![service]));
    let asked = asked_for_tunnel(&peers, &[], 9, now);
    assert_eq!(asked, ["bb-0", "bb-1", "bb-2"]);
    peers.set_cut_off_services(&"a-200".to_owned(), Some(Vec::new()));
    assert_eq!(asked_for_tunnel(&peers, &[], 1, now), ["a-200"]);
}

fn names(hosts: Vec<AskedHost>) -> Vec<String> {
    let mut names: Vec<String> = hosts.into_iter().map(|asked| asked.host).collect();
    names.sort();
    names
}

#[test]
fn two_hosts_that_were_heard_lately_confirm_a_run() {
    let start = clock::now();
    let peers = peers("witnesses");
    for index in 0..2 {
        peers.apply_state(host("a", index), start);
    }
    let now = start + HEARTBEAT * 3;
    let mut starting = host("a", 2);
    starting.phase = HostPhase::Starting;
    peers.apply_state(starting, now);
    for index in 3..6 {
        peers.apply_state(host("a", index), now);
    }
    let run_host = "a-3".to_owned();
    assert_eq!(names(peers.witnesses(&run_host, now)), ["a-4", "a-5"]);
    assert_eq!(peers.witnesses(&"a-0".to_owned(), now).len(), 2);
    // What the others answer may be unknown here.
    assert_eq!(names(peers.unheard_hosts(now)), ["a-0", "a-1"]);
}

#[test]
fn a_host_of_the_runs_group_confirms_it_and_silent_groups_are_asked() {
    let start = clock::now();
    let peers = grouped_peers("witnesses-of-groups", start);
    peers.apply_digest(&digest(2), start);
    let run_host = "bb-0".to_owned();
    assert_eq!(names(peers.witnesses(&run_host, start)), ["a-200", "bb-1"]);
    assert!(peers.unheard_hosts(start).is_empty());
    let now = start + LONG_SILENCE;
    peers.apply_state(host("a", 201), now);
    let asked = names(peers.unheard_hosts(now));
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(
        asked.contains(&"a-200".to_owned()) && asked[1].starts_with("bb-"),
        "{asked:?}"
    );
    assert_eq!(names(peers.witnesses(&run_host, now)), ["a-201"]);
}
