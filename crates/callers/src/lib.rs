//! The peer that calls.
//!
//! [`wire`] holds what callers send and get, [`ticket`] the signed id of each event with
//! which a caller resumes on any entry host, and [`client`] the caller's side, for the
//! command line and for tests.

pub mod client;
pub mod events;
pub mod ticket;
pub mod wire;
