//! Checks whether an upstream ended while it ran a request or only the connection broke, and keeps requests
//! that make upstreams end (crash) from being sent to further ones.

use {
    super::{call::Call, connect, dial::DialFailure, probe, prompt_parts::parts_hex},
    crate::{connection::CallFailure, edge::ProbeReport, state::GatewayState, view::Upstream},
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tealshore_core::{
        answer::Failure,
        clock,
        ids::{Fingerprint, RequestId},
    },
    tealshore_quarantine::{
        crash::Crash,
        parts::{PartId, RuntimeId},
        uncertain::{ProbeResult, UncertainCrash},
    },
    tokio::task::JoinHandle,
};

/// The kind of upstream at which a run was lost. It decides how to detect that the upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine. It answers report calls even when all its slots are taken, so one that does not answer
    /// has ended or hangs.
    Engine,
    /// A plain service. A busy one leaves new connections and calls waiting, so only one that refuses
    /// connections has ended.
    PlainService,
}

impl UpstreamKind {
    /// Checks the state of an upstream that lost a run which had begun there at `began`.
    pub async fn find_state(
        self,
        state: &GatewayState,
        upstream: &Upstream,
        request: &RequestId,
        began: Instant,
    ) -> ProbeResult {
        // A replacement that was found before the run began says nothing of this run, since this incarnation
        // ran it.
        if upstream.was_replaced_after(began) {
            return ProbeResult::PerhapsAnotherLife;
        }
        match (connect::probe_connection(state, upstream).await, self) {
            (Err(DialFailure::Refused), Self::Engine | Self::PlainService) => ProbeResult::Refused,
            (Err(DialFailure::Unanswered), Self::Engine) => ProbeResult::Silent,
            (Ok(()), Self::Engine) => {
                let report = probe::report(state, upstream, request).await;
                match report {
                    Ok(report) => finding_from_report(&report, upstream, began),
                    Err(CallFailure::Closed) => ProbeResult::Refused,
                    // Whoever sends bytes lives.
                    Err(CallFailure::Invalid) => ProbeResult::Lives {
                        is_same_life: false,
                    },
                    Err(CallFailure::TimedOut) => ProbeResult::Silent,
                }
            }
            (Ok(()) | Err(DialFailure::Unanswered), Self::PlainService) => ProbeResult::Lives {
                is_same_life: false,
            },
        }
    }
}

/// What an engine's report says about its incarnation.
fn finding_from_report(report: &ProbeReport, upstream: &Upstream, began: Instant) -> ProbeResult {
    match (report.born, upstream.record.born) {
        (Some(reported), Some(listed)) if reported != listed => {
            ProbeResult::from_birth(Duration::from_millis(reported), unix_time_of(began))
        }
        (reported, listed) => ProbeResult::Lives {
            is_same_life: reported.is_some() && listed.is_some(),
        },
    }
}

/// Converts an earlier instant to time since the Unix epoch, by this host's current clock.
#[expect(
    clippy::disallowed_methods,
    reason = "reads the time of day, not an age"
)]
fn unix_time_of(moment: Instant) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
        .saturating_sub(clock::elapsed(moment))
}

/// The request of a lost run, as the detection of crashes identifies it.
#[derive(Clone, Debug)]
pub struct LostRequest {
    /// The id of the caller's attempt.
    pub request: RequestId,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// What ran it.
    pub runtime: RuntimeId,
}

/// A run that was lost.
pub struct LostRun {
    /// The upstream that ran it.
    pub upstream: Arc<Upstream>,
    /// The position of the last event received for the request, from any run; 0 if there was none.
    pub position: u64,
    /// How many events were received from this run.
    pub run_events: u64,
    /// When the run began at the upstream.
    pub began: Instant,
    /// When the run was lost.
    pub lost: Instant,
    /// Why the upstream was given up.
    pub cause: &'static str,
}

/// The check whether the upstream of a request's last lost run has ended. It may still be in progress.
#[derive(Default)]
pub struct CrashCheck {
    pending: Option<JoinHandle<()>>,
}

impl CrashCheck {
    /// Starts a background check whether the upstream of a lost run has ended. The request does not wait for
    /// it.
    pub fn begin(
        &mut self,
        state: &Arc<GatewayState>,
        call: &Call,
        kind: UpstreamKind,
        run: LostRun,
    ) {
        let (state, lost) = (state.clone(), call.lost_request(&run.upstream.record));
        self.pending = Some(tokio::spawn(async move {
            let found = kind
                .find_state(&state, &run.upstream, &lost.request, run.began)
                .await;
            let Some(evidence) = found.evidence() else {
                return;
            };
            let end = UncertainCrash {
                crash: crash_record(&lost.request, &run),
                upstream: run.upstream.clone(),
                evidence,
            };
            log_ended(&state, &lost, &run, found);
            // It gets no new work for now.
            state.suspect(&run.upstream, "ended");
            let is_certain = found == ProbeResult::AnotherLife;
            state.record_end(lost, end, kind, is_certain);
        }));
    }

    /// Checks, before a send, that the request is not in quarantine for making upstreams end. If one more end
    /// would decide that, waits for the check in progress.
    ///
    /// # Errors
    /// The request is in quarantine.
    pub async fn check_before_send(
        &mut self,
        state: &GatewayState,
        call: &Call,
    ) -> Result<(), Failure> {
        if state.crashes.is_near_quarantine(call)
            && let Some(pending) = self.pending.take()
        {
            // If the check was aborted, what is known so far applies.
            let _ = pending.await;
        }
        state.crashes.await_settled(call).await;
        state.check_quarantine(call)
    }
}

fn log_ended(state: &GatewayState, lost: &LostRequest, run: &LostRun, found: ProbeResult) {
    state.metrics.ended_runs.inc();
    log::warn!(
        "upstream: ended under request={} digest={:016x} parts={} upstream={} found={found:?} cause={} position={} \
         run_events={} ran_ms={}",
        lost.request,
        lost.fingerprint,
        parts_hex(&lost.shared_parts),
        run.upstream.record.id,
        run.cause,
        run.position,
        run.run_events,
        run.lost.saturating_duration_since(run.began).as_millis()
    );
}

fn crash_record(request: &RequestId, run: &LostRun) -> Crash {
    Crash {
        attempt: request.clone(),
        upstream: run.upstream.record.id.clone(),
        position: run.position,
        run_events: run.run_events,
        began: run.began,
        ended: run.lost,
    }
}
