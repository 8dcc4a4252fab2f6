//! Outgoing connections. Each one serves a single exchange and closes when it is dropped.

mod metered;

use {
    bytes::{Bytes, BytesMut},
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    metered::MeteredStream,
    std::{future::Future, net::SocketAddr, time::Duration},
    tealshore_core::http::{ReadError, read_limited},
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

pub use metered::{AnswerBody, Received};

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of an answer.
const MAX_HEADERS: usize = 100;

/// Begins HTTP on a connection, with bounds on the heads of answers. Also returns what arrives on the connection.
///
/// # Errors
/// The connection can't be used.
pub async fn handshake(
    stream: TcpStream,
) -> hyper::Result<(http1::SendRequest<Full<Bytes>>, Connection, Received)> {
    let received = Received::default();
    let (sender, connection) = handshake_recording(stream, received.clone()).await?;
    Ok((sender, connection, received))
}

async fn handshake_recording(
    stream: TcpStream,
    received: Received,
) -> hyper::Result<(http1::SendRequest<Full<Bytes>>, Connection)> {
    let stream = TokioIo::new(MeteredStream::new(stream, received));
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let (sender, driver) = builder.handshake(stream).await?;
    let connection = Connection::driven_by(tokio::spawn(async move {
        // Whoever reads the answer sees how the connection ended.
        let _ = driver.await;
    }));
    Ok((sender, connection))
}

/// The task that drives a connection. Dropping it closes the connection.
pub struct Connection(JoinHandle<()>);

impl Connection {
    /// Wraps the task that drives a connection.
    pub fn driven_by(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The bounds of a short call.
#[derive(Clone, Copy, Debug)]
pub struct CallBounds {
    /// The time limit of the whole call.
    pub timeout: Duration,
    /// The largest answer, in bytes.
    pub answer_bytes: usize,
}

/// The bounds of a call whose answer may be large.
#[derive(Clone, Copy, Debug)]
pub struct TransferBounds {
    /// How long the other side may send nothing, before its answer and within it.
    pub idle_timeout: Duration,
    /// The time limit of the whole call.
    pub timeout: Duration,
    /// The largest answer, in bytes.
    pub answer_bytes: usize,
}

/// Why a short call got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The other side refused the connection or closed it.
    Closed,
    /// Nothing arrived in time.
    TimedOut,
    /// The other side sent bytes that are no answer, or no complete one within the bounds.
    Invalid,
}

/// Makes a short call on a connection of its own, which `opening` opens.
///
/// # Errors
/// No complete answer arrived within the bounds.
pub async fn short_call<E>(
    opening: impl Future<Output = Result<TcpStream, E>>,
    request: Request<Bytes>,
    bounds: CallBounds,
) -> Result<(StatusCode, Bytes), CallFailure> {
    short_call_recording(opening, request, bounds, &Received::default()).await
}

/// Makes a call like [`short_call`], and records what arrives.
///
/// # Errors
/// No complete answer arrived within the bounds.
pub async fn short_call_recording<E>(
    opening: impl Future<Output = Result<TcpStream, E>>,
    request: Request<Bytes>,
    bounds: CallBounds,
    received: &Received,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let exchange = exchange(opening, request, bounds.answer_bytes, received);
    match timeout(bounds.timeout, exchange).await {
        Ok(answer) => answer,
        Err(_) if received.is_any() => Err(CallFailure::Invalid),
        Err(_) => Err(CallFailure::TimedOut),
    }
}

/// Makes a call whose answer may take as long as the link to this host needs for it. The call is
/// given up once nothing arrives for the idle timeout. Returns `None` unless a complete answer
/// arrives within the bounds.
pub async fn transfer(
    address: SocketAddr,
    request: Request<Bytes>,
    bounds: TransferBounds,
) -> Option<(StatusCode, Bytes)> {
    let transfer = async {
        let received = Received::default();
        let sending = send(TcpStream::connect(address), request, &received);
        let sent = timeout(bounds.idle_timeout, sending).await.ok()?;
        let (answer, _connection) = sent.ok()?;
        let status = answer.status();
        let body = AnswerBody::new(answer.into_body(), received);
        let body = read_with_idle_timeout(body, bounds).await?;
        Some((status, body))
    };
    timeout(bounds.timeout, transfer).await.ok()?
}

async fn read_with_idle_timeout(mut body: AnswerBody, bounds: TransferBounds) -> Option<Bytes> {
    let mut received = BytesMut::new();
    loop {
        let Some(frame) = timeout(bounds.idle_timeout, body.frame()).await.ok()? else {
            return Some(received.freeze());
        };
        let frame = frame.ok()?;
        let data = frame.data_ref().map_or(&[][..], Bytes::as_ref);
        if received.len() + data.len() > bounds.answer_bytes {
            return None;
        }
        received.extend_from_slice(data);
    }
}

async fn exchange<E>(
    opening: impl Future<Output = Result<TcpStream, E>>,
    request: Request<Bytes>,
    answer_bytes: usize,
    received: &Received,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let (answer, _connection) = send(opening, request, received).await?;
    let status = answer.status();
    let body = AnswerBody::new(answer.into_body(), received.clone());
    match read_limited(body, answer_bytes).await {
        Ok(body) => Ok((status, body)),
        Err(ReadError::TooLarge) => Err(CallFailure::Invalid),
        Err(ReadError::Broken) if received.has_invalid_body() => Err(CallFailure::Invalid),
        Err(ReadError::Broken) => Err(CallFailure::Closed),
    }
}

/// Sends a request on a connection of its own and waits for the head of its answer.
async fn send<E>(
    opening: impl Future<Output = Result<TcpStream, E>>,
    request: Request<Bytes>,
    received: &Received,
) -> Result<(Response<Incoming>, Connection), CallFailure> {
    let stream = opening.await.map_err(|_| CallFailure::Closed)?;
    let handshake = handshake_recording(stream, received.clone()).await;
    let (mut sender, connection) = handshake.map_err(|_| CallFailure::Closed)?;
    match sender.send_request(request.map(Full::new)).await {
        Ok(answer) => Ok((answer, connection)),
        Err(error) if received.is_invalid(&error) => Err(CallFailure::Invalid),
        Err(_) => Err(CallFailure::Closed),
    }
}
