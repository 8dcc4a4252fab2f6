//! Code shared by all parts of tealshore: ids, the closed list of error kinds, settings, logging,
//! and helpers over the HTTP library.

#![deny(clippy::disallowed_methods)]

pub mod answer;
pub mod chain;
pub mod clock;
pub mod exit;
pub mod http;
pub mod ids;
pub mod logs;
pub mod protection;
pub mod settings;
pub mod spread;
