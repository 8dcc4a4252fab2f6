//! Checks whether an engine that a stream left still has the stream's run after another engine has taken over.

use {
    crate::{
        edge::ProbeReport,
        forward::{probe, stream::StreamRun},
        state::GatewayState,
        view::Upstream,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        ids::{EngineId, RequestId},
    },
    tokio::time::sleep,
};

/// How long after the stream went on its earlier engine is asked about the run. Its report may be a few hundred
/// milliseconds old, so it may still list a run that has ended since.
const CHECK_DELAY: Duration = Duration::from_millis(600);
/// Maximum number of engines of one stream that are checked.
const MAX_EARLIER_RUNS: usize = 8;

/// A run that a stream left.
pub(super) struct EarlierRun {
    pub(super) upstream: Arc<Upstream>,
    left_at: Instant,
    pub(super) cause: &'static str,
    /// Whether it was ended by an order, or is being ended.
    pub(super) is_ended: bool,
}

/// What an engine says of a run that was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// The engine lists the run.
    Held,
    /// The engine lists all its requests, and the run is not among them.
    Ended,
    /// The engine does not list the run, but has requests that it does not list.
    Unlisted,
    /// Another incarnation answered.
    Replaced,
    /// The engine did not answer.
    Unanswered,
}

impl Found {
    fn of(report: &ProbeReport, upstream: &Upstream) -> Self {
        let listed = upstream.record.born;
        if report.born.is_some() && listed.is_some() && report.born != listed {
            return Self::Replaced;
        }
        if report.events_made.is_some() {
            return Self::Held;
        }
        if report.lacks_request() {
            Self::Ended
        } else {
            Self::Unlisted
        }
    }

    /// The name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Ended => "ended",
            Self::Unlisted => "unlisted",
            Self::Replaced => "replaced",
            Self::Unanswered => "unanswered",
        }
    }
}

impl StreamRun {
    /// Records that the stream left an engine at which it may have run.
    pub(super) fn record_earlier_run(&mut self, upstream: Arc<Upstream>, cause: &'static str) {
        if self.earlier_runs.len() < MAX_EARLIER_RUNS {
            self.earlier_runs.push(EarlierRun {
                upstream,
                left_at: clock::now(),
                cause,
                is_ended: false,
            });
        }
    }

    /// Starts background checks of the engines that the stream left, now that it goes on at `engine`.
    pub(super) fn check_earlier_runs(&mut self, engine: &EngineId) {
        for earlier in self.earlier_runs.drain(..) {
            if earlier.upstream.record.id != *engine {
                let (state, request) = (self.state.clone(), self.call.request());
                tokio::spawn(check(state, request, earlier, engine.clone()));
            }
        }
    }
}

async fn check(
    state: Arc<GatewayState>,
    request: RequestId,
    earlier: EarlierRun,
    continued_at: EngineId,
) {
    sleep(CHECK_DELAY).await;
    let upstream = &earlier.upstream;
    let report = probe::report(&state, upstream, &request).await;
    let found = report.map_or(Found::Unanswered, |report| Found::of(&report, upstream));
    let name = found.name();
    state.metrics.earlier_runs.with_label_values(&[name]).inc();
    let level = match found {
        Found::Held => log::Level::Warn,
        Found::Ended | Found::Unlisted | Found::Replaced | Found::Unanswered => log::Level::Info,
    };
    log::log!(
        level,
        "stream: earlier run checked request={request} upstream={} continued_at={continued_at} cause={} found={name} \
         left_ms={}",
        upstream.record.id,
        earlier.cause,
        clock::elapsed(earlier.left_at).as_millis()
    );
}
