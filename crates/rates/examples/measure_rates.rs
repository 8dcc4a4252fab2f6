//! Measures how hosts keep to a limit together: the most requests in any window against what the limit allows,
//! and the part that is used of what is both wanted and allowed. Prints a table and, last, one line of JSON.
#![allow(
    clippy::cast_precision_loss,
    clippy::print_stdout,
    clippy::unwrap_used,
    reason = "a tool that prints counts"
)]

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::{Fault, Load, Outcome, Scenario, Scheme, WINDOW_MS, simulate};

const HOSTS: [usize; 4] = [3, 9, 30, 100];
const LIMITS_PER_S: [f64; 4] = [0.5, 3.5, 9.0, 50.0];
const LOADS: [Load; 3] = [Load::Even, Load::OnOne, Load::Moving];
const FAULTS: [Fault; 4] = [Fault::Calm, Fault::Killed, Fault::Cut, Fault::Started];
const DURATION_MS: u64 = 120_000;

/// The worst of some runs.
struct WorstCase {
    /// The most in a window, less what the limit allows in it.
    max_excess: f64,
    min_utilisation: f64,
}

impl WorstCase {
    fn new() -> Self {
        Self {
            max_excess: f64::NEG_INFINITY,
            min_utilisation: f64::INFINITY,
        }
    }

    fn add(&mut self, allowed: f64, outcome: Outcome) {
        self.max_excess = self.max_excess.max(outcome.max_in_window as f64 - allowed);
        self.min_utilisation = self.min_utilisation.min(outcome.utilisation);
    }
}

fn main() {
    println!(
        "way          hosts  limit/s  load    trouble  most in 4 s  4 limit + 3  1.5 times + 5  used"
    );
    let mut calm = WorstCase::new();
    let mut faulted = WorstCase::new();
    let mut equal_calm = WorstCase::new();
    for scheme in [Scheme::EqualParts, Scheme::Lender] {
        for hosts in HOSTS {
            for per_s in LIMITS_PER_S {
                for load in LOADS {
                    for fault in FAULTS {
                        let scenario = Scenario {
                            hosts,
                            per_s,
                            load,
                            fault,
                            scheme,
                            duration_ms: DURATION_MS,
                            seed: 1,
                        };
                        let outcome = simulate(scenario);
                        let allowed = per_s * WINDOW_MS as f64 / 1_000.0;
                        println!(
                            "{:<12} {hosts:>5} {per_s:>8} {:>7} {:>8} {:>12} {:>12} {:>14} {:>5.2}",
                            format!("{scheme:?}"),
                            format!("{load:?}"),
                            format!("{fault:?}"),
                            outcome.max_in_window,
                            allowed + 3.0,
                            allowed * 1.5 + 5.0,
                            outcome.utilisation
                        );
                        match (scheme, fault) {
                            (Scheme::EqualParts, Fault::Calm) => equal_calm.add(allowed, outcome),
                            (Scheme::EqualParts, _) => {}
                            (Scheme::Lender, Fault::Calm) => calm.add(allowed, outcome),
                            (Scheme::Lender, _) => faulted.add(allowed * 1.5, outcome),
                        }
                    }
                }
            }
        }
    }
    println!(
        "{{\"calm_over_limit\": {}, \"troubled_over_bound\": {}, \"calm_least_used\": {:.3}, \
         \"troubled_least_used\": {:.3}, \"equal_parts_calm_over_limit\": {}, \"equal_parts_calm_least_used\": {:.3}}}",
        calm.max_excess,
        faulted.max_excess,
        calm.min_utilisation,
        faulted.min_utilisation,
        equal_calm.max_excess,
        equal_calm.min_utilisation
    );
}
