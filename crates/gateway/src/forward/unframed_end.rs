//! Finds out whether the upstream ended an answer that ends with its connection.

use {
    super::dial::Tunnel,
    crate::{
        connection::{CallBounds, short_call},
        peers::tunnel_end_path,
        state::GatewayState,
    },
    bytes::Bytes,
    http::{Request, StatusCode, header},
    tealshore_core::protection::{Protection, enabled},
    tokio::net::TcpStream,
};

/// Maximum size of the answer, which is in its status, in bytes.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Whether the host of a tunnel confirms that the upstream ended it. If that host has ended itself, its end closed the
/// connection, possibly in the middle of the answer.
pub async fn is_tunnel_end_confirmed(state: &GatewayState, tunnel: &Tunnel, request: &str) -> bool {
    if !enabled(Protection::TunnelEnd) {
        return true;
    }
    let asked = Request::get(tunnel_end_path(tunnel.id));
    let asked = asked.header(header::HOST, tunnel.address.to_string());
    let Ok(asked) = asked.body(Bytes::new()) else {
        return false;
    };
    let bounds = CallBounds {
        timeout: state.options.peers.tunnel_end,
        answer_bytes: MAX_ANSWER_BYTES,
    };
    let opening = TcpStream::connect(tunnel.address);
    let answer = short_call(opening, asked, bounds).await;
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
