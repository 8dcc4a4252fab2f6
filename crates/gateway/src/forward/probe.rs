//! Tells a dead upstream from one that is silent for good reason.

use {
    crate::{
        connection::{CallBounds, CallFailure, try_call},
        edge::ProbeReport,
        rollout::Outcome,
        state::GatewayState,
        view::Upstream,
    },
    std::{future::Future, pin::pin, time::Duration},
    tealshore_core::ids::RequestId,
    tokio::time::{sleep, timeout},
};

/// How long a live upstream may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(170);
/// The bounds of one probe; a report of an engine's runs takes some kilobytes.
const PROBE_BOUNDS: CallBounds = CallBounds {
    timeout: PROBE_TIMEOUT,
    answer_bytes: 64 * 1024,
};
/// After this time the second probe goes out.
const SECOND_PROBE_AFTER: Duration = Duration::from_millis(60);

/// A report is some hundred milliseconds old, so it must say this many times in a row that the
/// request is not there, or that it was answered.
const REPORTS_NEEDED: u32 = 2;
/// After one such report the next one is asked for this soon; reports are renewed about as often.
const CONFIRM_AFTER: Duration = Duration::from_millis(200);

/// What a probe showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Unanswered,
    /// It lives, and may have the request.
    Alive,
    /// It lives and does not have the request.
    Absent,
    /// It lives and has made so many events for the request.
    MadeEvents(u64),
}

impl ProbeResult {
    fn of(report: &ProbeReport) -> Self {
        if let Some(made) = report.events_made.filter(|made| *made > 0) {
            return Self::MadeEvents(made);
        }
        if report.lacks_request() {
            return Self::Absent;
        }
        Self::Alive
    }
}

/// What is awaited of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Awaited<'a> {
    /// The request that it runs.
    pub request: &'a RequestId,
    /// How long it may be silent.
    pub patience: Patience,
    /// The events of the request that came from it or, before, from another upstream; 0 until
    /// its own first one.
    pub events_had: u64,
}

/// How long an upstream may be silent.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Silence after which it is probed.
    pub probe_after: Duration,
    /// Silence that is too long even of a live upstream.
    pub longest: Duration,
}

/// Why an upstream is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// It does not answer probes.
    Dead,
    /// Another request found that it seems dead.
    FoundDead,
    /// It says that it does not have the request, so it lost it.
    NotHeld,
    /// It says that it makes events for the request, and they do not arrive: a connection may go
    /// silent for good without a reset, while probes on new ones are answered.
    AnswerLost,
    /// It lives and says nothing.
    TooLong,
}

impl Silence {
    /// Whether the upstream lives and has probably read the prompt of the request.
    pub fn leaves_prompt_read(self) -> bool {
        match self {
            Self::NotHeld | Self::AnswerLost => true,
            Self::Dead | Self::FoundDead | Self::TooLong => false,
        }
    }

    /// What it says of the upstream's version.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Dead | Self::FoundDead | Self::NotHeld | Self::AnswerLost => Outcome::Lost,
            Self::TooLong => Outcome::Failed,
        }
    }

    /// The silence's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Dead => "probe-unanswered",
            Self::FoundDead => "found-dead",
            Self::NotHeld => "not-held",
            Self::AnswerLost => "answer-lost",
            Self::TooLong => "silent-too-long",
        }
    }
}

/// Waits for something from an upstream for as long as the upstream seems to live.
///
/// # Errors
/// The upstream is not waited for any longer.
pub async fn wait_while_alive<T>(
    state: &GatewayState,
    upstream: &Upstream,
    awaited: Awaited<'_>,
    arrival: impl Future<Output = T>,
) -> Result<T, Silence> {
    let mut arrival = pin!(arrival);
    let mut watching = pin!(watch(state, upstream, awaited));
    tokio::select! {
        biased;
        value = &mut arrival => Ok(value),
        silence = &mut watching => Err(silence),
    }
}

async fn watch(state: &GatewayState, upstream: &Upstream, awaited: Awaited<'_>) -> Silence {
    let found_dead = async {
        upstream.wait_until_suspected().await;
        if upstream.is_replaced() {
            return Silence::FoundDead;
        }
        // What others found is checked: they may be the ones that are cut off.
        match ask(state, upstream, awaited.request).await {
            ProbeResult::Unanswered => Silence::FoundDead,
            ProbeResult::Alive | ProbeResult::Absent | ProbeResult::MadeEvents(_) => {
                std::future::pending().await
            }
        }
    };
    tokio::select! {
        silence = found_dead => silence,
        silence = probe_repeatedly(state, upstream, awaited) => silence,
        () = sleep(awaited.patience.longest) => Silence::TooLong,
    }
}

async fn probe_repeatedly(
    state: &GatewayState,
    upstream: &Upstream,
    awaited: Awaited<'_>,
) -> Silence {
    let mut absent_reports = 0;
    let mut lost_reports = 0;
    let mut pause = awaited.patience.probe_after;
    loop {
        sleep(pause).await;
        let result = ask(state, upstream, awaited.request).await;
        let is_absent = result == ProbeResult::Absent;
        absent_reports = if is_absent { absent_reports + 1 } else { 0 };
        let is_lost = match result {
            ProbeResult::MadeEvents(made) => made > awaited.events_had,
            ProbeResult::Unanswered | ProbeResult::Alive | ProbeResult::Absent => false,
        };
        lost_reports = if is_lost { lost_reports + 1 } else { 0 };
        if result == ProbeResult::Unanswered {
            state.suspect(upstream, "probe-unanswered");
            return Silence::Dead;
        }
        if absent_reports >= REPORTS_NEEDED {
            return Silence::NotHeld;
        }
        if lost_reports >= REPORTS_NEEDED {
            return Silence::AnswerLost;
        }
        pause = if is_lost || is_absent {
            CONFIRM_AFTER
        } else {
            awaited.patience.probe_after
        };
    }
}

async fn ask(state: &GatewayState, upstream: &Upstream, request: &RequestId) -> ProbeResult {
    let report = report(state, upstream, request).await;
    report.map_or(ProbeResult::Unanswered, |report| ProbeResult::of(&report))
}

/// What an upstream reports, and says of one request. A second probe goes out beside the first one, lest one
/// lost packet pass for a death.
///
/// # Errors
/// Neither was answered in time.
pub async fn report(
    state: &GatewayState,
    upstream: &Upstream,
    request: &RequestId,
) -> Result<ProbeReport, CallFailure> {
    let second = async {
        sleep(SECOND_PROBE_AFTER).await;
        probe(state, upstream, request).await
    };
    let either = async {
        let mut first = pin!(probe(state, upstream, request));
        let mut second = pin!(second);
        tokio::select! {
            report = &mut first => answered_or(report, second).await,
            report = &mut second => answered_or(report, first).await,
        }
    };
    let answered = timeout(PROBE_TIMEOUT, either).await;
    answered.unwrap_or(Err(CallFailure::TimedOut))
}

/// The report of one probe, or that of the other one where it was not answered.
async fn answered_or(
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
) -> Result<ProbeReport, CallFailure> {
    state.note_unpermitted(&upstream.record);
    let call = state.protocol.probe_call(&upstream.record);
    let (status, body) = try_call(upstream.record.address, call, PROBE_BOUNDS).await?;
    Ok(state.protocol.read_probe(status, &body, request))
}
