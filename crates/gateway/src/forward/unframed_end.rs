//! Finds out whether the upstream ended an answer that ends with its connection.

use {
    super::dial::Tunnel,
    crate::{
        connection::{CallBounds, short_call},
        peers::tunnel_end_path,
    },
    bytes::Bytes,
    http::{Request, StatusCode, header},
    std::time::Duration,
    tealshore_core::protection::{Protection, enabled},
    tokio::net::TcpStream,
};

/// The bounds of the question to the host of a tunnel. The answer is complete but for its end, so it can wait.
const TUNNEL_END_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_millis(500),
    answer_bytes: 1_024,
};

/// Whether the host of a tunnel confirms that the upstream ended it. If that host has ended itself, its end closed the
/// connection, possibly in the middle of the answer.
pub async fn is_tunnel_end_confirmed(tunnel: &Tunnel, request: &str) -> bool {
    if !enabled(Protection::TunnelEnd) {
        return true;
    }
    let asked = Request::get(tunnel_end_path(tunnel.id));
    let asked = asked.header(header::HOST, tunnel.address.to_string());
    let Ok(asked) = asked.body(Bytes::new()) else {
        return false;
    };
    let opening = TcpStream::connect(tunnel.address);
    let answer = short_call(opening, asked, TUNNEL_END_BOUNDS).await;
    let is_confirmed = matches!(answer, Ok((StatusCode::OK, _)));
    log::info!(
        "path: end of tunnel checked request={request} through={} tunnel={:016x} confirmed={is_confirmed} \
         answer={:?}",
        tunnel.host,
        tunnel.id,
        answer.map(|(status, _)| status)
    );
    is_confirmed
}
