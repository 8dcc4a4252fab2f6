//! How far a planned stop is.

use tokio::sync::watch;

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
    pub async fn stop_requested(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process, so waiting can't fail.
        let _ = phase.wait_for(|phase| *phase != StopPhase::Serving).await;
    }

    /// Ends when running answers must be handed over.
    pub async fn handover_started(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the process, so waiting can't fail.
        let _ = phase
            .wait_for(|phase| *phase == StopPhase::HandingOver)
            .await;
    }

    /// Enters the next phase.
    pub fn set_phase(&self, phase: StopPhase) {
        log::info!("stop: {}", phase.name());
        self.phase.send_replace(phase);
    }
}
