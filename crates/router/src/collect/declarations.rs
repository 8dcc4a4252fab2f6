//! Learns the declarations: by polling their version in the table, and sooner when a peer
//! tells of a higher one.

use {
    crate::state::RouterState,
    std::{sync::Arc, time::Duration},
    tealshore_core::spread::spread,
    tealshore_operators::edit::{VersionedDeclarations, read_current, read_current_version},
    tealshore_table::TableUnavailable,
    tokio::time::timeout,
};

/// How often all entry hosts together ask the table, a second. Whoever learns of an edit
/// first tells the others, so more hosts need no more reads.
const POLLS_PER_S: f64 = 20.0;
/// The shortest time between two polls of a host; each is spread up to twice of it.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The longest: also a host that is cut off from its peers learns of an edit in time.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(7);

/// Polls again and again.
pub async fn collect(state: Arc<RouterState>) {
    let mut highest_hinted_version = state.highest_hinted_version.subscribe();
    loop {
        if let Err(error) = poll(&state).await {
            log::warn!("declarations: {error}");
        }
        let current = state.in_force.version();
        let pause = spread(poll_interval(state.fleet.peers().len() + 1));
        // A hint wakes the poll only where it tells of something new.
        let _ = timeout(
            pause,
            highest_hinted_version.wait_for(|version| *version > current),
        )
        .await;
    }
}

/// Reads the version, and the text only where the version is new.
async fn poll(state: &RouterState) -> Result<(), TableUnavailable> {
    if read_current_version(&state.table).await? <= state.in_force.version() {
        return Ok(());
    }
    if let Some(new) = read_current(&state.table).await? {
        apply_declarations(state, new);
    }
    Ok(())
}

fn poll_interval(hosts: usize) -> Duration {
    // Each pause is one and a half times the interval in the mean.
    let interval = Duration::from_secs_f64(hosts as f64 / POLLS_PER_S / 1.5);
    interval.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

/// Puts declarations in force unless they are older than what is.
pub fn apply_declarations(state: &RouterState, new: VersionedDeclarations) {
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
