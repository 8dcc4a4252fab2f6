//! The load and experiment tool: it starts a whole system on loopback, calls it, makes it
//! fail, and checks and measures the answers.
//!
//! It is the only part that starts processes; it is no part of what is deployed.

pub mod args;
pub mod check;
pub mod control;
pub mod demo;
pub mod fleet;
pub mod link;
pub mod relay;
pub mod resume;
pub mod scenario;
pub mod stats;
pub mod usage;
pub mod work;
