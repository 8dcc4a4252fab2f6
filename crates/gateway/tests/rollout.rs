//! Decisions of a roll-out: which versions may receive requests, how many canaries are sent, and
//! which record is written next.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    proptest::prelude::*,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tealshore_gateway::rollout::{
        CanaryBudget, CanaryRotation, ListedVersion, Permit, Phase, RolloutObservation,
        RolloutOrder, RolloutRecord, SendKind, TypicalLatencies, Verdict, next_record, permit,
    },
};

const OLD: &str = "v1";
const NEW: &str = "v2";

fn listed(version: &str, oldest_row: u64) -> ListedVersion {
    ListedVersion {
        version: version.to_owned(),
        oldest_row,
    }
}

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        revision,
        service: "tiles".to_owned(),
        target: NEW.to_owned(),
        duration: Duration::from_secs(12),
    }
}

fn record(order: u64, phase: Phase) -> RolloutRecord {
    RolloutRecord {
        service: "tiles".to_owned(),
        order,
        from: OLD.to_owned(),
        target: NEW.to_owned(),
        phase,
        since: Duration::from_secs(100),
        deadline: Duration::from_secs(112),
    }
}

fn only(version: &str) -> Option<Permit> {
    Some(Permit::Only(version.to_owned()))
}

#[test]
fn only_serving_version_is_permitted_without_order() {
    let both = [listed(NEW, 9), listed(OLD, 3)];
    let serving = OLD.to_owned();
    assert_eq!(permit(&both, None, None, Some(&serving)), only(OLD));
    // A host that has just started uses the version with the oldest row.
    assert_eq!(permit(&both, None, None, None), only(OLD));
    // If the serving version is no longer listed, the others are permitted.
    assert_eq!(
        permit(&[listed(NEW, 9)], None, None, Some(&serving)),
        only(NEW)
    );
    assert_eq!(permit(&[], None, None, None), None);
}

#[test]
fn order_without_record_does_not_permit_target() {
    let both = [listed(NEW, 9), listed(OLD, 3)];
    assert_eq!(permit(&both, Some(&order(5)), None, None), only(OLD));
    let serving = OLD.to_owned();
    assert_eq!(
        permit(&both, Some(&order(5)), None, Some(&serving)),
        only(OLD)
    );
    // The record of an earlier order determines the serving version.
    for (phase, serves) in [(Phase::RolledBack, OLD), (Phase::Completed, NEW)] {
        let earlier = record(4, phase);
        assert_eq!(
            permit(&both, Some(&order(5)), Some(&earlier), None),
            only(serves)
        );
    }
    // If only the target is listed, it is permitted rather than nothing.
    assert_eq!(
        permit(&[listed(NEW, 3)], Some(&order(5)), None, None),
        only(NEW)
    );
}

#[test]
fn record_determines_permit_in_each_phase() {
    let both = [listed(OLD, 3), listed(NEW, 9)];
    let of = |phase| permit(&both, Some(&order(5)), Some(&record(5, phase)), None);
    let (from, target) = (OLD.to_owned(), NEW.to_owned());
    let canary = Permit::Canary {
        from: from.clone(),
        target: target.clone(),
    };
    assert_eq!(of(Phase::Canary), Some(canary));
    assert_eq!(of(Phase::Shifting), Some(Permit::Prefer { target, from }));
    assert_eq!(of(Phase::Completed), only(NEW));
    assert_eq!(of(Phase::RolledBack), only(OLD));
    // A version that was rolled back is not permitted, even if nothing else is listed.
    let rolled_back = record(5, Phase::RolledBack);
    assert_eq!(
        permit(&[listed(NEW, 9)], None, Some(&rolled_back), None),
        only(OLD)
    );
}

/// With a bounded shift, a version is under trial until it is completed. If another order comes
/// before that, hosts must not take the target for the serving version.
#[test]
fn bounded_shift_limits_target_to_canary_share() {
    let both = [listed(OLD, 3), listed(NEW, 9)];
    let shifting = record(5, Phase::Shifting).with_bounded_shift();
    let canary = Permit::Canary {
        from: OLD.to_owned(),
        target: NEW.to_owned(),
    };
    let of = |revision| permit(&both, Some(&order(revision)), Some(&shifting), None);
    assert_eq!(of(5), Some(canary));
    assert_eq!(of(6), only(OLD));
    for phase in [Phase::Canary, Phase::Completed, Phase::RolledBack] {
        assert_eq!(record(5, phase).with_bounded_shift(), record(5, phase));
    }
    let mut back = record(5, Phase::Shifting);
    back.target = OLD.to_owned();
    assert_eq!(back.with_bounded_shift(), back);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(32), ..ProptestConfig::default() })]

    /// Canaries of all hosts together stay within the used fraction of the share plus the initial
    /// credits, regardless of how requests are spread over hosts and how often hosts restart.
    #[test]
    fn canaries_stay_within_share_across_hosts(
        steps in proptest::collection::vec((0_usize..5, 0_u8..20, 0.0_f64..1.0), 1..2_000),
        share in 0.01_f64..0.5,
    ) {
        let mut hosts = [CanaryBudget::default(); 5];
        let (mut requests, mut canaries, mut total_credit) = (0.0, 0.0, 0.0);
        for (host, step, initial_credit) in steps {
            if step == 0 {
                hosts[host] = CanaryBudget::with_initial_credit(initial_credit);
                total_credit += initial_credit;
                continue;
            }
            requests += 1.0;
            if send_request(&mut hosts[host], share) {
                canaries += 1.0;
            }
        }
        let bound = requests * share * 0.75 + total_credit;
        prop_assert!(canaries <= bound + 1e-6, "{canaries} of {requests}, {bound} allowed");
    }
}

/// Sends a request, as a canary if the budget allows it. Returns whether it was a canary.
fn send_request(host: &mut CanaryBudget, share: f64) -> bool {
    let is_canary = host.allows_canary(share);
    if is_canary {
        host.record_canary(SendKind::First);
    } else {
        host.record_request(SendKind::First);
    }
    is_canary
}

/// Hosts that get few requests, or are restarted after a few, must use as much of the share as
/// hosts with many. With less there are too few answers to evaluate; more would exceed the share.
#[test]
fn canary_share_is_used_and_kept_with_few_requests_per_host() {
    const SHARE: f64 = 0.1;
    let mut random = StdRng::seed_from_u64(7);
    for (processes, requests_each) in [(10_000, 1), (4_000, 3), (600, 20), (60, 200)] {
        let mut canaries = 0_u32;
        for _ in 0..processes {
            let mut host = CanaryBudget::with_initial_credit(random.random());
            for _ in 0..requests_each {
                canaries += u32::from(send_request(&mut host, SHARE));
            }
        }
        let part = f64::from(canaries) / f64::from(processes * requests_each);
        assert!(
            (0.06..0.09).contains(&part),
            "{processes} processes of {requests_each} requests: {part}"
        );
    }
}

/// Upstreams under trial must not get more load than after the roll-out, and there must be enough
/// of them to outvote a faulty one.
#[test]
fn rotation_size_follows_canary_share() {
    let tried = |upstreams| {
        let rotation = CanaryRotation::new(upstreams, 0.1);
        (rotation.members, rotation.active)
    };
    assert_eq!(
        [0, 1, 2, 3, 19].map(tried),
        [(0, 0), (1, 1), (2, 1), (3, 1), (3, 1)]
    );
    assert_eq!(
        [25, 45, 224, 2_000].map(tried),
        [(3, 2), (4, 4), (12, 12), (12, 12)]
    );
}

#[test]
fn answers_much_slower_than_typical_count_as_slow() {
    let mut typical = TypicalLatencies::default();
    let usual = Duration::from_millis(60);
    assert!(
        !typical.is_slow("crop", usual * 9),
        "no answer was observed yet"
    );
    for _ in 0..20 {
        typical.observe("crop", usual);
    }
    assert!(!typical.is_slow("crop", usual * 2));
    assert!(typical.is_slow("crop", usual * 4));
    assert!(!typical.is_slow("another", usual * 4));
    // A slowdown of a few ms may be caused by the machine rather than the version.
    let short = Duration::from_millis(3);
    for _ in 0..20 {
        typical.observe("short", short);
    }
    assert!(!typical.is_slow("short", short * 6));
    assert!(typical.is_slow("short", short * 9));
}

/// Streams from a failing hall are sent again repeatedly, which must not increase the number of
/// canaries.
#[test]
fn repeats_add_no_canary_budget() {
    let mut budget = CanaryBudget::with_initial_credit(0.5);
    for _ in 0..4 {
        budget.record_request(SendKind::First);
    }
    for _ in 0..1_000 {
        budget.record_request(SendKind::Repeat);
    }
    assert!(!budget.allows_canary(0.1));
    for _ in 0..4 {
        budget.record_request(SendKind::First);
    }
    assert!(budget.allows_canary(0.1));
    // A repeat that is sent to the target still uses up budget.
    budget.record_canary(SendKind::Repeat);
    assert!(!budget.allows_canary(0.1));
}

fn observation(now_s: f64, verdict: Verdict) -> RolloutObservation {
    RolloutObservation {
        now: Duration::from_secs_f64(now_s),
        order_age: Duration::ZERO,
        verdict,
        is_suspect: verdict != Verdict::Good,
        is_isolated: false,
        is_target_ready: true,
        runs_on_old: true,
        longest_answer: Duration::from_secs(5),
    }
}

fn next_phase(current: Phase, observation: &RolloutObservation) -> Option<Phase> {
    let current = record(5, current);
    let next = next_record(Some(&current), &order(5), &OLD.to_owned(), observation);
    next.map(|record| record.phase)
}

#[test]
fn rollout_starts_with_canary_phase_and_ends_before_deadline() {
    let begun = next_record(
        None,
        &order(5),
        &OLD.to_owned(),
        &observation(100.0, Verdict::Undecided),
    );
    assert_eq!(begun, Some(record(5, Phase::Canary)));
    // The canary phase lasts until only the time to drain the old version is left.
    assert_eq!(
        next_phase(Phase::Canary, &observation(103.0, Verdict::Good)),
        None
    );
    assert_eq!(
        next_phase(Phase::Canary, &observation(107.0, Verdict::Good)),
        Some(Phase::Shifting)
    );
    assert_eq!(
        next_phase(Phase::Shifting, &observation(108.0, Verdict::Good)),
        None
    );
    let drained = RolloutObservation {
        runs_on_old: false,
        ..observation(108.0, Verdict::Good)
    };
    assert_eq!(
        next_phase(Phase::Shifting, &drained),
        Some(Phase::Completed)
    );
    assert_eq!(
        next_phase(Phase::Shifting, &observation(111.5, Verdict::Good)),
        Some(Phase::Completed)
    );
}

#[test]
fn bad_version_is_rolled_back_from_each_open_phase() {
    for phase in [Phase::Canary, Phase::Shifting] {
        assert_eq!(
            next_phase(phase, &observation(102.0, Verdict::Bad)),
            Some(Phase::RolledBack)
        );
    }
    for phase in [Phase::Completed, Phase::RolledBack] {
        for verdict in [Verdict::Bad, Verdict::Good, Verdict::Undecided] {
            assert_eq!(next_phase(phase, &observation(111.9, verdict)), None);
        }
    }
}

/// A version may look good early on and collect evidence against it during the shift.
#[test]
fn suspect_version_is_not_completed() {
    let suspect = observation(111.5, Verdict::Undecided);
    assert_eq!(
        next_phase(Phase::Shifting, &suspect),
        Some(Phase::RolledBack)
    );
    let drained = RolloutObservation {
        runs_on_old: false,
        ..observation(108.0, Verdict::Undecided)
    };
    assert_eq!(next_phase(Phase::Shifting, &drained), None);
}

/// A host that reaches the store but is cut off from most other hosts has seen only a small part of
/// the evidence.
#[test]
fn isolated_host_completes_no_version() {
    let isolated = |now_s| RolloutObservation {
        is_isolated: true,
        ..observation(now_s, Verdict::Good)
    };
    assert_eq!(next_phase(Phase::Canary, &isolated(109.0)), None);
    assert_eq!(
        next_phase(Phase::Canary, &isolated(111.5)),
        Some(Phase::RolledBack)
    );
    assert_eq!(next_phase(Phase::Shifting, &isolated(111.5)), None);
    let mut back = order(6);
    back.target = OLD.to_owned();
    let mut move_back = record(6, Phase::Shifting);
    move_back.target = OLD.to_owned();
    let next = next_record(Some(&move_back), &back, &OLD.to_owned(), &isolated(111.5));
    assert_eq!(next.map(|record| record.phase), Some(Phase::Completed));
}

#[test]
fn undecided_version_is_rolled_back_if_suspect_and_accepted_otherwise() {
    assert_eq!(
        next_phase(Phase::Canary, &observation(109.0, Verdict::Undecided)),
        None
    );
    assert_eq!(
        next_phase(Phase::Canary, &observation(111.5, Verdict::Undecided)),
        Some(Phase::RolledBack)
    );
    let not_suspect = RolloutObservation {
        is_suspect: false,
        ..observation(109.0, Verdict::Undecided)
    };
    assert_eq!(
        next_phase(Phase::Canary, &not_suspect),
        Some(Phase::Shifting)
    );
    let missing = RolloutObservation {
        is_target_ready: false,
        ..not_suspect
    };
    assert_eq!(next_phase(Phase::Canary, &missing), None);
}

#[test]
fn order_for_serving_version_skips_canary_phase() {
    let mut back = order(6);
    back.target = OLD.to_owned();
    let earlier = record(5, Phase::RolledBack);
    let next = next_record(
        Some(&earlier),
        &back,
        &OLD.to_owned(),
        &observation(120.0, Verdict::Undecided),
    );
    assert_eq!(next.map(|record| record.phase), Some(Phase::Shifting));
    // An order older than the record does not start a roll-out.
    assert_eq!(
        next_record(
            Some(&earlier),
            &order(4),
            &OLD.to_owned(),
            &observation(120.0, Verdict::Good)
        ),
        None
    );
}
