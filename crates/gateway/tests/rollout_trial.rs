//! When hosts stop sending to a target version: in simulated roll-outs during hall failures, and on
//! a single host.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

#[path = "support/rollouts.rs"]
mod rollouts;

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rollouts::{ORDER, SERVICE, trial},
    std::{net::SocketAddr, time::Duration},
    tealshore_capacity::EngineKind,
    tealshore_core::clock,
    tealshore_gateway::{
        rollout::{
            BadAnswers, Evidence, Outcome, Phase, Quality, RolloutOrder, RolloutRecord, Rollouts,
            Tally, Verdict, evaluate, route_key,
        },
        view::{UpstreamRecord, UpstreamState},
    },
};

/// Upstreams of each version that answer.
const UPSTREAMS: usize = 12;

/// Creates the state of a host that knows a roll-out in its canary phase.
fn rollouts_with_trial() -> Rollouts {
    let rollouts = Rollouts::new(0.5);
    let order = RolloutOrder {
        revision: ORDER,
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_secs(16),
    };
    rollouts.apply_order(order, false, clock::now());
    rollouts.apply_record(ORDER + 1, &trial(), false);
    rollouts
}

fn upstream(version: &str, index: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{version}-{index}"),
        born: None,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "a".to_owned(),
        version: version.to_owned(),
        slots: 12,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    }
}

/// Rates at which answers fail, and at which they are lost during a hall failure.
#[derive(Clone, Copy)]
struct FailureRates {
    failed: f64,
    lost: f64,
}

impl FailureRates {
    fn outcome(self, is_hall_failing: bool, random: &mut StdRng) -> Outcome {
        if is_hall_failing && random.random::<f64>() < self.lost {
            return Outcome::Lost;
        }
        if random.random::<f64>() < self.failed {
            return Outcome::Failed;
        }
        Outcome::Answered(Duration::from_millis(900))
    }
}

/// Simulates 200 roll-outs of 300 canaries, with 13 answers of the old version for each canary, and
/// a hall failure during 20 of every 30 canaries. Returns how many were rejected, and the largest
/// number of bad answers before a rejection.
fn simulate_hall_failures(old: FailureRates, target: FailureRates, seed: u64) -> (u32, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut rejected, mut max_bad) = (0, 0);
    for _ in 0..200 {
        let rollouts = rollouts_with_trial();
        for canary in 0..300_usize {
            let is_hall_failing_now = canary % 30 < 20;
            let route = if random.random::<f64>() < 0.44 {
                "cue"
            } else {
                "brief"
            };
            for index in 0..13 {
                let outcome = old.outcome(is_hall_failing_now, &mut random);
                rollouts.record_outcome(&upstream("v1", index % UPSTREAMS), route, outcome);
            }
            let outcome = target.outcome(is_hall_failing_now, &mut random);
            rollouts.record_outcome(&upstream("v2", canary % UPSTREAMS), route, outcome);
            let evidence = rollouts.evidence(&SERVICE.to_owned(), ORDER);
            if evaluate(&evidence, UPSTREAMS).verdict == Verdict::Bad {
                rejected += 1;
                max_bad = max_bad.max(evidence.target_sum().bad);
                break;
            }
        }
    }
    (rejected, max_bad)
}

/// Losses from upstreams of the old version that die must not count as its failure rate: they would
/// make the failures of a bad version look normal.
#[test]
fn bad_version_is_rejected_before_fifty_bad_answers_during_hall_failures() {
    let old = FailureRates {
        failed: 0.004,
        lost: 0.6,
    };
    for (index, failed) in [0.39, 0.5].into_iter().enumerate() {
        let target = FailureRates { failed, ..old };
        let (rejected, max_bad) = simulate_hall_failures(old, target, 300 + index as u64);
        println!("failure rate {failed}: {rejected} of 200 rejected, at most {max_bad} bad");
        assert_eq!(rejected, 200, "failure rate {failed}");
        assert!(max_bad < 50, "failure rate {failed}: {max_bad} bad");
    }
}

#[test]
fn good_version_is_rarely_rejected_during_hall_failures() {
    let alike = FailureRates {
        failed: 0.004,
        lost: 0.6,
    };
    let (rejected, _) = simulate_hall_failures(alike, alike, 400);
    println!("{rejected} of 200 rejected");
    assert!(rejected <= 2, "{rejected} of 200");
}

/// Losses of the target are discounted by the loss rate of the old version.
#[test]
fn losses_of_both_versions_do_not_stop_a_good_one() {
    let mut evidence = evidence_of(tally(593, 0), tally(55, 5));
    for index in 0..12 {
        let upstream = format!("i-{index}");
        for send in 0..1_300 {
            let quality = if send % 2 == 0 {
                Quality::Lost
            } else {
                Quality::Good
            };
            if send < 11 {
                evidence.record_target(&upstream, route_key("brief"), quality);
            }
            evidence.record_serving(route_key("brief"), quality);
        }
    }
    assert!(evidence.target_sum().bad > 70);
    let known_bad = evidence.bad_answers();
    assert!(known_bad <= 12, "{known_bad}");
    assert!(!evaluate(&evidence, 12).should_stop_trial(known_bad, 50));
    // Losses do count if upstreams of the target die more often than those of the old version.
    let mut crashing = evidence_of(tally(593, 0), tally(55, 5));
    for index in 0..60 {
        crashing.record_target(
            &format!("i-{}", index % 12),
            route_key("brief"),
            Quality::Lost,
        );
    }
    assert_eq!(crashing.bad_answers(), 65);
}

fn evidence_of(serving: Tally, target: Tally) -> Evidence {
    let route = route_key("cue");
    let mut evidence = Evidence::new(ORDER);
    evidence.add_serving(route, serving);
    let by_upstream = Tally {
        answers: target.answers / 5,
        bad: target.bad / 5,
    };
    for index in 0..5 {
        evidence.add_target(&format!("i-{index}"), route, by_upstream);
    }
    evidence
}

fn tally(answers: u32, bad: u32) -> Tally {
    Tally { answers, bad }
}

#[test]
fn undecided_version_is_stopped_at_bad_answer_limit() {
    const MAX_BAD_ANSWERS: u64 = 50;
    let undecided = evaluate(&evidence_of(tally(500, 200), tally(50, 25)), 5);
    assert_eq!(undecided.verdict, Verdict::Undecided);
    assert!(!undecided.should_stop_trial(24, MAX_BAD_ANSWERS));
    assert!(undecided.should_stop_trial(25, MAX_BAD_ANSWERS));
    // Many answers with the failure rate of the old version show that the target is no worse.
    let alike = evaluate(&evidence_of(tally(5_000, 250), tally(500, 25)), 5);
    assert!(!alike.should_stop_trial(25, MAX_BAD_ANSWERS));
    assert!(!alike.should_stop_trial(1_000, MAX_BAD_ANSWERS));
}

#[test]
fn stopped_trial_lasts_until_rollout_ends_or_another_order() {
    let rollouts = rollouts_with_trial();
    let (old, new) = (upstream("v1", 0), upstream("v2", 0));
    assert!(rollouts.accepts_requests(&new));
    let [record] = &rollouts.open_trials()[..] else {
        panic!("expected one open trial");
    };
    assert!(rollouts.stop_trial(record));
    assert!(!rollouts.stop_trial(record));
    assert!(rollouts.is_trial_stopped(&SERVICE.to_owned(), ORDER));
    assert!(!rollouts.accepts_requests(&new) && rollouts.accepts_requests(&old));
    // The leader may have decided otherwise.
    let completed = RolloutRecord {
        phase: Phase::Completed,
        ..record.clone()
    };
    rollouts.apply_record(ORDER + 2, &completed, false);
    assert!(rollouts.accepts_requests(&new));
    let again = RolloutRecord {
        order: ORDER + 3,
        ..record.clone()
    };
    rollouts.apply_record(ORDER + 4, &again, false);
    assert!(rollouts.accepts_requests(&new));
}

/// A host that has just started has not seen earlier bad answers, so it uses the largest count
/// reported.
#[test]
fn largest_known_bad_answer_count_is_kept_per_order() {
    let rollouts = rollouts_with_trial();
    let known = |order, count| BadAnswers {
        service: SERVICE.to_owned(),
        order,
        count,
    };
    assert!(rollouts.bad_answers().is_empty());
    assert_eq!(rollouts.record_bad_answers(&known(ORDER, 31)), 31);
    assert_eq!(rollouts.record_bad_answers(&known(ORDER, 4)), 31);
    rollouts.record_bad_answers(&known(ORDER - 1, 90));
    assert_eq!(rollouts.bad_answers(), [known(ORDER, 31)]);
    assert_eq!(rollouts.record_bad_answers(&known(ORDER + 9, 2)), 2);
}
