//! Asks another host for a tunnel: a connection to an upstream that passes through that host.

use {
    super::DialFailure,
    crate::{
        connection::Connection,
        peers::{FOUND_HEADER, FOUND_REFUSED, FOUND_UNKNOWN, TUNNEL_ID_HEADER, UPSTREAM_HEADER},
        view::UpstreamRecord,
    },
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::Empty,
    hyper::{client::conn::http1, upgrade},
    hyper_util::rt::TokioIo,
    std::net::SocketAddr,
    tealshore_paths::TunnelId,
    tokio::net::TcpStream,
};

/// Why a host opened no tunnel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TunnelFailure {
    /// The host reaches other upstreams of the service, but not this one.
    Unreachable(DialFailure),
    /// The host does not know the upstream.
    UnknownUpstream,
    /// The host can't help, for this reason: it can't be reached, or has no path or no capacity.
    Unavailable(String),
}

impl TunnelFailure {
    fn unavailable(cause: impl ToString) -> Self {
        Self::Unavailable(cause.to_string())
    }
}

/// Opens a tunnel to an upstream through the host with this address, and gives it an id.
///
/// # Errors
/// The host opened no tunnel.
pub(super) async fn open_tunnel(
    host: SocketAddr,
    id: TunnelId,
    record: &UpstreamRecord,
) -> Result<TcpStream, TunnelFailure> {
    let upgraded = connect(host, id, record).await?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts =
        parts.map_err(|_| TunnelFailure::unavailable("unexpected type of the connection"))?;
    if !parts.read_buf.is_empty() {
        return Err(TunnelFailure::unavailable("bytes before the request"));
    }
    Ok(parts.io.into_inner())
}

async fn connect(
    host: SocketAddr,
    id: TunnelId,
    record: &UpstreamRecord,
) -> Result<upgrade::Upgraded, TunnelFailure> {
    let request = connect_request(id, record).map_err(TunnelFailure::unavailable)?;
    let stream = TcpStream::connect(host)
        .await
        .map_err(TunnelFailure::unavailable)?;
    // Without this option a tunnel works as well, only more slowly.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(TunnelFailure::unavailable)?;
    let _connection = Connection::driven_by(tokio::spawn(async move {
        // The answer, or its absence, shows how the connection ended.
        let _ = driver.with_upgrades().await;
    }));
    let answer = sender.send_request(request).await;
    let answer = answer.map_err(TunnelFailure::unavailable)?;
    match answer.status() {
        StatusCode::OK => upgrade::on(answer)
            .await
            .map_err(TunnelFailure::unavailable),
        StatusCode::BAD_GATEWAY => Err(TunnelFailure::Unreachable(found(answer.headers()))),
        StatusCode::SERVICE_UNAVAILABLE if is_unknown(answer.headers()) => {
            Err(TunnelFailure::UnknownUpstream)
        }
        status => Err(TunnelFailure::unavailable(status)),
    }
}

fn connect_request(id: TunnelId, record: &UpstreamRecord) -> http::Result<Request<Empty<Bytes>>> {
    Request::connect(record.address.to_string())
        .header(UPSTREAM_HEADER, &record.id)
        .header(TUNNEL_ID_HEADER, format!("{id:016x}"))
        .body(Empty::new())
}

/// Whether the host does not know the upstream.
fn is_unknown(headers: &HeaderMap) -> bool {
    headers
        .get(FOUND_HEADER)
        .is_some_and(|found| found == FOUND_UNKNOWN)
}

/// Reads how the host's own connection to the upstream failed.
fn found(headers: &HeaderMap) -> DialFailure {
    match headers.get(FOUND_HEADER) {
        Some(found) if found == FOUND_REFUSED => DialFailure::Refused,
        Some(_) | None => DialFailure::Unanswered,
    }
}
