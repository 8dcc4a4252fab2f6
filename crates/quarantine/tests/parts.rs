//! Tests of which parts of prompts are quarantined, and of what hosts exchange about them.

use {
    std::time::{Duration, Instant},
    tealshore_quarantine::{
        log::{QUARANTINE_PERIOD, UpdateScope, Verdict},
        parts::{
            PartId,
            crash::{PartCrash, PossibleCause},
            log::{Audience, MAX_REPORTS, PartLog},
        },
    },
};

const FIRST_PART: PartId = 1;
const BAD_PART: PartId = 2;
const OTHER_PART: PartId = 3;
const RUNTIME: u64 = 77;
const RUN_MS: u64 = 50;
/// The time between two crashes.
const CRASH_INTERVAL_MS: u64 = 100;

fn base_instant() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns the crash of an upstream of its own at `ended_ms`.
fn crash(start: Instant, request: u64, parts: &[PartId], ended_ms: u64) -> PartCrash {
    let causes = parts.iter().map(|part| PossibleCause {
        part: *part,
        began_before: false,
    });
    PartCrash {
        run: request * 1_000_000 + ended_ms,
        upstream: format!("i-{ended_ms}"),
        request,
        runtime: RUNTIME,
        causes: causes.collect(),
        began: at(start, ended_ms - RUN_MS),
        ended: at(start, ended_ms),
    }
}

/// Records this many crashes of requests with these parts, none of them twice.
fn log_of(start: Instant, parts: &[PartId], crashes: u64) -> PartLog {
    let mut log = PartLog::new(start);
    for request in 1..=crashes {
        let ended_ms = request * CRASH_INTERVAL_MS;
        let crash = crash(start, request, parts, ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    log
}

/// Whether a new request with these parts is refused.
fn is_refused(log: &mut PartLog, parts: &[PartId], now: Instant) -> bool {
    log.verdict(999, parts, |_| 0, now) != Verdict::Allowed
}

#[test]
fn a_part_is_quarantined_after_three_crashes_under_different_requests() {
    let start = base_instant();
    let parts: &[PartId] = &[FIRST_PART, BAD_PART];
    let mut log = log_of(start, parts, 2);
    assert!(!is_refused(&mut log, parts, at(start, 1_000)));
    let mut log = log_of(start, parts, 3);
    assert!(is_refused(&mut log, parts, at(start, 1_000)));
}

/// Whatever the requests, five crashes are enough, if no request crashes more than three upstreams.
#[test]
fn five_crashes_under_two_requests_quarantine_a_part() {
    let start = base_instant();
    let parts = [FIRST_PART, BAD_PART];
    for requests in [[1, 1, 1, 2, 2], [1, 2, 1, 2, 1], [1, 1, 1, 2, 3]] {
        let mut log = PartLog::new(start);
        for (number, request) in (1..).zip(requests) {
            let ended_ms = number * CRASH_INTERVAL_MS;
            log.record_crash(crash(start, request, &parts, ended_ms), at(start, ended_ms));
        }
        assert!(
            is_refused(&mut log, &parts, at(start, 1_000)),
            "{requests:?}"
        );
    }
}

/// Two requests that crash upstreams by themselves share the first part of all prompts, and other streams run beside
/// them: the part was refused for ten minutes to all callers.
#[test]
fn two_requests_that_crash_upstreams_do_not_quarantine_a_part_on_which_answers_began() {
    let start = base_instant();
    let parts = [FIRST_PART];
    let mut log = PartLog::new(start);
    log.record_begin(&parts, RUNTIME, at(start, 10));
    for (number, request) in (1..).zip([1, 2, 1, 2, 1]) {
        let ended_ms = number * CRASH_INTERVAL_MS;
        log.record_crash(crash(start, request, &parts, ended_ms), at(start, ended_ms));
        // A stream that had just begun at the same upstream.
        let mut beside = crash(start, 10 + number, &parts, ended_ms);
        beside.began = at(start, ended_ms - RUN_MS / 2);
        log.record_crash(beside, at(start, ended_ms));
    }
    assert!(!is_refused(&mut log, &parts, at(start, 1_000)));
    // The third request that crashes an upstream of its own speaks against the part.
    let ended_ms = 6 * CRASH_INTERVAL_MS;
    log.record_crash(crash(start, 3, &parts, ended_ms), at(start, ended_ms));
    assert!(is_refused(&mut log, &parts, at(start, 1_000)));
}

/// Returns a log in which three requests put a part in quarantine, on which answers began before.
fn log_of_doubtful_part(start: Instant) -> PartLog {
    let mut log = PartLog::new(start);
    log.record_begin(&[FIRST_PART], RUNTIME, at(start, 39_000));
    for request in 1..=3 {
        let ended_ms = 40_000 + request * CRASH_INTERVAL_MS;
        let crash = crash(start, request, &[FIRST_PART], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    log
}

/// All prompts have the part, so all were refused for ten minutes and no answer could begin that clears it.
#[test]
fn a_part_on_which_answers_began_is_cleared_by_one_request_seconds_after_its_quarantine_began() {
    let start = base_instant();
    let mut log = log_of_doubtful_part(start);
    let parts = [FIRST_PART];
    assert!(is_refused(&mut log, &parts, at(start, 43_000)));
    let now = at(start, 44_000);
    let crasher = log.verdict(2, &parts, |_| 0, now);
    assert_ne!(crasher, Verdict::Allowed, "it crashed an upstream itself");
    let other_host = log.verdict(50, &parts, |_| 1, now);
    assert_ne!(other_host, Verdict::Allowed, "another host is the first");
    assert_eq!(log.verdict(50, &parts, |_| 0, now), Verdict::Allowed);
    assert_ne!(log.verdict(51, &parts, |_| 0, now), Verdict::Allowed);
    assert!(log.record_begin(&parts, RUNTIME, at(start, 44_100)));
    assert_eq!(
        log.verdict(51, &parts, |_| 0, at(start, 44_100)),
        Verdict::Allowed
    );
}

#[test]
fn one_crash_in_an_early_trial_ends_early_trials_on_all_hosts() {
    let start = base_instant();
    let mut log = log_of_doubtful_part(start);
    let parts = [FIRST_PART];
    let now = at(start, 44_000);
    assert_eq!(log.verdict(50, &parts, |_| 0, now), Verdict::Allowed);
    log.record_crash(crash(start, 50, &parts, 44_100), at(start, 44_100));
    let mut other = PartLog::new(start);
    let reports = log.reports(at(start, 44_100), UpdateScope::Group);
    other.merge(&reports, Audience::Nobody, at(start, 44_100));
    for log in [&mut log, &mut other] {
        for later_ms in [44_200, 48_000, 600_000, 644_000] {
            let verdict = log.verdict(51, &parts, |_| 0, at(start, later_ms));
            assert_ne!(verdict, Verdict::Allowed, "{later_ms} ms");
        }
    }
}

#[test]
fn a_part_on_which_no_answer_began_has_no_early_trial() {
    let start = base_instant();
    let mut log = log_of(start, &[BAD_PART], 3);
    for later_ms in [35_000, 60_000, 600_000] {
        assert!(is_refused(&mut log, &[BAD_PART], at(start, later_ms)));
    }
}

#[test]
fn the_crashes_of_one_request_do_not_quarantine_its_parts() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    for number in 1..=5 {
        let ended_ms = number * CRASH_INTERVAL_MS;
        let crash = crash(start, 1, &[FIRST_PART, BAD_PART], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    assert!(!is_refused(
        &mut log,
        &[FIRST_PART, BAD_PART],
        at(start, 1_000)
    ));
}

/// A hall fails while its upstreams begin to answer prompts with one first part.
#[test]
fn upstreams_that_crash_together_count_once() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    for request in 1..=8 {
        let mut crash = crash(start, request, &[FIRST_PART], 500 + request);
        crash.began = at(start, 440 + request);
        log.record_crash(crash, at(start, 600));
    }
    assert!(!is_refused(&mut log, &[FIRST_PART], at(start, 1_000)));
}

/// Each of these crashes has both parts, so only a request with both is certain to crash an upstream.
#[test]
fn requests_without_all_parts_of_a_group_are_allowed() {
    let start = base_instant();
    let mut log = log_of(start, &[FIRST_PART, BAD_PART], 4);
    let now = at(start, 1_000);
    assert!(is_refused(&mut log, &[FIRST_PART, BAD_PART], now));
    assert!(is_refused(
        &mut log,
        &[BAD_PART, OTHER_PART, FIRST_PART],
        now
    ));
    assert!(!is_refused(&mut log, &[FIRST_PART], now));
    assert!(!is_refused(&mut log, &[FIRST_PART, OTHER_PART], now));
}

#[test]
fn a_part_on_which_an_answer_begins_is_excluded() {
    let start = base_instant();
    let mut log = log_of(start, &[FIRST_PART, BAD_PART], 4);
    let now = at(start, 1_000);
    assert!(log.record_begin(&[FIRST_PART, OTHER_PART], RUNTIME, now));
    assert!(is_refused(&mut log, &[BAD_PART], now));
    assert!(!is_refused(&mut log, &[FIRST_PART], now));
    assert!(log.record_begin(&[BAD_PART], RUNTIME, now));
    assert!(!is_refused(&mut log, &[FIRST_PART, BAD_PART], now));
}

#[test]
fn an_answer_that_began_before_the_crash_or_on_another_runtime_excludes_nothing() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    log.record_begin(&[BAD_PART], RUNTIME, at(start, 10));
    for request in 1..=4 {
        let ended_ms = request * CRASH_INTERVAL_MS;
        log.record_crash(
            crash(start, request, &[BAD_PART], ended_ms),
            at(start, ended_ms),
        );
    }
    let now = at(start, 1_000);
    assert!(!log.record_begin(&[BAD_PART], RUNTIME + 1, now));
    assert!(is_refused(&mut log, &[BAD_PART], now));
}

/// Two parts crash upstreams in requests with the same first part, on which no answer has begun since.
#[test]
fn the_first_part_of_two_crashing_parts_is_not_refused() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    log.record_begin(&[FIRST_PART], RUNTIME, at(start, 10));
    for request in 1..=8 {
        let bad = BAD_PART + 10 * (request % 2);
        let ended_ms = request * CRASH_INTERVAL_MS;
        let crash = crash(start, request, &[FIRST_PART, bad], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    let now = at(start, 2_000);
    assert!(is_refused(&mut log, &[FIRST_PART, BAD_PART], now));
    assert!(is_refused(&mut log, &[FIRST_PART, BAD_PART + 10], now));
    assert!(!is_refused(&mut log, &[FIRST_PART, OTHER_PART], now));
}

/// An answer on the first part excluded it from the first of these crashes, so it is not in the group of the other.
#[test]
fn a_crashing_part_and_two_requests_that_crash_upstreams_do_not_quarantine_their_first_part() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    let both = [FIRST_PART, BAD_PART];
    log.record_crash(crash(start, 1, &both, 100), at(start, 100));
    log.record_begin(&[FIRST_PART], RUNTIME, at(start, 150));
    for (request, ended_ms) in [(2, 300), (2, 400)] {
        let crash = crash(start, request, &both, ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    for (request, ended_ms) in [(3, 500), (4, 600)] {
        let crash = crash(start, request, &[FIRST_PART], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    let now = at(start, 1_000);
    assert!(is_refused(&mut log, &both, now));
    assert!(!is_refused(&mut log, &[FIRST_PART, OTHER_PART], now));
}

/// All upstreams are down, so no answer could begin on a part that all prompts share.
#[test]
fn a_part_explained_by_another_stays_allowed_while_no_answer_begins_at_all() {
    let start = base_instant();
    let mut log = PartLog::new(start);
    log.record_begin(&[BAD_PART], RUNTIME, at(start, 10));
    for (request, ended_ms) in [(1, 100), (1, 200), (1, 300), (2, 400)] {
        let crash = crash(start, request, &[FIRST_PART, BAD_PART], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    let other_first = crash(start, 3, &[OTHER_PART, BAD_PART], 4_000);
    log.record_crash(other_first, at(start, 4_000));
    assert!(!is_refused(&mut log, &[100, BAD_PART], at(start, 4_010)));
}

/// Requests that begin on the same upstreams as the crashing ones lose them as often, but for once.
#[test]
fn a_part_beside_a_crashing_one_is_not_refused() {
    let start = base_instant();
    let mut log = log_of(start, &[BAD_PART], 5);
    for request in 2..=5 {
        let ended_ms = request * CRASH_INTERVAL_MS;
        let crash = crash(start, 100 + request, &[OTHER_PART], ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    let now = at(start, 1_000);
    assert!(is_refused(&mut log, &[BAD_PART], now));
    assert!(!is_refused(&mut log, &[OTHER_PART], now));
}

#[test]
fn a_retracted_crash_does_not_count_on_any_host() {
    let start = base_instant();
    let mut log = log_of(start, &[BAD_PART], 3);
    let now = at(start, 1_000);
    let mut other = PartLog::new(start);
    other.merge(&log.reports(now, UpdateScope::Group), Audience::Nobody, now);
    assert!(is_refused(&mut other, &[BAD_PART], now));
    let run = crash(start, 2, &[BAD_PART], 2 * CRASH_INTERVAL_MS).run;
    assert!(log.retract(run, now));
    assert!(!is_refused(&mut log, &[BAD_PART], now));
    let told = log.take_unsent(now).for_fleet;
    assert!(other.merge(&told, Audience::Nobody, now));
    assert!(!is_refused(&mut other, &[BAD_PART], now));
}

#[test]
fn merging_in_any_order_and_repeatedly_leads_to_the_same_verdicts() {
    let start = base_instant();
    let now = at(start, 1_000);
    let parts: &[PartId] = &[FIRST_PART, BAD_PART];
    let mut one = log_of(start, parts, 4);
    let before = one.reports(now, UpdateScope::Group);
    one.record_begin(&[FIRST_PART], RUNTIME, now);
    let after = one.reports(now, UpdateScope::Group);
    for order in [[&before, &after], [&after, &before]] {
        let mut other = PartLog::new(start);
        for reports in order {
            other.merge(reports, Audience::Nobody, now);
            other.merge(reports, Audience::Nobody, now);
        }
        assert!(is_refused(&mut other, &[BAD_PART], now));
        assert!(!is_refused(&mut other, &[FIRST_PART], now));
    }
}

/// After a quarantine one host tries one request; all others wait for their turn.
#[test]
fn one_host_after_the_other_tries_after_a_quarantine() {
    let start = base_instant();
    let mut log = log_of(start, &[BAD_PART], 3);
    let last = at(start, 3 * CRASH_INTERVAL_MS);
    let parts = [BAD_PART];
    let before = last + QUARANTINE_PERIOD - Duration::from_millis(1);
    assert_ne!(log.verdict(50, &parts, |_| 0, before), Verdict::Allowed);
    let after = last + QUARANTINE_PERIOD + Duration::from_secs(1);
    assert_ne!(log.verdict(50, &parts, |_| 1, after), Verdict::Allowed);
    assert_eq!(log.verdict(50, &parts, |_| 0, after), Verdict::Allowed);
    assert_eq!(log.verdict(50, &parts, |_| 0, after), Verdict::Allowed);
    assert_ne!(log.verdict(51, &parts, |_| 0, after), Verdict::Allowed);
    let next_turn = after + Duration::from_secs(15);
    let mut of_next_host = log_of(start, &[BAD_PART], 3);
    let verdict = of_next_host.verdict(51, &parts, |_| 1, next_turn);
    assert_eq!(verdict, Verdict::Allowed);
}

#[test]
fn one_crash_in_a_trial_quarantines_the_part_again() {
    let start = base_instant();
    let mut log = log_of(start, &[BAD_PART], 3);
    let later_ms = 700_000;
    let now = at(start, later_ms);
    assert!(!is_refused(&mut log, &[BAD_PART], now));
    log.record_crash(crash(start, 999, &[BAD_PART], later_ms), now);
    assert!(is_refused(
        &mut log,
        &[BAD_PART],
        at(start, later_ms + 500_000)
    ));
}

/// A host that just started knows no others, so it may not take itself for the first.
#[test]
fn a_host_that_just_started_tries_nothing() {
    let start = base_instant();
    let now = at(start, 700_000);
    let reports = log_of(start, &[BAD_PART], 3).reports(now, UpdateScope::Group);
    let mut log = PartLog::new(now);
    log.merge(&reports, Audience::Nobody, now);
    assert!(is_refused(&mut log, &[BAD_PART], now));
    assert!(!is_refused(
        &mut log,
        &[BAD_PART],
        now + Duration::from_secs(31)
    ));
}

/// A caller that makes up parts does not displace what is known of one that crashes upstreams.
#[test]
fn many_parts_with_one_crash_each_stay_within_bounds_and_displace_no_suspect() {
    let start = base_instant();
    let mut log = log_of(start, &[FIRST_PART, BAD_PART], 5);
    for number in 0..1_500_u64 {
        let ended_ms = 1_000 + 20 * number;
        let parts: Vec<PartId> = (0..8).map(|part| 1_000 + 8 * number + part).collect();
        let crash = crash(start, 1_000 + number, &parts, ended_ms);
        log.record_crash(crash, at(start, ended_ms));
    }
    let now = at(start, 100_000);
    assert!(is_refused(&mut log, &[FIRST_PART, BAD_PART], now));
    assert!(log.reports(now, UpdateScope::Group).len() <= MAX_REPORTS);
    let crashes = log.take_unsent(now).for_fleet;
    assert!(crashes.len() <= 256, "{}", crashes.len());
}

/// A sound request with the first part of the crashing ones loses an upstream beside one of them.
#[test]
fn a_first_part_that_lost_an_upstream_beside_a_crashing_part_is_not_refused() {
    let start = base_instant();
    let mut log = log_of(start, &[FIRST_PART, BAD_PART], 4);
    let other_first = crash(start, 5, &[OTHER_PART, BAD_PART], 500);
    log.record_crash(other_first, at(start, 500));
    let beside = crash(start, 105, &[FIRST_PART], 500);
    log.record_crash(beside, at(start, 500));
    let now = at(start, 1_000);
    assert!(!is_refused(&mut log, &[FIRST_PART], now));
    assert!(is_refused(&mut log, &[FIRST_PART, BAD_PART], now));
}
