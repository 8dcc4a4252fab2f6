//! Polls the host list.

use {
    crate::state::RouterState,
    std::sync::Arc,
    tealshore_hosts::{HostList, HostListUpdate, HostsClient},
    tokio::time::{MissedTickBehavior, interval},
};

/// Polls the list forever. While it is unavailable, the last one stays in use.
pub async fn collect(state: Arc<RouterState>) {
    let options = &state.options.hosts;
    let mut client = HostsClient::new(options.address);
    let mut polls = interval(options.poll_interval);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        match client.read().await {
            HostListUpdate::New(list) => apply(&state, list),
            HostListUpdate::Unchanged => {}
            HostListUpdate::Unavailable => {
                log::warn!("hosts: failed to read the host list, keeping the last one")
            }
        }
    }
}

fn apply(state: &RouterState, list: HostList) {
    state.fleet.apply_host_list(list);
    let peers: Vec<_> = state
        .fleet
        .peers()
        .iter()
        .filter_map(|host| host.peer_address)
        .collect();
    state.peers.retain_peers(&peers);
}
