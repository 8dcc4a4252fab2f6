//! A host's view: it never goes back to an older state, and it knows its age.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    proptest::prelude::*,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_capacity::EngineKind,
    tealshore_core::clock,
    tealshore_gateway::view::{
        Applied, Condition, Configuration, Route, RouteKind, RowOrigin, Target, UpstreamRecord,
        UpstreamState, View, Work, are_in_use,
    },
};

fn configuration(version: u64) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.version = version;
    configuration
}

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: path_prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        pause_objective: Duration::ZERO,
        max_attempts: 2,
        priority: 1,
        public: false,
        targets: vec![Target {
            service: "tiles".to_owned(),
            weight: 1,
        }],
    }
}

fn record(id: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        born: None,
        service: "tiles".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "a".to_owned(),
        version: "v1".to_owned(),
        kind: EngineKind::OnDemand,
        slots: 6,
        state,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn the_configuration_in_force_never_goes_back(versions in prop::collection::vec(0_u64..20, 1..40)) {
        tealshore_core::protection::start();
        let view = View::default();
        let mut highest = None;
        for version in versions {
            let is_newer = highest.is_none_or(|highest| version > highest);
            let applied = view.apply(configuration(version), 1, RowOrigin::WrittenSinceRestore, false);
            prop_assert_eq!(applied == Applied::InForce, is_newer);
            highest = highest.max(Some(version));
            prop_assert_eq!(Some(view.version()), highest);
        }
    }
}

#[test]
fn the_age_counts_from_the_last_confirmation() {
    let view = View::default();
    let start = clock::now();
    assert_eq!(view.age(start), None);
    view.confirm(start);
    view.confirm(start - Duration::from_millis(1));
    let later = start + Duration::from_secs(4);
    assert_eq!(view.age(later), Some(Duration::from_secs(4)));
}

#[test]
fn the_longest_prefix_of_a_host_wins() {
    let mut configuration = Configuration::default();
    configuration.set_routes(vec![
        route("tiles.example", "/"),
        route("tiles.example", "/a/b/"),
        route("tiles.example", "/a/"),
        route("other.example", "/a/b/c/"),
    ]);
    let found = |host: &str, path: &str| {
        configuration
            .route(host, path)
            .map(|route| route.name.clone())
    };
    assert_eq!(found("tiles.example", "/a/b/c/d").unwrap(), "/a/b/");
    assert_eq!(found("tiles.example", "/a/x").unwrap(), "/a/");
    assert_eq!(found("tiles.example", "/ab").unwrap(), "/");
    assert_eq!(found("nobody.example", "/a/"), None);
    assert_eq!(configuration.route_count(), 4);
}

#[test]
fn traffic_is_split_by_weight() {
    let mut split = route("tiles.example", "/");
    split.targets = vec![
        Target {
            service: "old".to_owned(),
            weight: 90,
        },
        Target {
            service: "new".to_owned(),
            weight: 10,
        },
        Target {
            service: "none".to_owned(),
            weight: 0,
        },
    ];
    let drawn: Vec<_> = (0..4_000).filter_map(|_| split.choose_service()).collect();
    let of = |name: &str| drawn.iter().filter(|service| **service == name).count();
    assert!(of("old") > 3_400 && of("new") > 200);
    assert_eq!(of("none"), 0);
    split.targets.clear();
    assert_eq!(split.choose_service(), None);
}

#[test]
fn a_row_is_never_replaced_by_an_older_one() {
    let view = View::default();
    let upstreams = &view.upstreams;
    assert!(upstreams.put(5, record("e", UpstreamState::Leaving)));
    assert!(!upstreams.put(4, record("e", UpstreamState::Ready)));
    assert!(!upstreams.accepts_work(&"e".to_owned()));
    assert!(upstreams.remove(6, &"e".to_owned()));
    assert!(!upstreams.put(5, record("e", UpstreamState::Ready)));
    assert!(upstreams.get(&"e".to_owned()).is_none());
}

#[test]
fn upstreams_missing_from_a_full_set_are_removed() {
    let view = View::default();
    let upstreams = &view.upstreams;
    upstreams.put(1, record("stays", UpstreamState::Ready));
    upstreams.put(2, record("goes", UpstreamState::Ready));
    assert_eq!(upstreams.retain(3, &["stays".to_owned()]), 1);
    assert!(upstreams.accepts_work(&"stays".to_owned()));
    assert!(!upstreams.accepts_work(&"goes".to_owned()));
}

#[test]
fn suspicion_expires_but_a_replaced_incarnation_stays_avoided() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = clock::now();
    assert!(upstream.suspect(now));
    assert!(!upstream.suspect(now));
    assert!(upstream.is_suspected(now));
    assert!(!upstream.is_suspected(now + Duration::from_secs(2)));
    upstream.mark_replaced(now);
    assert!(!upstream.suspect(now + Duration::from_secs(2)));
    assert!(upstream.is_suspected(now + Duration::from_secs(60)));
}

#[test]
fn a_suspicion_from_a_peer_is_not_reported_again() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = clock::now();
    assert!(upstream.suspect_unreported(now));
    assert!(upstream.is_suspected(now));
    assert_eq!(upstream.local_condition(now), Condition::Healthy);
}

#[test]
fn a_replacement_reported_by_a_peer_is_applied_but_not_reported_again() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = clock::now();
    assert!(upstream.mark_replaced_from_peer(now));
    assert!(!upstream.mark_replaced_from_peer(now));
    // Unlike a suspicion, a replacement does not expire after a short time.
    assert!(upstream.is_suspected(now + Duration::from_secs(60)));
    assert_eq!(upstream.local_condition(now), Condition::Healthy);
    let met = view.upstreams.put(2, record("f", UpstreamState::Ready));
    assert!(met);
    let met = view.upstreams.get(&"f".to_owned()).unwrap();
    met.mark_replaced(now);
    assert_eq!(met.local_condition(now), Condition::Replaced(None));
}

#[test]
fn a_younger_incarnation_supersedes_an_older_one_at_its_address() {
    let view = View::default();
    let ready = |id: &str| record(id, UpstreamState::Ready);
    let start = clock::now();
    view.upstreams.put_seen(1, ready("old"), start);
    view.upstreams.put_seen(2, ready("twin"), start);
    let get = |id: &str| view.upstreams.get(&id.to_owned()).unwrap();
    // If two are listed at the same time, nothing shows which of them is running.
    assert!(!get("old").is_suspected(start));
    let later = start + Duration::from_millis(600);
    view.upstreams.put_seen(3, ready("young"), later);
    assert!(get("old").is_suspected(later));
    assert!(!get("young").is_suspected(later));
    // A late row of the old incarnation changes nothing.
    let late = later + Duration::from_secs(1);
    view.upstreams
        .put_seen(4, record("old", UpstreamState::Leaving), late);
    assert!(!get("young").is_suspected(late));
}

#[test]
fn ready_upstreams_stay_listed_for_a_while_after_an_outage_of_the_store() {
    let view = View::default();
    let all = [
        record("back", UpstreamState::Ready),
        record("lost", UpstreamState::Ready),
        record("leaving", UpstreamState::Leaving),
    ];
    for record in &all {
        view.upstreams.put(1, record.clone());
    }
    let accepts_work = |id: &str| view.upstreams.accepts_work(&id.to_owned());
    let far = clock::now() + Duration::from_secs(86_400);
    assert_eq!(view.upstreams.retain_after_outage(9, &[], far), 3);
    assert!(accepts_work("back") && accepts_work("lost"));
    // One that was leaving is removed at once.
    assert!(!accepts_work("leaving"));
}

/// An event that affects one upstream.
#[derive(Clone, Copy, Debug)]
enum UpstreamEvent {
    Begins,
    Ends,
    Suspected,
    SuspectedByPeer,
    Fails,
    Replaced,
    Listed(UpstreamState),
    Gone,
    Expires,
}

fn any_event() -> impl Strategy<Value = UpstreamEvent> {
    use UpstreamEvent::{
        Begins, Ends, Expires, Fails, Gone, Listed, Replaced, Suspected, SuspectedByPeer,
    };
    prop::sample::select(vec![
        Begins,
        Ends,
        Suspected,
        SuspectedByPeer,
        Fails,
        Replaced,
        Listed(UpstreamState::Ready),
        Listed(UpstreamState::Leaving),
        Gone,
        Expires,
    ])
}

/// Applies an event to the upstream with an id, at a revision of the store.
fn apply_event(view: &View, id: &str, event: UpstreamEvent, revision: u64, now: Instant) {
    let id = id.to_owned();
    let work = Work {
        running: 1,
        unread_tokens: 0,
        memory_tokens: 9_000,
    };
    match (event, view.upstreams.get(&id)) {
        (UpstreamEvent::Listed(state), _) => {
            view.upstreams.put(revision, record(&id, state));
        }
        (UpstreamEvent::Gone, _) => {
            view.upstreams.remove(revision, &id);
        }
        (UpstreamEvent::Expires, _) => {
            view.upstreams
                .retain_after_outage(revision, &[], clock::now());
        }
        (_, None) => {}
        (UpstreamEvent::Begins, Some(upstream)) => upstream.begin(work),
        (UpstreamEvent::Ends, Some(upstream)) => upstream.end(work),
        (UpstreamEvent::Suspected, Some(upstream)) => {
            upstream.suspect(now);
        }
        (UpstreamEvent::SuspectedByPeer, Some(upstream)) => {
            upstream.suspect_unreported(now);
        }
        (UpstreamEvent::Fails, Some(upstream)) => upstream.record_failing(now),
        (UpstreamEvent::Replaced, Some(upstream)) => upstream.mark_replaced(now),
    }
}

fn ids(
    upstreams: impl IntoIterator<Item = std::sync::Arc<tealshore_gateway::view::Upstream>>,
) -> Vec<String> {
    let mut ids: Vec<String> = upstreams
        .into_iter()
        .map(|it| it.record.id.clone())
        .collect();
    ids.sort();
    ids
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::with_cases(300) })]

    /// `active` finds the same upstreams as a scan of all, after any events and however often it was called in
    /// between.
    #[test]
    fn all_upstreams_with_something_to_tell_are_found(
        upstream_events in prop::collection::vec((0_usize..4, any_event(), 0_u64..900, any::<bool>()), 0..60),
    ) {
        let view = View::default();
        let names = ["e-0", "e-1", "e-2", "e-3"];
        for name in names {
            view.upstreams.put(1, record(name, UpstreamState::Ready));
        }
        let mut now = clock::now();
        let mut revision = 1;
        for (which, event, elapsed_ms, checks_active) in upstream_events {
            revision += 1;
            now += Duration::from_millis(elapsed_ms);
            apply_event(&view, names[which], event, revision, now);
            if !checks_active {
                continue;
            }
            let expected = view.upstreams.all().into_iter().filter(|upstream| {
                let has_work = upstream.own_work().memory_tokens > 0;
                has_work || upstream.local_condition(now) != Condition::Healthy
            });
            prop_assert_eq!(ids(view.upstreams.active(now)), ids(expected));
        }
    }
}

/// Guards against summing up the work of all hosts again for each of 10,000 upstreams whenever the leader of a roll-out
/// checks them: the sum is computed once and passed in.
#[test]
fn engines_are_in_use_where_any_host_has_work_there() {
    let view = View::default();
    for id in ["idle", "busy"] {
        view.upstreams.put(1, record(id, UpstreamState::Ready));
    }
    let work = Work {
        running: 1,
        unread_tokens: 0,
        memory_tokens: 0,
    };
    let all = view.upstreams.all();
    let mut elsewhere = HashMap::new();
    assert!(!are_in_use(&all, &elsewhere));
    elsewhere.insert("another".to_owned(), work);
    elsewhere.insert("idle".to_owned(), Work::default());
    assert!(!are_in_use(&all, &elsewhere));
    elsewhere.insert("idle".to_owned(), work);
    assert!(are_in_use(&all, &elsewhere));
    let busy = view.upstreams.get(&"busy".to_owned()).unwrap();
    busy.begin(work);
    assert!(are_in_use(&[busy], &HashMap::new()));
}

#[test]
fn upstreams_whose_rows_are_not_back_in_time_are_removed() {
    let view = View::default();
    view.upstreams.put(1, record("back", UpstreamState::Ready));
    view.upstreams.put(1, record("lost", UpstreamState::Ready));
    let over = clock::now();
    assert_eq!(view.upstreams.retain_after_outage(9, &[], over), 2);
    view.upstreams.put(10, record("back", UpstreamState::Ready));
    assert!(view.upstreams.accepts_work(&"back".to_owned()));
    assert!(!view.upstreams.accepts_work(&"lost".to_owned()));
    assert!(view.upstreams.get(&"lost".to_owned()).is_none());
    assert_eq!(view.upstreams.ready(&"tiles".to_owned()).len(), 1);
}

/// An upstream that restarts under the same id is a new incarnation: conditions that any host found for the previous
/// one do not apply to it, however late they are reported.
#[test]
fn a_new_incarnation_inherits_no_condition_or_work() {
    let view = View::default();
    let born = |born| UpstreamRecord {
        born: Some(born),
        ..record("e", UpstreamState::Ready)
    };
    let now = clock::now();
    view.upstreams.put(1, born(5_000));
    let before = view.upstreams.get(&"e".to_owned()).unwrap();
    before.suspect(now);
    before.begin(Work {
        running: 1,
        ..Work::default()
    });
    // The clock of its machine was set back in the meantime: the order of the store shows which incarnation is newer.
    assert!(view.upstreams.put(2, born(4_000)));
    let after = view.upstreams.get(&"e".to_owned()).unwrap();
    assert!(!after.is_suspected(now));
    assert_eq!(after.own_work(), Work::default());
    assert!(
        before.is_replaced(),
        "tasks that wait for the earlier incarnation are woken"
    );
    for found in [
        Condition::Suspected(Some(5_000)),
        Condition::Replaced(Some(5_000)),
        Condition::Failing(Some(5_000)),
    ] {
        assert!(!after.apply_peer_condition(found, now), "{found:?}");
    }
    assert!(!after.is_suspected(now) && !after.is_failing(now));
    assert!(after.apply_peer_condition(Condition::Suspected(Some(4_000)), now));
    // A late row of the earlier incarnation is not applied.
    assert!(!view.upstreams.put(1, born(5_000)));
}

/// A valid row is overwritten by another writer.
#[test]
fn an_unreadable_row_lists_no_upstream() {
    let view = View::default();
    let id = "e".to_owned();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    view.upstreams.put(2, record("f", UpstreamState::Ready));
    assert!(view.upstreams.put_unreadable(3, &id));
    assert!(
        !view.upstreams.put_unreadable(3, &id),
        "it is reported once"
    );
    assert!(view.upstreams.get(&id).is_none());
    assert!(!view.upstreams.accepts_work(&id));
    assert!(view.upstreams.accepts_work(&"f".to_owned()));
    assert!(!view.upstreams.put(1, record("e", UpstreamState::Ready)));
    assert!(view.upstreams.put(4, record("e", UpstreamState::Ready)));
    assert!(view.upstreams.accepts_work(&id));
}
