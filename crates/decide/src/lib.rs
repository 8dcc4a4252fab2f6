//! Decisions of tealshore as pure functions and state machines.
//!
//! Events and the current time are inputs, actions are outputs. The package has no clock, socket,
//! lock or random source, so the same code runs in the router, in property tests and in scenarios.

pub mod generation;
pub mod policy;
pub mod routing;
pub mod silence;
