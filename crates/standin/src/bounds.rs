//! Limits shared by all stand-ins.

use tealshore_core::http::ServerOptions;

/// Returns the limits of a stand-in's HTTP server.
#[must_use]
pub fn server_options() -> ServerOptions {
    ServerOptions {
        max_connections: 50_000,
        ..ServerOptions::default()
    }
}
