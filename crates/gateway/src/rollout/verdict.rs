//! Judges a version by a sequential test against the version that serves at the same time.
//!
//! Each answer is good or bad. Under "no worse", bad answers of the target come as often as those
//! of the serving version. Against it stand mixtures of higher rates. The likelihood ratio of the
//! two may be looked at after each answer: the chance that it ever passes 1/a where the version
//! is no worse is at most a (Ville's inequality), as far as the serving version's rate is known.
//!
//! A version may be bad on one route only. So half of the weight is shared by a ratio of each route, and the other
//! half is on a ratio over all answers, but for a small part on one of the losses. A mean of such ratios has the same bound.
//!
//! Lost answers are no part of the rates of bad answers. They come in bursts, as upstreams of both versions die; in the
//! rate of the serving version, which is a sum since the order, they would make a bad version look usual long after.

use super::evidence::{Evidence, RouteKey, RouteTallies, Tally};

/// By how much of what is left to 1 a bad version's rate may be higher: it is not known before.
const EXCESS_RATES: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// The likelihood ratio that condemns a version.
const REJECTION_RATIO: f64 = 500.0;
/// The excess that a good version is shown not to have.
const TOLERATED_EXCESS: f64 = 0.2;
/// The likelihood ratio of that excess against none below which a version is good.
const ACCEPTANCE_RATIO: f64 = 1.0 / 8.0;
/// The excess that a good version is shown not to have on any route: few answers of a small route
/// show less than those of all.
const TOLERATED_ROUTE_EXCESS: f64 = 0.4;
/// Routes that get a smaller part of the requests are not waited for before a version is good.
const MIN_ROUTE_SHARE: f64 = 0.02;
/// The lowest rate of bad answers that is assumed, so that a single one condemns nobody.
const MIN_BAD_RATE: f64 = 0.02;
/// The highest: past it nothing can be told apart.
const MAX_BAD_RATE: f64 = 0.9;
/// Bad answers that are assumed before any answer of the serving version was seen,
const PRIOR_BAD: f64 = 1.0;
/// among so many.
const PRIOR_ANSWERS: f64 = 10.0;

/// The weight of the ratio over all answers.
const ALL_ANSWERS_WEIGHT: f64 = 0.45;
/// The weight that the ratios of the routes share.
const ROUTES_WEIGHT: f64 = 0.5;
/// The weight of the ratio of the losses: small, since losses come in bursts.
const LOSSES_WEIGHT: f64 = 1.0 - ALL_ANSWERS_WEIGHT - ROUTES_WEIGHT;

/// How many bad answers there may be for each one that a host knows of: some are still to be told, and
/// others went with the hosts that saw them.
const UNREPORTED_FACTOR: u64 = 2;

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
pub struct Evaluation {
    /// The verdict.
    pub verdict: Verdict,
    /// The answers of the serving version.
    pub from: Tally,
    /// The answers of the target that were counted.
    pub target: Tally,
    /// The sends to the serving version, and how many were lost.
    pub from_losses: Tally,
    /// The same of the target, as far as they were counted.
    pub target_losses: Tally,
    /// The natural logarithm of the likelihood ratio of "worse" against "no worse".
    pub log_ratio: f64,
    /// The highest such logarithm of a single route, or of the losses.
    pub worst_route_log_ratio: f64,
    /// Whether the target's answers, over all routes, show it to be no worse.
    pub is_no_worse: bool,
}

impl Evaluation {
    /// Whether the target gets nothing more. It needs no verdict for that: after many bad answers the
    /// benefit of the doubt is over. `known_bad` are its bad answers that this host knows of, `max_bad` how many it may
    /// give to all hosts.
    #[must_use]
    pub fn should_stop_trial(&self, known_bad: u32, max_bad: u64) -> bool {
        let is_over_limit =
            u64::from(known_bad) * UNREPORTED_FACTOR >= max_bad && !self.is_no_worse;
        self.verdict == Verdict::Bad || is_over_limit
    }
}

/// Judges the version that is tried; `upstreams` of it are tried in turn.
#[must_use]
pub fn evaluate(evidence: &Evidence, upstreams: usize) -> Evaluation {
    let from = evidence.serving().sum();
    let target = trimmed_target(evidence, upstreams, RouteTallies::sum);
    let routes: Vec<RouteEvidence> = evidence
        .routes()
        .map(|route| RouteEvidence::of(evidence, route, upstreams))
        .collect();
    let losses = RouteEvidence {
        serving: evidence.serving().losses(),
        target: trimmed_target(evidence, upstreams, RouteTallies::losses),
    };
    let of_routes: Vec<f64> = routes.iter().map(RouteEvidence::log_ratio_worse).collect();
    let of_losses = losses.log_ratio_worse();
    let of_all = log_ratio_worse(target, from);
    let excludes_tolerated_excess = excludes_excess(target, from, TOLERATED_EXCESS);
    let is_acceptable =
        excludes_tolerated_excess && routes.iter().all(|route| route.is_acceptable(from));
    let of_routes_together = if of_routes.is_empty() {
        of_all
    } else {
        log_mean(&of_routes)
    };
    let log_ratio = log_weighted_sum(&[
        (ALL_ANSWERS_WEIGHT, of_all),
        (ROUTES_WEIGHT, of_routes_together),
        (LOSSES_WEIGHT, of_losses),
    ]);
    let verdict = if log_ratio >= REJECTION_RATIO.ln() {
        Verdict::Bad
    } else if is_acceptable && log_ratio <= 0.0 {
        Verdict::Good
    } else {
        Verdict::Undecided
    };
    Evaluation {
        verdict,
        from,
        target,
        from_losses: losses.serving,
        target_losses: losses.target,
        log_ratio,
        is_no_worse: excludes_tolerated_excess && log_ratio <= 0.0,
        worst_route_log_ratio: of_routes.into_iter().fold(of_losses.max(0.0), f64::max),
    }
}

/// What is known of a route.
struct RouteEvidence {
    serving: Tally,
    target: Tally,
}

impl RouteEvidence {
    fn of(evidence: &Evidence, route: RouteKey, upstreams: usize) -> Self {
        let of_route = |tallies: &RouteTallies| tallies.of(route);
        Self {
            serving: of_route(evidence.serving()),
            target: trimmed_target(evidence, upstreams, of_route),
        }
    }

    fn log_ratio_worse(&self) -> f64 {
        log_ratio_worse(self.target, self.serving)
    }

    /// Whether the target is shown to be good here, or the route is too small to wait for that.
    fn is_acceptable(&self, all_serving: Tally) -> bool {
        let least = f64::from(all_serving.answers) * MIN_ROUTE_SHARE;
        f64::from(self.serving.answers) < least
            || excludes_excess(self.target, self.serving, TOLERATED_ROUTE_EXCESS)
    }
}

/// Whether answers show that a rate is not higher by an excess.
fn excludes_excess(target: Tally, serving: Tally, excess: f64) -> bool {
    log_ratio(target, serving_rate(serving), excess) <= ACCEPTANCE_RATIO.ln()
}

/// The answers of the target that count: those of all upstreams but the worst, unless there is but
/// one. A single upstream may be bad for reasons of its own, with any version.
fn trimmed_target(
    evidence: &Evidence,
    upstreams: usize,
    answers: impl Fn(&RouteTallies) -> Tally,
) -> Tally {
    let mut tallies: Vec<Tally> = evidence.target().map(&answers).collect();
    if upstreams > 1 {
        tallies.sort_by_key(|tally| tally.bad);
        tallies.pop();
    }
    let mut sum = Tally::default();
    for tally in tallies
        .into_iter()
        .chain(evidence.untracked_targets().map(answers))
    {
        sum.add(tally);
    }
    sum
}

/// The logarithm of the likelihood ratio of "worse" by any of the excesses.
fn log_ratio_worse(target: Tally, from: Tally) -> f64 {
    let rate = serving_rate(from);
    log_mean(&EXCESS_RATES.map(|excess| log_ratio(target, rate, excess)))
}

fn serving_rate(from: Tally) -> f64 {
    let rate = (f64::from(from.bad) + PRIOR_BAD) / (f64::from(from.answers) + PRIOR_ANSWERS);
    rate.clamp(MIN_BAD_RATE, MAX_BAD_RATE)
}

/// The logarithm of the likelihood ratio of a rate that is higher by an excess against `rate`.
fn log_ratio(target: Tally, rate: f64, excess: f64) -> f64 {
    let worse = rate + (1.0 - rate) * excess;
    let good = f64::from(target.answers - target.bad.min(target.answers));
    let bad = f64::from(target.bad);
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// The logarithm of the mean of the exponentials of some logarithms.
#[expect(
    clippy::cast_precision_loss,
    reason = "it is a count of routes or of excesses"
)]
fn log_mean(logarithms: &[f64]) -> f64 {
    let weight = 1.0 / logarithms.len() as f64;
    let weighted: Vec<(f64, f64)> = logarithms.iter().map(|it| (weight, *it)).collect();
    log_weighted_sum(&weighted)
}

/// The logarithm of the sum of the exponentials of some logarithms, each with its weight.
fn log_weighted_sum(weighted: &[(f64, f64)]) -> f64 {
    let largest = weighted.iter().map(|(_, it)| *it).fold(f64::MIN, f64::max);
    let shifted = weighted
        .iter()
        .map(|(weight, it)| weight * (it - largest).exp());
    largest + shifted.sum::<f64>().ln()
}
