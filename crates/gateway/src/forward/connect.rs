//! Sends one request to one upstream, on a connection of its own.
//!
//! A connection is never used twice: bytes that an upstream sends too much, or too late,
//! can then belong to no other request, and no request meets a connection that the upstream
//! is closing.

use {
    crate::{
        connection::Connection, edge::AnswerFacts, rollout::Outcome, state::GatewayState,
        view::Upstream,
    },
    bytes::Bytes,
    http::{Request, response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        io::ErrorKind,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
    tealshore_notices::Availability,
    tokio::{net::TcpStream, time::timeout},
};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of it left, as the upstream can't be reached.
    Unreachable,
    /// No byte of it left, as the upstream takes no new work.
    Leaving,
    /// No byte of it left, as the upstream asked for rest after it was chosen.
    Resting,
    /// No byte of it left, as the limit that the upstream names is used up.
    Limited,
    /// It left, and no whole answer head came.
    Unanswered,
    /// The answer is one to another request.
    ForeignAnswer,
}

impl SendFailure {
    /// The failure's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Resting => "resting",
            Self::Limited => "limited",
            Self::Unanswered => "unanswered",
            Self::ForeignAnswer => "foreign-answer",
        }
    }

    /// What it says of the upstream's version; none where no byte of the request left, so that it did not run.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Unreachable | Self::Leaving | Self::Resting | Self::Limited => None,
            Self::Unanswered => Some(Outcome::Lost),
            Self::ForeignAnswer => Some(Outcome::Failed),
        }
    }
}

/// An answer whose body is still to be read. Dropping it closes the connection at once.
pub struct Answer {
    /// Its head.
    pub head: response::Parts,
    /// What its head says.
    pub facts: AnswerFacts,
    /// Its body.
    pub body: Incoming,
    /// The connection.
    pub connection: Connection,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// No answer to this request came.
pub async fn send(
    state: &GatewayState,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
    id: &str,
) -> Result<Answer, SendFailure> {
    let stream = open(upstream).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(|_| SendFailure::Unreachable)?;
    let connection = Connection::driven_by(tokio::spawn(async move {
        // How the connection ended is seen by the one that reads the answer.
        let _ = driver.await;
    }));
    check_still_wanted(state, upstream)?;
    let sent = Instant::now();
    let answer = sender.send_request(request).await;
    let (head, body) = answer.map_err(|_| SendFailure::Unanswered)?.into_parts();
    let facts = state.protocol.read_answer(&head);
    state.note_notices(upstream, &facts, id, sent);
    if is_foreign(&facts, id) && enabled(Protection::AnswerIdentity) {
        return Err(SendFailure::ForeignAnswer);
    }
    Ok(Answer {
        head,
        facts,
        body,
        connection,
    })
}

/// Looks once more, now that the connection is open, whether the upstream takes new work: it may have said
/// otherwise since it was chosen, in its row or in the answer to another request.
fn check_still_wanted(state: &GatewayState, upstream: &Upstream) -> Result<(), SendFailure> {
    let takes_work = state.view.upstreams.takes_work(&upstream.record.id);
    if !takes_work || !state.rollouts.is_open(&upstream.record) {
        return Err(SendFailure::Leaving);
    }
    let now = Instant::now();
    match state.availability(&upstream.record, now) {
        // Every request leaves here, whatever it is for, so that each takes its permit.
        Availability::Open if state.take_permit(&upstream.record, now) => Ok(()),
        Availability::Open => Err(SendFailure::Limited),
        Availability::Resting { .. } => Err(SendFailure::Resting),
        Availability::Leaving => Err(SendFailure::Leaving),
    }
}

/// What becomes of a new connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It is taken.
    Taken,
    /// Nothing listens there.
    Refused,
    /// Nothing answers in time, or nothing can be sent there.
    Unanswered,
}

/// Tries whether an upstream takes a new connection, and closes it.
pub async fn reach(upstream: &Upstream) -> Reach {
    let opening = TcpStream::connect(upstream.record.address);
    match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(_)) => Reach::Taken,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reach::Refused,
        Ok(Err(_)) | Err(_) => Reach::Unanswered,
    }
}

/// Whether an answer belongs to another request. A refusal may name no request, but one that
/// names another request says nothing of this one, which may be running.
fn is_foreign(facts: &AnswerFacts, id: &str) -> bool {
    match facts.request.as_deref() {
        Some(named) => named != id,
        None => !facts.not_run,
    }
}

async fn open(upstream: &Upstream) -> Result<TcpStream, SendFailure> {
    let opening = TcpStream::connect(upstream.record.address);
    let opened = timeout(CONNECT_TIMEOUT, opening).await;
    let stream = opened
        .map_err(|_| SendFailure::Unreachable)?
        .map_err(|_| SendFailure::Unreachable)?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
