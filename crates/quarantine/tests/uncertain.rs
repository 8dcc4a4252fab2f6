//! Tests of uncertain crashes: the outcome of further probes, and the bounds on what is kept.

use {
    std::time::{Duration, Instant},
    tealshore_quarantine::{
        crash::Crash,
        log::{CrashLog, Verdict},
        uncertain::{
            CrashEvidence, LONG_SILENCE, MAX_CLOCK_SKEW, NextStep, ProbeResult, REVIEW_PERIOD,
            UncertainCrash, UncertainCrashes, next_step,
        },
    },
};

const SOON: Duration = Duration::from_secs(1);
const SAME_INCARNATION: ProbeResult = ProbeResult::Lives { is_same_life: true };
const UNKNOWN_INCARNATION: ProbeResult = ProbeResult::Lives {
    is_same_life: false,
};

fn end(number: u64, evidence: CrashEvidence, now: Instant) -> UncertainCrash<()> {
    let ended = now + Duration::from_secs(number);
    UncertainCrash {
        crash: Crash {
            attempt: format!("a-{number}"),
            upstream: format!("i-{number}"),
            position: 4,
            run_events: 0,
            began: ended - Duration::from_millis(50),
            ended,
        },
        upstream: (),
        evidence,
    }
}

#[test]
fn silence_counts_only_with_proof_or_when_long_while_others_answer() {
    let silent = |found, age, most_serve| next_step(CrashEvidence::Silent, found, age, most_serve);
    let counts = |stays_open| NextStep::Counts { stays_open };
    assert_eq!(silent(ProbeResult::Silent, SOON, true), NextStep::Wait);
    assert_eq!(silent(SAME_INCARNATION, SOON, true), NextStep::WasNone);
    assert_eq!(silent(UNKNOWN_INCARNATION, SOON, true), NextStep::WasNone);
    assert_eq!(silent(ProbeResult::AnotherLife, SOON, false), counts(false));
    assert_eq!(silent(ProbeResult::Refused, SOON, false), counts(true));
    assert_eq!(
        silent(ProbeResult::PerhapsAnotherLife, SOON, false),
        counts(true)
    );
    assert_eq!(
        silent(ProbeResult::Silent, LONG_SILENCE, true),
        counts(true)
    );
    assert_eq!(
        silent(ProbeResult::Silent, LONG_SILENCE, false),
        NextStep::WasNone
    );
}

#[test]
fn a_counted_crash_is_retracted_only_if_the_same_incarnation_answers() {
    let counted = |found, age| next_step(CrashEvidence::Refused, found, age, true);
    assert_eq!(counted(SAME_INCARNATION, SOON), NextStep::TakeBack);
    assert_eq!(counted(UNKNOWN_INCARNATION, SOON), NextStep::Settled);
    assert_eq!(counted(ProbeResult::AnotherLife, SOON), NextStep::Settled);
    assert_eq!(
        counted(ProbeResult::PerhapsAnotherLife, SOON),
        NextStep::Settled
    );
    for found in [ProbeResult::Refused, ProbeResult::Silent] {
        assert_eq!(counted(found, SOON), NextStep::Wait);
        assert_eq!(counted(found, REVIEW_PERIOD), NextStep::Settled);
    }
}

#[test]
fn a_retracted_crash_lifts_the_quarantine_on_all_hosts() {
    tealshore_core::protection::start();
    let now = Instant::now() + Duration::from_secs(3_600);
    let (mut here, mut there) = (CrashLog::default(), CrashLog::default());
    let ends: Vec<_> = (1..=3)
        .map(|it| end(it, CrashEvidence::Refused, now))
        .collect();
    let last = ends[2].crash.ended;
    for end in &ends {
        here.record(7, end.crash.clone(), last);
    }
    there.merge(&here.suspects(last), last);
    for log in [&here, &there] {
        assert!(matches!(log.verdict(7, last), Verdict::Quarantined { .. }));
    }
    assert!(here.retract(7, &ends[2].crash, last));
    let updates = here.updates(last, tealshore_quarantine::log::UpdateScope::Group);
    there.merge(&updates, last);
    for log in [&here, &there] {
        assert_eq!(log.verdict(7, last), Verdict::Allowed);
    }
}

#[test]
fn silent_crashes_are_listed_but_not_counted() {
    let now = Instant::now();
    let mut ends = UncertainCrashes::default();
    ends.record(7, end(1, CrashEvidence::Silent, now), now);
    ends.record(7, end(2, CrashEvidence::Silent, now), now);
    ends.record(7, end(3, CrashEvidence::Refused, now), now);
    assert_eq!(ends.silent(7).len(), 2);
    let log = CrashLog::default();
    assert_eq!(log.against_with(7, ends.silent(7)), 2);
    assert_eq!(log.against(7), 0);
    ends.settle(7, &end(1, CrashEvidence::Silent, now).crash);
    assert_eq!(ends.of(7).len(), 2);
    ends.clear(7);
    assert!(ends.of(7).is_empty());
}

#[test]
fn uncertain_crashes_are_bounded() {
    let now = Instant::now();
    let mut ends = UncertainCrashes::default();
    for request in 0..2_000 {
        for number in 0..20 {
            ends.record(
                request,
                end(request + number, CrashEvidence::Silent, now),
                now,
            );
        }
    }
    let kept: Vec<usize> = (0..2_000).map(|request| ends.of(request).len()).collect();
    assert!(kept.iter().all(|count| *count <= 8));
    assert!(kept.iter().filter(|count| **count > 0).count() <= 512);
    assert_eq!(kept[1_999], 8, "the newest requests are kept");
}

/// Rows may be older than the incarnations behind them, and clocks differ. Only an incarnation that began well
/// after the run proves that the one that ran it has crashed, and only one that began well before the run
/// proves that it has not.
#[test]
fn the_birth_time_tells_incarnations_apart_beyond_the_clock_skew() {
    let ran = Duration::from_secs(1_700_000_000);
    let little = Duration::from_millis(1);
    let cases = [
        (ran - MAX_CLOCK_SKEW, SAME_INCARNATION),
        (
            ran - MAX_CLOCK_SKEW + little,
            ProbeResult::PerhapsAnotherLife,
        ),
        (ran, ProbeResult::PerhapsAnotherLife),
        (
            ran + MAX_CLOCK_SKEW - little,
            ProbeResult::PerhapsAnotherLife,
        ),
        (ran + MAX_CLOCK_SKEW, ProbeResult::AnotherLife),
    ];
    for (born, expected) in cases {
        assert_eq!(ProbeResult::from_birth(born, ran), expected, "{born:?}");
    }
}
