//! Sends this host's usage counts, and what it knows of decided reports, to the hosts that hold the duties or may hold
//! them next.

use {
    super::{
        Peers,
        message::{Datagram, HostPhase, PeerState},
        outgoing::PeerSocket,
    },
    crate::{duties::MAX_CANDIDATES, feed::rank, options::Duty, state::GatewayState},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::HostId},
    tokio::time::sleep,
};

/// Interval at which counts are sent. A host that is killed loses what it counted since the last time.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends this host's usage counts for as long as the process lives, if usage is reported.
pub(super) async fn send_usage(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    if !state.duties.has(Duty::ReportUsage) {
        return;
    }
    loop {
        sleep(USAGE_INTERVAL).await;
        // Unchanged counts are sent as well, since a datagram may have been lost, or a receiver may be new.
        socket.send_own_usage(&state, clock::now()).await;
    }
}

impl PeerSocket {
    /// Sends the usage counts of this host, with the reports that it knows to be decided.
    async fn send_own_usage(&self, state: &GatewayState, now: Instant) {
        let usage = state.duties.own_usage(state.feed.store_time(now), now);
        if usage.windows.is_empty() && state.duties.decided_to_report().is_none() {
            return;
        }
        let holder = state.duties.holder();
        let receivers = state.peers.duty_candidates(holder.as_ref(), now);
        self.send_to_all(&Datagram::Usage(usage), &receivers).await;
    }

    /// Sends the reports that this host has just decided to all hosts that may hold the duties next, including the
    /// relays of other groups.
    pub(crate) async fn announce_decisions(&self, state: &GatewayState) {
        let now = clock::now();
        self.send_own_usage(state, now).await;
        if state.peers.is_grouped() {
            // The counts of this host reach other groups in the sums of its hall.
            let usage = state.duties.usage_update(Vec::new());
            let relays = state.peers.digest_targets(now);
            self.send_to_all(&Datagram::Usage(usage), &relays).await;
        }
    }
}

impl Peers {
    /// Returns the addresses of the hosts of the group that hold the duties or may hold them next.
    fn duty_candidates(&self, holder: Option<&HostId>, now: Instant) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let staying = known
            .values()
            .filter(|peer| self.is_live(peer, now) && self.is_in_group(&peer.state.hall))
            .filter(|peer| peer.state.phase != HostPhase::Leaving)
            .map(|peer| &peer.state);
        usage_receivers(staying.collect(), holder)
    }
}

/// Selects the hosts that receive usage counts: the holder of the duties, and those that may take them next. Hosts that
/// reach the store come first, since only they can take the lease. Before this rule, when the first hosts by rank could
/// not reach the store, the lease went to a host that had received no counts, and a window held the counts of one of 59
/// processes.
#[must_use]
pub fn usage_receivers(mut hosts: Vec<&PeerState>, holder: Option<&HostId>) -> Vec<SocketAddr> {
    hosts.sort_by_key(|state| (!state.reaches_store, rank(&state.host, state.link_mbps)));
    let is_holder = |host: &HostId| Some(host) == holder;
    let receivers = hosts
        .iter()
        .enumerate()
        .filter(|(position, state)| *position < MAX_CANDIDATES || is_holder(&state.host));
    receivers.map(|(_, state)| state.peers_address).collect()
}
