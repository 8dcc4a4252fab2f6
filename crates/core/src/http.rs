//! Helpers over the HTTP library: bodies, a client that reports whether a request may have been
//! sent, and a server with resource limits.

mod accepted;
mod body;
mod client;
mod open_requests;
mod server;

pub use {
    accepted::AcceptedStream,
    body::{Body, BodyError, ReadError, empty, full, json_body, read_draining, read_limited},
    client::{ClientOptions, HttpClient, SendError},
    server::{ServerOptions, bind, serve},
};
