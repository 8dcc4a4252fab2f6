//! The recent runs that a host knows.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

mod support;

use {
    std::time::{Duration, Instant},
    support::{
        CONTENT, FINGERPRINT, continuation, run, run_of, run_of_earlier_build, trace, wanted,
    },
    tealshore_core::ids::RequestId,
    tealshore_runs::{ContentMatch, KnownRun, RunLocation, RunLog, RunReport, RunState},
};

const NO_AGE: Duration = Duration::ZERO;

fn attempts(reports: &[RunReport]) -> Vec<&str> {
    let attempts = reports
        .iter()
        .map(|report| report.run.trace.request.as_str());
    attempts.collect()
}

fn recent(log: &RunLog, now: Instant) -> Vec<RunReport> {
    log.recent(wanted(), now)
}

fn end(log: &mut RunLog, request: &str, is_complete: bool, now: Instant) {
    log.end(FINGERPRINT, &request.to_owned(), Some(3), is_complete, now);
}

#[test]
fn runs_of_two_callers_who_ask_for_the_same_are_kept_side_by_side() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("first", "here"), now);
    log.record_peer(run("second", "there"), RunLocation::InGroup, NO_AGE, now);
    log.begin(run("third", "here"), now);
    assert_eq!(attempts(&recent(&log, now)), ["first", "second", "third"]);
    let own = log.own(now);
    assert_eq!(own.len(), 2);
}

/// Guards against a stored run that its caller can't be told from, as the other run of its content was not stored.
#[test]
fn runs_are_ambiguous_with_each_other_while_this_process_answers_one_of_them() {
    let mut log = RunLog::default();
    let now = Instant::now();
    let ambiguous = |log: &RunLog| -> Vec<RequestId> {
        let runs = log.ambiguous(now).into_iter();
        runs.map(|run| run.trace.request).collect()
    };
    log.record_peer(run("theirs", "there"), RunLocation::InGroup, NO_AGE, now);
    log.record_peer(run("others", "there"), RunLocation::InGroup, NO_AGE, now);
    assert!(ambiguous(&log).is_empty());
    log.begin(run("own", "here"), now);
    log.begin(run_of("alone", "here", CONTENT + 1), now);
    assert_eq!(ambiguous(&log), ["theirs", "others", "own"]);
    end(&mut log, "own", false, now);
    assert!(ambiguous(&log).is_empty());
}

#[test]
fn a_run_that_continues_the_only_other_one_is_not_ambiguous() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.record_peer(run("earlier", "lost"), RunLocation::InGroup, NO_AGE, now);
    log.begin(continuation("later", "here", "earlier"), now);
    assert!(!log.is_ambiguous(wanted(), now));
    log.begin(run_of_earlier_build("unknown"), now);
    assert!(log.is_ambiguous(wanted(), now));
}

#[test]
fn an_answer_that_ended_is_remembered_with_its_end() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("aborted", "here"), now);
    log.begin(run("complete", "here"), now);
    let state = |log: &RunLog, index: usize| recent(log, now)[index].state;
    assert_eq!(state(&log, 0), Some(RunState::Answering));
    end(&mut log, "aborted", false, now);
    end(&mut log, "complete", true, now);
    let ended = |is_complete| {
        Some(RunState::Ended {
            last_event: Some(3),
            is_complete,
        })
    };
    assert_eq!(state(&log, 0), ended(false));
    assert_eq!(state(&log, 1), ended(true));
    assert!(log.own(now).is_empty());
}

#[test]
fn the_engine_of_an_aborted_run_is_found_and_that_of_a_completed_one_is_not() {
    let mut log = RunLog::default();
    let now = Instant::now();
    let mut other = run("complete", "here");
    other.trace = trace(2, "complete", "e2");
    log.begin(run("aborted", "here"), now);
    log.begin(other, now);
    end(&mut log, "aborted", false, now);
    log.end(2, &"complete".to_owned(), Some(9), true, now);
    let of = |fingerprint| ContentMatch {
        fingerprint,
        content: CONTENT,
    };
    assert_eq!(log.last_engine(of(1), now).as_deref(), Some("engine"));
    assert_eq!(log.last_engine(of(2), now), None);
    assert_eq!(log.last_engine(of(3), now), None);
}

#[test]
fn a_copy_is_removed_before_the_engine_that_read_the_prompt() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("r1", "here"), now);
    end(&mut log, "r1", false, now);
    let soon = &recent(&log, now + Duration::from_secs(2))[0];
    let copy = soon.run.trace.memory_copy().unwrap();
    assert_eq!(
        (copy.upstream.as_str(), copy.name.as_str()),
        ("holder", "r1")
    );
    let late = now + Duration::from_secs(18);
    assert_eq!(recent(&log, late)[0].run.trace.memory_copy(), None);
    assert_eq!(log.last_engine(wanted(), late).as_deref(), Some("engine"));
    assert!(recent(&log, now + Duration::from_secs(60)).is_empty());
}

#[test]
fn a_restored_run_names_its_engine_and_a_recent_copy() {
    let mut log = RunLog::default();
    let now = Instant::now();
    let age = Duration::from_secs(4);
    log.record_peer(run("restored", "lost"), RunLocation::OtherGroup, age, now);
    let copy = recent(&log, now)[0].run.trace.memory_copy().unwrap();
    assert_eq!(copy.name, "restored");
    let later = now + Duration::from_secs(3);
    let known = &recent(&log, later)[0];
    assert_eq!(known.age, Duration::from_secs(7));
    assert_eq!(
        (
            known.run.trace.engine.as_str(),
            known.run.trace.memory_copy()
        ),
        ("engine", None)
    );
}

#[test]
fn the_end_of_an_earlier_attempt_does_not_touch_a_later_one() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("first", "here"), now);
    log.begin(run("second", "here"), now);
    end(&mut log, "first", true, now);
    assert_eq!(recent(&log, now)[1].state, Some(RunState::Answering));
}

#[test]
fn a_peer_report_does_not_replace_a_run_of_this_host() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("same", "here"), now);
    let mut reported = run("same", "there");
    reported.trace.engine = "e2".to_owned();
    log.record_peer(reported, RunLocation::InGroup, NO_AGE, now);
    let known = recent(&log, now);
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].run, run("same", "here"));
}

#[test]
fn a_run_that_moved_to_another_engine_replaces_itself_alone() {
    let mut log = RunLog::default();
    let now = Instant::now();
    for location in ["e1", "e2"] {
        for request in ["a", "b"] {
            let mut moved = run(request, "here");
            moved.trace.engine = location.to_owned();
            log.begin(moved, now);
            let mut moved = run(&format!("{request} of peer"), "there");
            moved.trace.engine = location.to_owned();
            log.record_peer(moved, RunLocation::InGroup, NO_AGE, now);
        }
    }
    let known = recent(&log, now);
    assert_eq!(known.len(), 4);
    assert!(known.iter().all(|report| report.run.trace.engine == "e2"));
}

/// Its caller may resume until then. Without its run, it would be taken for the caller of another one.
#[test]
fn a_run_is_kept_while_its_caller_waits() {
    let mut log = RunLog::default();
    let now = Instant::now();
    let mut patient = run("patient", "there");
    patient.origin.as_mut().unwrap().waits_ms = 90_000;
    log.record_peer(patient, RunLocation::InGroup, NO_AGE, now);
    log.record_peer(run("impatient", "there"), RunLocation::InGroup, NO_AGE, now);
    let after = |seconds| now + Duration::from_secs(seconds);
    assert_eq!(attempts(&recent(&log, after(29))), ["patient", "impatient"]);
    let known = recent(&log, after(89));
    assert_eq!(attempts(&known), ["patient"]);
    assert_eq!(known[0].run.origin.as_ref().unwrap().waits_ms, 1_000);
    assert_eq!(log.last_engine(wanted(), after(89)), None);
    assert!(recent(&log, after(91)).is_empty());
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut log = RunLog::default();
    let now = Instant::now();
    let with_engine = |engine: &str| KnownRun {
        trace: trace(FINGERPRINT, "r", engine),
        ..run("r", "there")
    };
    log.record_peer(with_engine("new"), RunLocation::InGroup, NO_AGE, now);
    let age = Duration::from_secs(2);
    log.record_peer(with_engine("old"), RunLocation::OtherGroup, age, now);
    assert_eq!(recent(&log, now)[0].run.trace.engine, "new");
    // A report without the origin keeps the one that is known.
    log.record_peer(run_of_earlier_build("r"), RunLocation::InGroup, NO_AGE, now);
    assert!(recent(&log, now)[0].run.origin.is_some());
}

#[test]
fn requests_that_differ_in_their_content_alone_are_told_apart() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run_of("other model", "here", CONTENT + 1), now);
    assert!(recent(&log, now).is_empty());
    assert_eq!(log.last_engine(wanted(), now), None);
    // What an earlier build reported may be of any content.
    log.record_peer(
        run_of_earlier_build("old"),
        RunLocation::InGroup,
        NO_AGE,
        now,
    );
    assert_eq!(attempts(&recent(&log, now)), ["old"]);
}

#[test]
fn recently_reported_runs_of_all_hosts_are_running() {
    let mut log = RunLog::default();
    let now = Instant::now();
    log.begin(run("here", "here"), now);
    log.begin(run("complete", "here"), now);
    end(&mut log, "complete", true, now);
    log.record_peer(run("there", "there"), RunLocation::InGroup, NO_AGE, now);
    log.record_peer(run("far", "far"), RunLocation::OtherGroup, NO_AGE, now);
    let running = |at| -> Vec<String> {
        let running = log.running(at).into_iter();
        running.map(|trace| trace.request).collect()
    };
    assert_eq!(running(now), ["far", "here", "there"]);
    assert_eq!(running(now + Duration::from_secs(9)), ["here"]);
    let in_group = log.running_in_group(now);
    assert_eq!(in_group.len(), 2);
}

#[test]
fn a_log_that_left_runs_out_is_partial_and_keeps_its_own_runs() {
    let mut log = RunLog::default();
    let now = Instant::now();
    for number in 0..20_001_u64 {
        let mut other = run(&number.to_string(), "there");
        other.trace.fingerprint = 10 + number;
        log.record_peer(other, RunLocation::InGroup, NO_AGE, now);
    }
    assert!(log.is_partial(now));
    log.begin(run("own", "here"), now);
    assert_eq!(attempts(&recent(&log, now)), ["own"]);
    let later = now + Duration::from_secs(31);
    assert!(!log.is_partial(later));
    assert_eq!(log.own(later).len(), 1);
}

#[test]
fn the_newest_runs_are_reported_first() {
    let mut log = RunLog::default();
    let now = Instant::now();
    for number in 0..3 {
        let request = number.to_string();
        log.begin(run(&request, "here"), now + Duration::from_millis(number));
    }
    let own = log.own(now).into_iter();
    let order: Vec<String> = own.map(|run| run.trace.request).collect();
    assert_eq!(order, ["2", "1", "0"]);
}
