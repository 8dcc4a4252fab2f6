//! Reads what a host counts from the text of its metrics.

use {
    prometheus_parse::{Scrape, Value},
    serde::Serialize,
    std::{collections::BTreeMap, io},
};

/// Ends of requests, by outcome.
const OUTCOMES: &str = "tealshore_requests_total";
/// Times to the first byte, by kind.
const FIRST_BYTE: &str = "tealshore_first_byte_seconds";

/// How many were at most so long.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LatencyBucket {
    /// The bound, in seconds; infinite for the last bucket.
    pub bound_s: f64,
    /// How many were within it.
    pub count: u64,
}

/// What one host counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostMetrics {
    /// Ends of requests, by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Times to the first byte, by kind.
    pub latency: BTreeMap<String, Vec<LatencyBucket>>,
}

impl HostMetrics {
    /// Reads the text of a host's metrics.
    ///
    /// # Errors
    /// The text is none.
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
    reason = "counters are whole and not negative"
)]
fn to_count(number: f64) -> u64 {
    number as u64
}
