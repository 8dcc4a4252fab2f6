//! Propagation of a host's state: deltas add up to the full state, and callers and usage reports get suitable hosts.
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
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tealshore_core::clock,
    tealshore_gateway::{
        budget::BudgetUse,
        options::GatewayOptions,
        peers::{
            Datagram, HostPhase, PeerState, Peers, SentState, ServiceUse, UpstreamWork,
            usage_receivers,
        },
        view::{Condition, Work},
    },
    tealshore_runs::RunTrace,
};

fn state(sequence: u64, work: &BTreeMap<u8, (u64, bool)>, repeats: u32) -> PeerState {
    let entry = |(id, (memory, suspected)): (&u8, &(u64, bool))| UpstreamWork {
        upstream: format!("i-{id}"),
        work: Work {
            running: 1,
            unread_tokens: 0,
            memory_tokens: *memory,
        },
        condition: if *suspected {
            Condition::Suspected(None)
        } else {
            Condition::Healthy
        },
    };
    PeerState {
        host: "host".to_owned(),
        hall: "a".to_owned(),
        callers_address: "127.0.0.1:1".parse().unwrap(),
        peers_address: "127.0.0.1:2".parse().unwrap(),
        phase: HostPhase::Serving,
        incarnation: 4,
        sequence,
        work: work.iter().map(entry).collect(),
        watermark: None,
        reaches_store: true,
        link_mbps: 200,
        fleet_hosts: 2,
        budgets: vec![ServiceUse {
            rollout: None,
            service: "model".to_owned(),
            used: BudgetUse {
                requests: 9,
                repeats,
            },
        }],
        runs: work.keys().map(|id| run(u64::from(*id))).collect(),
        named: Vec::new(),
        clock_offset_ms: None,
        lease: None,
        crashes: None,
    }
}

fn run(fingerprint: u64) -> RunTrace {
    RunTrace {
        fingerprint,
        request: format!("request-{fingerprint}"),
        engine: "i-1".to_owned(),
        copy: None,
    }
}

fn sorted(state: &PeerState) -> Vec<UpstreamWork> {
    let mut work = state.work.clone();
    work.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    work
}

/// A change of work: an upstream with the new memory use and whether the upstream is suspected, or `None` for no work.
type Step = (u8, Option<(u64, bool)>);

fn step() -> impl Strategy<Value = Step> {
    (0_u8..6, prop::option::of((1_u64..9_000, any::<bool>())))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(100) })]

    #[test]
    fn deltas_add_up_to_the_full_state(steps in prop::collection::vec(step(), 1..60)) {
        let mut last = SentState::new(clock::now());
        let mut work = BTreeMap::new();
        let mut received = state(0, &work, 0);
        last.record_full(&received, clock::now());
        for (index, (id, now)) in steps.into_iter().enumerate() {
            match now {
                Some(now) => drop(work.insert(id, now)),
                None => drop(work.remove(&id)),
            }
            let sequence = 1 + u64::try_from(index).unwrap();
            let repeats = u32::try_from(index / 3).unwrap();
            let own = state(sequence, &work, repeats);
            received.apply(last.delta(&own));
            prop_assert_eq!(sorted(&received), sorted(&own));
            prop_assert_eq!(received.budgets[0].used.repeats, repeats);
        }
    }
}

#[test]
fn unchanged_entries_are_not_sent_again() {
    let mut last = SentState::new(clock::now());
    let work = BTreeMap::from([(1, (8_000, false)), (2, (500, true))]);
    let first = last.delta(&state(1, &work, 0));
    assert_eq!(first.work.len(), 2);
    assert_eq!(first.runs.len(), 2);
    let second = last.delta(&state(2, &work, 0));
    assert!(second.work.is_empty() && second.runs.is_empty() && second.budgets.is_empty());
    // The end of a suspicion is sent as a change.
    let passed = BTreeMap::from([(1, (8_000, false))]);
    let third = last.delta(&state(3, &passed, 0));
    assert_eq!(third.work.len(), 1);
    assert_eq!(third.work[0].condition, Condition::Healthy);
}

#[test]
fn a_run_that_moves_to_another_engine_is_sent_again() {
    let mut last = SentState::new(clock::now());
    let work = BTreeMap::from([(1, (8_000, false))]);
    let mut own = state(1, &work, 0);
    assert_eq!(last.delta(&own).runs.len(), 1);
    own.runs[0].engine = "i-2".to_owned();
    let change = last.delta(&own);
    assert_eq!(change.runs, own.runs);
}

#[test]
fn the_full_state_is_sent_initially_periodically_and_on_a_phase_change() {
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut last = SentState::new(start);
    let serving = state(1, &BTreeMap::new(), 0);
    last.record_full(&serving, at(100));
    // A full state is not sent at each event, because during a fleet start all hosts send to all others.
    assert!(!last.is_full_due(HostPhase::Serving, at(110)));
    assert!(last.is_full_due(HostPhase::Serving, at(600)));
    last.record_full(&serving, at(4_000));
    assert!(!last.is_full_due(HostPhase::Serving, at(4_500)));
    assert!(last.is_full_due(HostPhase::Leaving, at(4_500)));
    assert!(last.is_full_due(HostPhase::Serving, at(6_500)));
}

/// Hosts of other regions immediately receive changes on which a returning caller, a retry budget or a decision of the
/// whole fleet depends.
#[test]
fn runs_repeats_and_unhealthy_upstreams_are_urgent_and_load_is_not() {
    let mut last = SentState::for_other_regions(clock::now());
    let work = BTreeMap::from([(1, (8_000, false))]);
    let before = state(1, &work, 0);
    assert!(last.has_urgent_change(&before), "a run began");
    last.delta(&before);
    let mut loaded = before.clone();
    loaded.work[0].work.memory_tokens = 9_000;
    assert!(!last.has_urgent_change(&loaded));
    let mut ended = before.clone();
    ended.work.clear();
    ended.runs.clear();
    assert!(!last.has_urgent_change(&ended));
    let mut repeated = before.clone();
    repeated.budgets[0].used.repeats = 1;
    assert!(last.has_urgent_change(&repeated));
    let mut unhealthy = before.clone();
    unhealthy.work[0].condition = Condition::Suspected(None);
    assert!(last.has_urgent_change(&unhealthy));
    let mut elsewhere = before;
    elsewhere.runs[0].engine = "i-2".to_owned();
    assert!(last.has_urgent_change(&elsewhere));
}

#[test]
fn other_regions_get_the_full_state_less_often_except_on_a_phase_change() {
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut near, mut far) = (SentState::new(start), SentState::for_other_regions(start));
    let serving = state(1, &BTreeMap::new(), 0);
    for last in [&mut near, &mut far] {
        last.record_full(&serving, at(100));
        assert!(last.is_full_due(HostPhase::Serving, at(600)));
        last.record_full(&serving, at(4_000));
        assert!(last.is_full_due(HostPhase::Leaving, at(4_500)));
    }
    assert!(near.is_full_due(HostPhase::Serving, at(6_500)));
    assert!(!far.is_full_due(HostPhase::Serving, at(6_500)));
    assert!(far.is_full_due(HostPhase::Serving, at(8_500)));
}

fn peers() -> Peers {
    peers_with_halls("one-region", "")
}

/// The peers of a host of hall `a`, with the given settings for halls.
fn peers_with_halls(test: &str, halls: &str) -> Peers {
    let options = "[host]\nid = own\nhall = a\ncallers_address = 127.0.0.1:9\n\
        directory_address = 127.0.0.1:10\nreadiness_address = 127.0.0.1:11\n\
        metrics_address = 127.0.0.1:12\n[store]\naddress = 127.0.0.1:13\n\
        [peers]\naddress = 127.0.0.1:14\n";
    // Tests of one process run beside each other.
    static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("tealshore-peers-{test}-{}-{number}.ini", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, format!("{options}{halls}")).unwrap();
    let options = GatewayOptions::load(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    Peers::new(&options.host, &options.peers, &options.topology)
}

#[test]
fn plain_calls_that_a_host_reports_at_a_suspected_upstream_do_not_fill_it_for_others() {
    tealshore_core::protection::start();
    let peers = peers();
    let now = clock::now();
    let calls_and_streams = BTreeMap::from([(1, (0, true)), (2, (8_000, true))]);
    peers.apply_state(state(1, &calls_and_streams, 0), now);
    let work = peers.work(now);
    let running = |id: &str| work.get(id).map_or(0, |work| work.running);
    assert_eq!((running("i-1"), running("i-2")), (0, 1));
}

#[test]
fn callers_are_sent_to_stale_hosts_only_where_no_host_has_a_fresh_view() {
    tealshore_core::protection::start();
    let peers = peers();
    let now = clock::now();
    let mut peer = state(1, &BTreeMap::new(), 0);
    let own = vec!["127.0.0.1:9".parse().unwrap()];
    assert_eq!(peers.callers_addresses(None, HostPhase::Stale, now), own);
    assert!(
        peers
            .callers_addresses(None, HostPhase::Starting, now)
            .is_empty()
    );
    peer.phase = HostPhase::Stale;
    peers.apply_state(peer.clone(), now);
    assert_eq!(peers.callers_addresses(None, HostPhase::Serving, now), own);
    assert_eq!(
        peers.callers_addresses(None, HostPhase::Stale, now).len(),
        2
    );
    peer.phase = HostPhase::Serving;
    peer.sequence += 1;
    let other = vec![peer.callers_address];
    peers.apply_state(peer, now);
    assert_eq!(peers.callers_addresses(None, HostPhase::Stale, now), other);
    assert_eq!(
        peers.callers_addresses(None, HostPhase::Leaving, now),
        other
    );
}

#[test]
fn a_heartbeat_without_changes_is_much_smaller_than_the_full_state() {
    let mut last = SentState::new(clock::now());
    // A hall has just failed, so many upstreams are suspected.
    let work = (0..40).map(|id| (id, (8_000, true))).collect();
    let own = state(1, &work, 3);
    last.record_full(&own, clock::now());
    let whole = postcard::to_stdvec(&Datagram::State(Box::new(own))).unwrap();
    let change = Datagram::Delta(last.delta(&state(2, &work, 3)));
    let change = postcard::to_stdvec(&change).unwrap();
    assert!(
        change.len() * 20 < whole.len(),
        "{} of {}",
        change.len(),
        whole.len()
    );
}

/// A serving host of a hall, with the given port in its callers' address.
fn serving_in(hall: &str, port: u16) -> PeerState {
    let mut peer = state(1, &BTreeMap::new(), 0);
    peer.host = format!("host-{port}");
    peer.hall = hall.to_owned();
    peer.phase = HostPhase::Serving;
    peer.callers_address.set_port(port);
    peer
}

#[test]
fn callers_get_the_hosts_of_their_region_while_enough_of_them_serve() {
    tealshore_core::protection::start();
    let peers = peers_with_halls("regions", "[halls]\na = east\nb = east\nc = west\n");
    let now = clock::now();
    for (hall, port) in [("b", 101), ("c", 102), ("c", 103), ("c", 104)] {
        peers.apply_state(serving_in(hall, port), now);
    }
    let ports_for = |hall: &str| {
        let hall = hall.to_owned();
        let addresses = peers.callers_addresses(Some(&hall), HostPhase::Serving, now);
        let mut ports: Vec<u16> = addresses.iter().map(SocketAddr::port).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(ports_for("a"), [9, 101]);
    assert_eq!(ports_for("b"), [9, 101]);
    assert_eq!(ports_for("c"), [102, 103, 104]);
    let everyone = [9, 101, 102, 103, 104];
    assert_eq!(ports_for("unknown"), everyone);
    let without_hall = peers.callers_addresses(None, HostPhase::Serving, now);
    assert_eq!(without_hall.len(), everyone.len());
    // The other hosts of the region leave: this host alone is less than half of the region's share.
    let mut leaving = serving_in("b", 101);
    leaving.sequence = 2;
    leaving.phase = HostPhase::Leaving;
    peers.apply_state(leaving, now);
    peers.apply_state(serving_in("c", 105), now);
    assert_eq!(ports_for("a"), [9, 102, 103, 104, 105]);
}

/// Each side of a network partition continues with its own hosts.
#[test]
fn a_partitioned_region_returns_its_own_hosts() {
    tealshore_core::protection::start();
    let peers = peers_with_halls("cut", "[halls]\na = east\nb = east\nc = west\n");
    let now = clock::now();
    for (hall, port) in [("b", 101), ("c", 102), ("c", 103)] {
        peers.apply_state(serving_in(hall, port), now);
    }
    let (near, far) = ("a".to_owned(), "c".to_owned());
    let addresses = |hall, at| peers.callers_addresses(Some(hall), HostPhase::Serving, at);
    assert_eq!(addresses(&far, now).len(), 2);
    let later = now + Duration::from_secs(2);
    let mut received = serving_in("b", 101);
    received.sequence = 2;
    peers.apply_state(received, later);
    assert_eq!(addresses(&near, later).len(), 2);
    // No host of the caller's region is live: the caller gets the live hosts of other regions.
    assert_eq!(addresses(&far, later).len(), 2);
}

/// Hosts that can't reach the store can't take over the duties, but the current holder receives the counts in any case.
#[test]
fn usage_counts_are_sent_to_hosts_that_reach_the_store_and_to_the_holder() {
    let hosts: Vec<PeerState> = (0..12_u16)
        .map(|number| PeerState {
            host: format!("host-{number}"),
            peers_address: SocketAddr::from(([127, 0, 0, 1], 100 + number)),
            link_mbps: if number < 6 { 200 } else { 10 },
            reaches_store: number >= 6,
            ..state(1, &BTreeMap::new(), 0)
        })
        .collect();
    let last_port_without_store = 105;
    let receivers = usage_receivers(hosts.iter().collect(), None);
    assert_eq!(receivers.len(), 4);
    assert!(
        receivers
            .iter()
            .all(|host| host.port() > last_port_without_store)
    );
    let holder = "host-2".to_owned();
    let receivers = usage_receivers(hosts.iter().collect(), Some(&holder));
    assert!(receivers.contains(&hosts[2].peers_address));
}

/// The state of a process that takes part in a roll-out and saw `bad` bad answers of the target version.
fn state_with_bad_answers(incarnation: u64, bad: u32) -> PeerState {
    let mut state = state(1, &BTreeMap::new(), 0);
    state.incarnation = incarnation;
    state.budgets[0].rollout = Some(report_with_bad_answers(bad));
    state
}

/// A version stays under trial while hosts that saw it fail restart, fall silent or are removed, so their evidence must
/// be kept.
#[test]
fn bad_answers_that_a_host_saw_count_after_it_restarted_or_fell_silent() {
    let peers = peers_with_halls("bad-answers", "");
    let now = clock::now();
    let known_bad = || {
        let evidence = peers.rollout_evidence(&SERVICE.to_owned(), ORDER);
        evidence.target_sum().bad
    };
    peers.apply_state(state_with_bad_answers(4, 30), now);
    assert_eq!(known_bad(), 30);
    peers.apply_state(state_with_bad_answers(5, 0), now);
    assert_eq!(known_bad(), 30);
    peers.apply_state(state_with_bad_answers(6, 12), now);
    assert_eq!(known_bad(), 42);
    let later = now + Duration::from_secs(8);
    assert_eq!((peers.live_peers(later), known_bad()), (0, 42));
}
