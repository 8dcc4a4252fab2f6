//! Calls to the platform that only the holder of the duties may make.

use {
    crate::connection::Connection,
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{
        http::read_limited,
        protection::{Protection, enabled},
    },
    tealshore_duties::lease::{FencingToken, ProcessId, Tenure},
    tokio::{net::TcpStream, time::timeout},
};

/// The longest answer that is read, in bytes.
const ANSWER_BOUND_BYTES: usize = 64 * 1024;

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCaller {
    /// The process that holds the lease.
    pub holder: ProcessId,
    /// Its fencing token.
    pub fence: FencingToken,
}

/// What the platform answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It is done.
    Accepted,
    /// What was ordered is not to be had now.
    Unavailable,
    /// Another holder with a higher fencing token has called before.
    Fenced,
    /// It does not take the call now, or can't understand it.
    Refused(StatusCode),
}

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallLoss {
    /// Nothing was sent: the tenure is over, or was over once the connection was made.
    TenureOver,
    /// The platform can't be reached, or closed the connection.
    Unreachable,
    /// No answer came in time; it may have been done.
    Silent,
}

impl CallLoss {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TenureOver => "tenure-over",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
        }
    }
}

/// Makes a call, no longer than the tenure lasts.
///
/// The tenure is looked at once more after the connection is made: a process that was frozen there, or
/// a cut that healed, would else send what another holder has already sent. The connection is reset
/// when it is dropped, so that bytes which the kernel still holds behind a cut never arrive later.
///
/// # Errors
/// No whole answer came.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    tenure: Tenure,
    bound: Duration,
) -> Result<(StatusCode, Bytes), CallLoss> {
    let left = tenure.until.saturating_duration_since(Instant::now());
    if !enabled(Protection::DutyTenure) {
        return give_up_after(bound, exchange(address, request, tenure)).await;
    }
    if left.is_zero() {
        return Err(CallLoss::TenureOver);
    }
    give_up_after(bound.min(left), exchange(address, request, tenure)).await
}

async fn give_up_after(
    bound: Duration,
    exchange: impl Future<Output = Result<(StatusCode, Bytes), CallLoss>>,
) -> Result<(StatusCode, Bytes), CallLoss> {
    timeout(bound, exchange)
        .await
        .unwrap_or(Err(CallLoss::Silent))
}

async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    tenure: Tenure,
) -> Result<(StatusCode, Bytes), CallLoss> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| CallLoss::Unreachable)?;
    let resets = stream.set_zero_linger();
    resets.map_err(|_| CallLoss::Unreachable)?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallLoss::Unreachable)?;
    let _connection = Connection::driven_by(tokio::spawn(async move {
        // How the connection ended is seen by the one that reads the answer.
        let _ = driver.await;
    }));
    if Instant::now() >= tenure.until && enabled(Protection::DutyTenure) {
        return Err(CallLoss::TenureOver);
    }
    let answer = sender.send_request(request.map(Full::new)).await;
    let answer = answer.map_err(|_| CallLoss::Unreachable)?;
    let status = answer.status();
    let body = read_limited(answer.into_body(), ANSWER_BOUND_BYTES).await;
    let body = body.map_err(|_| CallLoss::Unreachable)?;
    Ok((status, body))
}
