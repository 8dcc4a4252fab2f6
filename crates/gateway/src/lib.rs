//! Serves callers by routes: it forwards plain calls and event streams to upstreams, keeps
//! streams whole when an upstream dies, and holds one view of the outside.
//!
//! Folders by job: `view` is what this host believes, `forward` runs requests, `serve`
//! answers callers, `peers` talks to the other hosts, `options` holds the settings. The
//! protocol spoken with the outside is an [`edge::Protocol`]; nothing here knows its names.

pub mod balance;
pub mod budget;
mod capacity;
pub mod connection;
mod crashes;
pub mod duties;
pub mod edge;
pub mod events;
pub mod feed;
mod forward;
mod lifecycle;
pub mod limits;
mod metrics;
pub mod options;
pub mod pace;
pub mod peers;
pub mod read_ahead;
pub mod read_rate;
pub mod rollout;
pub mod room;
mod run;
pub mod run_trace;
pub mod runs;
mod serve;
mod state;
mod stop;
pub mod sync;
pub mod topology;
pub mod view;

pub use run::run;
