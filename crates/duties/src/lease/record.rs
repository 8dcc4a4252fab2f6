//! The stored record of a lease, its summary for other hosts, and its timing.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::{HostId, ProcessId},
};

/// A fencing token. It increases with each acquisition and never decreases.
pub type FencingToken = u64;
/// The version of the row; each write increases it.
pub type RowVersion = u64;
/// A time of the store's monotonic clock.
pub type StoreTime = Duration;

/// A host that held the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The host.
    pub host: HostId,
    /// The store's time by which it had stopped acting at the latest.
    pub left: StoreTime,
}

/// The lease as it is stored in the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The token of the current holder, or of the last one after a release.
    pub fence: FencingToken,
    /// The current holder; `None` after a release.
    pub holder: Option<ProcessId>,
    /// Hosts that held the lease recently.
    pub former: Vec<FormerHolder>,
    /// Serial number of the write, counted by the process that sent it. A process that did not receive the
    /// answers to two writes can tell from it which one was applied, and thus when that one was requested.
    pub serial: u64,
}

impl LeaseRecord {
    /// Returns whether this record was written before `other`, as far as the two can be compared.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let is_same_tenure = self.fence == other.fence && self.holder == other.holder;
        self.fence < other.fence || (is_same_tenure && self.serial < other.serial)
    }
}

/// A summary of the row that a holder sends to other hosts, so that they need not read the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    /// The row's version.
    pub version: RowVersion,
    /// The fencing token in the row.
    pub fence: FencingToken,
    /// The current holder; `None` after a release.
    pub holder: Option<ProcessId>,
}

/// The durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a holder may act after it requested its last renewal.
    pub hold: Duration,
    /// How long a contender must know an unchanged version of the row before it may take the lease.
    pub expiry: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// How long a former holder must not take the lease again.
    pub cooldown: Duration,
}

/// Length of a lease if the settings give none.
const DEFAULT_LENGTH: Duration = Duration::from_secs(3);

impl Default for LeaseTiming {
    fn default() -> Self {
        Self::of(DEFAULT_LENGTH)
    }
}

impl LeaseTiming {
    /// Returns the timing of a lease that expires `length` after its last renewal. Calls of a holder may be
    /// in flight for the quarter of `length` between `hold` and `expiry`.
    #[must_use]
    pub fn of(length: Duration) -> Self {
        Self {
            hold: length * 3 / 4,
            expiry: length,
            renew_interval: length * 3 / 10,
            cooldown: length * 5 / 4,
        }
    }
}
