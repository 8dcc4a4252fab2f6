//! The role of a process in the lease protocol, and its next step.

use {
    super::record::{FencingToken, LeaseRecord, RowVersion},
    std::time::{Duration, Instant},
};

/// What a process may do with the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the lease when it is free.
    Candidate {
        /// Additional wait after the lease becomes free, which gives preferred candidates the first try.
        delay: Duration,
    },
    /// It does not take the lease, but keeps renewing it if it holds it.
    NonCandidate,
    /// It releases the lease if it holds it.
    Leaving,
}

/// The next step of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until this moment, unless a summary arrives earlier.
    Wait(Instant),
    /// Read the row.
    Read,
    /// Write the row if it still has the expected version.
    Write {
        /// The record to write.
        record: LeaseRecord,
        /// The version that the row must have; 0 if it must not exist.
        expected: RowVersion,
        /// The purpose of the write.
        purpose: Purpose,
    },
}

/// The purpose of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Takes the lease.
    Take,
    /// Renews the lease.
    Renew,
    /// Releases the lease.
    Release,
    /// Stores decisions again that a restore of the store lost, and leaves the lease as it is.
    WriteBack,
}

impl Purpose {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Take => "take",
            Self::Renew => "renew",
            Self::Release => "release",
            Self::WriteBack => "write-back",
        }
    }
}

/// A period during which a process holds the lease and may act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// The fencing token to send with each call.
    pub fence: FencingToken,
    /// The end of the tenure; no call may be sent at or after this moment.
    pub until: Instant,
}
