//! Runs generations: executes what the state machine decides and reports back to it.

mod admitted;
mod driver;
mod output;

pub use {
    admitted::{AdmittedRequest, GenerationStart},
    driver::Driver,
    output::Output,
};
