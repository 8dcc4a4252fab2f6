//! Exchanges hints with a few peers, so that news spreads faster than polls and the cost of
//! a host stays the same however many there are.

use {
    super::declarations::put_in_force,
    crate::state::RouterState,
    futures::future::join_all,
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tealshore_operators::edit::VersionedDeclarations,
    tealshore_peers::PeerEvents,
    tokio::time::timeout,
};

/// How often hints are exchanged when there is no news.
const HINT_INTERVAL: Duration = Duration::from_secs(1);
/// With how many peers; news reaches all of n hosts in about log(n) rounds.
const FANOUT: usize = 3;

/// Exchanges hints again and again, and at once on news.
pub async fn exchange(state: Arc<RouterState>) {
    let mut last_told = state.own_hint();
    loop {
        let peers: Vec<SocketAddr> = state
            .fleet
            .peers()
            .iter()
            .filter_map(|host| host.peer_address)
            .collect();
        let chosen: Vec<SocketAddr> = peers.sample(&mut rand::rng(), FANOUT).copied().collect();
        join_all(chosen.into_iter().map(|peer| exchange_with(&state, peer))).await;
        let news = wait_for_news(&state, &last_told);
        let _ = timeout(HINT_INTERVAL, news).await;
        last_told = state.own_hint();
    }
}

async fn exchange_with(state: &RouterState, peer: SocketAddr) {
    let Some(answer) = state.peers.hint(peer, state.own_hint()).await else {
        return;
    };
    let is_ahead = answer.version > state.in_force.version();
    state.take_hint(answer);
    if !is_ahead {
        return;
    }
    // The peer has read it from the table, so it was accepted; its version orders it.
    let Some(run) = state.peers.declarations(peer).await else {
        return;
    };
    if let Ok(stored) = serde_json::from_str(&run.stored) {
        put_in_force(
            state,
            VersionedDeclarations {
                version: run.version,
                stored,
            },
        );
    }
}

async fn wait_for_news(state: &RouterState, last_told: &tealshore_peers::Hint) {
    const LOOK_INTERVAL: Duration = Duration::from_millis(50);
    while state.own_hint() == *last_told {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
