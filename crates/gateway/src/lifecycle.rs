//! Graceful shutdown: the host withdraws its address at once, keeps serving requests for a while, closes its connections
//! in order, and exits when it has drained or the time for the stop is used up.

use {
    crate::state::GatewayState,
    std::{io, sync::Arc, time::Duration},
    tealshore_core::{clock, logs::URGENT_TARGET},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        time::sleep,
    },
};

/// How often the requests in flight are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The least time between two log lines about signals that arrive during a stop.
const REPEATED_SIGNAL_PAUSE: Duration = Duration::from_millis(100);

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

/// A signal that a host handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceivedSignal {
    Terminate,
    Interrupt,
    Hangup,
}

impl ReceivedSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        }
    }
}

/// The signals that a host handles. From their installation on none of them kills the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime.
    ///
    /// # Errors
    /// A signal handler can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn receive(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.interrupt.recv() => ReceivedSignal::Interrupt,
            _ = self.hangup.recv() => ReceivedSignal::Hangup,
        }
    }

    /// Waits for a signal that stops the host. No setting can be reloaded without a restart, so the others are logged.
    async fn receive_stop(&mut self) -> ReceivedSignal {
        loop {
            match self.receive().await {
                stop @ (ReceivedSignal::Terminate | ReceivedSignal::Interrupt) => return stop,
                ReceivedSignal::Hangup => {
                    log::info!(
                        "reload: SIGHUP received, settings need a restart outcome=nothing-to-reload"
                    );
                }
            }
        }
    }

    /// Logs the signals that arrive during a stop. None of them changes it.
    async fn log_repeated(mut self, state: Arc<GatewayState>) {
        loop {
            let received = self.receive().await;
            log::info!(
                target: URGENT_TARGET,
                "stop: further signal ignored signal={} stop_age_ms={}",
                received.name(),
                state.stop.age().unwrap_or_default().as_millis()
            );
            sleep(REPEATED_SIGNAL_PAUSE).await;
        }
    }
}

/// Waits for SIGTERM or SIGINT, then drains; returns when the process may exit.
pub async fn wait_for_shutdown(state: Arc<GatewayState>, mut signals: Signals) {
    let received = signals.receive_stop().await;
    let began = clock::now();
    state.stop.initiate(began);
    state.peers.wake_sender();
    log::info!(
        target: URGENT_TARGET,
        "stop: signal received, draining signal={} in_flight={}",
        received.name(),
        state.stop.in_flight()
    );
    tokio::spawn(signals.log_repeated(state.clone()));
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
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
