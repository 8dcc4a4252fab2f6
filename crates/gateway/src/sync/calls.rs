//! Client for the store. It uses one connection, which is reopened after any failure.

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

/// Maximum size of an answer from the store, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCallFailure {
    /// The store can't be reached or closed the connection.
    Unreachable,
    /// No answer arrived in time.
    Silent,
    /// The store refused the call, or its answer is malformed.
    Refused(StoreRefusal),
    /// The answer is older than the known state.
    Stale {
        /// The revision of the answer.
        revision: Revision,
    },
    /// The answer is from an era before the known one.
    EarlierEra,
    /// The store was restored from an older copy after this set was read.
    NewEra,
}

impl StoreCallFailure {
    /// Whether the failure means that the store is unavailable to this host. Missing history, a new
    /// era, and refusals due to the total call rate of all hosts do not.
    pub fn is_outage(&self) -> bool {
        match self {
            Self::Unreachable | Self::Silent | Self::Stale { .. } | Self::EarlierEra => true,
            Self::Refused(StoreRefusal::Busy(status)) => *status != StatusCode::TOO_MANY_REQUESTS,
            Self::Refused(StoreRefusal::Malformed(_)) => true,
            Self::Refused(StoreRefusal::HistoryGone) | Self::NewEra => false,
        }
    }

    /// Whether the set has to be read in full after this failure. A store that refuses calls
    /// because of their number is not loaded with full reads.
    pub fn needs_full_read(&self) -> bool {
        match self {
            Self::Refused(StoreRefusal::HistoryGone) | Self::NewEra => true,
            Self::Unreachable
            | Self::Silent
            | Self::Refused(_)
            | Self::Stale { .. }
            | Self::EarlierEra => self.is_outage(),
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

struct StoreConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for StoreConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An answer from the store.
pub struct StoreAnswer {
    /// The era of its rows.
    pub era: StoreEra,
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Makes calls to the store one at a time on a single connection.
pub struct StoreClient {
    address: SocketAddr,
    connection: Option<StoreConnection>,
}

impl StoreClient {
    /// Creates a client for the store at `address`; the connection is opened by the first call.
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
    /// The store can't be reached, or no complete answer arrived in time.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, StoreCallFailure> {
        let result = timeout(time_limit, self.exchange(request.map(Full::new))).await;
        let result = result.unwrap_or(Err(StoreCallFailure::Silent));
        if result.is_err() {
            // After a lost answer the connection can't be reused.
            self.connection = None;
        }
        result
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, StoreCallFailure> {
        let connection = match self.connection.take() {
            Some(connection) if connection.sender.is_ready() => connection,
            Some(_) | None => connect(self.address).await?,
        };
        let connection = self.connection.insert(connection);
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(|_| StoreCallFailure::Unreachable)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|_| StoreCallFailure::Unreachable)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

async fn connect(address: SocketAddr) -> Result<StoreConnection, StoreCallFailure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| StoreCallFailure::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| StoreCallFailure::Unreachable)?;
    let driver = tokio::spawn(async move {
        // The pending call on the connection reports its end.
        let _ = driver.await;
    });
    Ok(StoreConnection { sender, driver })
}
