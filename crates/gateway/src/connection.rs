//! Outgoing connections. Each one serves a single exchange and closes when it is dropped.

use {
    bytes::{Bytes, BytesMut},
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{future::Future, net::SocketAddr, time::Duration},
    tealshore_core::http::read_limited,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

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
    /// The other side refused the connection or closed it, or its answer was too large.
    Closed,
    /// No complete answer arrived in time.
    TimedOut,
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
    let exchange = exchange(opening, request, bounds.answer_bytes);
    let answer = timeout(bounds.timeout, exchange).await;
    answer
        .map_err(|_| CallFailure::TimedOut)?
        .ok_or(CallFailure::Closed)
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
        let sending = send(TcpStream::connect(address), request);
        let (answer, _connection) = timeout(bounds.idle_timeout, sending).await.ok()??;
        let status = answer.status();
        let body = read_with_idle_timeout(answer.into_body(), bounds).await?;
        Some((status, body))
    };
    timeout(bounds.timeout, transfer).await.ok()?
}

async fn read_with_idle_timeout(mut body: Incoming, bounds: TransferBounds) -> Option<Bytes> {
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
) -> Option<(StatusCode, Bytes)> {
    let (answer, _connection) = send(opening, request).await?;
    let status = answer.status();
    let body = read_limited(answer.into_body(), answer_bytes).await;
    Some((status, body.ok()?))
}

/// Sends a request on a connection of its own and waits for the head of its answer.
async fn send<E>(
    opening: impl Future<Output = Result<TcpStream, E>>,
    request: Request<Bytes>,
) -> Option<(Response<Incoming>, Connection)> {
    let stream = opening.await.ok()?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = Connection::driven_by(tokio::spawn(async move {
        // Whoever reads the answer sees how the connection ended.
        let _ = driver.await;
    }));
    let answer = sender.send_request(request.map(Full::new)).await.ok()?;
    Some((answer, connection))
}
