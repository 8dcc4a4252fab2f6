//! One attempt of a generation on one engine.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::{AttemptNo, EngineId},
};

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No byte of the order left.
    NotSent,
    /// The engine confirmed that it never started and never will.
    NeverStarted,
    /// The stream broke: a reset, a gap, a repeat, or an error of the engine.
    Broken,
    /// The engine fell silent.
    Silent,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub no: AttemptNo,
    /// Where it runs; none while an engine is being chosen.
    pub engine: Option<EngineId>,
    /// When its order went out.
    pub dispatched_at: Instant,
    /// When it was last heard.
    pub last_activity: Instant,
    /// Whether it has sent a token.
    pub has_sent_token: bool,
    /// Whether its silence has raised suspicion.
    pub suspected: bool,
    /// Whether another entry host started it: then an engine that can't be reached, or does
    /// not have it, says nothing of whether it ran.
    pub adopted: bool,
}

impl Attempt {
    /// An attempt whose engine is being chosen.
    #[must_use]
    pub fn placing(no: AttemptNo, now: Instant) -> Self {
        Self {
            no,
            engine: None,
            dispatched_at: now,
            last_activity: now,
            has_sent_token: false,
            suspected: false,
            adopted: false,
        }
    }

    /// An attempt that an engine has.
    #[must_use]
    pub fn running(no: AttemptNo, engine: EngineId, now: Instant) -> Self {
        Self {
            engine: Some(engine),
            ..Self::placing(no, now)
        }
    }

    /// An attempt that another entry host started.
    #[must_use]
    pub fn adopted(no: AttemptNo, engine: EngineId, now: Instant) -> Self {
        Self {
            adopted: true,
            ..Self::running(no, engine, now)
        }
    }

    /// Whether a loss shows that the model never ran for this attempt.
    #[must_use]
    pub fn never_ran(&self, loss: Loss) -> bool {
        !self.adopted && matches!(loss, Loss::NotSent | Loss::NeverStarted)
    }

    /// Notes a sign of life; the gap since the last token, if there was one.
    pub fn record_token(&mut self, now: Instant) -> Option<Duration> {
        let gap = self
            .has_sent_token
            .then(|| now.saturating_duration_since(self.last_activity));
        self.last_activity = now;
        self.has_sent_token = true;
        self.suspected = false;
        gap
    }
}
