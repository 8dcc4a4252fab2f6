//! Finds out whether an upstream ended while it ran a request, or only their connection did, and keeps
//! requests that end upstreams from further ones.

use {
    super::{
        call::Call,
        connect::{self, Reach},
        probe,
    },
    crate::{connection::CallFailure, edge::ProbeReport, state::GatewayState, view::Upstream},
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tealshore_core::{
        answer::Failure,
        ids::{Fingerprint, RequestId},
    },
    tealshore_quarantine::{
        crash::Crash,
        uncertain::{ProbeResult, UncertainCrash},
    },
    tokio::task::JoinHandle,
};

/// What kind of upstream a run was lost at, which decides how to tell that it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine. It gives its report without a slot, so one that gives none has ended, or hangs.
    Engine,
    /// A plain service. One that is busy leaves new connections and calls waiting, so only one that
    /// refuses connections has ended.
    PlainService,
}

impl UpstreamKind {
    /// Looks at an upstream that lost a run which had begun there at `began`.
    pub async fn look(
        self,
        state: &GatewayState,
        upstream: &Upstream,
        request: &RequestId,
        began: Instant,
    ) -> ProbeResult {
        // What it was taken for before the run began, it disproved by running it.
        if upstream.was_replaced_after(began) {
            return ProbeResult::PerhapsAnotherLife;
        }
        match (connect::reach(upstream).await, self) {
            (Reach::Refused, Self::Engine | Self::PlainService) => ProbeResult::Refused,
            (Reach::Unanswered, Self::Engine) => ProbeResult::Silent,
            (Reach::Taken, Self::Engine) => {
                let report = probe::report(state, upstream, request).await;
                match report {
                    Ok(report) => found_in(&report, upstream, began),
                    Err(CallFailure::Closed) => ProbeResult::Refused,
                    Err(CallFailure::TimedOut) => ProbeResult::Silent,
                }
            }
            (Reach::Taken | Reach::Unanswered, Self::PlainService) => ProbeResult::Lives {
                is_same_life: false,
            },
        }
    }
}

/// What an engine's report tells of its life.
fn found_in(report: &ProbeReport, upstream: &Upstream, began: Instant) -> ProbeResult {
    match (report.born, upstream.record.born) {
        (Some(reported), Some(listed)) if reported != listed => {
            ProbeResult::from_birth(Duration::from_millis(reported), unix_time_of(began))
        }
        (reported, listed) => ProbeResult::Lives {
            is_same_life: reported.is_some() && listed.is_some(),
        },
    }
}

/// The time of day of an earlier moment, by this host's clock of now.
fn unix_time_of(moment: Instant) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().saturating_sub(moment.elapsed())
}

/// A run that was lost.
pub struct LostRun {
    /// The upstream at which it was.
    pub upstream: Arc<Upstream>,
    /// The last event that came of the request, of any run; 0 where none did.
    pub position: u64,
    /// How many of them came of this run.
    pub run_events: u64,
    /// When it began there.
    pub began: Instant,
    /// When it was lost.
    pub lost: Instant,
    /// Why the upstream was given up.
    pub cause: &'static str,
}

/// Whether the upstream of a request's last lost run has ended: a question that may still be open.
#[derive(Default)]
pub struct Examination {
    open: Option<JoinHandle<()>>,
}

impl Examination {
    /// Finds out, aside, whether the upstream of a lost run has ended. The request does not wait.
    pub fn begin(
        &mut self,
        state: &Arc<GatewayState>,
        call: &Call,
        kind: UpstreamKind,
        run: LostRun,
    ) {
        let (state, request, digest) = (state.clone(), call.request(), call.fingerprint);
        self.open = Some(tokio::spawn(async move {
            let found = kind.look(&state, &run.upstream, &request, run.began).await;
            let Some(evidence) = found.evidence() else {
                return;
            };
            let end = UncertainCrash {
                crash: crash_of(&request, &run),
                upstream: run.upstream.clone(),
                evidence,
            };
            note_ended(&state, &request, digest, &run, found);
            let is_certain = found == ProbeResult::AnotherLife;
            state.note_end(&request, digest, end, kind, is_certain);
        }));
    }

    /// Checks, before a send, that the request does not end the upstreams which run it. Where it
    /// may be the next upstream's end that shows it, waits for the open question.
    ///
    /// # Errors
    /// It is in quarantine.
    pub async fn check_before_send(
        &mut self,
        state: &GatewayState,
        call: &Call,
    ) -> Result<(), Failure> {
        if state.crashes.is_doubtful(call.fingerprint)
            && let Some(open) = self.open.take()
        {
            // A question that broke off leaves what is known.
            let _ = open.await;
        }
        state.check_quarantine(call.id(), call.fingerprint)
    }
}

/// Logs how a lost run's upstream was found, and lets no new work go there for now.
fn note_ended(
    state: &GatewayState,
    request: &RequestId,
    digest: Fingerprint,
    run: &LostRun,
    found: ProbeResult,
) {
    state.metrics.ended_runs.inc();
    log::warn!(
        "upstream: ended under request={request} digest={digest:016x} upstream={} found={found:?} cause={} \
         position={} ran_ms={}",
        run.upstream.record.id,
        run.cause,
        run.position,
        run.lost.saturating_duration_since(run.began).as_millis()
    );
    state.suspect(&run.upstream, "ended");
}

fn crash_of(request: &RequestId, run: &LostRun) -> Crash {
    Crash {
        attempt: request.clone(),
        upstream: run.upstream.record.id.clone(),
        position: run.position,
        run_events: run.run_events,
        began: run.began,
        ended: run.lost,
    }
}
