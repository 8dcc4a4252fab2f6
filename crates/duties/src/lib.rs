//! Duties that only one host performs at a time. This package contains pure state machines and sums: the
//! time and all data that was read are arguments, and no code here does I/O.
//!
//! [`lease`] decides which host holds the duties and until when. [`usage`] adds up the request counts of
//! all hosts and tracks which of them were reported.

#![deny(clippy::disallowed_methods)]

pub mod lease;
pub mod usage;
