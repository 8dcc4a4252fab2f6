//! What upstreams said of themselves: for how long it binds, which life of them, and its bounds.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
    tealshore_core::ids::StartTime,
    tealshore_notices::{
        KEPT_PAST_LIFE, LONGEST_REST, MOST_UPSTREAMS, MOST_WORDS, Notices, RestAsked, Standing,
        UNREADABLE_REST, UnknownWords,
    },
};

const FIRST: StartTime = Some(1_000);
const SECOND: StartTime = Some(900);

fn engine() -> EngineId {
    "i-one".to_owned()
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn is_open(notices: &Notices, born: StartTime, now: Instant) -> bool {
    notices.standing(&engine(), born, now) == Standing::Open
}

fn started() -> (Notices, Instant) {
    tealshore_core::protection::start();
    (Notices::default(), Instant::now())
}

#[test]
fn a_rest_binds_to_its_end_and_not_longer() {
    let (mut notices, now) = started();
    assert!(notices.note_rest(&engine(), FIRST, seconds(3), now));
    let almost = now + seconds(3) - Duration::from_millis(1);
    assert!(!is_open(&notices, FIRST, almost));
    assert!(is_open(&notices, FIRST, now + seconds(3)));
}

#[test]
fn of_two_rests_the_one_that_ends_later_binds() {
    for (first, second) in [(3, 1), (1, 3)] {
        let (mut notices, now) = started();
        notices.note_rest(&engine(), FIRST, seconds(first), now);
        let is_news = notices.note_rest(&engine(), FIRST, seconds(second), now);
        assert!(!is_news, "it rested already");
        assert!(!is_open(&notices, FIRST, now + seconds(2)));
        assert!(is_open(&notices, FIRST, now + seconds(3)));
    }
}

#[test]
fn a_rest_of_no_time_and_one_past_all_bounds_do_no_harm() {
    let (mut notices, now) = started();
    assert!(!notices.note_rest(&engine(), FIRST, Duration::ZERO, now));
    assert!(is_open(&notices, FIRST, now));
    notices.note_rest(&engine(), FIRST, Duration::MAX, now);
    assert!(!is_open(&notices, FIRST, now + LONGEST_REST / 2));
    assert!(is_open(&notices, FIRST, now + LONGEST_REST));
    assert_eq!(RestAsked::For(Duration::MAX).duration(), Some(LONGEST_REST));
    assert_eq!(RestAsked::Unreadable.duration(), Some(UNREADABLE_REST));
    assert_eq!(RestAsked::No.duration(), None);
}

#[test]
fn a_rest_binds_towards_another_life_for_a_moment_only() {
    let (mut notices, now) = started();
    notices.note_rest(&engine(), FIRST, seconds(600), now);
    assert!(!is_open(&notices, SECOND, now));
    assert!(is_open(&notices, SECOND, now + KEPT_PAST_LIFE));
    assert!(!is_open(&notices, FIRST, now + KEPT_PAST_LIFE));
}

#[test]
fn a_life_that_leaves_never_wants_work_again_and_the_next_one_does() {
    let (mut notices, now) = started();
    assert!(notices.note_leaving(&engine(), FIRST, now));
    assert!(!notices.note_leaving(&engine(), FIRST, now));
    let later = now + seconds(1_000);
    assert_eq!(notices.standing(&engine(), FIRST, later), Standing::Leaving);
    assert!(is_open(&notices, SECOND, now));
}

#[test]
fn what_is_remembered_is_bounded_and_the_newest_words_are_kept() {
    let (mut notices, start) = started();
    let mut now = start;
    for number in 0..MOST_UPSTREAMS + 100 {
        now += Duration::from_millis(1);
        notices.note_leaving(&format!("i-{number}"), FIRST, now);
    }
    assert_eq!(notices.len(), MOST_UPSTREAMS);
    let newest = format!("i-{}", MOST_UPSTREAMS + 99);
    assert_eq!(notices.standing(&newest, FIRST, now), Standing::Leaving);
}

proptest! {
    /// Whatever was asked, and in whatever order: until each rest is over, the life that asked for it is
    /// not open, and after the last one it is.
    #[test]
    fn each_rest_binds_to_its_end(
        asked in prop::collection::vec((0_u64..5_000, 0_u64..4_000), 1..20),
        look_ms in 0_u64..10_000,
    ) {
        let (mut notices, start) = started();
        let mut asked = asked;
        asked.sort_unstable();
        let look = start + Duration::from_millis(look_ms);
        let mut binds = false;
        for (at_ms, rest_ms) in asked.into_iter().filter(|(at_ms, _)| *at_ms <= look_ms) {
            let at = start + Duration::from_millis(at_ms);
            let rest = Duration::from_millis(rest_ms);
            notices.note_rest(&engine(), FIRST, rest, at);
            binds |= at + rest > look;
        }
        prop_assert_eq!(!is_open(&notices, FIRST, look), binds);
    }
}

/// A word that nobody reads is told on the first day that it is said, and not again for each answer.
#[test]
fn an_unknown_word_is_told_once_for_each_life_and_not_without_bound() {
    let mut words = UnknownWords::default();
    let id = "i-1".to_owned();
    assert!(words.note(&id, Some(1), "server-mood"));
    assert!(!words.note(&id, Some(1), "server-mood"));
    assert!(words.note(&id, Some(2), "server-mood"));
    assert!(words.note(&id, Some(2), "server-wish"));
    let told = (0..MOST_WORDS * 2)
        .filter(|number| words.note(&id, Some(3), &format!("word-{number}")))
        .count();
    assert_eq!(told, MOST_WORDS - 3);
}
