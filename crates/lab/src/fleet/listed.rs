//! Builds entries of the host list and assigns hosts to halls.

use {
    std::net::SocketAddr,
    tealshore_hosts::{HostRole, HostState, ListedHost},
};

/// The halls, assigned to hosts and engines in rotation.
const HALLS: [&str; 3] = ["bkk-a", "bkk-b", "ayt-c"];

/// Returns the hall of the host or engine with this index.
pub fn hall(index: u64) -> &'static str {
    HALLS[usize::try_from(index).unwrap_or(0) % HALLS.len()]
}

/// Returns the list entry of a live host.
#[must_use]
pub fn live_host_entry(
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
