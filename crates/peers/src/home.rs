//! Selects the home host of a request, which keeps its location.

use {
    crate::place::RequestKey,
    tealshore_core::ids::HostId,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The host with the highest hash of host and request (rendezvous hashing): when a host joins or
/// leaves, only the requests of that host get another home.
#[must_use]
pub fn home_of<'a>(
    key: &RequestKey,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let seed = xxh3_64(format!("{}\0{}", key.customer, key.request).as_bytes());
    hosts.max_by_key(|host| xxh3_64_with_seed(host.as_bytes(), seed))
}
