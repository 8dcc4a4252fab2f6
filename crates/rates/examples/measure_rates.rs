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

use fleet::{Load, Outcome, Setting, Trouble, WINDOW_MS, Way, play};

const HOSTS: [usize; 4] = [3, 9, 30, 100];
const LIMITS_PER_S: [f64; 4] = [0.5, 3.5, 9.0, 50.0];
const LOADS: [Load; 3] = [Load::Even, Load::OnOne, Load::Moving];
const TROUBLES: [Trouble; 4] = [
    Trouble::Calm,
    Trouble::Killed,
    Trouble::Cut,
    Trouble::Started,
];
const LASTS_MS: u64 = 120_000;

/// The worst of some runs.
struct Worst {
    /// The most in a window, less what the limit allows in it.
    over: f64,
    least_used: f64,
}

impl Worst {
    fn new() -> Self {
        Self {
            over: f64::NEG_INFINITY,
            least_used: f64::INFINITY,
        }
    }

    fn add(&mut self, allowed: f64, outcome: Outcome) {
        self.over = self.over.max(outcome.most as f64 - allowed);
        self.least_used = self.least_used.min(outcome.used);
    }
}

fn main() {
    println!(
        "way          hosts  limit/s  load    trouble  most in 4 s  4 limit + 3  1.5 times + 5  used"
    );
    let mut calm = Worst::new();
    let mut troubled = Worst::new();
    let mut equal_calm = Worst::new();
    for way in [Way::EqualParts, Way::Lender] {
        for hosts in HOSTS {
            for per_s in LIMITS_PER_S {
                for load in LOADS {
                    for trouble in TROUBLES {
                        let setting = Setting {
                            hosts,
                            per_s,
                            load,
                            trouble,
                            way,
                            lasts_ms: LASTS_MS,
                            seed: 1,
                        };
                        let outcome = play(setting);
                        let allowed = per_s * WINDOW_MS as f64 / 1_000.0;
                        println!(
                            "{:<12} {hosts:>5} {per_s:>8} {:>7} {:>8} {:>12} {:>12} {:>14} {:>5.2}",
                            format!("{way:?}"),
                            format!("{load:?}"),
                            format!("{trouble:?}"),
                            outcome.most,
                            allowed + 3.0,
                            allowed * 1.5 + 5.0,
                            outcome.used
                        );
                        match (way, trouble) {
                            (Way::EqualParts, Trouble::Calm) => equal_calm.add(allowed, outcome),
                            (Way::EqualParts, _) => {}
                            (Way::Lender, Trouble::Calm) => calm.add(allowed, outcome),
                            (Way::Lender, _) => troubled.add(allowed * 1.5, outcome),
                        }
                    }
                }
            }
        }
    }
    println!(
        "{{\"calm_over_limit\": {}, \"troubled_over_bound\": {}, \"calm_least_used\": {:.3}, \
         \"troubled_least_used\": {:.3}, \"equal_parts_calm_over_limit\": {}, \"equal_parts_calm_least_used\": {:.3}}}",
        calm.over,
        troubled.over,
        calm.least_used,
        troubled.least_used,
        equal_calm.over,
        equal_calm.least_used
    );
}
