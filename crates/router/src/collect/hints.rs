//! Gossips hints with a few random peers: changes spread faster than by polling, and the cost
//! per host does not depend on the number of hosts.

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

/// Interval between exchanges while nothing changes.
const HINT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers per exchange; a change reaches all of n hosts in about log(n) rounds.
const FANOUT: usize = 3;

/// Exchanges hints forever: at each interval, and at once after a change on this host.
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
        // A change ends the wait early; otherwise the next exchange follows after the interval.
        let _ = timeout(HINT_INTERVAL, wait_for_change(&state, &sent)).await;
    }
}

async fn exchange_with(state: &RouterState, peer: SocketAddr) {
    let Some(hint) = state.peers.hint(peer, state.own_hint()).await else {
        return;
    };
    let is_ahead = hint.version > state.in_force.version();
    state.handle_hint(hint);
    if !is_ahead {
        return;
    }
    // The peer read these declarations from the table, so the edit was accepted, and the
    // version says whether they are newer.
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

/// Returns when this host's declarations or its stop state differ from the hint that it sent.
async fn wait_for_change(state: &RouterState, sent: &Hint) {
    tokio::select! {
        () = state.in_force.changed_from(sent.version) => {}
        () = state.stop.stop_requested(), if !sent.leaving => {}
    }
}
