//! Division of a large group into shares, so that its relay doesn't have to send a datagram to each host.
//!
//! The relay sends to about the square root of the group's hosts, and each of those forwards the datagram to its share
//! of the others. A relay that sent to all hosts itself would fill its link in a large hall.
//!
//! Shares are computed from addresses alone, so hosts need not agree on who is in the group. They change with each
//! datagram: if a forwarder has died, each host misses a few datagrams, and none misses all of them.

use {
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum size of a group whose hosts all receive datagrams directly. With so few, another hop would save the relay
/// little.
const MAX_DIRECT_HOSTS: usize = 16;

/// The part of a group to which a host is asked to forward a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Seed that decides which host is in which share; it differs for each datagram.
    pub round: u64,
    /// Index of this share, from 0.
    pub index: u32,
    /// Number of shares.
    pub count: u32,
}

impl Share {
    /// Returns whether a host of the group is in this share.
    #[must_use]
    pub fn contains(&self, host: SocketAddr) -> bool {
        hash(host, !self.round) % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// Returns the hosts to which a datagram for a group is sent, each with the share to which it forwards it. These are
/// all hosts of a small group, or some of the `live` hosts of a large one. If no host is known to be alive, all hosts
/// receive it directly.
#[must_use]
pub fn divide_into_shares(
    group: &[SocketAddr],
    live: &[SocketAddr],
    round: u64,
) -> Vec<(SocketAddr, Option<Share>)> {
    if group.len() <= MAX_DIRECT_HOSTS || live.is_empty() {
        return group.iter().map(|host| (*host, None)).collect();
    }
    let mut forwarders = live.to_vec();
    forwarders.sort_by_key(|host| hash(*host, round));
    forwarders.truncate(group.len().isqrt());
    let count = u32::try_from(forwarders.len()).unwrap_or(u32::MAX);
    let shares = (0..count).map(|index| Share {
        round,
        index,
        count,
    });
    forwarders.into_iter().zip(shares.map(Some)).collect()
}

fn hash(host: SocketAddr, seed: u64) -> u64 {
    let port = host.port().to_be_bytes();
    let bytes = match host.ip() {
        IpAddr::V4(ip) => [&ip.octets()[..], &port].concat(),
        IpAddr::V6(ip) => [&ip.octets()[..], &port].concat(),
    };
    xxh3_64_with_seed(&bytes, seed)
}
