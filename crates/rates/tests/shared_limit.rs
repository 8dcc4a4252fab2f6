//! Tests that many hosts together keep a shared limit and use it: without faults, with hosts that crash and
//! return, with a partition, and when all hosts start at once.
#![allow(
    clippy::cast_precision_loss,
    clippy::unwrap_used,
    reason = "clippy.toml allows unwrap in tests, but not in their helpers"
)]

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fault, Load, Outcome, Scenario, Scheme, WINDOW_MS, simulate};

const LOADS: [Load; 3] = [Load::Even, Load::OnOne, Load::Moving];

fn outcomes(fault: Fault, scheme: Scheme, duration_ms: u64) -> Vec<(Scenario, Outcome)> {
    let mut outcomes = Vec::new();
    for hosts in [3, 9, 100] {
        for per_s in [0.5, 3.5, 9.0, 50.0] {
            for load in LOADS {
                let scenario = Scenario {
                    hosts,
                    per_s,
                    load,
                    fault,
                    scheme,
                    duration_ms,
                    seed: 7,
                };
                outcomes.push((scenario, simulate(scenario)));
            }
        }
    }
    outcomes
}

fn allowed(scenario: Scenario) -> f64 {
    scenario.per_s * WINDOW_MS as f64 / 1_000.0
}

#[test]
fn a_calm_fleet_stays_within_a_limit_and_uses_it() {
    for (scenario, outcome) in outcomes(Fault::Calm, Scheme::Lender, 120_000) {
        let bound = allowed(scenario) + 3.0;
        assert!(
            outcome.max_in_window as f64 <= bound,
            "{scenario:?}: {outcome:?}"
        );
        assert!(outcome.utilisation >= 0.9, "{scenario:?}: {outcome:?}");
    }
}

#[test]
fn a_faulted_fleet_stays_within_one_and_a_half_times_the_limit() {
    for fault in [Fault::Killed, Fault::Cut, Fault::Started] {
        for (scenario, outcome) in outcomes(fault, Scheme::Lender, 30_000) {
            let bound = allowed(scenario) * 1.5 + 5.0;
            assert!(
                outcome.max_in_window as f64 <= bound,
                "{scenario:?}: {outcome:?}"
            );
        }
    }
}

/// The baseline that shows why a lender is needed: with equal shares, a host that alone receives requests can
/// use almost nothing of the limit.
#[test]
fn equal_parts_leave_most_of_a_limit_unused_when_few_hosts_send() {
    let outcomes = outcomes(Fault::Calm, Scheme::EqualParts, 30_000);
    let alone = outcomes
        .iter()
        .filter(|(scenario, _)| scenario.hosts == 100 && scenario.load == Load::OnOne);
    for (scenario, outcome) in alone {
        assert!(outcome.utilisation <= 0.1, "{scenario:?}: {outcome:?}");
    }
}
