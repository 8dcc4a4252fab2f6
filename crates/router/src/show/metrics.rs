//! What this host counts.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, exponential_buckets,
};

/// What this host counts.
pub struct RouterMetrics {
    registry: Registry,
    /// Tokens passed on to callers.
    pub tokens: IntCounter,
    /// Answers that went on after a loss.
    pub resumes: IntCounter,
    /// Suspicions raised by silence.
    pub suspicions: IntCounter,
    /// From noticing a loss to the next token, in seconds.
    pub resume_seconds: Histogram,
    /// Failures told to callers, by kind.
    pub failures: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// The version of the declarations in force.
    pub config_version: IntGauge,
}

impl RouterMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// A name is taken twice.
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

    /// All metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector can't fail, and a metric that can't be shown is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
