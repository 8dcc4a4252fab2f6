//! Which host lends for an upstream, and how much of its rate.

use {
    tealshore_core::ids::{EngineId, HostId},
    xxhash_rust::xxh3::Xxh3,
};

/// The part of all hosts that must be heard for the whole rate to be lent. The others, if they are cut off
/// and live, lend a quarter of it at most.
const FULL_RATE_FRACTION: f64 = 0.75;

/// How near a host is to an upstream; near hosts lend before far ones, as most that ask are near, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In its hall.
    SameHall,
    /// In its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The rank of a host among those that may lend for an upstream; the least one lends.
#[must_use]
pub fn rank(upstream: &EngineId, host: &HostId, proximity: Proximity) -> (Proximity, u64) {
    let mut digest = Xxh3::new();
    digest.update(upstream.as_bytes());
    digest.update(&[0]);
    digest.update(host.as_bytes());
    (proximity, digest.digest())
}

/// The part of a limit that a host lends which hears so many of all hosts, itself included: all of it, unless
/// so many are missing that they may be cut off together, and lend as well.
#[must_use]
pub fn lendable_fraction(heard: usize, all: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let fraction = to_f64(heard) / to_f64(all.max(1));
    if fraction >= FULL_RATE_FRACTION {
        1.0
    } else {
        fraction
    }
}
