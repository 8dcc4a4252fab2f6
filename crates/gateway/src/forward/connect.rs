//! Sends one request to one upstream, on a connection of its own.
//!
//! A connection is never reused: surplus or late bytes of an upstream can then not be taken for the answer to
//! another request, and no request is sent on a connection that the upstream is closing.

use {
    super::{
        call::Call,
        dial::{DialFailure, Dialed, Tunnel, dial},
    },
    crate::{
        connection::{AnswerBody, Connection, handshake},
        edge::AnswerFacts,
        rollout::Outcome,
        state::{GatewayState, SendBarrier},
        view::Upstream,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode, header, response},
    http_body_util::Full,
    hyper::body::{Body, Incoming},
    tealshore_core::clock,
    tealshore_core::protection::{Protection, enabled},
};

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was sent: the upstream cannot be reached.
    Unreachable,
    /// No byte of the request was sent: the upstream may not get it.
    Barred(SendBarrier),
    /// No byte of the request was sent: the limit that the upstream sets is used up.
    Limited,
    /// The request was sent, but no complete answer head arrived.
    Unanswered,
    /// The request was sent, and bytes arrived that are no answer.
    InvalidAnswer,
    /// The answer belongs to another request.
    ForeignAnswer,
    /// The answer refuses a request without naming it, which is not enough for one that may not be repeated.
    UnnamedRefusal,
}

impl SendFailure {
    /// The failure's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Barred(barrier) => barrier.name(),
            Self::Limited => "limited",
            Self::Unanswered => "unanswered",
            Self::InvalidAnswer => "invalid-answer",
            Self::ForeignAnswer => "foreign-answer",
            Self::UnnamedRefusal => "unnamed-refusal",
        }
    }

    /// The outcome recorded for the upstream's version. `None` if no byte of the request was sent, so that it
    /// did not run.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable | Self::Barred(_) | Self::Limited => None,
            Self::Unanswered => Some(Outcome::Lost),
            Self::InvalidAnswer | Self::ForeignAnswer | Self::UnnamedRefusal => {
                Some(Outcome::Failed)
            }
        }
    }
}

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length, or by the last chunk.
    Marked,
    /// By the end of the connection, which looks the same when the upstream crashes.
    ConnectionClose,
}

impl BodyEnd {
    fn of(head: &response::Parts, body: &Incoming) -> Self {
        if is_chunked(&head.headers) || body.size_hint().exact().is_some() {
            Self::Marked
        } else {
            Self::ConnectionClose
        }
    }
}

/// Whether `chunked` is the final transfer coding. With any other final coding, the body ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let coding = last.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// An answer whose body has not been read yet. Dropping it closes the connection at once.
pub struct Answer {
    /// The head of the answer.
    pub head: response::Parts,
    /// What the adapter read from the head.
    pub facts: AnswerFacts,
    /// The body of the answer.
    pub body: AnswerBody,
    /// How the end of the body is recognised.
    pub body_end: BodyEnd,
    /// The tunnel through which the answer comes; `None` if the connection is direct.
    pub through: Option<Tunnel>,
    /// The connection, which must be kept while the body is read.
    pub connection: Connection,
}

/// Sends a call's request and waits for the head of its answer.
///
/// # Errors
/// No answer to this request arrived.
pub async fn send(
    state: &GatewayState,
    call: &Call,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
) -> Result<Answer, SendFailure> {
    let id = call.id();
    let dialed = dial(state, upstream).await;
    let Dialed { stream, through } = dialed.map_err(|_| SendFailure::Unreachable)?;
    if let Some(tunnel) = &through {
        log::info!(
            "path: request sent through another host request={id} upstream={} through={} tunnel={:016x}",
            upstream.record.id,
            tunnel.host,
            tunnel.id
        );
    }
    let handshake = handshake(stream).await;
    let (mut sender, connection, received) = handshake.map_err(|_| SendFailure::Unreachable)?;
    begin_send(state, call, upstream)?;
    call.tracked.record_send(&upstream.record.id);
    let sent = clock::now();
    let answer = sender.send_request(request).await;
    let answer = answer.map_err(|error| {
        if received.is_invalid(&error) {
            SendFailure::InvalidAnswer
        } else {
            SendFailure::Unanswered
        }
    });
    let (head, body) = answer?.into_parts();
    if !is_final_status(head.status) {
        return Err(SendFailure::InvalidAnswer);
    }
    let facts = state.protocol.read_answer(&head);
    state.apply_notices(upstream, &facts, id, sent);
    if is_foreign(&facts, id) && enabled(Protection::AnswerIdentity) {
        return Err(SendFailure::ForeignAnswer);
    }
    if is_unnamed_refusal(&facts, head.status) && !call.route.may_repeat() {
        return Err(SendFailure::UnnamedRefusal);
    }
    Ok(Answer {
        body_end: BodyEnd::of(&head, &body),
        head,
        facts,
        body: AnswerBody::new(body, received),
        through,
        connection,
    })
}

/// Whether a status is one of a final answer (200 to 599). An interim answer that gets here switches to a protocol that was
/// not requested.
fn is_final_status(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

/// Checks, now that the connection is open, whether the upstream may get the request, and takes a permit for it. Its
/// row or its answer to another request may have changed since it was chosen. Probes and copy calls don't pass here
/// and are sent without a permit.
fn begin_send(state: &GatewayState, call: &Call, upstream: &Upstream) -> Result<(), SendFailure> {
    let (record, now) = (&upstream.record, clock::now());
    let checked = state.check_send(&call.service, record, now);
    checked.map_err(SendFailure::Barred)?;
    if !state.take_permit(record, now) {
        return Err(SendFailure::Limited);
    }
    Ok(())
}

/// Tests whether an upstream accepts a new connection, and closes it.
///
/// # Errors
/// The upstream can't be reached.
pub async fn probe_connection(
    state: &GatewayState,
    upstream: &Upstream,
) -> Result<(), DialFailure> {
    dial(state, upstream).await.map(drop)
}

/// Whether an answer belongs to another request. A refusal need not name its request, but a refusal that
/// names another request says nothing about this one, which may be running.
fn is_foreign(facts: &AnswerFacts, id: &str) -> bool {
    match facts.request.as_deref() {
        Some(named) => named != id,
        None => !facts.not_run,
    }
}

/// Whether a refusal does not name its request. Upstreams name it in all their answers, unless they could not read it.
fn is_unnamed_refusal(facts: &AnswerFacts, status: StatusCode) -> bool {
    facts.not_run && facts.request.is_none() && status != StatusCode::BAD_REQUEST
}
