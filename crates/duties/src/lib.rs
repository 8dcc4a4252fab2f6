//! Duties that one host holds at a time. Pure state machines and sums: the time and all that is read
//! come in as arguments, and nothing here makes a call.
//!
//! [`lease`] decides which host holds the duties and until when; [`usage`] sums up what the hosts
//! counted and what of it was reported.

pub mod lease;
pub mod usage;
