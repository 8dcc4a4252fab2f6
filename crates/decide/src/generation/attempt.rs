//! One attempt of a generation on one engine.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::{AttemptNo, EngineId},
};

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No byte of the request was sent.
    NotSent,
    /// The engine confirmed that the attempt never started and never will.
    NeverStarted,
    /// The stream broke: a connection reset, a gap or repeat in the positions, or an error of the
    /// engine.
    Broken,
    /// The engine sent nothing for too long.
    Silent,
}

/// State of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's number.
    pub no: AttemptNo,
    /// The engine that runs the attempt; none while an engine is being chosen.
    pub engine: Option<EngineId>,
    /// When the request was dispatched to the engine.
    pub dispatched_at: Instant,
    /// When the engine last sent a token or, before the first token, reported its load.
    pub last_activity: Instant,
    /// Whether the engine has sent a token.
    pub has_sent_token: bool,
    /// Whether the engine is suspected because of its silence.
    pub suspected: bool,
    /// Whether another entry host started the attempt. In that case an engine that is unreachable
    /// or does not know the attempt is no evidence that the attempt never ran.
    pub adopted: bool,
}

impl Attempt {
    /// Creates an attempt whose engine is still being chosen.
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

    /// Creates an attempt that was dispatched to an engine.
    #[must_use]
    pub fn running(no: AttemptNo, engine: EngineId, now: Instant) -> Self {
        Self {
            engine: Some(engine),
            ..Self::placing(no, now)
        }
    }

    /// Creates an attempt that another entry host started.
    #[must_use]
    pub fn adopted(no: AttemptNo, engine: EngineId, now: Instant) -> Self {
        Self {
            adopted: true,
            ..Self::running(no, engine, now)
        }
    }

    /// Returns whether a loss proves that the model never ran for this attempt.
    #[must_use]
    pub fn never_ran(&self, loss: Loss) -> bool {
        !self.adopted && matches!(loss, Loss::NotSent | Loss::NeverStarted)
    }

    /// Records that a token arrived. Returns the time since the previous token, or none for the
    /// first one.
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
