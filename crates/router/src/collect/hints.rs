//! Exchanges hints with a few peers, so that news spreads faster than polls and the cost of
//! a host stays the same however many there are.

use {
    super::declarations::apply_declarations,
    crate::state::RouterState,
    futures::future::join_all,
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tealshore_operators::edit::VersionedDeclarations,
    tealshore_peers::{Hint, PeerHandler},
    tokio::time::timeout,
};

/// How often hints are exchanged when there is no news.
const HINT_INTERVAL: Duration = Duration::from_secs(1);
/// With how many peers; news reaches all of n hosts in about log(n) rounds.
const FANOUT: usize = 3;

/// Exchanges hints again and again, and at once on news.
pub async fn exchange(state: Arc<RouterState>) {
    loop {
        let sent = state.own_hint();
        let peers: Vec<SocketAddr> = state
            .fleet
            .peers()
            .iter()
            .filter_map(|host| host.peer_address)
            .collect();
        let chosen: Vec<SocketAddr> = peers.sample(&mut rand::rng(), FANOUT).copied().collect();
        join_all(chosen.into_iter().map(|peer| exchange_with(&state, peer))).await;
        // Without news the next exchange comes when it is due.
        let _ = timeout(HINT_INTERVAL, wait_for_change(&state, &sent)).await;
    }
}

async fn exchange_with(state: &RouterState, peer: SocketAddr) {
    let Some(answer) = state.peers.hint(peer, state.own_hint()).await else {
        return;
    };
    let is_ahead = answer.version > state.in_force.version();
    state.handle_hint(answer);
    if !is_ahead {
        return;
    }
    // The peer has read it from the table, so it was accepted; its version orders it.
    let Some(received) = state.peers.declarations(peer).await else {
        return;
    };
    if let Ok(stored) = serde_json::from_str(&received.stored) {
        apply_declarations(
            state,
            VersionedDeclarations {
                version: received.version,
                stored,
            },
        );
    }
}

/// Ends when this host runs other declarations than it told of, or begins to stop.
async fn wait_for_change(state: &RouterState, sent: &Hint) {
    tokio::select! {
        () = state.in_force.changed_from(sent.version) => {}
        () = state.stop.stop_requested(), if !sent.leaving => {}
    }
}
