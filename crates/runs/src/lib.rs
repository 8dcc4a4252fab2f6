//! Where streams ran, on this host or on another, and whether an earlier run is that of a caller who resumes its
//! stream. The package does no I/O: the time and everything that other hosts reported are arguments.
//!
//! A resume names the last event that its caller has, and nothing else that tells its earlier run from those of other
//! callers who asked for the same. So [`RunLog`] keeps every recent run, and [`prove_own_run`] accepts one only if no
//! other run of the same content is known and its answer has ended.

#![deny(clippy::disallowed_methods)]

mod inquiry;
mod log;
mod proof;
mod trace;

pub use inquiry::{HostReply, Inquiry, LossReport, RunReport, RunState};
pub use log::{ContentMatch, RunLocation, RunLog};
pub use proof::{Doubt, Proof, prove_own_run, sole_run};
pub use trace::{ContentDigest, EventId, KnownRun, MemoryCopy, RunOrigin, RunTrace};
