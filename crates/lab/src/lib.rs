//! Load and experiment tool: starts a whole system on loopback, calls it, injects faults, and checks
//! and measures the answers.
//!
//! It is the only package that starts processes, and it is not deployed.

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
