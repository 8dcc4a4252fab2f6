//! Entries of the host list, and the halls that hosts stand in.

use {
    std::net::SocketAddr,
    tealshore_hosts::{HostRole, HostState, ListedHost},
};

/// The halls that hosts and engines stand in, in turn.
const HALLS: [&str; 3] = ["bkk-a", "bkk-b", "ayt-c"];
/// The hall of the host or engine with a number.
pub fn hall(index: u64) -> &'static str {
    HALLS[usize::try_from(index).unwrap_or(0) % HALLS.len()]
}

/// A live host of the list.
#[must_use]
pub fn listed(
    id: &str,
    role: HostRole,
    service: &str,
    index: u64,
    address: SocketAddr,
) -> ListedHost {
    ListedHost {
        id: id.to_owned(),
        role,
        service: service.to_owned(),
        hall: hall(index).to_owned(),
        address,
        peer_address: None,
        state: HostState::Live,
    }
}
