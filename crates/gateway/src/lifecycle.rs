//! A planned stop: the host leaves the addresses at once, serves what still comes, and ends
//! when it is quiet or its time is over.

use {
    crate::state::GatewayState,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        time::sleep,
    },
};

/// How long callers may still come with an address that was withdrawn, before the host may
/// end although it is quiet.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Left of the time for a stop when the process ends in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often a stop looks whether the host is quiet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<GatewayState>);

impl InFlightGuard {
    /// Counts a request.
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

/// Waits for SIGTERM or SIGINT and ends when the process may.
///
/// # Errors
/// Signals can't be received.
pub async fn wait_for_shutdown(state: Arc<GatewayState>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began = Instant::now();
    state.stop.initiate(began);
    state.peers.wake_sender();
    log::info!("stop: asked in_flight={}", state.stop.in_flight());
    let end = state.options.bounds.stop.saturating_sub(EXIT_MARGIN);
    loop {
        let age = began.elapsed();
        let in_flight = state.stop.in_flight();
        if age >= end || (age >= MIN_DRAIN_TIME && in_flight == 0) {
            log::info!(
                "stop: done in_flight={in_flight} age_ms={}",
                age.as_millis()
            );
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Notes each SIGHUP. The settings hold nothing that a running host takes in anew.
///
/// # Errors
/// Signals can't be received.
pub async fn log_reload_signals() -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        log::info!("reload: asked outcome=nothing-to-reload");
    }
    Ok(())
}
