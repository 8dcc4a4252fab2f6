//! Answers operators: metrics, health, and what this host runs.

pub mod metrics;
mod status;

pub use status::{HostStatus, handle};
