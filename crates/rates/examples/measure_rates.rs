//! Measures how well hosts keep a shared limit: the maximum number of requests in any window compared with the
//! limit, and the utilisation of the limit. Prints a table and, as the last line, a JSON object.
#![allow(
    clippy::cast_precision_loss,
    clippy::print_stdout,
    clippy::unwrap_used,
    reason = "a command-line tool that prints counts"
)]

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::{Fault, Load, Outcome, Scenario, Scheme, WINDOW_MS, simulate};

const HOSTS: [usize; 4] = [3, 9, 30, 100];
const LIMITS_PER_S: [f64; 4] = [0.5, 3.5, 9.0, 50.0];
const LOADS: [Load; 3] = [Load::Even, Load::OnOne, Load::Moving];
const FAULTS: [Fault; 4] = [Fault::Calm, Fault::Killed, Fault::Cut, Fault::Started];
const DURATION_MS: u64 = 120_000;

/// The worst results of several runs.
struct WorstCase {
    /// The maximum number of requests in a window minus the number that the limit allows in it.
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
        "scheme       hosts  limit/s  load      fault   max in 4 s  4 limit + 3  1.5 times + 5  used"
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
