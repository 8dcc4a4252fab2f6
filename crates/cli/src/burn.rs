//! Computes error-budget burn against service-level objectives from the metrics of hosts.

mod html;
mod metrics;

pub use {
    html::render_html,
    metrics::{HostMetrics, LatencyBucket},
};
use {serde::Serialize, std::collections::BTreeMap};

/// Outcomes that are not failures of the system: complete answers, and errors caused by the caller.
const NON_FAILURE_OUTCOMES: [&str; 6] = [
    "complete",
    "caller-gone",
    "unauthenticated",
    "unknown-path",
    "bad-request",
    "body-too-large",
];
/// The outcome of a request that was served.
const SERVED_OUTCOME: &str = "complete";

/// The service-level objectives.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Objective {
    /// The share of requests that must be served, 0 to 1.
    pub availability: f64,
    /// The share of answers whose first byte must arrive in time, 0 to 1.
    pub in_time: f64,
    /// The limit for the first byte of calls, in seconds.
    pub call_s: f64,
    /// The limit for the first byte of streams, in seconds.
    pub stream_s: f64,
}

/// Measurements against one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// Requests that the objective covers.
    pub total: u64,
    /// Requests that met the objective.
    pub good: u64,
    /// The share that met it; 1 where there are no requests.
    pub share: f64,
    /// The share of the error budget that is spent; above 1 the objective is missed.
    pub budget_spent: f64,
}

/// A report on error-budget burn.
#[derive(Clone, Debug, Serialize)]
pub struct BurnReport {
    /// The objectives that the report measures against.
    pub objective: Objective,
    /// How many hosts answered.
    pub hosts: usize,
    /// Requests that were served.
    pub availability: Burn,
    /// Answers whose first byte arrived in time, by kind.
    pub in_time: BTreeMap<String, Burn>,
    /// Request counts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Cumulative histograms of the time to the first byte, by kind.
    pub latency: BTreeMap<String, Vec<LatencyBucket>>,
}

impl Burn {
    fn of(good: u64, total: u64, objective: f64) -> Self {
        let share = if total == 0 { 1.0 } else { ratio(good, total) };
        let budget = (1.0 - objective).max(f64::EPSILON);
        Self {
            total,
            good,
            share,
            budget_spent: (1.0 - share) / budget,
        }
    }
}

impl BurnReport {
    /// Sums the metrics of all hosts and compares them with the objectives.
    #[must_use]
    pub fn new(objective: Objective, hosts: &[HostMetrics]) -> Self {
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        let mut latency: BTreeMap<String, Vec<LatencyBucket>> = BTreeMap::new();
        for host in hosts {
            for (outcome, count) in &host.outcomes {
                *outcomes.entry(outcome.clone()).or_default() += count;
            }
            for (kind, buckets) in &host.latency {
                add_buckets(latency.entry(kind.clone()).or_default(), buckets);
            }
        }
        let served = outcomes.get(SERVED_OUTCOME).copied().unwrap_or_default();
        let failed: u64 = outcomes
            .iter()
            .filter(|(outcome, _)| !NON_FAILURE_OUTCOMES.contains(&outcome.as_str()))
            .map(|(_, count)| count)
            .sum();
        let in_time = latency
            .iter()
            .map(|(kind, buckets)| {
                let bound_s = match kind.as_str() {
                    "call" => objective.call_s,
                    _ => objective.stream_s,
                };
                let burn = Burn::of(
                    count_within(buckets, bound_s),
                    buckets.last().map_or(0, |last| last.count),
                    objective.in_time,
                );
                (kind.clone(), burn)
            })
            .collect();
        Self {
            objective,
            hosts: hosts.len(),
            availability: Burn::of(served, served + failed, objective.availability),
            in_time,
            outcomes,
            latency,
        }
    }

    /// Formats the report as human-readable lines.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut lines = vec![format!("hosts: {}", self.hosts)];
        lines.push(burn_line(
            "served",
            &self.availability,
            self.objective.availability,
        ));
        for (kind, burn) in &self.in_time {
            let name = format!("{kind} in time");
            lines.push(burn_line(&name, burn, self.objective.in_time));
        }
        for (outcome, count) in &self.outcomes {
            lines.push(format!("outcome {outcome}: {count}"));
        }
        lines.join("\n") + "\n"
    }
}

fn burn_line(name: &str, burn: &Burn, objective: f64) -> String {
    format!(
        "{name}: {} of {} ({:.2} %, promised {:.2} %), {:.0} % of the error budget spent",
        burn.good,
        burn.total,
        burn.share * 100.0,
        objective * 100.0,
        burn.budget_spent * 100.0
    )
}

/// Adds the counts of buckets with equal bounds.
fn add_buckets(sum: &mut Vec<LatencyBucket>, buckets: &[LatencyBucket]) {
    for bucket in buckets {
        match sum.iter_mut().find(|known| known.bound_s == bucket.bound_s) {
            Some(known) => known.count += bucket.count,
            None => sum.push(*bucket),
        }
    }
    sum.sort_by(|a, b| a.bound_s.total_cmp(&b.bound_s));
}

/// Returns how many samples are within a bound. A bound between two buckets uses the lower one,
/// so that the report never overstates the share in time.
fn count_within(buckets: &[LatencyBucket], bound_s: f64) -> u64 {
    let within = buckets
        .iter()
        .rev()
        .find(|bucket| bucket.bound_s <= bound_s);
    within.map_or(0, |bucket| bucket.count)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
