//! How the relay of a large group has other hosts pass on what it would else send to each host.
//!
//! It sends to about the square root of the group's hosts, and each of those sends to its share of
//! the others: a relay that told all of them itself would fill its link in a large hall.
//!
//! Shares follow from addresses alone, so hosts need not agree on who is in the group. They are drawn
//! anew for each datagram: a forwarder that died takes a few datagrams from each host, and from no
//! host all of them.

use {
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Up to so many hosts are told directly: another hop would spare the relay little.
const DIRECT_HOSTS: usize = 16;

/// The part of a group to which a host is asked to pass a datagram on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Decides who is in which share; another one for each datagram.
    pub round: u64,
    /// Which share this is, from 0.
    pub index: u32,
    /// How many shares there are.
    pub count: u32,
}

impl Share {
    /// Whether a host of the group is in this share.
    #[must_use]
    pub fn holds(&self, host: SocketAddr) -> bool {
        hash(host, !self.round) % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// Whom to send a datagram for a group, and which share each of them passes it on to: all hosts of a
/// small group, and some of the `live` ones of a large one. Where none is known to live, all are told
/// directly.
#[must_use]
pub fn divide(
    group: &[SocketAddr],
    live: &[SocketAddr],
    round: u64,
) -> Vec<(SocketAddr, Option<Share>)> {
    if group.len() <= DIRECT_HOSTS || live.is_empty() {
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
