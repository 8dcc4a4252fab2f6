//! Graceful shutdown: the host withdraws its address at once, keeps serving requests for a while, closes its connections
//! in order, and exits when it has drained or the time for the stop is used up.

use {
    crate::state::GatewayState,
    std::{sync::Arc, time::Duration},
    tealshore_core::{clock, logs::URGENT_TARGET},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::sleep,
    },
};

/// How often the requests in flight are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<GatewayState>);

impl InFlightGuard {
    /// Adds a request to the count.
    pub fn begin(state: &Arc<GatewayState>) -> Self {
        state.stop.begin_request();
        state.metrics.in_flight.inc();
        Self(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.stop.end_request();
        self.0.metrics.in_flight.dec();
    }
}

/// Waits for SIGTERM or SIGINT, then drains; returns when the process may exit.
///
/// # Errors
/// A signal handler can't be installed.
pub async fn wait_for_shutdown(state: Arc<GatewayState>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began = clock::now();
    state.stop.initiate(began);
    state.peers.wake_sender();
    log::info!(
        target: URGENT_TARGET,
        "stop: signal received, draining in_flight={}",
        state.stop.in_flight()
    );
    state.stop.wait_for_close().await;
    log::info!(
        target: URGENT_TARGET,
        "stop: closing connections in_flight={}",
        state.stop.in_flight()
    );
    loop {
        let age = clock::elapsed(began);
        let in_flight = state.stop.in_flight();
        // An answer that is no longer in flight may not be written yet; its connection ends when it is.
        let has_closed = state.stop.has_closed();
        if age >= state.stop.schedule.exit || (has_closed && in_flight == 0) {
            log::info!(
                target: URGENT_TARGET,
                "stop: exiting in_flight={in_flight} closed={has_closed} age_ms={}",
                age.as_millis()
            );
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Logs each SIGHUP. No setting can be reloaded without a restart.
///
/// # Errors
/// The signal handler can't be installed.
pub async fn log_reload_signals() -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        log::info!("reload: SIGHUP received, settings need a restart outcome=nothing-to-reload");
    }
    Ok(())
}
