//! The protocol between the router and model engines.
//!
//! [`wire`] defines the messages, [`Engine`] the operations that the router uses, and
//! [`HttpEngine`] implements them for engines that use the wire format of
//! `docs/interfaces/engine.md`.

mod client;
mod stream;
pub mod wire;

pub use {
    client::{CancelOutcome, CancelWhen, DispatchError, Engine, HttpEngine},
    stream::{StreamEnd, StreamItem, TokenStream},
};
