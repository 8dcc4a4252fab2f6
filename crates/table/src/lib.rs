//! The peer that keeps rows: the platform's transactional table.
//!
//! [`wire`] holds the messages of `docs/interfaces/table.md`. [`TableClient`] commits
//! conditional transactions and reads back what became of one whose answer was lost.

mod client;
pub mod wire;

pub use client::{CommitError, Committed, TableClient, TableOptions, TableUnavailable};
