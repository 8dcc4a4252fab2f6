//! The planned stop, which lets every answer continue.
//!
//! First the host's address is withdrawn, while callers that cached it are still served. Then
//! new work is rejected and running answers may finish. Answers that do not finish in time are
//! handed over: their callers resume at another host with the last event's id.

use {
    crate::{state::RouterState, stop::StopPhase},
    std::{sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::{Instant, sleep},
    },
};

/// Interval at which a drain checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long answers that are handed over may take to end.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits for SIGTERM or SIGINT and runs the planned stop; returns when the process may exit.
pub async fn run_planned_stop(state: Arc<RouterState>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    state.stop.set_phase(StopPhase::Withdrawn);
    sleep(state.options.callers.keep_addresses).await;
    state.stop.set_phase(StopPhase::Draining);
    if !drained_within(&state, state.options.stop.drain_timeout).await {
        log::warn!(
            "stop: drain timed out with {} requests in flight",
            state.in_flight.total()
        );
        state.stop.set_phase(StopPhase::HandingOver);
        drained_within(&state, HANDOVER_TIMEOUT).await;
    }
    log::info!("stop: done");
    Ok(())
}

async fn drained_within(state: &RouterState, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while state.in_flight.total() > 0 {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    true
}
