//! Thin helpers over the HTTP library: bodies, a client that knows what it sent, a server
//! with bounds.

mod body;
mod client;
mod server;

pub use {
    body::{Body, BodyError, ReadError, empty, full, json_body, read_draining, read_limited},
    client::{ClientOptions, HttpClient, SendError},
    server::{ServerOptions, bind, serve},
};
