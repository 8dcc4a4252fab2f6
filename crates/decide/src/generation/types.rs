//! What goes into the machine of a generation, and what comes out.

use {
    super::attempt::Loss,
    crate::policy::{Repeat, ResumePolicy},
    tealshore_core::{
        answer::ErrorKind,
        chain::TokenChain,
        ids::{AttemptNo, EngineId, Position, TokenId},
    },
};

/// Why an answer ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached the length that was asked for.
    Length,
}

/// What is fixed about a generation when it starts.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// Whether it may reach a model more than once.
    pub repeat: Repeat,
    /// The customer's choice.
    pub policy: ResumePolicy,
    /// The length that was asked for.
    pub max_tokens: Position,
    /// How many more attempts may be made, the first included.
    pub max_attempts: u32,
    /// The number of the next attempt.
    pub next_attempt: AttemptNo,
}

/// What a caller that comes back has proved to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// How many tokens it has.
    pub position: Position,
    /// Their running hash.
    pub chain: TokenChain,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The order of an attempt went to an engine; bytes may have left.
    Dispatched {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it went.
        engine: EngineId,
    },
    /// No engine could be found for an attempt.
    NoEngine {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An engine sent a token.
    Token {
        /// The attempt that it belongs to.
        attempt: AttemptNo,
        /// Its position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// An engine ended its answer.
    End {
        /// The attempt.
        attempt: AttemptNo,
        /// How many tokens the answer has by the engine's word.
        position: Position,
        /// Why it ended.
        reason: FinishReason,
    },
    /// An attempt is over without an end.
    Lost {
        /// The attempt.
        attempt: AttemptNo,
        /// How it was lost.
        loss: Loss,
    },
    /// An engine says that the customer cancelled an attempt.
    Aborted {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Time went by.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an engine for an attempt and send it the prompt and all received tokens.
    Place {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Stop an attempt, as well as can be done.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it runs.
        engine: EngineId,
    },
    /// Pass the token that was just handled on to the caller.
    Emit {
        /// Its position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Why it ended.
        reason: FinishReason,
    },
    /// Tell the caller that the answer can't go on.
    Fail {
        /// What went wrong.
        kind: ErrorKind,
    },
}

/// What a generation cost beyond a clean run, and what it waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationCounts {
    /// Attempts that were made after the first.
    pub resumes: u32,
    /// Suspicions raised by silence.
    pub suspicions: u32,
    /// Suspicions after which the suspected engine went on.
    pub false_suspicions: u32,
}
