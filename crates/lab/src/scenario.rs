//! A small language of failures, run against real processes.
//!
//! A scenario is a list of lines, `VERB WORD... KEY=VALUE...`; `docs/PROOF.md` has the verbs.
//! [`parse`] reads one, [`run`] runs it, and [`matrix`] makes one for each pair of a step and
//! a fault.

mod line;
pub mod matrix;
mod runner;

pub use {
    line::{Line, ParseError, parse},
    runner::{Verdict, run},
};
