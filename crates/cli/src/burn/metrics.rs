//! Parses the metrics that a host exposes in the Prometheus text format.

use {
    prometheus_parse::{Scrape, Value},
    serde::Serialize,
    std::{collections::BTreeMap, io},
};

/// The counter of requests, by outcome.
const OUTCOMES: &str = "tealshore_requests_total";
/// The histogram of the time to the first byte, by kind.
const FIRST_BYTE: &str = "tealshore_first_byte_seconds";

/// A cumulative histogram bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LatencyBucket {
    /// The upper bound, in seconds; infinite for the last bucket.
    pub bound_s: f64,
    /// The number of samples up to the bound.
    pub count: u64,
}

/// The metrics of one host that the report uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostMetrics {
    /// Request counts by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Cumulative histograms of the time to the first byte, by kind.
    pub latency: BTreeMap<String, Vec<LatencyBucket>>,
}

impl HostMetrics {
    /// Parses a host's metrics.
    ///
    /// # Errors
    /// Fails if the text can't be read as metrics.
    pub fn parse(text: &str) -> io::Result<Self> {
        let scrape = Scrape::parse(text.lines().map(|line| Ok(line.to_owned())))?;
        let mut metrics = Self::default();
        for sample in scrape.samples {
            match (sample.metric.as_str(), sample.value) {
                (OUTCOMES, Value::Counter(count)) => {
                    let outcome = sample.labels.get("outcome").unwrap_or_default();
                    metrics.outcomes.insert(outcome.to_owned(), to_count(count));
                }
                (FIRST_BYTE, Value::Histogram(buckets)) => {
                    let kind = sample.labels.get("kind").unwrap_or_default();
                    let buckets = buckets.iter().map(|bucket| LatencyBucket {
                        bound_s: bucket.less_than,
                        count: to_count(bucket.count),
                    });
                    metrics.latency.insert(kind.to_owned(), buckets.collect());
                }
                _ => {}
            }
        }
        Ok(metrics)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are whole numbers and never negative"
)]
fn to_count(number: f64) -> u64 {
    number as u64
}
