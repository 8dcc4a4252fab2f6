//! Communication between entry hosts, over tarpc.
//!
//! Peers exchange the locations of generations, so that a caller that comes back without a
//! ticket still finds its generation, and announce new declarations ahead of the slow polls. All
//! of it is a hint: no guarantee depends on it.

mod client;
mod home;
mod place;
mod places;
mod service;

pub use {
    client::PeerClients,
    home::home_of,
    place::{Location, RequestKey, Reservation},
    places::{LocationDirectory, LocationDirectoryOptions},
    service::{Hint, PeerDeclarations, PeerHandler, PeerServer, serve},
};
