//! Tests of the known limits for answers and updates that arrive in any order.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
    tealshore_rates::{AdvertisedLimit, KnownLimits, LimitChange, LimitUpdate, MAX_UPSTREAMS},
};

const INCARNATION: Option<u64> = Some(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream() -> EngineId {
    "i-1".to_owned()
}

fn update(per_s: Option<f64>, age_ms: u32) -> LimitUpdate {
    LimitUpdate {
        upstream: upstream(),
        born: INCARNATION,
        per_s,
        age_ms,
    }
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_omits_it() {
    let (mut known, start, id) = (KnownLimits::default(), Instant::now(), upstream());
    let change = known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::PerSecond(3.5),
        start,
        start + ms(10),
    );
    let first = LimitChange {
        before: None,
        now: Some(3.5),
    };
    assert_eq!(change, Some(first));
    // This request was sent before the limit was known: its answer may have been created before the limit was
    // advertised.
    let change = known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::No,
        start + ms(5),
        start + ms(20),
    );
    assert_eq!(change, None);
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(20)), Some(3.5));
    let change = known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::No,
        start + ms(30),
        start + ms(40),
    );
    assert_eq!(change.and_then(|change| change.now), None);
    assert!(change.is_some());
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(40)), None);
}

#[test]
fn the_newest_limit_wins_and_an_unreadable_one_changes_nothing() {
    let (mut known, start, id) = (KnownLimits::default(), Instant::now(), upstream());
    for (at, per_s) in [(10, 9.0), (20, 3.5), (30, 50.0)] {
        let at = start + ms(at);
        known.record_answer(
            &id,
            INCARNATION,
            AdvertisedLimit::PerSecond(per_s),
            start,
            at,
        );
        known.record_answer(
            &id,
            INCARNATION,
            AdvertisedLimit::Unreadable,
            start,
            at + ms(1),
        );
        assert_eq!(known.per_s(&id, INCARNATION, at + ms(1)), Some(per_s));
    }
}

#[test]
fn updates_from_other_hosts_are_ordered_by_answer_time() {
    let (mut known, start, id) = (
        KnownLimits::default(),
        Instant::now() + ms(10_000),
        upstream(),
    );
    assert!(known.merge(&update(Some(3.5), 100), start));
    assert_eq!(known.per_s(&id, INCARNATION, start), Some(3.5));
    // Older updates that took longer to arrive.
    assert!(!known.merge(&update(Some(9.0), 400), start + ms(10)));
    assert!(!known.merge(&update(None, 400), start + ms(10)));
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(10)), Some(3.5));
    // The removal of the limit, which another host learned later.
    assert!(known.merge(&update(None, 20), start + ms(50)));
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(50)), None);
    assert!(!known.merge(&update(Some(3.5), 300), start + ms(60)));
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(60)), None);
}

#[test]
fn invalid_limits_are_rejected() {
    let (mut known, now) = (KnownLimits::default(), Instant::now());
    for per_s in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(!known.merge(&update(Some(per_s), 0), now));
    }
    assert!(known.is_empty());
}

/// Answers do not say which incarnation sent them, and the row of a new incarnation arrives later than its
/// first answers.
#[test]
fn a_limit_binds_the_next_incarnation_only_briefly() {
    let (mut known, start, id) = (KnownLimits::default(), Instant::now(), upstream());
    known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::PerSecond(3.5),
        start,
        start,
    );
    assert_eq!(known.per_s(&id, Some(2), start + ms(500)), Some(3.5));
    assert_eq!(known.per_s(&id, Some(2), start + ms(2_500)), None);
    assert_eq!(known.per_s(&id, INCARNATION, start + ms(60_000)), Some(3.5));
}

#[test]
fn removed_limits_are_shared_for_a_time_and_unlisted_upstreams_are_removed() {
    let (mut known, start, id) = (KnownLimits::default(), Instant::now(), upstream());
    known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::PerSecond(3.5),
        start,
        start,
    );
    assert_eq!(known.updates(start + ms(70)), [update(Some(3.5), 70)]);
    known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::No,
        start + ms(100),
        start + ms(110),
    );
    assert_eq!(known.updates(start + ms(110)), [update(None, 0)]);
    assert!(known.updates(start + ms(20_000)).is_empty());
    known.retain(|_| true, start + ms(20_000));
    assert!(known.is_empty());
    known.record_answer(
        &id,
        INCARNATION,
        AdvertisedLimit::PerSecond(3.5),
        start,
        start,
    );
    known.retain(|_| false, start);
    assert!(known.is_empty());
}

#[test]
fn memory_is_bounded() {
    let (mut known, start) = (KnownLimits::default(), Instant::now());
    for number in 0..MAX_UPSTREAMS + 10 {
        let id = format!("i-{number}");
        let at = start + ms(u64::try_from(number).unwrap());
        known.record_answer(&id, INCARNATION, AdvertisedLimit::PerSecond(1.0), at, at);
    }
    let now = start + ms(10_000);
    assert_eq!(known.updates(now).len(), MAX_UPSTREAMS);
    assert_eq!(known.per_s(&upstream(), INCARNATION, now), None);
}
