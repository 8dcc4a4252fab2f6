//! Which host lends for an upstream, and how much of the limit it may lend.

use {
    tealshore_core::ids::{EngineId, HostId},
    xxhash_rust::xxh3::Xxh3,
};

/// The fraction of all hosts that a lender must hear from to lend the whole limit. If the other hosts are
/// partitioned but alive, they lend at most a quarter of it.
const FULL_RATE_FRACTION: f64 = 0.75;

/// How near a host is to an upstream. Near hosts are preferred as lenders, because most hosts that ask are near
/// as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the upstream's hall.
    SameHall,
    /// In the upstream's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Returns the rank of a host as lender of an upstream; the host with the lowest rank lends.
#[must_use]
pub fn rank(upstream: &EngineId, host: &HostId, proximity: Proximity) -> (Proximity, u64) {
    let mut digest = Xxh3::new();
    digest.update(upstream.as_bytes());
    digest.update(&[0]);
    digest.update(host.as_bytes());
    (proximity, digest.digest())
}

/// Returns the fraction of a limit that a host may lend if it knows `live` of all hosts, including itself, to be
/// live. It is less than one only if so many hosts are missing that they may form a partition with a lender of
/// its own.
#[must_use]
pub fn lendable_fraction(live: usize, all: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let fraction = to_f64(live) / to_f64(all.max(1));
    if fraction >= FULL_RATE_FRACTION {
        1.0
    } else {
        fraction
    }
}
