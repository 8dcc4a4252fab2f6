//! What this host counts.

use {
    prometheus::{
        Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder, exponential_buckets,
    },
    std::time::Duration,
};

/// What this host counts.
pub struct GatewayMetrics {
    registry: Registry,
    /// Ends of requests, by outcome.
    pub outcomes: IntCounterVec,
    /// Losses of attempts, by cause.
    pub losses: IntCounterVec,
    /// Calls to the store, by set and result.
    pub store_calls: IntCounterVec,
    /// Time of requests to their first byte, by kind.
    pub first_byte_seconds: HistogramVec,
    /// From noticing a loss to the next event.
    pub resume_seconds: Histogram,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// A name is taken twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let buckets = exponential_buckets(0.004, 2.0, 12)?;
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let first_byte = HistogramOpts::new(
            "tealshore_first_byte_seconds",
            "From a request's head to the first byte of its answer",
        );
        let resume = HistogramOpts::new(
            "tealshore_stream_resume_seconds",
            "From noticing a loss to the next event",
        );
        let metrics = Self {
            registry: Registry::new(),
            outcomes: counter("tealshore_requests_total", "Ends of requests", &["outcome"])?,
            losses: counter("tealshore_losses_total", "Attempts lost", &["cause"])?,
            store_calls: counter(
                "tealshore_store_calls_total",
                "Calls to the platform's store",
                &["set", "result"],
            )?,
            first_byte_seconds: HistogramVec::new(first_byte.buckets(buckets.clone()), &["kind"])?,
            resume_seconds: Histogram::with_opts(resume.buckets(buckets))?,
            in_flight: IntGauge::new("tealshore_requests_in_flight", "Requests in flight")?,
            config_version: IntGauge::new(
                "tealshore_configuration_version",
                "The version of the configuration in force",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.outcomes.clone()))?;
        self.registry.register(Box::new(self.losses.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))?;
        self.registry
            .register(Box::new(self.first_byte_seconds.clone()))?;
        self.registry
            .register(Box::new(self.resume_seconds.clone()))?;
        self.registry.register(Box::new(self.in_flight.clone()))?;
        self.registry
            .register(Box::new(self.config_version.clone()))
    }

    /// Notes how long a request waited for the first byte of its answer.
    pub fn note_first_byte(&self, kind: &str, waited: Duration) {
        self.first_byte_seconds
            .with_label_values(&[kind])
            .observe(waited.as_secs_f64());
    }

    /// All metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
