//! Evaluates a version with a sequential test against the version that serves at the same time.
//!
//! Each answer is good or bad. Under the null hypothesis "no worse", the target has the same rate of bad answers as
//! the serving version. The alternative is a mixture of higher rates. The likelihood ratio of the two may be checked
//! after each answer: for a version that is no worse, the probability that it ever exceeds 1/a is at most a (Ville's
//! inequality), to the extent that the serving version's rate is known.
//!
//! A version may be bad on a single route. So the ratios of the routes share half of the weight. The other half goes
//! to the ratio over all answers, except for a small part for the ratio of the losses. A weighted mean of such ratios
//! has the same bound.
//!
//! Losses are not part of the rates of bad answers. They come in bursts when upstreams of both versions die. The
//! serving version's rate is a sum since the order, so counting losses would make a bad version look normal for a long
//! time.

use super::evidence::{Evidence, RouteKey, RouteTallies, Tally};

/// Excesses of the alternative, as fractions of the distance from the serving version's rate to 1. There are several,
/// since the rate of a bad version is not known in advance.
const EXCESS_RATES: [f64; 4] = [0.1, 0.2, 0.4, 0.8];
/// Likelihood ratio at which a version is rejected.
const REJECTION_RATIO: f64 = 500.0;
/// Excess that has to be ruled out before a version is accepted.
const TOLERATED_EXCESS: f64 = 0.2;
/// Likelihood ratio of the tolerated excess against none, at or below which the excess is ruled out.
const ACCEPTANCE_RATIO: f64 = 1.0 / 8.0;
/// Excess that has to be ruled out on each route before a version is accepted. It is larger, since a small route has
/// fewer answers.
const TOLERATED_ROUTE_EXCESS: f64 = 0.4;
/// Routes with a smaller fraction of the answers are not required for accepting a version.
const MIN_ROUTE_SHARE: f64 = 0.02;
/// Lower limit of the assumed rate of bad answers, so that a single bad answer rejects no version.
const MIN_BAD_RATE: f64 = 0.02;
/// Upper limit of that rate. Above it the versions cannot be distinguished.
const MAX_BAD_RATE: f64 = 0.9;
/// Prior count of bad answers of the serving version.
const PRIOR_BAD: f64 = 1.0;
/// Prior count of answers of the serving version.
const PRIOR_ANSWERS: f64 = 10.0;

/// Weight of the ratio over all answers.
const ALL_ANSWERS_WEIGHT: f64 = 0.45;
/// Weight shared by the ratios of the routes.
const ROUTES_WEIGHT: f64 = 0.5;
/// Weight of the ratio of the losses. It is small, since losses come in bursts.
const LOSSES_WEIGHT: f64 = 1.0 - ALL_ANSWERS_WEIGHT - ROUTES_WEIGHT;

/// Assumed ratio of actual bad answers to those a host knows of. Some are not reported yet, others were lost with the
/// hosts that saw them.
const UNREPORTED_FACTOR: u64 = 2;

/// Verdict on the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers.
    Undecided,
    /// No worse than the serving version, or not by much.
    Good,
    /// Worse than the serving version.
    Bad,
}

/// A verdict with the evidence behind it, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evaluation {
    /// The verdict on the target.
    pub verdict: Verdict,
    /// Answers of the serving version.
    pub from: Tally,
    /// Answers of the target, without those of the worst upstream if there are several.
    pub target: Tally,
    /// Sends to the serving version, with lost ones as bad.
    pub from_losses: Tally,
    /// Sends to the target with lost ones as bad, without those of the upstream with the most losses if there are
    /// several.
    pub target_losses: Tally,
    /// Natural logarithm of the likelihood ratio of "worse" against "no worse".
    pub log_ratio: f64,
    /// The highest such logarithm of any single route or of the losses; at least 0.
    pub worst_route_log_ratio: f64,
    /// Whether the answers of all routes together show the target to be no worse.
    pub is_no_worse: bool,
}

impl Evaluation {
    /// Whether to stop sending to the target. This does not require a verdict: after enough bad answers the target
    /// must be shown to be no worse. `known_bad` is the number of its bad answers this host knows of, `max_bad` the
    /// number allowed over all hosts.
    #[must_use]
    pub fn should_stop_trial(&self, known_bad: u32, max_bad: u64) -> bool {
        let is_over_limit =
            u64::from(known_bad) * UNREPORTED_FACTOR >= max_bad && !self.is_no_worse;
        self.verdict == Verdict::Bad || is_over_limit
    }
}

/// Evaluates the target version; `upstreams` is the number of its ready upstreams.
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

/// Tallies of one route, or of the losses.
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

    /// Whether the target is accepted on this route, or the route is too small to be required.
    fn is_acceptable(&self, all_serving: Tally) -> bool {
        let min_answers = f64::from(all_serving.answers) * MIN_ROUTE_SHARE;
        f64::from(self.serving.answers) < min_answers
            || excludes_excess(self.target, self.serving, TOLERATED_ROUTE_EXCESS)
    }
}

/// Whether the answers rule out that the target's rate is higher by `excess`.
fn excludes_excess(target: Tally, serving: Tally, excess: f64) -> bool {
    log_ratio(target, serving_rate(serving), excess) <= ACCEPTANCE_RATIO.ln()
}

/// Sums the target's tallies without the worst upstream, unless there is only one. A single upstream may be faulty for
/// reasons unrelated to the version.
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

/// Logarithm of the likelihood ratio of "worse", as a mixture of all excesses.
fn log_ratio_worse(target: Tally, from: Tally) -> f64 {
    let rate = serving_rate(from);
    log_mean(&EXCESS_RATES.map(|excess| log_ratio(target, rate, excess)))
}

fn serving_rate(from: Tally) -> f64 {
    let rate = (f64::from(from.bad) + PRIOR_BAD) / (f64::from(from.answers) + PRIOR_ANSWERS);
    rate.clamp(MIN_BAD_RATE, MAX_BAD_RATE)
}

/// Logarithm of the likelihood ratio of a rate that is higher by `excess`, against `rate`.
fn log_ratio(target: Tally, rate: f64, excess: f64) -> f64 {
    let worse = rate + (1.0 - rate) * excess;
    let good = f64::from(target.answers - target.bad.min(target.answers));
    let bad = f64::from(target.bad);
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// Logarithm of the mean of the exponentials of `logarithms`.
#[expect(
    clippy::cast_precision_loss,
    reason = "it is a count of routes or of excesses"
)]
fn log_mean(logarithms: &[f64]) -> f64 {
    let weight = 1.0 / logarithms.len() as f64;
    let weighted: Vec<(f64, f64)> = logarithms.iter().map(|it| (weight, *it)).collect();
    log_weighted_sum(&weighted)
}

/// Logarithm of the weighted sum of the exponentials of logarithms, given as pairs of weight and logarithm.
fn log_weighted_sum(weighted: &[(f64, f64)]) -> f64 {
    let largest = weighted.iter().map(|(_, it)| *it).fold(f64::MIN, f64::max);
    let shifted = weighted
        .iter()
        .map(|(weight, it)| weight * (it - largest).exp());
    largest + shifted.sum::<f64>().ln()
}
