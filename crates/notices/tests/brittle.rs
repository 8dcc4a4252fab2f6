//! Upstreams that fail if they have to reject too many requests.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
    tealshore_notices::{
        BRITTLE_AFTER_RESTART, BRITTLE_RETENTION, BrittleUpstreams, Brittleness,
        MAX_REJECTION_PAUSE, host_places,
    },
};

const BORN: Option<u64> = Some(7);

fn id() -> EngineId {
    "i-1".to_owned()
}

fn brittle(max: f64, now: Instant) -> BrittleUpstreams {
    let mut upstreams = BrittleUpstreams::default();
    assert!(upstreams.record(&id(), BORN, Brittleness::MaxRejections(max), now, now));
    upstreams
}

#[test]
fn an_answer_without_a_notice_ends_it_unless_its_request_was_sent_before() {
    let start = Instant::now();
    let mut upstreams = brittle(3.0, start);
    let later = start + Duration::from_millis(50);
    assert!(!upstreams.record(&id(), BORN, Brittleness::No, start, later));
    assert!(upstreams.is_brittle(&id(), BORN, later));
    assert!(upstreams.record(&id(), BORN, Brittleness::No, later, later));
    assert!(!upstreams.is_brittle(&id(), BORN, later));
}

#[test]
fn a_notice_applies_to_the_next_incarnation_for_a_while() {
    let start = Instant::now();
    let upstreams = brittle(3.0, start);
    let restarted = Some(8);
    assert!(upstreams.is_brittle(&id(), restarted, start));
    assert!(!upstreams.is_brittle(&id(), restarted, start + BRITTLE_AFTER_RESTART));
    assert!(upstreams.is_brittle(&id(), BORN, start + BRITTLE_AFTER_RESTART));
    assert!(!upstreams.is_brittle(&id(), BORN, start + BRITTLE_RETENTION));
}

#[test]
fn all_hosts_together_cause_no_more_rejections_than_the_upstream_bears() {
    let now = Instant::now();
    for (max, hosts) in [(3.0, 9_usize), (8.0, 2), (40.0, 104)] {
        let pause = brittle(max, now).pause_after_rejection(&id(), BORN, hosts, now);
        let per_s = 1.0 / pause.unwrap().as_secs_f64();
        let hosts = f64::from(u32::try_from(hosts).unwrap());
        assert!(hosts * per_s <= max * 1.000_1, "{max} {hosts}: {pause:?}");
    }
    for announced in [Brittleness::MaxRejections(0.0), Brittleness::Unreadable] {
        let mut upstreams = BrittleUpstreams::default();
        upstreams.record(&id(), BORN, announced, now, now);
        let pause = upstreams.pause_after_rejection(&id(), BORN, 9, now);
        assert_eq!(pause, Some(MAX_REJECTION_PAUSE));
    }
    let none = BrittleUpstreams::default();
    assert_eq!(none.pause_after_rejection(&id(), BORN, 9, now), None);
}

#[test]
fn the_places_of_all_hosts_are_the_slots_of_the_upstream() {
    for (slots, hosts) in [(6, 9), (6, 4), (24, 9), (64, 104), (1, 1), (0, 3)] {
        let places: u32 = (0..hosts).map(|at| host_places(slots, hosts, at)).sum();
        assert_eq!(places, slots, "{slots} {hosts}");
    }
}
