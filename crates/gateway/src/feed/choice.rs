//! Choice of the feeder of a host.

use {
    super::StoreWatermark,
    std::cmp::Reverse,
    tealshore_core::ids::{HallId, HostId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of hosts that form one group, exchange state directly and share one feeder. In a
/// larger fleet each hall is a group of its own, and groups exchange state through their relays.
pub const MAX_GROUP_HOSTS: usize = 100;

/// A host that may become a feeder.
#[derive(Clone, Debug)]
pub struct FeederCandidate {
    /// Name of the host.
    pub host: HostId,
    /// Hall of the host.
    pub hall: HallId,
    /// Link capacity in Mbit/s. It decides the rank, since a feeder sends to many hosts.
    pub link_mbps: u32,
    /// How up to date the host's copy of the store is.
    pub watermark: StoreWatermark,
    /// Whether the host's latest store call was answered.
    pub reaches_store: bool,
}

/// The feeder that a host has chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeederChoice {
    /// No feeder: the host reads the store itself.
    NoFeeder,
    /// The host reads the store and feeds others.
    ThisHost,
    /// Another host, with its watermark.
    Peer(HostId, StoreWatermark),
}

/// Chooses the feeder of a host.
///
/// `group` holds the hosts of its group that are reachable, take traffic and have recent
/// watermarks, including the host itself if it qualifies. `relays` holds the relays of the other
/// groups and is empty if there are none. All hosts use the same ranking, so hosts with the same
/// information choose the same feeder.
///
/// The first host of a group is its relay and feeds the group. It doesn't have to reach the store
/// if the relay of another group feeds it. The first of all relays that reach the store reads it
/// for the whole fleet.
#[must_use]
pub fn choose_feeder(
    own: &HostId,
    group: &[FeederCandidate],
    relays: &[FeederCandidate],
) -> FeederChoice {
    let is_only_group = relays.is_empty();
    let relay = first_reader(group).or_else(|| first_by_rank(group).filter(|_| !is_only_group));
    match relay {
        None => FeederChoice::NoFeeder,
        Some(relay) if relay.host != *own => peer(relay),
        Some(relay) => {
            let all: Vec<FeederCandidate> = relays.iter().chain([relay]).cloned().collect();
            match first_reader(&all) {
                None => FeederChoice::NoFeeder,
                Some(reader) if reader.host == *own => FeederChoice::ThisHost,
                Some(reader) => peer(reader),
            }
        }
    }
}

fn peer(feeder_candidate: &FeederCandidate) -> FeederChoice {
    FeederChoice::Peer(feeder_candidate.host.clone(), feeder_candidate.watermark)
}

/// The first by rank of the hosts that reach the store.
fn first_reader(feeder_candidates: &[FeederCandidate]) -> Option<&FeederCandidate> {
    let readers = feeder_candidates
        .iter()
        .filter(|feeder_candidate| feeder_candidate.reaches_store);
    readers.min_by_key(|feeder_candidate| rank(&feeder_candidate.host, feeder_candidate.link_mbps))
}

fn first_by_rank(feeder_candidates: &[FeederCandidate]) -> Option<&FeederCandidate> {
    let all = feeder_candidates.iter();
    all.min_by_key(|feeder_candidate| rank(&feeder_candidate.host, feeder_candidate.link_mbps))
}

/// Counts the hosts among `others` that rank before the given host.
#[must_use]
pub fn hosts_before<'a>(
    own: &HostId,
    own_link_mbps: u32,
    others: impl IntoIterator<Item = &'a FeederCandidate>,
) -> usize {
    let own_rank = rank(own, own_link_mbps);
    let before = others
        .into_iter()
        .filter(|other| rank(&other.host, other.link_mbps) < own_rank);
    before.count()
}

/// Sort key that ranks hosts; the lowest comes first. Hosts with the fastest links rank first; ties
/// are broken by a hash of the name, which is the same on all hosts.
pub fn rank(host: &HostId, link_mbps: u32) -> (Reverse<u32>, u64) {
    (Reverse(link_mbps), xxh3_64(host.as_bytes()))
}
