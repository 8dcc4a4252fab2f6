//! Calls to the store, on one connection that is opened anew after any failure.

use {
    crate::edge::{Revision, StoreEra, StoreRefusal},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// The largest answer of the store, in bytes.
const ANSWER_BOUND_BYTES: usize = 16 * 1024 * 1024;

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It can't be reached, or closed the connection.
    Unreachable,
    /// No answer came in time.
    Silent,
    /// It refused the call, or its answer can't be understood.
    Refused(StoreRefusal),
    /// Its answer is older than what is known.
    Stale {
        /// The version that the answer is of.
        revision: Revision,
    },
    /// Its answer is of an earlier era than is known.
    EarlierEra,
    /// It came back from an older copy since this set was read.
    NewEra,
}

impl CallFailure {
    /// Whether it tells that the store is lost to this host. That its history is gone, or that
    /// all hosts together call too often just now, does not.
    pub fn shows_loss(&self) -> bool {
        match self {
            Self::Unreachable | Self::Silent | Self::Stale { .. } | Self::EarlierEra => true,
            Self::Refused(StoreRefusal::Busy(status)) => *status != StatusCode::TOO_MANY_REQUESTS,
            Self::Refused(StoreRefusal::Malformed(_)) => true,
            Self::Refused(StoreRefusal::HistoryGone) | Self::NewEra => false,
        }
    }

    /// Whether the set is to be read whole after it. A store that refuses calls for their
    /// number gets fewer of them, not more.
    pub fn needs_whole(&self) -> bool {
        match self {
            Self::Refused(StoreRefusal::HistoryGone) | Self::NewEra => true,
            Self::Unreachable
            | Self::Silent
            | Self::Refused(_)
            | Self::Stale { .. }
            | Self::EarlierEra => self.shows_loss(),
        }
    }

    /// The failure's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Refused(StoreRefusal::HistoryGone) => "history-gone",
            Self::Refused(StoreRefusal::Busy(_)) => "busy",
            Self::Refused(StoreRefusal::Malformed(_)) => "malformed",
            Self::Stale { .. } => "stale",
            Self::EarlierEra => "earlier-era",
            Self::NewEra => "new-era",
        }
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An answer of the store.
pub struct StoreAnswer {
    /// The era of its rows.
    pub era: StoreEra,
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// One after the other on one connection.
pub struct StoreCalls {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreCalls {
    /// Calls to the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Closes the connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Makes a call.
    ///
    /// # Errors
    /// The store can't be reached, or no whole answer came in time.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        bound: Duration,
    ) -> Result<Response<Bytes>, CallFailure> {
        let result = timeout(bound, self.exchange(request.map(Full::new))).await;
        let result = result.unwrap_or(Err(CallFailure::Silent));
        if result.is_err() {
            // Once an answer is lost on a connection, that connection says nothing more.
            self.connection = None;
        }
        result
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallFailure> {
        let connection = match self.connection.take() {
            Some(connection) if connection.sender.is_ready() => connection,
            Some(_) | None => connect(self.address).await?,
        };
        let connection = self.connection.insert(connection);
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|_| CallFailure::Unreachable)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_BOUND_BYTES).collect().await;
        let body = body.map_err(|_| CallFailure::Unreachable)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, CallFailure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| CallFailure::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallFailure::Unreachable)?;
    let driver = tokio::spawn(async move {
        // The caller of the connection sees its end by its own call.
        let _ = driver.await;
    });
    Ok(Connection { sender, driver })
}
