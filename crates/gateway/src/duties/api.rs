//! Calls to the platform that only the holder of the duties may make.

use {
    crate::connection::Connection,
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tealshore_core::{
        clock,
        http::read_limited,
        protection::{Protection, enabled},
    },
    tealshore_duties::lease::{FencingToken, ProcessId, Tenure},
    tokio::{net::TcpStream, time::timeout},
};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The caller as identified to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCaller {
    /// The process that holds the lease.
    pub holder: ProcessId,
    /// Its fencing token.
    pub fence: FencingToken,
}

/// The platform's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was carried out.
    Accepted,
    /// The ordered engines are not available now.
    Unavailable,
    /// Another holder with a higher fencing token has called before.
    Fenced,
    /// The platform does not accept the call now, or it is malformed.
    Refused(StatusCode),
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyCallError {
    /// Nothing was sent: the tenure had ended before the call or while it connected.
    TenureOver,
    /// The platform can't be reached or closed the connection.
    Unreachable,
    /// No answer arrived in time; the call may have been carried out.
    Silent,
}

impl DutyCallError {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TenureOver => "tenure-over",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
        }
    }
}

/// Makes a call that ends no later than the tenure.
///
/// The tenure is checked again once the connection is open. Otherwise a process that was frozen while
/// connecting, or whose connection was delayed by a network partition, could repeat what another
/// holder has already sent. The connection is reset when it is dropped, so that bytes still buffered
/// by the kernel during a partition are never delivered later.
///
/// # Errors
/// No complete answer was received.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    tenure: Tenure,
    time_limit: Duration,
) -> Result<(StatusCode, Bytes), DutyCallError> {
    let remaining = tenure.until.saturating_duration_since(clock::now());
    if !enabled(Protection::DutyTenure) {
        return with_time_limit(time_limit, exchange(address, request, tenure)).await;
    }
    if remaining.is_zero() {
        return Err(DutyCallError::TenureOver);
    }
    with_time_limit(
        time_limit.min(remaining),
        exchange(address, request, tenure),
    )
    .await
}

async fn with_time_limit(
    time_limit: Duration,
    exchange: impl Future<Output = Result<(StatusCode, Bytes), DutyCallError>>,
) -> Result<(StatusCode, Bytes), DutyCallError> {
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(DutyCallError::Silent))
}

async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    tenure: Tenure,
) -> Result<(StatusCode, Bytes), DutyCallError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| DutyCallError::Unreachable)?;
    let linger_result = stream.set_zero_linger();
    linger_result.map_err(|_| DutyCallError::Unreachable)?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| DutyCallError::Unreachable)?;
    let _connection = Connection::driven_by(tokio::spawn(async move {
        // The reader of the answer sees how the connection ended.
        let _ = driver.await;
    }));
    if clock::now() >= tenure.until && enabled(Protection::DutyTenure) {
        return Err(DutyCallError::TenureOver);
    }
    let answer = sender.send_request(request.map(Full::new)).await;
    let answer = answer.map_err(|_| DutyCallError::Unreachable)?;
    let status = answer.status();
    let body = read_limited(answer.into_body(), MAX_ANSWER_BYTES).await;
    let body = body.map_err(|_| DutyCallError::Unreachable)?;
    Ok((status, body))
}
