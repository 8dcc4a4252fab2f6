//! Many hosts together keep to a limit, and use it: calm, with hosts that die and return, cut in two, and all
//! started at once.
#![allow(
    clippy::cast_precision_loss,
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Load, Outcome, Setting, Trouble, WINDOW_MS, Way, play};

const LOADS: [Load; 3] = [Load::Even, Load::OnOne, Load::Moving];

fn outcomes(trouble: Trouble, way: Way, lasts_ms: u64) -> Vec<(Setting, Outcome)> {
    let mut outcomes = Vec::new();
    for hosts in [3, 9, 100] {
        for per_s in [0.5, 3.5, 9.0, 50.0] {
            for load in LOADS {
                let setting = Setting {
                    hosts,
                    per_s,
                    load,
                    trouble,
                    way,
                    lasts_ms,
                    seed: 7,
                };
                outcomes.push((setting, play(setting)));
            }
        }
    }
    outcomes
}

fn allowed(setting: Setting) -> f64 {
    setting.per_s * WINDOW_MS as f64 / 1_000.0
}

#[test]
fn a_calm_fleet_never_passes_a_limit_and_uses_it() {
    for (setting, outcome) in outcomes(Trouble::Calm, Way::Lender, 120_000) {
        let bound = allowed(setting) + 3.0;
        assert!(outcome.most as f64 <= bound, "{setting:?}: {outcome:?}");
        assert!(outcome.used >= 0.9, "{setting:?}: {outcome:?}");
    }
}

#[test]
fn a_troubled_fleet_stays_within_half_as_much_again() {
    for trouble in [Trouble::Killed, Trouble::Cut, Trouble::Started] {
        for (setting, outcome) in outcomes(trouble, Way::Lender, 30_000) {
            let bound = allowed(setting) * 1.5 + 5.0;
            assert!(outcome.most as f64 <= bound, "{setting:?}: {outcome:?}");
        }
    }
}

/// What equal parts cost, for which the lender is there: a host alone among many uses next to nothing.
#[test]
fn equal_parts_leave_most_of_a_limit_unused_where_few_hosts_send() {
    let outcomes = outcomes(Trouble::Calm, Way::EqualParts, 30_000);
    let alone = outcomes
        .iter()
        .filter(|(setting, _)| setting.hosts == 100 && setting.load == Load::OnOne);
    for (setting, outcome) in alone {
        assert!(outcome.used <= 0.1, "{setting:?}: {outcome:?}");
    }
}
