//! Distribution of store data among hosts: the choice of feeders, and the age of received data.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
    tealshore_core::clock,
    tealshore_gateway::{
        edge::{RowSet, UpstreamChange},
        feed::{
            Feed, FeederCandidate, FeederChoice, MAX_WATERMARK_AGE, SetProgress, SetWatermark,
            StoreWatermark, UpstreamDelta, choose_feeder,
        },
        peers::Datagram,
    },
};

fn watermark(revision: u64, changed: u64, written_ms: u64) -> SetWatermark {
    SetWatermark {
        revision,
        changed,
        written: Duration::from_millis(written_ms),
    }
}

fn feeder_candidate(host: &str, hall: &str) -> FeederCandidate {
    FeederCandidate {
        host: host.to_owned(),
        hall: hall.to_owned(),
        link_mbps: 200,
        watermark: StoreWatermark::default(),
        reaches_store: true,
    }
}

fn choose_in_group(own: &str, group: &[FeederCandidate]) -> FeederChoice {
    choose_feeder(&own.to_owned(), group, &[])
}

fn gone(revision: u64) -> (u64, UpstreamChange) {
    (
        revision,
        UpstreamChange::Gone(format!("summary-llm-{revision:08}")),
    )
}

/// Guards against datagrams that are too large. When a hall of 3,900 engines died, all changes went into one datagram
/// of 98 kB, which was dropped. Every host detected a gap, and asked other hosts or the store for the changes.
#[test]
fn changes_of_a_whole_hall_are_split_to_fit_datagrams() {
    let changes: Vec<_> = (0..3_900).map(|number| gone(50 + number)).collect();
    let delta = UpstreamDelta {
        after: 40,
        revision: 9_000,
        changes: changes.clone(),
    };
    let parts = delta.into_parts(16_000);
    assert!(parts.len() > 1);
    let mut after = 40;
    let mut received = Vec::new();
    for part in parts {
        assert_eq!(part.after, after, "gap between two parts");
        after = part.revision;
        let datagram = Datagram::Upstreams {
            delta: part.clone(),
            is_for_group: true,
        };
        assert!(datagram.to_bytes().unwrap().len() < 20_000);
        received.extend(part.changes);
    }
    assert_eq!(after, 9_000);
    assert_eq!(format!("{received:?}"), format!("{changes:?}"));
}

/// Rows that were written by one transaction have the same version. A host that received only the first half of them
/// would take its copy for complete.
#[test]
fn changes_of_one_version_stay_in_one_part() {
    let changes: Vec<_> = (0..30).map(|number| gone(50 + number / 10)).collect();
    let delta = UpstreamDelta {
        after: 40,
        revision: 52,
        changes,
    };
    let parts = delta.into_parts(60);
    let versions: Vec<u64> = parts.iter().map(|part| part.revision).collect();
    assert_eq!(versions, [50, 51, 52]);
    assert!(parts.iter().all(|part| part.changes.len() == 10));
}

#[test]
fn no_changes_give_no_parts() {
    let delta = UpstreamDelta {
        after: 40,
        revision: 52,
        changes: Vec::new(),
    };
    assert!(delta.into_parts(60).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(200) })]

    /// A received time never appears younger than it is, however long store calls took, and however long the datagram
    /// was in transit or waited unread while this host was frozen.
    #[test]
    fn a_received_time_never_appears_younger_than_it_is(
        calls in prop::collection::vec((0_u64..2_000, 0_u64..900, 0_u64..900), 1..20),
        received_age_ms in 0_u64..9_000,
    ) {
        tealshore_core::protection::start();
        let start = clock::now();
        let store_start_ms = 777_000;
        let feed = Feed::default();
        let mut now_ms = 10_000;
        for (pause_ms, there_ms, back_ms) in calls {
            now_ms += pause_ms;
            let asked = start + Duration::from_millis(now_ms);
            let written_ms = now_ms + there_ms;
            now_ms = written_ms + back_ms;
            let arrived = start + Duration::from_millis(now_ms);
            let written = Duration::from_millis(store_start_ms + written_ms);
            feed.record_answer(written, asked, arrived);
        }
        let now = start + Duration::from_millis(now_ms);
        let received = Duration::from_millis(store_start_ms + now_ms - received_age_ms);
        let true_instant = now - Duration::from_millis(received_age_ms);
        let moment = feed.to_local_instant(received, now).unwrap();
        prop_assert!(moment <= true_instant);
        if received_age_ms > u64::try_from(MAX_WATERMARK_AGE.as_millis()).unwrap() {
            prop_assert!(!feed.is_recent(received, now));
        }
    }

    /// The converted time of an answer is never later than the instant at which the store wrote it, and earlier by the
    /// shortest delay at most, even if the call was sent long before.
    #[test]
    fn an_answer_time_is_accurate_to_the_shortest_delay(
        calls in prop::collection::vec((0_u64..3_000, 1_u64..400, 1_u64..400), 1..40)
    ) {
        tealshore_core::protection::start();
        let start = clock::now();
        let store_start = Duration::from_secs(777);
        let feed = Feed::default();
        let mut now_ms = 0;
        let mut least_ms = u64::MAX;
        for (wait_ms, there_ms, back_ms) in calls {
            let asked = start + Duration::from_millis(now_ms);
            let written_ms = now_ms + there_ms + wait_ms;
            now_ms = written_ms + back_ms;
            least_ms = least_ms.min(there_ms + wait_ms);
            let written = store_start + Duration::from_millis(written_ms);
            let arrived = start + Duration::from_millis(now_ms);
            feed.record_answer(written, asked, arrived);
            let moment = feed.to_local_instant(written, arrived).unwrap();
            let true_instant = start + Duration::from_millis(written_ms);
            prop_assert!(moment >= asked && moment <= true_instant);
            prop_assert!(moment + Duration::from_millis(least_ms) >= true_instant);
        }
    }

    #[test]
    fn watermarks_never_go_back(watermarks in prop::collection::vec((0_u64..50, 0_u64..50, 0_u64..50), 1..30)) {
        let mut progress = SetProgress::default();
        let mut before = SetWatermark::default();
        for (revision, changed, written_ms) in watermarks {
            progress.advance(watermark(revision, changed, written_ms));
            let after = progress.watermark().unwrap();
            prop_assert!(after.revision >= before.revision.max(revision));
            prop_assert!(after.changed >= before.changed.max(changed));
            prop_assert!(after.written >= before.written);
            before = after;
        }
    }
}

#[test]
fn a_time_in_the_future_is_rejected() {
    let feed = Feed::default();
    let now = clock::now();
    assert_eq!(feed.to_local_instant(Duration::from_secs(3), now), None);
    feed.record_answer(Duration::from_secs(5), now, now);
    assert!(feed.to_local_instant(Duration::from_secs(5), now).is_some());
    assert_eq!(feed.to_local_instant(Duration::from_secs(6), now), None);
    // The store has a new clock: times of the old one no longer count.
    let later = now + Duration::from_secs(1);
    feed.record_answer(Duration::from_secs(900), later, later);
    assert_eq!(
        feed.to_local_instant(Duration::from_secs(900), later),
        Some(later)
    );
}

#[test]
fn a_store_clock_that_went_back_counts_as_a_new_clock() {
    let feed = Feed::default();
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    feed.record_answer(Duration::from_secs(100), at(0), at(10));
    feed.record_answer(Duration::from_secs(1), at(20), at(2_020));
    let moment = feed
        .to_local_instant(Duration::from_secs(1), at(2_020))
        .unwrap();
    assert!(moment >= at(20) && moment <= at(2_020));
}

#[test]
fn hosts_with_the_same_information_choose_the_same_feeder() {
    let names: Vec<String> = (0..40).map(|index| format!("host-{index}")).collect();
    let feeder_candidates: Vec<FeederCandidate> = names
        .iter()
        .map(|name| feeder_candidate(name, "a"))
        .collect();
    let mut feeders = Vec::new();
    for name in &names {
        let feeder = match choose_in_group(name, &feeder_candidates) {
            FeederChoice::Peer(host, _) => host,
            FeederChoice::ThisHost => name.clone(),
            FeederChoice::NoFeeder => String::new(),
        };
        feeders.push(feeder);
    }
    feeders.dedup();
    assert_eq!(feeders.len(), 1);
    assert!(names.contains(&feeders[0]));
}

#[test]
fn a_host_without_a_feeder_reads_the_store_itself() {
    assert_eq!(choose_in_group("x", &[]), FeederChoice::NoFeeder);
    let own = [feeder_candidate("x", "a")];
    assert_eq!(choose_in_group("x", &own), FeederChoice::ThisHost);
}

/// The feeder of each host of some halls, by host name. `ThisHost` marks a host that reads the store and feeds others.
fn feeders(halls: &[Vec<FeederCandidate>]) -> BTreeMap<String, FeederChoice> {
    let relay = |hall: &Vec<FeederCandidate>| {
        let names = hall.iter().map(|host| host.host.clone());
        let found = names.filter(|name| {
            let choice = choose_feeder(name, hall, &[]);
            choice == FeederChoice::ThisHost
        });
        let found: Vec<String> = found.collect();
        let relay = hall.iter().find(|host| Some(&host.host) == found.first());
        relay.cloned()
    };
    let relays: Vec<FeederCandidate> = halls.iter().filter_map(relay).collect();
    let mut feeders = BTreeMap::new();
    for hall in halls {
        for host in hall {
            let others = relays.iter().filter(|relay| relay.hall != host.hall);
            let others: Vec<FeederCandidate> = others.cloned().collect();
            feeders.insert(host.host.clone(), choose_feeder(&host.host, hall, &others));
        }
    }
    feeders
}

fn hall(name: &str, hosts: usize) -> Vec<FeederCandidate> {
    let hosts = (0..hosts).map(|index| feeder_candidate(&format!("{name}-{index}"), name));
    hosts.collect()
}

#[test]
fn one_host_reads_the_store_and_each_hall_has_one_relay() {
    let halls = [hall("a", 60), hall("b", 60), hall("c", 60)];
    let feeders = feeders(&halls);
    let readers = feeders
        .values()
        .filter(|feeder| **feeder == FeederChoice::ThisHost);
    assert_eq!(readers.count(), 1);
    let foreign = feeders.iter().filter(|(host, feeder)| match feeder {
        FeederChoice::Peer(feeder, _) => feeder.split('-').next() != host.split('-').next(),
        FeederChoice::ThisHost | FeederChoice::NoFeeder => false,
    });
    // The relays of the two other halls; all other hosts have a feeder in their own hall.
    assert_eq!(foreign.count(), 2);
}

#[test]
fn the_host_with_the_fastest_link_is_the_feeder() {
    let mut group = hall("a", 50);
    group[17].link_mbps = 1_000;
    assert_eq!(
        choose_in_group("a-3", &group),
        FeederChoice::Peer("a-17".to_owned(), StoreWatermark::default())
    );
}

#[test]
fn a_hall_without_store_access_is_fed_through_its_relay() {
    let mut halls = [hall("a", 5), hall("b", 5)];
    for host in &mut halls[0] {
        host.reaches_store = false;
    }
    let others: Vec<FeederCandidate> = halls[1][..1].to_vec();
    let choices: Vec<FeederChoice> = halls[0]
        .iter()
        .map(|host| choose_feeder(&host.host, &halls[0], &others))
        .collect();
    let by_other =
        |choice: &&FeederChoice| matches!(choice, FeederChoice::Peer(host, _) if host == "b-0");
    assert_eq!(choices.iter().filter(by_other).count(), 1);
    assert!(
        choices
            .iter()
            .all(|choice| matches!(choice, FeederChoice::Peer(..)))
    );
    // Without other groups, no host can act as feeder.
    assert_eq!(choose_in_group("a-0", &halls[0]), FeederChoice::NoFeeder);
}

#[test]
fn changes_after_a_gap_are_detected() {
    let feed = Feed::default();
    assert!(!feed.has_no_gap_before(RowSet::Upstreams, 0));
    feed.advance(RowSet::Upstreams, watermark(10, 10, 1));
    assert!(feed.has_no_gap_before(RowSet::Upstreams, 10));
    assert!(!feed.has_no_gap_before(RowSet::Upstreams, 11));
    assert!(
        feed.watermark().is_none(),
        "the configuration is not known yet"
    );
    feed.advance(RowSet::Configuration, watermark(9, 9, 2));
    assert_eq!(
        feed.watermark().unwrap().written(),
        Duration::from_millis(1)
    );
}

#[tokio::test]
async fn waiting_for_a_set_without_updates_consumes_no_notification() {
    let feed = Feed::default();
    feed.notify();
    let now = clock::now();
    feed.wait_for_update(RowSet::Runs, now + Duration::from_millis(1))
        .await;
    feed.wait_for_update(RowSet::Hosts, now + Duration::from_millis(1))
        .await;
    // Only the notification ends this wait.
    let far = now + Duration::from_secs(86_400);
    feed.wait_for_update(RowSet::Upstreams, far).await;
    feed.wait_for_update(RowSet::Configuration, far).await;
}
