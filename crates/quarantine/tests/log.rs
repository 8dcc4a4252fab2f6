//! Tests of the crash log: verdicts, bounds, and the updates that hosts exchange.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::answer::ErrorKind,
    tealshore_quarantine::{
        crash::Crash,
        log::{
            CrashLog, QUARANTINE_PERIOD, QUARANTINE_THRESHOLD, RecordOutcome, UpdateScope, Verdict,
        },
        news::CrashUpdate,
    },
};

const REQUEST: u64 = 7;

fn crash_ended_at(ended: Instant, upstream: &str, position: u64) -> Crash {
    Crash {
        attempt: format!("{upstream} {ended:?}"),
        upstream: upstream.to_owned(),
        position,
        run_events: 0,
        began: ended - Duration::from_millis(50),
        ended,
    }
}

/// Returns a log with this many crashes of one request, 100 ms apart, and the time of the last crash.
fn log_with_crashes(crashes: u32) -> (CrashLog, Instant) {
    tealshore_core::protection::start();
    let mut log = CrashLog::default();
    let mut now = base_instant();
    for number in 0..crashes {
        now += Duration::from_millis(100);
        log.record(REQUEST, crash_ended_at(now, &format!("i-{number}"), 0), now);
    }
    (log, now)
}

fn base_instant() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

fn is_quarantined(log: &CrashLog, now: Instant) -> bool {
    log.verdict(REQUEST, now) != Verdict::Allowed
}

#[test]
fn three_crashes_put_a_request_in_quarantine_and_two_do_not() {
    let (two, now) = log_with_crashes(2);
    assert!(!is_quarantined(&two, now));
    let (three, now) = log_with_crashes(3);
    assert!(is_quarantined(&three, now));
    assert_eq!(three.verdict(REQUEST + 1, now), Verdict::Allowed);
}

/// After its quarantine a request is tried again, and a single further crash quarantines it again.
#[test]
fn an_expired_quarantine_resumes_after_one_more_crash() {
    let (mut log, last) = log_with_crashes(3);
    let after = last + QUARANTINE_PERIOD + Duration::from_millis(1);
    assert!(is_quarantined(&log, last + QUARANTINE_PERIOD / 2));
    assert!(!is_quarantined(&log, after));
    let recorded = log.record(REQUEST, crash_ended_at(after, "i-9", 0), after);
    assert_eq!(recorded, RecordOutcome::New { against: 4 });
    assert!(is_quarantined(&log, after));
}

#[test]
fn the_answers_retry_after_is_the_quarantine_period() {
    let answer = ErrorKind::Quarantined.answer();
    assert_eq!(answer.retry_after, Some(QUARANTINE_PERIOD));
}

#[test]
fn a_completed_answer_clears_crashes_and_outweighs_a_crash_soon_after() {
    let (mut log, now) = log_with_crashes(3);
    assert!(log.record_completed(REQUEST, now));
    assert!(!is_quarantined(&log, now));
    assert!(
        !log.record_completed(REQUEST, now),
        "no crashes are left to clear"
    );
    let soon = now + Duration::from_secs(5);
    let recorded = log.record(REQUEST, crash_ended_at(soon, "i-8", 0), soon);
    assert_eq!(recorded, RecordOutcome::Outweighed);
    let later = now + Duration::from_secs(120);
    let recorded = log.record(REQUEST, crash_ended_at(later, "i-8", 0), later);
    assert_eq!(recorded, RecordOutcome::New { against: 1 });
}

#[test]
fn crashes_seen_by_different_hosts_add_up() {
    let now = base_instant();
    let hosts = [0, 1, 2].map(|number| {
        let mut log = CrashLog::default();
        let ended = now + Duration::from_millis(100 * number);
        log.record(
            REQUEST,
            crash_ended_at(ended, &format!("i-{number}"), 0),
            ended,
        );
        log
    });
    let later = now + Duration::from_millis(300);
    let mut newcomer = CrashLog::default();
    for host in &hosts {
        newcomer.merge(&host.updates(later, UpdateScope::Group), later);
    }
    assert!(is_quarantined(&newcomer, later));
}

/// A stream may move from engine to engine together with a request that crashes them. Until one of the two is
/// seen without the other, either may be the cause.
#[test]
fn a_request_that_ran_beside_the_cause_is_not_quarantined() {
    const BESIDE: u64 = 8;
    let mut log = CrashLog::default();
    let mut now = base_instant();
    for number in 0..QUARANTINE_THRESHOLD {
        now += Duration::from_millis(100);
        let upstream = format!("i-{number}");
        for request in [REQUEST, BESIDE] {
            let mut crash = crash_ended_at(now, &upstream, 0);
            crash.attempt = format!("{request}");
            log.record(request, crash, now);
        }
    }
    assert!(!is_quarantined(&log, now));
    assert_eq!(log.verdict(BESIDE, now), Verdict::Allowed);
    now += Duration::from_millis(100);
    log.record(REQUEST, crash_ended_at(now, "i-9", 0), now);
    assert!(is_quarantined(&log, now));
    assert_eq!(log.verdict(BESIDE, now), Verdict::Allowed);
}

/// Records that these requests were on an upstream that crashed at `now`.
fn crash_under(log: &mut CrashLog, requests: &[u64], upstream: &str, now: Instant) {
    for request in requests {
        let mut crash = crash_ended_at(now, upstream, 0);
        crash.attempt = format!("{request}");
        log.record(*request, crash, now);
    }
}

/// Records three crashes under `REQUEST`, of which one other request was at the first two, and another one at the
/// third. Each of these has crashed `own_crashes` more upstreams.
fn log_with_two_other_causes(own_crashes: u64) -> (CrashLog, Instant) {
    tealshore_core::protection::start();
    let mut log = CrashLog::default();
    let mut now = base_instant();
    for (upstream, other) in [("i-0", 8), ("i-1", 8), ("i-2", 9)] {
        now += Duration::from_millis(100);
        crash_under(&mut log, &[REQUEST, other], upstream, now);
    }
    for number in 0..own_crashes {
        for other in [8, 9] {
            now += Duration::from_millis(100);
            crash_under(&mut log, &[other], &format!("i-{other}-{number}"), now);
        }
    }
    (log, now)
}

#[test]
fn a_request_whose_crashes_two_other_requests_explain_is_not_quarantined() {
    let (log, now) = log_with_two_other_causes(2);
    assert_eq!(log.against(REQUEST), QUARANTINE_THRESHOLD);
    assert!(!is_quarantined(&log, now));
    for other in [8, 9] {
        assert_ne!(log.verdict(other, now), Verdict::Allowed);
    }
}

#[test]
fn a_quarantine_ends_once_the_crashes_are_explained_by_other_requests() {
    let (mut log, mut now) = log_with_two_other_causes(1);
    assert!(is_quarantined(&log, now));
    now += Duration::from_millis(100);
    crash_under(&mut log, &[9], "i-4", now);
    assert!(!is_quarantined(&log, now));
    assert_eq!(log.settles_in(REQUEST, now), None);
}

#[test]
fn a_request_that_crashes_an_upstream_without_the_others_is_quarantined() {
    let (mut log, mut now) = log_with_two_other_causes(2);
    now += Duration::from_millis(100);
    crash_under(&mut log, &[REQUEST], "i-5", now);
    assert!(is_quarantined(&log, now));
}

/// A request that was only beside the cause has no crash of its own, so it explains none.
#[test]
fn a_request_is_quarantined_although_others_were_beside_it_at_its_crashes() {
    tealshore_core::protection::start();
    let mut log = CrashLog::default();
    let mut now = base_instant();
    for (upstream, others) in [("i-0", [8, 9]), ("i-1", [8, 10]), ("i-2", [9, 10])] {
        now += Duration::from_millis(100);
        crash_under(&mut log, &[REQUEST, others[0], others[1]], upstream, now);
    }
    assert!(is_quarantined(&log, now));
}

/// What proves another request guilty may become known a second later.
#[test]
fn a_new_quarantine_settles_within_two_seconds_if_others_were_present() {
    let (alone, now) = log_with_crashes(3);
    assert_eq!(alone.settles_in(REQUEST, now), None);
    let (log, now) = log_with_two_other_causes(0);
    let second = Duration::from_secs(1);
    let left = log.settles_in(REQUEST, now).unwrap();
    assert!((second..2 * second).contains(&left), "{left:?}");
    assert_eq!(log.settles_in(REQUEST, now + left), None);
    assert!(is_quarantined(&log, now + left));
}

/// If two requests crash engines and always run on the same one, both are quarantined in the end.
#[test]
fn two_requests_that_always_crash_the_same_engines_are_both_quarantined() {
    let mut log = CrashLog::default();
    let mut now = base_instant();
    for number in 0..5 {
        now += Duration::from_millis(100);
        for request in [REQUEST, REQUEST + 1] {
            let mut crash = crash_ended_at(now, &format!("i-{number}"), 0);
            crash.attempt = format!("{request}");
            log.record(request, crash, now);
        }
    }
    assert!(is_quarantined(&log, now));
    assert_ne!(log.verdict(REQUEST + 1, now), Verdict::Allowed);
}

/// A call is resent at the moment when its upstream is lost, and the datagrams that report the two crashes have
/// different delays. Without a correction, the second run would seem to begin before the first one ended.
#[test]
fn datagram_delay_does_not_hide_consecutive_crashes() {
    let mut now = base_instant();
    let mut here = CrashLog::default();
    let mut there = CrashLog::default();
    for number in 0..QUARANTINE_THRESHOLD {
        let began = now;
        now += Duration::from_millis(21);
        let crash = Crash {
            attempt: "one try".to_owned(),
            upstream: format!("i-{number}"),
            position: 0,
            run_events: 0,
            began,
            ended: now,
        };
        here.record(REQUEST, crash, now);
        let took = Duration::from_millis(if number == 1 { 0 } else { 180 });
        there.merge(&here.updates(now, UpdateScope::Group), now + took);
        assert_eq!(there.against(REQUEST), number + 1);
    }
}

/// Known crashes are sent repeatedly, with varying delays, and must count once.
#[test]
fn a_repeated_update_counts_once() {
    let (here, now) = log_with_crashes(1);
    let mut there = CrashLog::default();
    for took_ms in [700, 0, 40, 1_500, 10] {
        let updates = here.updates(now, UpdateScope::Group);
        there.merge(&updates, now + Duration::from_millis(took_ms));
        assert_eq!(there.against(REQUEST), 1, "{took_ms}");
    }
}

#[test]
fn a_completed_answer_on_one_host_clears_the_request_on_another() {
    let (mut here, now) = log_with_crashes(3);
    let mut there = CrashLog::default();
    there.merge(&here.updates(now, UpdateScope::Group), now);
    assert!(is_quarantined(&there, now));
    here.record_completed(REQUEST, now);
    let learned = there.merge(&here.updates(now, UpdateScope::Group), now);
    assert_eq!(learned.len(), 1);
    assert_eq!((learned[0].before, learned[0].against), (3, 0));
    assert!(!is_quarantined(&there, now));
}

/// An update about an old crash must not make the crash seem recent.
#[test]
fn stored_updates_age() {
    let (log, now) = log_with_crashes(3);
    let aged = log.suspects(now).into_iter();
    let aged: Vec<CrashUpdate> = aged.map(|update| update.aged(QUARANTINE_PERIOD)).collect();
    let mut later = CrashLog::default();
    later.merge(&aged, now);
    assert_eq!(later.against(REQUEST), 3);
    assert!(!is_quarantined(&later, now + Duration::from_millis(1)));
}

/// Many variations of a request must take bounded memory and must not evict a request in quarantine.
#[test]
fn many_requests_with_one_crash_do_not_evict_one_with_three() {
    let (mut log, now) = log_with_crashes(3);
    for request in 1_000..9_000 {
        log.record(request, crash_ended_at(now, "i-1", 0), now);
    }
    assert!(is_quarantined(&log, now));
    assert!(log.updates(now, UpdateScope::Group).len() <= 50);
    assert_eq!(log.updates(now, UpdateScope::Group)[0].request, REQUEST);
}

proptest! {
    /// Three hosts observe crashes and exchange updates in any order, some of them twice and some not at all.
    /// Once all hosts have received all updates, their verdicts agree.
    #[test]
    fn hosts_that_received_all_updates_agree(
        observed in prop::collection::vec((0..3_usize, 0..4_u8, 0..3_u64), 0..12),
        exchanges in prop::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let mut now = base_instant();
        let mut hosts = [CrashLog::default(), CrashLog::default(), CrashLog::default()];
        for (host, upstream, position) in observed {
            now += Duration::from_millis(1_500);
            hosts[host].record(REQUEST, crash_ended_at(now, &format!("i-{upstream}"), position), now);
        }
        for (from, to) in exchanges {
            let updates = hosts[from].updates(now, UpdateScope::Group);
            hosts[to].merge(&updates, now);
        }
        for _ in 0..2 {
            for from in 0..3 {
                let updates = hosts[from].updates(now, UpdateScope::Group);
                for host in &mut hosts {
                    host.merge(&updates, now);
                }
            }
        }
        // Updates only contain requests with at least two incriminating crashes, or recent changes.
        let against = hosts.each_ref().map(|host| host.against(REQUEST));
        let largest = against.iter().max().copied().unwrap_or_default();
        if largest >= QUARANTINE_THRESHOLD {
            prop_assert!(against.iter().all(|count| *count >= QUARANTINE_THRESHOLD), "{against:?}");
        }
    }

    /// No update from another host may make the log panic or exceed its bounds.
    #[test]
    fn any_update_is_merged_within_bounds(
        generated in prop::collection::vec(
            (any::<u64>(), prop::collection::vec((any::<u64>(), any::<u32>(), any::<u32>()), 0..30),
             prop::option::of(any::<u32>())), 0..100),
    ) {
        let now = base_instant();
        let updates: Vec<CrashUpdate> = generated.into_iter().map(|(request, crashes, cleared_age_ms)| {
            let crashes = crashes.into_iter().map(|(position, ran_ms, age_ms)| {
                tealshore_quarantine::news::CrashReport {
                    attempt: "one try".to_owned(), upstream: "i-1".to_owned(), position, run_events: 0, ran_ms, age_ms,
                }
            });
            CrashUpdate { request, crashes: crashes.collect(), cleared_age_ms, is_observed_locally: false }
        }).collect();
        let mut log = CrashLog::default();
        log.merge(&updates, now);
        for known in log.updates(now, UpdateScope::Group) {
            prop_assert!(known.crashes.len() <= 8);
        }
    }
}

/// Hosts take turns after a quarantine, so they must know when it ended.
#[test]
fn a_request_is_on_trial_from_the_end_of_its_quarantine_until_it_is_completed() {
    let (mut log, last) = log_with_crashes(3);
    let ends = last + QUARANTINE_PERIOD;
    assert_eq!(log.on_trial_since(REQUEST, last), None);
    assert_eq!(log.on_trial_since(REQUEST, ends), Some(ends));
    assert_eq!(log.on_trial_since(REQUEST + 1, ends), None);
    log.record_completed(REQUEST, ends);
    assert_eq!(log.on_trial_since(REQUEST, ends), None);
}
