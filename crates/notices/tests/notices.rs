//! Tests of notices: how long they apply, to which incarnation, and their limits.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
    tealshore_core::ids::StartTime,
    tealshore_notices::{
        Availability, MAX_REST, MAX_UNKNOWN_HEADERS, MAX_UPSTREAMS, Notices, REST_AFTER_RESTART,
        RestRequest, UNREADABLE_REST, UnknownHeaders,
    },
};

const FIRST_INCARNATION: StartTime = Some(1_000);
const SECOND_INCARNATION: StartTime = Some(900);

fn engine() -> EngineId {
    "i-one".to_owned()
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn is_open(notices: &Notices, born: StartTime, now: Instant) -> bool {
    notices.availability(&engine(), born, now) == Availability::Open
}

fn new_notices() -> (Notices, Instant) {
    tealshore_core::protection::start();
    (Notices::default(), Instant::now())
}

#[test]
fn a_rest_binds_to_its_end_and_not_longer() {
    let (mut notices, now) = new_notices();
    assert!(notices.record_rest(&engine(), FIRST_INCARNATION, seconds(3), now));
    let almost = now + seconds(3) - Duration::from_millis(1);
    assert!(!is_open(&notices, FIRST_INCARNATION, almost));
    assert!(is_open(&notices, FIRST_INCARNATION, now + seconds(3)));
}

#[test]
fn the_later_end_of_two_rests_applies() {
    for (first, second) in [(3, 1), (1, 3)] {
        let (mut notices, now) = new_notices();
        notices.record_rest(&engine(), FIRST_INCARNATION, seconds(first), now);
        let is_new = notices.record_rest(&engine(), FIRST_INCARNATION, seconds(second), now);
        assert!(!is_new, "the upstream was resting already");
        assert!(!is_open(&notices, FIRST_INCARNATION, now + seconds(2)));
        assert!(is_open(&notices, FIRST_INCARNATION, now + seconds(3)));
    }
}

#[test]
fn a_rest_of_zero_is_ignored_and_a_huge_one_is_limited() {
    let (mut notices, now) = new_notices();
    assert!(!notices.record_rest(&engine(), FIRST_INCARNATION, Duration::ZERO, now));
    assert!(is_open(&notices, FIRST_INCARNATION, now));
    notices.record_rest(&engine(), FIRST_INCARNATION, Duration::MAX, now);
    assert!(!is_open(&notices, FIRST_INCARNATION, now + MAX_REST / 2));
    assert!(is_open(&notices, FIRST_INCARNATION, now + MAX_REST));
    assert_eq!(RestRequest::For(Duration::MAX).duration(), Some(MAX_REST));
    assert_eq!(RestRequest::Unreadable.duration(), Some(UNREADABLE_REST));
    assert_eq!(RestRequest::No.duration(), None);
}

#[test]
fn a_rest_applies_to_another_incarnation_only_briefly() {
    let (mut notices, now) = new_notices();
    notices.record_rest(&engine(), FIRST_INCARNATION, seconds(600), now);
    assert!(!is_open(&notices, SECOND_INCARNATION, now));
    assert!(is_open(
        &notices,
        SECOND_INCARNATION,
        now + REST_AFTER_RESTART
    ));
    assert!(!is_open(
        &notices,
        FIRST_INCARNATION,
        now + REST_AFTER_RESTART
    ));
}

#[test]
fn a_leaving_incarnation_stays_closed_and_the_next_one_is_open() {
    let (mut notices, now) = new_notices();
    assert!(notices.record_leaving(&engine(), FIRST_INCARNATION, now));
    assert!(!notices.record_leaving(&engine(), FIRST_INCARNATION, now));
    let later = now + seconds(1_000);
    assert_eq!(
        notices.availability(&engine(), FIRST_INCARNATION, later),
        Availability::Leaving
    );
    assert!(is_open(&notices, SECOND_INCARNATION, now));
}

#[test]
fn the_number_of_upstreams_is_limited_and_the_newest_are_kept() {
    let (mut notices, start) = new_notices();
    let mut now = start;
    for number in 0..MAX_UPSTREAMS + 100 {
        now += Duration::from_millis(1);
        notices.record_leaving(&format!("i-{number}"), FIRST_INCARNATION, now);
    }
    assert_eq!(notices.len(), MAX_UPSTREAMS);
    let newest = format!("i-{}", MAX_UPSTREAMS + 99);
    assert_eq!(
        notices.availability(&newest, FIRST_INCARNATION, now),
        Availability::Leaving
    );
}

proptest! {
    /// For any sequence of requests, the incarnation that asked is closed until the last rest ends, and open
    /// afterwards.
    #[test]
    fn an_upstream_rests_until_its_last_rest_ends(
        requests in prop::collection::vec((0_u64..5_000, 0_u64..4_000), 1..20),
        check_ms in 0_u64..10_000,
    ) {
        let (mut notices, start) = new_notices();
        let mut requests = requests;
        requests.sort_unstable();
        let check_at = start + Duration::from_millis(check_ms);
        let mut is_resting = false;
        for (at_ms, rest_ms) in requests.into_iter().filter(|(at_ms, _)| *at_ms <= check_ms) {
            let at = start + Duration::from_millis(at_ms);
            let rest = Duration::from_millis(rest_ms);
            notices.record_rest(&engine(), FIRST_INCARNATION, rest, at);
            is_resting |= at + rest > check_at;
        }
        prop_assert_eq!(!is_open(&notices, FIRST_INCARNATION, check_at), is_resting);
    }
}

/// An unknown header is reported when it first occurs, and not again for each answer.
#[test]
fn an_unknown_header_is_reported_once_per_incarnation_up_to_a_limit() {
    let mut headers = UnknownHeaders::default();
    let id = "i-1".to_owned();
    assert!(headers.record(&id, Some(1), "server-mood"));
    assert!(!headers.record(&id, Some(1), "server-mood"));
    assert!(headers.record(&id, Some(2), "server-mood"));
    assert!(headers.record(&id, Some(2), "server-wish"));
    let accepted = (0..MAX_UNKNOWN_HEADERS * 2)
        .filter(|number| headers.record(&id, Some(3), &format!("word-{number}")))
        .count();
    assert_eq!(accepted, MAX_UNKNOWN_HEADERS - 3);
}
