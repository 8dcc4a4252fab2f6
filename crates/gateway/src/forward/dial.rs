//! Opens connections to upstreams.

use {
    crate::{state::GatewayState, view::Upstream},
    std::{
        io,
        net::{IpAddr, SocketAddr},
    },
    tokio::net::{TcpSocket, TcpStream},
};

/// Opens a connection to an upstream, from the configured source address if there is one.
///
/// # Errors
/// The upstream can't be reached or refuses the connection.
pub async fn dial(state: &GatewayState, upstream: &Upstream) -> io::Result<TcpStream> {
    let address = upstream.record.address;
    let Some(source) = state.options.host.source_address else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}
