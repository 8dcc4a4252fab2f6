//! What a host believes: never older than what it knew, and with an age.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_gateway::view::{
        Condition, Configuration, Route, RouteKind, StoreClock, Target, UpstreamRecord,
        UpstreamState, View,
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
        service: "tiles".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "a".to_owned(),
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
            let is_news = highest.is_none_or(|highest| version > highest);
            prop_assert_eq!(view.apply(configuration(version)), is_news);
            highest = highest.max(Some(version));
            prop_assert_eq!(Some(view.version()), highest);
        }
    }

    /// An answer is never taken for fresher than it can be: the store wrote it before it
    /// arrived, whatever the delays on the way.
    #[test]
    fn an_answer_is_never_taken_for_younger_than_it_is_by_more_than_the_least_delay(
        calls in prop::collection::vec((0_u64..3_000, 1_u64..400, 1_u64..400), 1..40)
    ) {
        let start = Instant::now();
        let store_start = Duration::from_secs(777);
        let mut clock = StoreClock::default();
        let mut now_ms = 0;
        let mut least_ms = u64::MAX;
        for (wait_ms, there_ms, back_ms) in calls {
            let asked = start + Duration::from_millis(now_ms);
            let written_ms = now_ms + there_ms + wait_ms;
            let arrived_ms = written_ms + back_ms;
            least_ms = least_ms.min(back_ms);
            let store_time = store_start + Duration::from_millis(written_ms);
            let arrived = start + Duration::from_millis(arrived_ms);
            let told = clock.written_at(store_time, asked, arrived);
            let truth = start + Duration::from_millis(written_ms);
            prop_assert!(told >= asked && told <= arrived);
            prop_assert!(told <= truth + Duration::from_millis(least_ms));
            now_ms = arrived_ms;
        }
    }
}

#[test]
fn a_store_clock_that_went_back_is_another_clock() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut clock = StoreClock::default();
    clock.written_at(Duration::from_secs(100), at(0), at(10));
    let told = clock.written_at(Duration::from_secs(1), at(20), at(2_020));
    assert!(told >= at(20) && told <= at(2_020));
}

#[test]
fn the_age_counts_from_the_last_confirmation() {
    let view = View::default();
    let start = Instant::now();
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
    assert!(!upstreams.takes_work(&"e".to_owned()));
    assert!(upstreams.remove(6, &"e".to_owned()));
    assert!(!upstreams.put(5, record("e", UpstreamState::Ready)));
    assert!(upstreams.get(&"e".to_owned()).is_none());
}

#[test]
fn what_a_whole_set_lacks_has_gone() {
    let view = View::default();
    let upstreams = &view.upstreams;
    upstreams.put(1, record("stays", UpstreamState::Ready));
    upstreams.put(2, record("goes", UpstreamState::Ready));
    assert_eq!(upstreams.retain(3, &["stays".to_owned()]), 1);
    assert!(upstreams.takes_work(&"stays".to_owned()));
    assert!(!upstreams.takes_work(&"goes".to_owned()));
}

#[test]
fn suspicion_passes_and_a_replaced_incarnation_stays_avoided() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = Instant::now();
    assert!(upstream.suspect(now));
    assert!(!upstream.suspect(now));
    assert!(upstream.is_suspected(now));
    assert!(!upstream.is_suspected(now + Duration::from_secs(2)));
    upstream.gone_for_good(now);
    assert!(!upstream.suspect(now + Duration::from_secs(2)));
    assert!(upstream.is_suspected(now + Duration::from_secs(60)));
}

#[test]
fn a_peers_suspicion_is_not_told_on() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = Instant::now();
    assert!(upstream.suspect_by_word(now));
    assert!(upstream.is_suspected(now));
    assert_eq!(upstream.condition_here(now), Condition::Sound);
}

#[test]
fn a_replacement_that_a_peer_met_is_believed_and_not_told_on() {
    let view = View::default();
    view.upstreams.put(1, record("e", UpstreamState::Ready));
    let upstream = view.upstreams.get(&"e".to_owned()).unwrap();
    let now = Instant::now();
    assert!(upstream.replaced_by_word(now));
    assert!(!upstream.replaced_by_word(now));
    // It is another one for good, unlike one that only seems dead.
    assert!(upstream.is_suspected(now + Duration::from_secs(60)));
    assert_eq!(upstream.condition_here(now), Condition::Sound);
    let met = view.upstreams.put(2, record("f", UpstreamState::Ready));
    assert!(met);
    let met = view.upstreams.get(&"f".to_owned()).unwrap();
    met.gone_for_good(now);
    assert_eq!(met.condition_here(now), Condition::Replaced);
}

#[test]
fn an_incarnation_gives_way_to_a_younger_one_at_its_address() {
    let view = View::default();
    view.upstreams.put(1, record("old", UpstreamState::Ready));
    view.upstreams.put(2, record("twin", UpstreamState::Ready));
    let get = |id: &str| view.upstreams.get(&id.to_owned()).unwrap();
    // Two that are listed at once: nothing tells which one lives.
    assert!(!get("old").is_suspected(Instant::now()));
    std::thread::sleep(Duration::from_millis(600));
    view.upstreams.put(3, record("young", UpstreamState::Ready));
    let now = Instant::now();
    assert!(get("old").is_suspected(now));
    assert!(!get("young").is_suspected(now));
    // A late row of the old one changes nothing.
    view.upstreams.put(4, record("old", UpstreamState::Leaving));
    assert!(!get("young").is_suspected(Instant::now()));
}

#[test]
fn rows_that_lapsed_while_the_store_was_away_count_for_a_while() {
    let view = View::default();
    view.upstreams.put(1, record("back", UpstreamState::Ready));
    view.upstreams.put(2, record("lost", UpstreamState::Ready));
    view.upstreams
        .put(3, record("leaving", UpstreamState::Leaving));
    let takes_work = |id: &str| view.upstreams.takes_work(&id.to_owned());
    let until = Instant::now() + Duration::from_millis(300);
    assert_eq!(view.upstreams.retain_lapsed(9, &[], until), 3);
    assert!(takes_work("back") && takes_work("lost"));
    // One that was leaving is bound to leave whatever the store lost.
    assert!(!takes_work("leaving"));
    view.upstreams.put(10, record("back", UpstreamState::Ready));
    std::thread::sleep(Duration::from_millis(320));
    assert!(takes_work("back"));
    assert!(!takes_work("lost"));
    assert!(view.upstreams.get(&"lost".to_owned()).is_none());
    assert_eq!(view.upstreams.ready(&"tiles".to_owned()).len(), 1);
}
