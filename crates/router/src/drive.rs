//! Runs generations: executes what the state machine decides and reports back to it.

mod admitted;
mod driver;

pub use {
    admitted::{Admitted, Start},
    driver::{Driver, Output},
};
