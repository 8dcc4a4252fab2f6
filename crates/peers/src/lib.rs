//! The other entry hosts, over tarpc.
//!
//! Peers are told where a generation runs, so that a caller that comes back without a
//! ticket still finds it, and of new declarations, ahead of the slow polls. All of it is a
//! hint: nothing here is needed for a promise to hold.

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
