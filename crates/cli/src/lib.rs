//! The command line of operators and callers.

pub mod args;
mod commands;
mod outcome;

pub use {commands::run, outcome::Outcome};
