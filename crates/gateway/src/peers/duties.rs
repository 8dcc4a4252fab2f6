//! Tells the hosts that may hold the duties what this one counted.

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
    tealshore_core::ids::HostId,
    tokio::time::sleep,
};

/// How often counts are told. A host that is killed takes with it what it counted since.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Tells what this host counted for as long as the process lives, where usage is reported.
pub(super) async fn tell_usage(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    if !state.duties.has(Duty::ReportUsage) {
        return;
    }
    loop {
        sleep(USAGE_INTERVAL).await;
        let now = Instant::now();
        let news = state.duties.own_usage(state.feed.store_time(now), now);
        let Some(news) = news else {
            continue;
        };
        let receivers = state
            .peers
            .duty_candidates(state.duties.holder().as_ref(), now);
        // Also what did not change: a datagram may have been lost, or a receiver be new.
        socket.send_to_all(&Datagram::Usage(news), &receivers).await;
    }
}

impl Peers {
    /// Where the hosts of the group take datagrams that hold the duties or may do so next.
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

/// Which of some hosts are told of counts: the holder of the duties, and those that may take them next.
/// Those that reach the store go first, since only they can: where a store shunned the first hosts by
/// rank, one that nobody had told took the lease, and a window had the counts of one of 59 processes.
#[must_use]
pub fn usage_receivers(mut hosts: Vec<&PeerState>, holder: Option<&HostId>) -> Vec<SocketAddr> {
    hosts.sort_by_key(|state| (!state.reaches_store, rank(&state.host, state.link_mbps)));
    let is_holder = |host: &HostId| Some(host) == holder;
    let told = hosts
        .iter()
        .enumerate()
        .filter(|(position, state)| *position < MAX_CANDIDATES || is_holder(&state.host));
    told.map(|(_, state)| state.peers_address).collect()
}
