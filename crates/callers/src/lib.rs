//! The protocol between callers and entry hosts.
//!
//! [`wire`] defines the messages, [`ticket`] the signed id of each event with which a caller
//! resumes on any entry host, [`events`] the event writer of the entry host, and [`client`] the
//! client for the command line and for tests.

pub mod client;
pub mod events;
pub mod ticket;
pub mod wire;
