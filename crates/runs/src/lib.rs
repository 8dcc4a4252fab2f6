//! Where streams ran, on this host or on another. The package does no I/O: the time and everything that other hosts
//! reported are arguments.

mod trace;

pub use trace::{MemoryCopy, RunTrace};
