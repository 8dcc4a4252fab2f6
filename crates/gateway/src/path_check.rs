//! Checks the lost paths of this host while it has no requests by which to find that they work again.

use {
    crate::{forward::dial_directly, state::GatewayState, view::Upstream},
    rand::seq::IndexedRandom,
    std::{sync::Arc, time::Duration},
    tealshore_core::{clock, ids::ServiceId},
    tealshore_paths::SERVICE_CHECK_INTERVAL,
    tokio::time::{sleep, timeout},
};

/// How long a direct connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks lost paths for as long as the process lives: another host may be refused tunnels because of them.
pub(crate) async fn check_lost_paths(state: Arc<GatewayState>) {
    loop {
        sleep(SERVICE_CHECK_INTERVAL).await;
        let lost = state.paths.lock().cut_off_services(clock::now());
        for service in lost {
            check(&state, &service).await;
        }
    }
}

/// Tries one upstream of a service. The connection is closed at once: the next request opens its own.
async fn check(state: &GatewayState, service: &ServiceId) {
    let now = clock::now();
    let mut ready = state.view.upstreams.ready(service);
    ready.retain(|upstream| !upstream.is_suspected(now));
    let chosen: Option<&Arc<Upstream>> = ready.choose(&mut rand::rng());
    let Some(upstream) = chosen else {
        return;
    };
    let opening = dial_directly(state, &upstream.record);
    if let Ok(Ok(_)) = timeout(CONNECT_TIMEOUT, opening).await {
        state.record_direct_connection(&upstream.record);
    }
}
