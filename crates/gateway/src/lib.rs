//! Routes callers' requests: forwards plain calls and event streams to upstreams, resumes
//! streams whose upstream fails, and maintains a view of the configuration and the upstreams.
//!
//! Main modules: `view` holds this host's current state of the deployment, `forward` runs
//! requests, `serve` handles callers' connections, `peers` exchanges state with the other
//! hosts, and `options` holds the settings. The wire protocol of the deployment is implemented
//! by an [`edge::Protocol`]; this crate contains none of its header, path or field names.

#![deny(clippy::disallowed_methods)]

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
mod in_flight;
mod lifecycle;
pub mod limits;
mod metrics;
pub mod options;
pub mod pace;
mod path_check;
pub mod peers;
pub mod read_ahead;
pub mod read_rate;
pub mod rollout;
pub mod room;
mod run;
pub mod runs;
mod serve;
pub mod standstill;
mod state;
mod stop;
pub mod sync;
pub mod topology;
pub mod view;

pub use {
    lifecycle::Signals,
    run::{run, run_with_signals},
};
