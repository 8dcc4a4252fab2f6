//! The row of a lease, what hosts tell each other of it, and its times.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::HostId,
};

/// The fencing token of a holder; it only grows.
pub type FencingToken = u64;
/// The version of the row; each write raises it.
pub type RowVersion = u64;
/// A time of the store's steady clock.
pub type StoreTime = Duration;

/// One process of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The host.
    pub host: HostId,
    /// Drawn at the start of the process; another one is another process.
    pub incarnation: u64,
}

/// A host that held the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The host.
    pub host: HostId,
    /// By when it surely had ceased to act.
    pub left: StoreTime,
}

/// The row of a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The token of the holder, or of the last one.
    pub fence: FencingToken,
    /// Who holds it; none after a release.
    pub holder: Option<ProcessId>,
    /// Who held it a short time ago.
    pub former: Vec<FormerHolder>,
    /// Counts the writes that the holder's process asked for. A process that lost the answers of two
    /// writes knows by it which one was done, and so since when others know the row.
    pub serial: u64,
}

impl LeaseRecord {
    /// Whether it was written before another one, as far as both tell.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        let is_same_tenure = self.fence == other.fence && self.holder == other.holder;
        self.fence < other.fence || (is_same_tenure && self.serial < other.serial)
    }
}

/// What a holder tells other hosts of the row, so that they need not read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSummary {
    /// The row's version.
    pub version: RowVersion,
    /// The token in it.
    pub fence: FencingToken,
    /// Who holds it; none after a release.
    pub holder: Option<ProcessId>,
}

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a holder acts after it asked for its last renewal.
    pub hold: Duration,
    /// How long a contender has to know the same version of the row before it takes the lease.
    pub expiry: Duration,
    /// How often a holder renews.
    pub renew_interval: Duration,
    /// How long a host that held the lease does not take it again.
    pub cooldown: Duration,
}

/// The length of a lease, unless settings say another one.
const DEFAULT_LENGTH: Duration = Duration::from_secs(3);

impl Default for LeaseTiming {
    fn default() -> Self {
        Self::of(DEFAULT_LENGTH)
    }
}

impl LeaseTiming {
    /// The bounds of a lease that is over `length` after its last renewal. What a holder sent may be
    /// on its way for the quarter between `hold` and `expiry`.
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
