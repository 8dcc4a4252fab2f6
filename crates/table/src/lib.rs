//! Client of the platform's transactional table.
//!
//! [`wire`] holds the messages of `docs/interfaces/table.md`. [`TableClient`] commits
//! conditional transactions and determines the outcome of one whose response was lost.

mod client;
pub mod wire;

pub use client::{CommitError, Committed, TableClient, TableOptions, TableUnavailable};
