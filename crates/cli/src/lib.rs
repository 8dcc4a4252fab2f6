//! The `tealshore` command-line tool for operators and callers.

pub mod args;
pub mod burn;
mod commands;
mod outcome;

pub use {commands::run, outcome::Outcome};
