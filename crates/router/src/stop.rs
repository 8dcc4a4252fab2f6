//! Phases of a planned stop.

use tokio::sync::watch;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    #[default]
    Serving,
    /// The address is withdrawn; callers that cached it are still served.
    Withdrawn,
    /// New work is rejected; running answers continue.
    Draining,
    /// Running answers are handed over.
    HandingOver,
}

impl StopPhase {
    /// Name of the phase in logs and in the status.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Withdrawn => "withdrawn",
            Self::Draining => "draining",
            Self::HandingOver => "handing-over",
        }
    }
}

/// State of this host's planned stop.
#[derive(Default)]
pub struct StopState {
    phase: watch::Sender<StopPhase>,
}

impl StopState {
    /// Current phase.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Whether a stop was requested.
    pub fn is_leaving(&self) -> bool {
        self.phase() != StopPhase::Serving
    }

    /// Whether new work is rejected.
    pub fn refuses_work(&self) -> bool {
        self.phase() >= StopPhase::Draining
    }

    /// Returns once a stop was requested.
    pub async fn stop_requested(&self) {
        let mut phase = self.phase.subscribe();
        // Waiting cannot fail, since `self` keeps the sender alive.
        let _ = phase.wait_for(|phase| *phase != StopPhase::Serving).await;
    }

    /// Returns once running answers must be handed over.
    pub async fn handover_started(&self) {
        let mut phase = self.phase.subscribe();
        // Waiting cannot fail, since `self` keeps the sender alive.
        let _ = phase
            .wait_for(|phase| *phase == StopPhase::HandingOver)
            .await;
    }

    /// Enters a phase and logs it.
    pub fn set_phase(&self, phase: StopPhase) {
        log::info!("stop: {}", phase.name());
        self.phase.send_replace(phase);
    }
}
