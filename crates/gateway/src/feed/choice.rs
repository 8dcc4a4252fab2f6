//! Which host feeds this one.

use {
    super::StoreWatermark,
    std::cmp::Reverse,
    tealshore_core::ids::{HallId, HostId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Up to so many hosts tell each other directly and have one feeder together; beyond that, each
/// hall is a group of its own, and groups tell each other by their relays.
pub const GROUP_HOSTS: usize = 100;

/// A host that might feed this one.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Its name.
    pub host: HostId,
    /// Its hall.
    pub hall: HallId,
    /// What its link carries, in Mbit/s: a feeder sends to many.
    pub link_mbps: u32,
    /// How far its knowledge goes.
    pub watermark: StoreWatermark,
    /// Whether its last call to the store was answered.
    pub reaches_store: bool,
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

/// Chooses the feeder of a host. `group` are the hosts of its group that are heard, take traffic
/// and have young watermarks, the host itself included where that holds for it; `relays` are those
/// of the other groups, where there are any. All hosts rank the others alike, so those that hear
/// the same choose the same.
///
/// The first of a group is its relay and feeds the group. It needs no answer of the store itself
/// where another group's relay feeds it; the first of all relays reads the store for the fleet.
#[must_use]
pub fn choose_feeder(own: &HostId, group: &[Contender], relays: &[Contender]) -> FeederChoice {
    let is_alone = relays.is_empty();
    let relay = first_reader(group).or_else(|| first(group).filter(|_| !is_alone));
    match relay {
        None => FeederChoice::Nobody,
        Some(relay) if relay.host != *own => peer(relay),
        Some(relay) => {
            let all: Vec<Contender> = relays.iter().chain([relay]).cloned().collect();
            match first_reader(&all) {
                None => FeederChoice::Nobody,
                Some(reader) if reader.host == *own => FeederChoice::Itself,
                Some(reader) => peer(reader),
            }
        }
    }
}

fn peer(contender: &Contender) -> FeederChoice {
    FeederChoice::Peer(contender.host.clone(), contender.watermark)
}

/// The first by rank of those that reach the store.
fn first_reader(contenders: &[Contender]) -> Option<&Contender> {
    let readers = contenders
        .iter()
        .filter(|contender| contender.reaches_store);
    readers.min_by_key(|contender| rank(&contender.host, contender.link_mbps))
}

fn first(contenders: &[Contender]) -> Option<&Contender> {
    let all = contenders.iter();
    all.min_by_key(|contender| rank(&contender.host, contender.link_mbps))
}

/// How many of some hosts rank before one of them.
#[must_use]
pub fn hosts_before<'a>(
    own: &HostId,
    own_link_mbps: u32,
    others: impl IntoIterator<Item = &'a Contender>,
) -> usize {
    let own_rank = rank(own, own_link_mbps);
    let before = others
        .into_iter()
        .filter(|other| rank(&other.host, other.link_mbps) < own_rank);
    before.count()
}

/// The lowest goes first: hosts with the best links, in an order that is the same everywhere.
pub fn rank(host: &HostId, link_mbps: u32) -> (Reverse<u32>, u64) {
    (Reverse(link_mbps), xxh3_64(host.as_bytes()))
}
