//! Handles requests of operators: metrics, health and status.

pub mod metrics;
mod status;

pub use status::{HostStatus, handle};
