//! A planned stop: it cuts nothing.
//!
//! First the host's address is withdrawn, while callers that kept it are still served.
//! Then new work is refused, and running answers may end. Those that do not end in time
//! are handed over: their callers go on at another host with the last event's id.

use {
    crate::{state::RouterState, stop::StopPhase},
    std::{sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::{Instant, sleep},
    },
};

/// How often a drain looks whether it is done, and how long callers get to go on elsewhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// How long answers that are handed over may take to leave.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT and runs the stop; ends when the process may exit.
pub async fn stop_when_asked(state: Arc<RouterState>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    state.stop.enter(StopPhase::Withdrawn);
    sleep(state.options.callers.keep_addresses).await;
    state.stop.enter(StopPhase::Draining);
    if !is_idle_within(&state, state.options.stop.drain_timeout).await {
        log::warn!(
            "stop: {} requests did not end in time",
            state.in_flight.total()
        );
        state.stop.enter(StopPhase::HandingOver);
        is_idle_within(&state, HANDOVER_TIME).await;
    }
    log::info!("stop: done");
    Ok(())
}

async fn is_idle_within(state: &RouterState, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while state.in_flight.total() > 0 {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(LOOK_INTERVAL).await;
    }
    true
}
