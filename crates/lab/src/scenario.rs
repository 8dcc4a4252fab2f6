//! A small scenario language for fault injection, run against real processes.
//!
//! A scenario is a list of lines, `VERB WORD... KEY=VALUE...`; `docs/PROOF.md` lists the verbs.
//! [`parse`] parses a scenario, [`run`] runs it, and [`matrix`] generates one for each pair of a step
//! and a fault.

mod line;
pub mod matrix;
mod runner;

pub use {
    line::{Line, ParseError, parse},
    runner::{Verdict, run},
};
