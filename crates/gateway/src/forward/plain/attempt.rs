//! One attempt of a plain call on one upstream.

use {
    crate::{
        edge::UpstreamOrder,
        forward::{
            call::Call,
            connect::{self, Answer, BodyEnd, SendFailure},
            dial::Tunnel,
            ending::UpstreamKind,
            reservation::Reservation,
            unframed_end::is_tunnel_end_confirmed,
            whole_answer::{AnswerFault, read_whole_answer},
        },
        rollout::Outcome,
        state::GatewayState,
        view::{Upstream, Work},
    },
    bytes::Bytes,
    http::response,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{Failure, implies_not_executed},
        clock,
        protection::{Protection, enabled},
    },
};

/// Maximum size of the answer to a plain call, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The upstream answered in full.
    Answered(response::Parts, Bytes),
    /// The upstream did not run the call.
    NotRun,
    /// The upstream can't be reached; nothing was sent.
    Unreachable,
    /// The upstream accepts no new work: it is leaving or resting, or its limit is used up. Nothing was sent.
    Declined,
    /// The call may have run. Contains what that shows of the upstream's version.
    Unknown(Outcome),
    /// The call may no longer be sent.
    Forbidden(Failure),
}

/// An attempt that has ended.
pub(super) struct FinishedAttempt {
    pub(super) upstream: Arc<Upstream>,
    pub(super) end: AttemptEnd,
    pub(super) cause: &'static str,
    /// When the attempt was sent.
    pub(super) sent: Instant,
    /// Time from the send to the end.
    pub(super) took: Duration,
    /// Whether the attempt drew on the retry budget.
    pub(super) draws_on_budget: bool,
}

/// Sends a call to an upstream and reads the whole answer.
pub(super) async fn run_attempt(
    state: &Arc<GatewayState>,
    call: &Call,
    upstream: Arc<Upstream>,
    draws_on_budget: bool,
) -> FinishedAttempt {
    let work = Work {
        running: 1,
        ..Work::default()
    };
    let reservation = Reservation::begin(state, &upstream, work);
    let distance = state.distance_to(&upstream.record.hall);
    state.metrics.count_send("call", distance);
    let sent = clock::now();
    let (end, cause) = exchange(state, call, &upstream).await;
    drop(reservation);
    FinishedAttempt {
        upstream,
        end,
        cause,
        sent,
        took: clock::elapsed(sent),
        draws_on_budget,
    }
}

async fn exchange(
    state: &GatewayState,
    call: &Call,
    upstream: &Upstream,
) -> (AttemptEnd, &'static str) {
    if let Err(failure) = call.check_before_send(state) {
        return (AttemptEnd::Forbidden(failure), "forbidden");
    }
    let order = UpstreamOrder {
        upstream: &upstream.record.id,
        customer: call.customer.as_ref(),
        deadline: call.left(clock::now()),
        last_event: None,
        urgency: None,
        copy_to: None,
        resume_from: None,
    };
    let request = call.request_for(state, upstream, &order);
    let sent = clock::now();
    match connect::send(state, call, upstream, request).await {
        Ok(answer) => {
            let (body_end, through) = (answer.body_end, answer.through.clone());
            let (end, cause) = read(state, answer).await;
            match (&end, body_end) {
                (AttemptEnd::Answered(..), BodyEnd::ConnectionClose) => {
                    match find_cut(state, call, upstream, through.as_ref(), sent).await {
                        Some(cut) => (AttemptEnd::Unknown(Outcome::Lost), cut),
                        None => (end, cause),
                    }
                }
                _ => (end, cause),
            }
        }
        Err(failure) => (end_of_failure(failure), failure.name()),
    }
}

/// Returns why the end of an answer's connection may not be the end of the answer, if there is a reason.
async fn find_cut(
    state: &GatewayState,
    call: &Call,
    upstream: &Upstream,
    through: Option<&Tunnel>,
    sent: Instant,
) -> Option<&'static str> {
    if let Some(tunnel) = through
        && !is_tunnel_end_confirmed(state, tunnel, call.id()).await
    {
        return Some("ended-with-tunnel");
    }
    has_crashed(state, upstream, call, sent)
        .await
        .then_some("ended-with-upstream")
}

/// Whether an upstream may have crashed while it answered, so that the end of its connection may not be the end of the
/// answer. After a pause of this process, the one that listens there may be another one.
async fn has_crashed(
    state: &GatewayState,
    upstream: &Upstream,
    call: &Call,
    sent: Instant,
) -> bool {
    let (kind, request) = (UpstreamKind::PlainService, call.request());
    let found = kind.find_state(state, upstream, &request, sent).await;
    found.evidence().is_some() || state.has_just_paused()
}

/// How an attempt ended that got no answer.
fn end_of_failure(failure: SendFailure) -> AttemptEnd {
    if let Some(outcome) = failure.outcome() {
        return AttemptEnd::Unknown(outcome);
    }
    match failure {
        SendFailure::Barred(_) | SendFailure::Limited => AttemptEnd::Declined,
        SendFailure::Unreachable
        | SendFailure::Unanswered
        | SendFailure::InvalidAnswer
        | SendFailure::ForeignAnswer
        | SendFailure::UnnamedRefusal => AttemptEnd::Unreachable,
    }
}

async fn read(state: &GatewayState, answer: Answer) -> (AttemptEnd, &'static str) {
    if answer.facts.not_run {
        return (AttemptEnd::NotRun, "turned-away");
    }
    let status = answer.head.status;
    let is_encoded = answer
        .head
        .headers
        .contains_key(http::header::CONTENT_ENCODING);
    if !answer.facts.signed || is_encoded {
        return (AttemptEnd::Unknown(Outcome::Failed), "unsigned");
    }
    // If it were passed on, this status would promise that the call did not run, which the upstream did not
    // confirm.
    if implies_not_executed(status) && enabled(Protection::ConfirmedRefusal) {
        return (AttemptEnd::Unknown(Outcome::Failed), "unconfirmed-refusal");
    }
    match read_whole_answer(answer.body, MAX_ANSWER_BYTES, &state.answer_memory).await {
        Ok(body) if status.is_server_error() => {
            (AttemptEnd::Answered(answer.head, body), "server-error")
        }
        Ok(body) => (AttemptEnd::Answered(answer.head, body), "answered"),
        Err(fault) => (AttemptEnd::Unknown(outcome_of(fault)), fault.name()),
    }
}

/// What an answer that could not be read shows of the upstream's version.
fn outcome_of(fault: AnswerFault) -> Outcome {
    match fault {
        AnswerFault::TooLarge => Outcome::Failed,
        AnswerFault::NoMemory | AnswerFault::Broken => Outcome::Lost,
    }
}
