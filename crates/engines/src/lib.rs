//! The peer that generates: model engines.
//!
//! [`wire`] holds the messages, [`Engine`] what the router asks of an engine, and
//! [`HttpEngine`] is the adapter for engines that speak the wire format of
//! `docs/interfaces/engine.md`.

mod client;
mod stream;
pub mod wire;

pub use {
    client::{CancelOutcome, CancelWhen, DispatchError, Engine, HttpEngine},
    stream::{StreamEnd, StreamItem, TokenStream},
};
