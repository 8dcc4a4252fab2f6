//! Which host feeds this one.

use {
    super::StoreWatermark,
    tealshore_core::ids::{HallId, HostId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Up to so many hosts have one feeder together; beyond that, each hall has its own.
const GROUP_HOSTS: usize = 100;

/// A host that might feed this one.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Its name.
    pub host: HostId,
    /// Its hall.
    pub hall: HallId,
    /// How far its knowledge goes.
    pub watermark: StoreWatermark,
}

/// Who feeds a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeederChoice {
    /// Nobody: it reads the store itself.
    Nobody,
    /// It does itself, and others as well.
    Itself,
    /// Another host, whose knowledge goes so far.
    Peer(HostId, StoreWatermark),
}

/// Chooses the feeder of a host among those that are heard, take traffic, reach the store
/// and have young watermarks, the host itself included where that holds for it. `hosts` is how
/// many there ever were. All hosts rank the others alike, so those that hear the same choose
/// the same.
#[must_use]
pub fn choose_feeder(
    own: &HostId,
    own_hall: &HallId,
    hosts: usize,
    contenders: &[Contender],
) -> FeederChoice {
    let group = group_of(hosts, own_hall);
    let in_group = contenders
        .iter()
        .filter(|contender| group.is_none_or(|hall| hall == contender.hall));
    let first = in_group.min_by_key(|contender| rank(&contender.host));
    match first {
        None => FeederChoice::Nobody,
        Some(first) if first.host == *own => FeederChoice::Itself,
        Some(first) => FeederChoice::Peer(first.host.clone(), first.watermark),
    }
}

/// The hall whose hosts share a feeder; none where all of so many hosts do.
#[must_use]
pub fn group_of(hosts: usize, hall: &HallId) -> Option<&str> {
    (hosts > GROUP_HOSTS).then_some(hall.as_str())
}

/// Whether a host ranks before all others of some.
#[must_use]
pub fn ranks_first(own: &HostId, others: impl IntoIterator<Item = HostId>) -> bool {
    others.into_iter().all(|other| rank(own) <= rank(&other))
}

fn rank(host: &HostId) -> u64 {
    xxh3_64(host.as_bytes())
}
