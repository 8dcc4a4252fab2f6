//! Decisions of tealshore as pure functions and state machines.
//!
//! Events and the time come in, actions come out: no clock, socket, lock or random source
//! lives here, so that the same code runs under the router, in property tests and in
//! scenarios.

pub mod generation;
pub mod policy;
pub mod routing;
pub mod silence;
