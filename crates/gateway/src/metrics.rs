//! The Prometheus metrics of this host.

mod engines;

use {
    crate::{rollout::Quality, topology::Distance, view::UpstreamRecord},
    engines::EngineMetrics,
    prometheus::{
        Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
        Registry, TextEncoder, core::Collector, exponential_buckets,
    },
    std::time::Duration,
};

/// All metrics of this host and the registry that exports them.
pub struct GatewayMetrics {
    registry: Registry,
    /// Finished requests, by outcome.
    pub outcomes: IntCounterVec,
    /// Lost attempts, by cause.
    pub losses: IntCounterVec,
    /// Runs that streams left for another engine, by what their engine said of them afterwards.
    pub earlier_runs: IntCounterVec,
    /// Orders that end runs which streams left, by result.
    pub run_endings: IntCounterVec,
    /// Streams that callers resumed, by what proved an earlier run to be the caller's, or why none was proven to be.
    pub resumes: IntCounterVec,
    /// Notices in answers of upstreams, by kind: `rest`, `rest-unreadable` or `leaving`.
    pub notices: IntCounterVec,
    /// Requests to upstreams that advertise a rate limit, by result: sent with a permit
    /// (`permitted`), sent without one (`unpermitted`), or held back for lack of one (`short`).
    pub limited_sends: IntCounterVec,
    /// Upstreams that advertise a rate limit.
    pub limited_upstreams: IntGauge,
    /// Runs that were lost when their upstream ended.
    pub ended_runs: IntCounter,
    /// Crashes attributed to a request and then retracted, since the upstream was still alive.
    pub retracted_crashes: IntCounter,
    /// Requests in quarantine, as far as this host knows.
    pub quarantined: IntGauge,
    /// Parts of prompts in quarantine, as far as this host knows.
    pub quarantined_parts: IntGauge,
    /// How often this process stood still for a second or more.
    pub standstills: IntCounter,
    /// Sends to upstreams, by what is sent (`call`, `prompt`, `copy`) and by distance: from this
    /// host, or for a copy from the engine that runs the request.
    pub sends: IntCounterVec,
    /// Requests for tunnels, by side (`used` by this host, `lent` to others) and result.
    tunnels: IntCounterVec,
    /// Upstreams found to fail requests that others served, by who found it: `here` or `peer`.
    pub failing_upstreams: IntCounterVec,
    /// Sends of requests to upstreams, by service and version; each send of a request counts.
    pub version_requests: IntCounterVec,
    /// Answers that count as evidence for or against a version, by service, version and result.
    version_answers: IntCounterVec,
    /// Answers that count as evidence against a version, by service, version and cause.
    version_bad_answers: IntCounterVec,
    /// Versions being rolled out to which this host stopped sending before the roll-out ended.
    pub stopped_trials: IntCounter,
    /// Calls to the store, by row set and result.
    pub store_calls: IntCounterVec,
    /// Failed calls to the store and answers that were rejected, by row set and cause.
    pub store_failures: IntCounterVec,
    /// The latest era reported by the store; 0 while it reports none.
    pub store_era: IntGauge,
    /// Time from a request's head to the first byte of its answer, by kind.
    pub first_byte_seconds: HistogramVec,
    /// Time from the detection of a loss to the next event of the stream.
    pub resume_seconds: Histogram,
    /// Time between two events of a stream, measured as they are sent to the caller.
    pub pause_seconds: Histogram,
    /// Time from a request's head to the end of its answer, by kind.
    pub duration_seconds: HistogramVec,
    /// Time from a request's head to its first send to an upstream, by kind.
    pub queue_seconds: HistogramVec,
    /// Duration of answered calls to the store, by row set. Watches include the wait for changes.
    pub store_call_seconds: HistogramVec,
    /// Age of the active configuration when requests are admitted.
    pub configuration_age_seconds: Histogram,
    /// Requests with API keys that were admitted while the view was stale.
    pub stale_requests: IntCounter,
    /// Rows of the store that could not be decoded.
    pub unreadable_rows: IntCounter,
    /// Datagrams from other hosts that could not be decoded.
    pub unreadable_datagrams: IntCounter,
    /// Payload bytes sent to other hosts, by kind of message; packet headers are not counted.
    pub peer_sent_bytes: IntCounterVec,
    /// Desired, ordered and listed engines.
    pub engines: EngineMetrics,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Ends of requests during a planned stop, by end.
    pub stop_requests: IntCounterVec,
    /// Connections without a request that a planned stop closed.
    pub stop_idle_connections: IntCounter,
    /// The version of the active configuration.
    pub config_version: IntGauge,
    /// The fencing token under which this host holds the duty lease; 0 if it doesn't hold it.
    pub duty_fence: IntGauge,
    /// Writes of the duty lease, by purpose and result.
    lease_writes: IntCounterVec,
    /// Calls to the platform as the holder of the duty lease, by duty and result.
    duty_calls: IntCounterVec,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// A metric is invalid, or its name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let buckets = exponential_buckets(0.004, 2.0, 12)?;
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let histogram =
            |name: &str, help: &str| HistogramOpts::new(name, help).buckets(buckets.clone());
        let metrics = Self {
            registry: Registry::new(),
            outcomes: counter("tealshore_requests_total", "Ends of requests", &["outcome"])?,
            losses: counter("tealshore_losses_total", "Attempts lost", &["cause"])?,
            earlier_runs: counter(
                "tealshore_earlier_runs_total",
                "Runs that streams left for another engine, by what the first engine said of them afterwards",
                &["found"],
            )?,
            run_endings: counter(
                "tealshore_run_endings_total",
                "Orders that end runs which streams left, by result",
                &["outcome"],
            )?,
            resumes: counter(
                "tealshore_caller_resumes_total",
                "Streams that callers resumed",
                &["evidence"],
            )?,
            notices: counter(
                "tealshore_upstream_notices_total",
                "What upstreams said of themselves in answers",
                &["notice"],
            )?,
            limited_sends: counter(
                "tealshore_limited_sends_total",
                "Requests to upstreams that name a limit",
                &["result"],
            )?,
            limited_upstreams: IntGauge::new(
                "tealshore_limited_upstreams",
                "Upstreams that name a limit",
            )?,
            ended_runs: IntCounter::new(
                "tealshore_ended_runs_total",
                "Runs of requests that ended with their upstreams",
            )?,
            retracted_crashes: IntCounter::new(
                "tealshore_crashes_taken_back_total",
                "Crashes held against requests that were none",
            )?,
            quarantined: IntGauge::new(
                "tealshore_quarantined_requests",
                "Requests that are in quarantine, as they crash upstreams",
            )?,
            quarantined_parts: IntGauge::new(
                "tealshore_quarantined_prompt_parts",
                "Parts of prompts that are in quarantine, as they crash upstreams",
            )?,
            standstills: IntCounter::new(
                "tealshore_standstills_total",
                "Times that this process stood still for a second or more",
            )?,
            sends: counter(
                "tealshore_sends_total",
                "Sends to upstreams, and copies",
                &["what", "distance"],
            )?,
            tunnels: counter(
                "tealshore_tunnels_total",
                "Connections to upstreams through another host, used by this host or lent to others",
                &["side", "result"],
            )?,
            failing_upstreams: counter(
                "tealshore_failing_upstreams_total",
                "Upstreams that failed what others did",
                &["found_by"],
            )?,
            version_requests: counter(
                "tealshore_version_requests_total",
                "Sends to upstreams of a version",
                &["service", "version"],
            )?,
            version_answers: counter(
                "tealshore_version_answers_total",
                "Answers of upstreams of a version, bad ones are failures, losses and slow answers",
                &["service", "version", "result"],
            )?,
            version_bad_answers: counter(
                "tealshore_version_bad_answers_total",
                "Answers that speak against a version: failures, losses and slow answers",
                &["service", "version", "cause"],
            )?,
            stopped_trials: IntCounter::new(
                "tealshore_stopped_trials_total",
                "Versions that were tried and to which this host stopped sending",
            )?,
            store_calls: counter(
                "tealshore_store_calls_total",
                "Calls to the platform's store",
                &["set", "result"],
            )?,
            store_failures: counter(
                "tealshore_store_failures_total",
                "Failed calls to the platform's store, and answers that were not taken",
                &["set", "cause"],
            )?,
            store_era: IntGauge::new(
                "tealshore_store_era",
                "The era that the platform's store last named",
            )?,
            first_byte_seconds: HistogramVec::new(
                histogram(
                    "tealshore_first_byte_seconds",
                    "From a request's head to the first byte of its answer",
                ),
                &["kind"],
            )?,
            resume_seconds: Histogram::with_opts(histogram(
                "tealshore_stream_resume_seconds",
                "From noticing a loss to the next event",
            ))?,
            pause_seconds: Histogram::with_opts(histogram(
                "tealshore_stream_pause_seconds",
                "Between two events of a stream",
            ))?,
            duration_seconds: HistogramVec::new(
                histogram(
                    "tealshore_whole_seconds",
                    "From a request's head to the end of its answer",
                ),
                &["kind"],
            )?,
            queue_seconds: HistogramVec::new(
                histogram(
                    "tealshore_queue_seconds",
                    "From a request's head to its first send to an upstream",
                ),
                &["kind"],
            )?,
            store_call_seconds: HistogramVec::new(
                histogram(
                    "tealshore_store_call_seconds",
                    "Calls to the platform's store that were answered",
                ),
                &["set"],
            )?,
            configuration_age_seconds: Histogram::with_opts(histogram(
                "tealshore_configuration_age_seconds",
                "Age of the configuration in force at the admission of requests",
            ))?,
            stale_requests: IntCounter::new(
                "tealshore_stale_requests_total",
                "Requests with keys admitted by a stale view",
            )?,
            unreadable_rows: IntCounter::new(
                "tealshore_unreadable_rows_total",
                "Rows of the platform's store that could not be read",
            )?,
            unreadable_datagrams: IntCounter::new(
                "tealshore_unreadable_datagrams_total",
                "Datagrams of other hosts that could not be read",
            )?,
            peer_sent_bytes: counter(
                "tealshore_peer_sent_bytes_total",
                "Bytes sent to other hosts",
                &["message"],
            )?,
            engines: EngineMetrics::new()?,
            in_flight: IntGauge::new("tealshore_requests_in_flight", "Requests in flight")?,
            stop_requests: counter(
                "tealshore_stop_requests_total",
                "Ends of requests during a planned stop",
                &["end"],
            )?,
            stop_idle_connections: IntCounter::new(
                "tealshore_stop_idle_connections_total",
                "Connections without a request that a planned stop closed",
            )?,
            config_version: IntGauge::new(
                "tealshore_configuration_version",
                "The version of the configuration in force",
            )?,
            duty_fence: IntGauge::new(
                "tealshore_duty_fence",
                "The fencing token under which this host holds the duties, 0 where it does not",
            )?,
            lease_writes: counter(
                "tealshore_lease_writes_total",
                "Writes of the duties' lease",
                &["purpose", "result"],
            )?,
            duty_calls: counter(
                "tealshore_duty_calls_total",
                "Calls to the platform as the holder of the duties",
                &["duty", "result"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let all: Vec<Box<dyn Collector>> = vec![
            Box::new(self.outcomes.clone()),
            Box::new(self.losses.clone()),
            Box::new(self.earlier_runs.clone()),
            Box::new(self.run_endings.clone()),
            Box::new(self.resumes.clone()),
            Box::new(self.notices.clone()),
            Box::new(self.limited_sends.clone()),
            Box::new(self.limited_upstreams.clone()),
            Box::new(self.ended_runs.clone()),
            Box::new(self.retracted_crashes.clone()),
            Box::new(self.quarantined.clone()),
            Box::new(self.quarantined_parts.clone()),
            Box::new(self.standstills.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.tunnels.clone()),
            Box::new(self.failing_upstreams.clone()),
            Box::new(self.version_requests.clone()),
            Box::new(self.version_answers.clone()),
            Box::new(self.version_bad_answers.clone()),
            Box::new(self.stopped_trials.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_failures.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.first_byte_seconds.clone()),
            Box::new(self.resume_seconds.clone()),
            Box::new(self.pause_seconds.clone()),
            Box::new(self.duration_seconds.clone()),
            Box::new(self.queue_seconds.clone()),
            Box::new(self.store_call_seconds.clone()),
            Box::new(self.configuration_age_seconds.clone()),
            Box::new(self.stale_requests.clone()),
            Box::new(self.unreadable_rows.clone()),
            Box::new(self.unreadable_datagrams.clone()),
            Box::new(self.peer_sent_bytes.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.stop_requests.clone()),
            Box::new(self.stop_idle_connections.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.duty_fence.clone()),
            Box::new(self.lease_writes.clone()),
            Box::new(self.duty_calls.clone()),
        ];
        for collector in all.into_iter().chain(self.engines.collectors()) {
            self.registry.register(collector)?;
        }
        Ok(())
    }

    /// Counts a send to an upstream, or to the engine that holds a copy.
    pub fn count_send(&self, what: &str, distance: Distance) {
        let labels = [what, distance.name()];
        self.sends.with_label_values(&labels).inc();
    }

    /// Records the time from a request's head to the first byte of its answer.
    pub fn observe_first_byte(&self, kind: &str, waited: Duration) {
        self.first_byte_seconds
            .with_label_values(&[kind])
            .observe(waited.as_secs_f64());
    }

    /// Counts an answer as evidence for or against the version of its upstream.
    pub fn count_answer(&self, upstream: &UpstreamRecord, quality: Quality) {
        let (service, version) = (upstream.service.as_str(), upstream.version.as_str());
        let result = if quality.is_bad() { "bad" } else { "good" };
        let labels = [service, version, result];
        self.version_answers.with_label_values(&labels).inc();
        if quality.is_bad() {
            let labels = [service, version, quality.name()];
            self.version_bad_answers.with_label_values(&labels).inc();
        }
    }

    /// Counts a request for a tunnel.
    pub fn count_tunnel(&self, side: &str, result: &str) {
        self.tunnels.with_label_values(&[side, result]).inc();
    }

    /// Counts payload bytes sent to other hosts.
    pub fn count_peer_bytes(&self, message: &str, bytes: usize) {
        self.peer_sent_bytes
            .with_label_values(&[message])
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Records the time from a request's head to its first send to an upstream.
    pub fn observe_queue_time(&self, kind: &str, waited: Duration) {
        self.queue_seconds
            .with_label_values(&[kind])
            .observe(waited.as_secs_f64());
    }

    /// Records the time from a request's head to the end of its answer.
    pub fn observe_duration(&self, kind: &str, duration: Duration) {
        self.duration_seconds
            .with_label_values(&[kind])
            .observe(duration.as_secs_f64());
    }

    /// Counts a write of the duty lease.
    pub fn count_lease_write(&self, purpose: &str, result: &str) {
        let labels = [purpose, result];
        self.lease_writes.with_label_values(&labels).inc();
    }

    /// Counts a call to the platform as the holder of the duty lease.
    pub fn count_duty_call(&self, duty: &str, result: &str) {
        let labels = [duty, result];
        self.duty_calls.with_label_values(&labels).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a Vec can't fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
