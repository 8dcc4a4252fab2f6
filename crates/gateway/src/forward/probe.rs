//! Distinguishes a dead upstream from one that is silent because it is still working.

use {
    super::{dial::dial, stall::Stall},
    crate::{
        connection::{CallBounds, CallFailure, Received, short_call_recording},
        edge::ProbeReport,
        rollout::Outcome,
        state::GatewayState,
        view::Upstream,
    },
    futures::TryFutureExt,
    std::{
        future::Future,
        pin::pin,
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tealshore_core::{clock, ids::RequestId},
    tokio::time::{sleep, timeout},
};

/// How long a live upstream may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(170);
/// The bounds of one probe. A report of an engine's runs takes a few kilobytes.
const PROBE_BOUNDS: CallBounds = CallBounds {
    timeout: PROBE_TIMEOUT,
    answer_bytes: 64 * 1024,
};
/// The delay after which a second probe is sent beside the first.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(60);

/// How many reports in a row must show that the upstream lacks the request, or has made events that
/// did not arrive. One is not enough, since a report is some hundred milliseconds old.
const REPORTS_TO_CONFIRM: u32 = 2;
/// The delay before the next report is requested to confirm such a report. Upstreams renew their
/// reports about as often.
const CONFIRM_DELAY: Duration = Duration::from_millis(200);
/// The pause between probes of a stalled upstream. Each probe stays in its queue of connections until it goes on.
const STALLED_PROBE_PAUSE: Duration = Duration::from_millis(250);
/// The interval between probes of a silent upstream whose request has nowhere else to go.
const WAITING_PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// Nothing listens at the address of the upstream, or another host reports that it can't be reached.
    Refused,
    /// No connection was opened in time, or one was closed without an answer.
    Unanswered,
    /// The upstream accepted the connection and sent nothing.
    Stalled,
    /// The upstream lives, but sent something other than a report.
    Invalid,
    /// The upstream lives and may have the request.
    Alive,
    /// The upstream lives and does not have the request.
    Absent,
    /// The upstream lives and has made this many events for the request.
    EventsMade(u64),
}

impl ProbeOutcome {
    fn of(report: &ProbeReport) -> Self {
        if let Some(made) = report.events_made.filter(|made| *made > 0) {
            return Self::EventsMade(made);
        }
        if report.lacks_request() {
            return Self::Absent;
        }
        Self::Alive
    }
}

/// A request whose next data this host waits for.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest<'a> {
    /// The id of the request.
    pub request: &'a RequestId,
    /// How long the upstream may be silent.
    pub silence_limits: SilenceLimits,
    /// How many events of the request have arrived, including those of earlier upstreams; 0 until
    /// this upstream has sent its first one.
    pub events_delivered: u64,
    /// Whether the request has nowhere else to go. Then what others found of the upstream does not end the wait.
    pub has_no_alternative: bool,
    /// The stall of the upstream, if it is stalled.
    pub stall: &'a Stall,
}

/// How long an upstream may be silent.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// The silence after which the upstream is probed.
    pub probe_after: Duration,
    /// The silence after which the wait ends even if the upstream lives.
    pub max: Duration,
}

/// Why the wait for an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitFailure {
    /// The upstream can't be reached by probes.
    ProbeUnanswered,
    /// The upstream accepts probes and does not answer them.
    Stalled,
    /// The upstream lives, but answers probes with something other than a report.
    ProbeInvalid,
    /// Another request or host found the upstream dead, and a probe was not answered.
    FoundDeadElsewhere,
    /// Another incarnation has the upstream's address.
    Replaced,
    /// The upstream reports that it does not have the request, so it has lost it.
    RequestMissing,
    /// The upstream reports events for the request that do not arrive: a connection can fall silent
    /// for good without a reset, while probes on new connections are answered.
    AnswerLost,
    /// The upstream lives but has sent nothing for too long.
    SilentTooLong,
}

impl WaitFailure {
    /// Whether the upstream lives and has probably read the prompt of the request.
    pub fn has_read_prompt(self) -> bool {
        match self {
            Self::RequestMissing | Self::AnswerLost => true,
            Self::ProbeUnanswered
            | Self::Stalled
            | Self::ProbeInvalid
            | Self::FoundDeadElsewhere
            | Self::Replaced
            | Self::SilentTooLong => false,
        }
    }

    /// Whether the upstream was only silent, so that it may still go on with the request.
    pub fn is_silence(self) -> bool {
        match self {
            Self::ProbeUnanswered
            | Self::Stalled
            | Self::ProbeInvalid
            | Self::FoundDeadElsewhere
            | Self::SilentTooLong => true,
            Self::Replaced | Self::RequestMissing | Self::AnswerLost => false,
        }
    }

    /// Whether the upstream reports that it still works on the request.
    pub fn is_run_reported(self) -> bool {
        match self {
            Self::AnswerLost => true,
            Self::ProbeUnanswered
            | Self::Stalled
            | Self::ProbeInvalid
            | Self::FoundDeadElsewhere
            | Self::Replaced
            | Self::RequestMissing
            | Self::SilentTooLong => false,
        }
    }

    /// The outcome recorded for the upstream's version.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::ProbeUnanswered
            | Self::Stalled
            | Self::FoundDeadElsewhere
            | Self::Replaced
            | Self::RequestMissing
            | Self::AnswerLost => Outcome::Lost,
            Self::ProbeInvalid | Self::SilentTooLong => Outcome::Failed,
        }
    }

    /// The failure's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ProbeUnanswered => "probe-unanswered",
            Self::Stalled => "stalled",
            Self::ProbeInvalid => "probe-invalid",
            Self::FoundDeadElsewhere | Self::Replaced => "found-dead",
            Self::RequestMissing => "not-held",
            Self::AnswerLost => "answer-lost",
            Self::SilentTooLong => "silent-too-long",
        }
    }
}

/// Waits for data from an upstream for as long as the upstream seems to live.
///
/// # Errors
/// The wait has ended without data.
pub async fn wait_while_alive<T>(
    state: &GatewayState,
    upstream: &Upstream,
    pending_request: PendingRequest<'_>,
    arrival: impl Future<Output = T>,
) -> Result<T, WaitFailure> {
    let mut arrival = pin!(arrival);
    let mut watching = pin!(watch_liveness(state, upstream, pending_request));
    tokio::select! {
        biased;
        value = &mut arrival => Ok(value),
        wait_failure = &mut watching => Err(wait_failure),
    }
}

async fn watch_liveness(
    state: &GatewayState,
    upstream: &Upstream,
    pending_request: PendingRequest<'_>,
) -> WaitFailure {
    let found_dead = async {
        upstream.wait_until_suspected().await;
        if upstream.is_replaced() {
            return WaitFailure::Replaced;
        }
        if pending_request.has_no_alternative {
            return std::future::pending().await;
        }
        // A finding of other hosts or requests is verified, since the fault may be in their own
        // connection.
        match probe_outcome(state, upstream, pending_request).await {
            ProbeOutcome::Refused | ProbeOutcome::Unanswered => WaitFailure::FoundDeadElsewhere,
            ProbeOutcome::Stalled
            | ProbeOutcome::Invalid
            | ProbeOutcome::Alive
            | ProbeOutcome::Absent
            | ProbeOutcome::EventsMade(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        wait_failure = found_dead => wait_failure,
        wait_failure = probe_repeatedly(state, upstream, pending_request) => wait_failure,
        wait_failure = wait_until_silent_too_long(state, upstream, pending_request) => wait_failure,
    }
}

/// Completes once the upstream has been silent for too long while its process ran.
async fn wait_until_silent_too_long(
    state: &GatewayState,
    upstream: &Upstream,
    pending_request: PendingRequest<'_>,
) -> WaitFailure {
    let (stall, max) = (pending_request.stall, pending_request.silence_limits.max);
    let mut began = clock::now();
    loop {
        clock::sleep_until(began + max).await;
        while stall.wait_left(clock::now()).is_some() {
            sleep(STALLED_PROBE_PAUSE).await;
        }
        if let Some(ended) = stall.ended().filter(|ended| *ended > began) {
            began = ended;
            continue;
        }
        // An upstream that is left has to read that its connection is closed.
        match probe_outcome(state, upstream, pending_request).await {
            ProbeOutcome::Stalled if stall.wait_left(clock::now()).is_some() => {}
            ProbeOutcome::Refused
            | ProbeOutcome::Unanswered
            | ProbeOutcome::Stalled
            | ProbeOutcome::Invalid
            | ProbeOutcome::Alive
            | ProbeOutcome::Absent
            | ProbeOutcome::EventsMade(_) => return WaitFailure::SilentTooLong,
        }
    }
}

async fn probe_repeatedly(
    state: &GatewayState,
    upstream: &Upstream,
    pending_request: PendingRequest<'_>,
) -> WaitFailure {
    let mut absent_reports = 0;
    let mut lost_reports = 0;
    let mut pause = if pending_request.has_no_alternative {
        WAITING_PROBE_INTERVAL
    } else {
        pending_request.silence_limits.probe_after
    };
    loop {
        sleep(pause).await;
        let result = probe_outcome(state, upstream, pending_request).await;
        if result == ProbeOutcome::Stalled
            && let Some(left) = pending_request.stall.wait_left(clock::now())
        {
            state.suspect(upstream, WaitFailure::Stalled.name());
            (absent_reports, lost_reports) = (0, 0);
            pause = left.min(STALLED_PROBE_PAUSE);
            continue;
        }
        let is_absent = result == ProbeOutcome::Absent;
        absent_reports = if is_absent { absent_reports + 1 } else { 0 };
        let is_answer_lost = match result {
            ProbeOutcome::EventsMade(made) => made > pending_request.events_delivered,
            ProbeOutcome::Refused
            | ProbeOutcome::Unanswered
            | ProbeOutcome::Stalled
            | ProbeOutcome::Invalid
            | ProbeOutcome::Alive
            | ProbeOutcome::Absent => false,
        };
        lost_reports = if is_answer_lost { lost_reports + 1 } else { 0 };
        let probe_failure = match result {
            ProbeOutcome::Refused | ProbeOutcome::Unanswered => Some(WaitFailure::ProbeUnanswered),
            ProbeOutcome::Stalled => Some(WaitFailure::Stalled),
            ProbeOutcome::Invalid => Some(WaitFailure::ProbeInvalid),
            ProbeOutcome::Alive | ProbeOutcome::Absent | ProbeOutcome::EventsMade(_) => None,
        };
        if let Some(failure) = probe_failure {
            state.suspect(upstream, failure.name());
            return failure;
        }
        if absent_reports >= REPORTS_TO_CONFIRM {
            return WaitFailure::RequestMissing;
        }
        if lost_reports >= REPORTS_TO_CONFIRM {
            return WaitFailure::AnswerLost;
        }
        pause = if is_answer_lost || is_absent {
            CONFIRM_DELAY
        } else {
            pending_request.silence_limits.probe_after
        };
    }
}

async fn probe_outcome(
    state: &GatewayState,
    upstream: &Upstream,
    pending_request: PendingRequest<'_>,
) -> ProbeOutcome {
    let (trace, sent) = (ProbeTrace::default(), clock::now());
    let stall = pending_request.stall;
    let report = report_traced(state, upstream, pending_request.request, &trace).await;
    let outcome = match report {
        Ok(report) => ProbeOutcome::of(&report),
        Err(CallFailure::Invalid) => ProbeOutcome::Invalid,
        Err(CallFailure::Closed) if !trace.is_connected() => ProbeOutcome::Refused,
        Err(CallFailure::TimedOut) if trace.is_connected() => ProbeOutcome::Stalled,
        // A process that does not run lets its queue of connections fill up.
        Err(CallFailure::Closed | CallFailure::TimedOut) if stall.is_stalled() => {
            ProbeOutcome::Stalled
        }
        Err(CallFailure::Closed | CallFailure::TimedOut) => ProbeOutcome::Unanswered,
    };
    match outcome {
        ProbeOutcome::Stalled => stall.record_unanswered(sent),
        ProbeOutcome::Refused | ProbeOutcome::Unanswered => {}
        ProbeOutcome::Invalid
        | ProbeOutcome::Alive
        | ProbeOutcome::Absent
        | ProbeOutcome::EventsMade(_) => stall.record_answer(clock::now()),
    }
    outcome
}

/// What is known of probes that have not been answered.
#[derive(Debug, Default)]
struct ProbeTrace {
    received: Received,
    is_connected: AtomicBool,
}

impl ProbeTrace {
    /// Whether the upstream accepted a connection.
    fn is_connected(&self) -> bool {
        self.is_connected.load(Ordering::Relaxed)
    }
}

/// Fetches an upstream's report, with what it says about one request. A second probe is sent
/// shortly after the first, so that one lost packet does not make the upstream look dead.
///
/// # Errors
/// Neither probe was answered in time. It is [`CallFailure::Invalid`] if anything arrived.
pub async fn report(
    state: &GatewayState,
    upstream: &Upstream,
    request: &RequestId,
) -> Result<ProbeReport, CallFailure> {
    report_traced(state, upstream, request, &ProbeTrace::default()).await
}

async fn report_traced(
    state: &GatewayState,
    upstream: &Upstream,
    request: &RequestId,
    trace: &ProbeTrace,
) -> Result<ProbeReport, CallFailure> {
    let second = async {
        sleep(SECOND_PROBE_DELAY).await;
        probe(state, upstream, request, trace).await
    };
    let either = async {
        let mut first = pin!(probe(state, upstream, request, trace));
        let mut second = pin!(second);
        tokio::select! {
            report = &mut first => first_answered(report, second).await,
            report = &mut second => first_answered(report, first).await,
        }
    };
    let answered = timeout(PROBE_TIMEOUT, either).await;
    let answered = answered.unwrap_or(Err(CallFailure::TimedOut));
    answered.map_err(|failure| {
        if trace.received.is_any() {
            CallFailure::Invalid
        } else {
            failure
        }
    })
}

/// Returns the report of one probe, or that of the other if the first was not answered.
async fn first_answered(
    report: Result<ProbeReport, CallFailure>,
    other: impl Future<Output = Result<ProbeReport, CallFailure>>,
) -> Result<ProbeReport, CallFailure> {
    match report {
        Ok(report) => Ok(report),
        Err(_) => other.await,
    }
}

async fn probe(
    state: &GatewayState,
    upstream: &Upstream,
    request: &RequestId,
    trace: &ProbeTrace,
) -> Result<ProbeReport, CallFailure> {
    state.record_unpermitted(&upstream.record);
    let call = state.protocol.probe_call(&upstream.record);
    let opening = dial(state, upstream).map_ok(|dialed| {
        trace.is_connected.store(true, Ordering::Relaxed);
        dialed.stream
    });
    let answer = short_call_recording(opening, call, PROBE_BOUNDS, &trace.received).await;
    let (status, body) = answer?;
    Ok(state.protocol.read_probe(status, &body, request))
}
