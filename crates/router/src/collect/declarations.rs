//! Keeps the declarations current: polls their version in the table, and polls at once when a
//! peer announces a higher version.

use {
    crate::state::RouterState,
    std::{sync::Arc, time::Duration},
    tealshore_core::spread::with_jitter,
    tealshore_operators::edit::{VersionedDeclarations, read_current, read_current_version},
    tealshore_table::TableUnavailable,
    tokio::time::timeout,
};

/// Polls per second of all entry hosts together. The first host to see an edit announces it to
/// the others, so more hosts need no more reads.
const POLLS_PER_S: f64 = 20.0;
/// Minimum poll interval of a host; jitter stretches each pause to at most twice the interval.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum poll interval; it bounds how late a host that is cut off from its peers sees an edit.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(7);

/// Polls the table forever.
pub async fn collect(state: Arc<RouterState>) {
    let mut highest_hinted_version = state.highest_hinted_version.subscribe();
    loop {
        if let Err(error) = poll(&state).await {
            log::warn!("declarations: poll failed: {error}");
        }
        let current = state.in_force.version();
        let pause = with_jitter(poll_interval(state.fleet.peers().len() + 1));
        // Only a hint of a newer version ends the pause early.
        let _ = timeout(
            pause,
            highest_hinted_version.wait_for(|version| *version > current),
        )
        .await;
    }
}

/// Reads the version, and the text only if the version is newer than the one in force.
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
    // With jitter, the mean pause is 1.5 times the interval.
    let interval = Duration::from_secs_f64(hosts as f64 / POLLS_PER_S / 1.5);
    interval.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

/// Applies declarations if they are newer than those in force.
pub fn apply_declarations(state: &RouterState, new: VersionedDeclarations) {
    let version = new.version;
    match state.in_force.apply(new) {
        Ok(true) => {
            log::info!("declarations: applied version {version}");
            state
                .metrics
                .config_version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
        }
        Ok(false) => {}
        Err(error) => log::error!("declarations: cannot parse version {version}: {error}"),
    }
}
