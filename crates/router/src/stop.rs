//! A planned stop: it cuts nothing.
//!
//! First the host's address is withdrawn, while callers that kept it are still served.
//! Then new work is refused, and running answers may end. Those that do not end in time
//! are handed over: their callers go on at another host with the last event's id.

use {
    crate::state::RouterState,
    std::{sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{Instant, sleep},
    },
};

/// How often a drain looks whether it is done, and how long callers get to go on elsewhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// How long answers that are handed over may take to leave.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was asked for.
    #[default]
    Serving,
    /// The address is withdrawn; callers that kept it are served.
    Withdrawn,
    /// New work is refused; running answers go on.
    Draining,
    /// Running answers are handed over.
    HandingOver,
}

impl StopPhase {
    /// The phase in words.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Withdrawn => "withdrawn",
            Self::Draining => "draining",
            Self::HandingOver => "handing-over",
        }
    }
}

/// The planned stop of this host.
#[derive(Default)]
pub struct StopState {
    phase: watch::Sender<StopPhase>,
}

impl StopState {
    /// How far it is.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Whether a stop was asked for.
    pub fn is_leaving(&self) -> bool {
        self.phase() != StopPhase::Serving
    }

    /// Whether new work is refused.
    pub fn refuses_work(&self) -> bool {
        self.phase() >= StopPhase::Draining
    }

    /// Ends when a stop was asked for.
    pub async fn begun(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process, so waiting can't fail.
        let _ = phase.wait_for(|phase| *phase != StopPhase::Serving).await;
    }

    /// Ends when running answers must be handed over.
    pub async fn handover(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process, so waiting can't fail.
        let _ = phase
            .wait_for(|phase| *phase == StopPhase::HandingOver)
            .await;
    }

    fn enter(&self, phase: StopPhase) {
        log::info!("stop: {}", phase.name());
        self.phase.send_replace(phase);
    }
}

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
