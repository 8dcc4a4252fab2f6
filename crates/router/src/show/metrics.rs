//! Metrics of the entry host.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, exponential_buckets,
};

/// Metrics of the entry host.
pub struct RouterMetrics {
    registry: Registry,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Answers that were resumed after their stream was lost.
    pub resumes: IntCounter,
    /// Engines suspected because of silence.
    pub suspicions: IntCounter,
    /// Time from detecting a lost stream to the next token, in seconds.
    pub resume_seconds: Histogram,
    /// Failures reported to callers, by kind.
    pub failures: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// The version of the declarations in force.
    pub config_version: IntGauge,
}

impl RouterMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Returns an error if a metric is invalid or its name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let resume_buckets = exponential_buckets(0.005, 2.0, 12)?;
        let resume_opts = HistogramOpts::new(
            "tealshore_resume_seconds",
            "From noticing a loss to the next token",
        )
        .buckets(resume_buckets);
        let failure_opts = Opts::new(
            "tealshore_failures_total",
            "Failures told to callers, by kind",
        );
        let metrics = Self {
            tokens: IntCounter::new("tealshore_tokens_total", "Tokens passed on to callers")?,
            resumes: IntCounter::new(
                "tealshore_resumes_total",
                "Answers that went on after a loss",
            )?,
            suspicions: IntCounter::new(
                "tealshore_suspicions_total",
                "Suspicions raised by silence",
            )?,
            resume_seconds: Histogram::with_opts(resume_opts)?,
            failures: IntCounterVec::new(failure_opts, &["kind"])?,
            in_flight: IntGauge::new("tealshore_in_flight", "Requests in flight")?,
            config_version: IntGauge::new(
                "tealshore_config_version",
                "The version of the declarations in force",
            )?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.tokens.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.resumes.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.suspicions.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.resume_seconds.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.failures.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.in_flight.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.config_version.clone()))?;
        Ok(metrics)
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector cannot fail; a metric that cannot be encoded is omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
