//! Inputs and outputs of the generation state machine.

use {
    super::attempt::Loss,
    crate::policy::{Repeat, ResumePolicy},
    tealshore_core::{
        answer::ErrorKind,
        chain::TokenChain,
        ids::{AttemptNo, EngineId, Position, TokenId},
    },
};

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the requested length.
    Length,
}

/// Parameters of a generation that are fixed when it starts.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// Whether the request may reach a model more than once.
    pub repeat: Repeat,
    /// The customer's trade-off between resume latency and extra work.
    pub policy: ResumePolicy,
    /// The requested length in tokens.
    pub max_tokens: Position,
    /// How many more attempts may be made, including the first.
    pub max_attempts: u32,
    /// The number of the next attempt.
    pub next_attempt: AttemptNo,
}

/// The part of an answer that a returning caller has proved to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// How many tokens the caller holds.
    pub position: Position,
    /// The running hash of these tokens.
    pub chain: TokenChain,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt was dispatched to an engine; some bytes may have been sent.
    Dispatched {
        /// The attempt's number.
        attempt: AttemptNo,
        /// The engine that it was dispatched to.
        engine: EngineId,
    },
    /// No engine is available for an attempt.
    NoEngine {
        /// The attempt's number.
        attempt: AttemptNo,
    },
    /// An engine sent a token.
    Token {
        /// The attempt that the token belongs to.
        attempt: AttemptNo,
        /// The token's position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// An engine ended its answer.
    End {
        /// The attempt's number.
        attempt: AttemptNo,
        /// The length of the answer in tokens, as reported by the engine.
        position: Position,
        /// Why the answer ended.
        reason: FinishReason,
    },
    /// An attempt ended without an end marker.
    Lost {
        /// The attempt's number.
        attempt: AttemptNo,
        /// How the attempt was lost.
        loss: Loss,
    },
    /// An engine reports that the customer cancelled an attempt.
    Aborted {
        /// The attempt's number.
        attempt: AttemptNo,
    },
    /// The time that [`Generation::next_tick`](super::Generation::next_tick) returned has come.
    Tick,
}

/// An output of the state machine, executed by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an engine for an attempt and send it the prompt and all received tokens.
    Place {
        /// The attempt's number.
        attempt: AttemptNo,
    },
    /// Cancel an attempt (best effort).
    Cancel {
        /// The attempt's number.
        attempt: AttemptNo,
        /// The engine that runs the attempt.
        engine: EngineId,
    },
    /// Pass the token of the event that was just handled on to the caller.
    Emit {
        /// The token's position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// Tell the caller that the answer is complete.
    Finish {
        /// Why the answer ended.
        reason: FinishReason,
    },
    /// Tell the caller that the answer cannot be continued.
    Fail {
        /// The error to report.
        kind: ErrorKind,
    },
}

/// Counts of the extra work that failures and suspicions caused for a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationCounts {
    /// How often the generation moved to another attempt after one that may have run. A standby
    /// that takes the place of an attempt after its loss is not counted.
    pub resumes: u32,
    /// Suspicions raised because an engine was silent.
    pub suspicions: u32,
    /// Suspicions after which the suspected engine continued.
    pub false_suspicions: u32,
}
