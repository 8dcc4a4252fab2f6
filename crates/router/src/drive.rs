//! Runs generations: executes the actions of the generation state machine and feeds events
//! back to it.

mod admitted;
mod driver;
mod output;

pub use {
    admitted::{AdmittedRequest, GenerationStart},
    driver::Driver,
    output::Output,
};
