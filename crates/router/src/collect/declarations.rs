//! Learns the declarations: by polling the table, and sooner when a peer tells of a higher
//! version.

use {
    crate::state::RouterState,
    std::{sync::Arc, time::Duration},
    tealshore_core::spread::spread,
    tealshore_operators::edit::{VersionedDeclarations, read_current},
    tokio::time::timeout,
};

/// The shortest time between two polls; each is spread up to twice of it.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
/// The poll interval of a host that has no declarations yet.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Polls again and again.
pub async fn collect(state: Arc<RouterState>) {
    let mut hinted = state.hinted.subscribe();
    loop {
        match read_current(&state.table).await {
            Ok(Some(new)) => put_in_force(&state, new),
            Ok(None) => {}
            Err(error) => log::warn!("declarations: {error}"),
        }
        let is_first = state.in_force.now().is_none();
        let pause = spread(if is_first {
            FIRST_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        });
        let running = state.in_force.version();
        // A hint wakes the poll only where it tells of something new.
        let _ = timeout(pause, hinted.wait_for(|version| *version > running)).await;
        hinted.mark_unchanged();
    }
}

/// Puts declarations in force unless they are older than what is.
pub fn put_in_force(state: &RouterState, new: VersionedDeclarations) {
    let version = new.version;
    match state.in_force.apply(new) {
        Ok(true) => {
            log::info!("declarations: version {version} is in force");
            state
                .metrics
                .config_version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
        }
        Ok(false) => {}
        Err(error) => log::error!("declarations: version {version} can't be read: {error}"),
    }
}
