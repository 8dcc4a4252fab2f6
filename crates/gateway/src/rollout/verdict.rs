//! Judges a version by a sequential test against the version that serves at the same time.
//!
//! Each answer is good or bad. Under "no worse", bad answers of the target come as often as those
//! of the serving version. Against it stand mixtures of higher rates. The likelihood ratio of the
//! two may be looked at after each answer: the chance that it ever passes 1/a where the version
//! is no worse is at most a (Ville's inequality), as far as the serving version's rate is known.

use super::evidence::{Evidence, Tally};

/// By how much of what is left to 1 a bad version's rate may be higher: it is not known before.
const EXCESSES: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// The likelihood ratio that condemns a version.
const CONDEMNING_RATIO: f64 = 500.0;
/// The excess that a good version is shown not to have.
const TOLERATED_EXCESS: f64 = 0.2;
/// The likelihood ratio of that excess against none below which a version is good.
const ACQUITTING_RATIO: f64 = 1.0 / 8.0;
/// The lowest rate of bad answers that is assumed, so that a single one condemns nobody.
const LEAST_RATE: f64 = 0.02;
/// The highest: past it nothing can be told apart.
const MOST_RATE: f64 = 0.9;
/// Bad answers that are assumed before any answer of the serving version was seen,
const PRIOR_BAD: f64 = 1.0;
/// among so many.
const PRIOR_ANSWERS: f64 = 10.0;

/// What is known of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough answers yet.
    Undecided,
    /// It is no worse than what serves, or not by much.
    Good,
    /// It is worse.
    Bad,
}

/// A verdict with what it rests on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judged {
    /// The verdict.
    pub verdict: Verdict,
    /// The answers of the serving version.
    pub from: Tally,
    /// The answers of the target that were counted.
    pub target: Tally,
    /// The natural logarithm of the likelihood ratio of "worse" against "no worse".
    pub log_ratio: f64,
}

/// Judges the version that is tried; `upstreams` of it are tried in turn.
#[must_use]
pub fn judge(evidence: &Evidence, upstreams: usize) -> Judged {
    let target = counted(evidence, upstreams);
    let rate = serving_rate(evidence.from);
    let ratios = EXCESSES.map(|excess| log_ratio(target, rate, excess));
    let log_ratio_worse = mean_of_exponentials(&ratios);
    let log_ratio_tolerated = log_ratio(target, rate, TOLERATED_EXCESS);
    let verdict = if log_ratio_worse >= CONDEMNING_RATIO.ln() {
        Verdict::Bad
    } else if log_ratio_tolerated <= ACQUITTING_RATIO.ln() {
        Verdict::Good
    } else {
        Verdict::Undecided
    };
    Judged {
        verdict,
        from: evidence.from,
        target,
        log_ratio: log_ratio_worse,
    }
}

/// The answers of the target that count: those of all upstreams but the worst, unless there is but
/// one. A single upstream may be bad for reasons of its own, with any version: counted alone, one
/// that failed half of its requests condemned 375 of 400 good versions in simulation, and 2 so.
fn counted(evidence: &Evidence, upstreams: usize) -> Tally {
    let mut tallies: Vec<Tally> = evidence.target.iter().map(|(_, tally)| *tally).collect();
    if upstreams > 1 {
        tallies.sort_by_key(|tally| tally.bad);
        tallies.pop();
    }
    let mut sum = Tally::default();
    for tally in tallies {
        sum.add(tally);
    }
    sum
}

fn serving_rate(from: Tally) -> f64 {
    let rate = (f64::from(from.bad) + PRIOR_BAD) / (f64::from(from.answers) + PRIOR_ANSWERS);
    rate.clamp(LEAST_RATE, MOST_RATE)
}

/// The logarithm of the likelihood ratio of a rate that is higher by an excess against `rate`.
fn log_ratio(target: Tally, rate: f64, excess: f64) -> f64 {
    let worse = rate + (1.0 - rate) * excess;
    let good = f64::from(target.answers - target.bad.min(target.answers));
    let bad = f64::from(target.bad);
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// The logarithm of the mean of the exponentials of some logarithms.
fn mean_of_exponentials(logarithms: &[f64; 4]) -> f64 {
    let largest = logarithms.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = logarithms
        .iter()
        .map(|logarithm| (logarithm - largest).exp())
        .sum();
    largest + (sum / 4.0).ln()
}
