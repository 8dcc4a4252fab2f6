//! What a process may do about a lease, and what it is to do next.

use {
    super::record::{FencingToken, LeaseRecord, RowVersion},
    std::time::{Duration, Instant},
};

/// What a host may do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the lease where that is free, this long after it could.
    Candidate {
        /// Others that would rather have it go first.
        delay: Duration,
    },
    /// It takes none. What it holds it keeps.
    NonCandidate,
    /// It gives up what it holds.
    Leaving,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this moment, unless something is heard.
    Wait(Instant),
    /// Read the row.
    Read,
    /// Write the row, where it still has the version; 0 where there is none.
    Write {
        /// The row.
        record: LeaseRecord,
        /// The version that it must have.
        expected: RowVersion,
        /// What the write does.
        purpose: Purpose,
    },
}

/// What a write does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// It takes the lease.
    Take,
    /// It renews it.
    Renew,
    /// It gives it up.
    Release,
}

impl Purpose {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Take => "take",
            Self::Renew => "renew",
            Self::Release => "release",
        }
    }
}

/// The right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// The token to act under.
    pub fence: FencingToken,
    /// Nothing may leave the host at or after this moment.
    pub until: Instant,
}
