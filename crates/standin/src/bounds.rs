//! The bounds that all stand-ins share.

use tealshore_core::http::ServerOptions;

/// The bounds of every stand-in's server.
#[must_use]
pub fn server_options() -> ServerOptions {
    ServerOptions {
        max_connections: 50_000,
        ..ServerOptions::default()
    }
}
