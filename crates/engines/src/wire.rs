//! The messages that an engine takes and gives, as JSON.
//!
//! The shape follows the completion APIs that engines are known for: tokens come as
//! server-sent events with `choices`, and the last event is `[DONE]`.

use {
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{Position, RequestId, StreamId, TokenId},
};

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// The path that takes orders to generate.
pub const GENERATE_PATH: &str = "/v1/completions";
/// The path below which a running stream is attached to (`GET`) or cancelled (`DELETE`).
pub const STREAMS_PATH: &str = "/v1/streams/";
/// The path of the load report.
pub const LOAD_PATH: &str = "/v1/load";

/// A prompt, as text or already cut into tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Text, which the engine cuts into tokens.
    Text(String),
    /// Tokens.
    Tokens(Vec<TokenId>),
}

/// The model, adapter and version that a generation is pinned to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelPin {
    /// The model.
    pub model: String,
    /// The adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// The version of the weights.
    #[serde(default)]
    pub version: String,
}

impl From<ModelPin> for [String; 3] {
    fn from(pin: ModelPin) -> Self {
        [pin.model, pin.adapter, pin.version]
    }
}

impl From<[String; 3]> for ModelPin {
    fn from([model, adapter, version]: [String; 3]) -> Self {
        Self {
            model,
            adapter,
            version,
        }
    }
}

/// An order to generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateOrder {
    /// Names the stream; an engine refuses a name that it has seen.
    pub stream_id: StreamId,
    /// The request that the stream works for.
    pub request_id: RequestId,
    /// What to run.
    #[serde(flatten)]
    pub pin: ModelPin,
    /// The prompt of the caller.
    pub prompt: Prompt,
    /// Tokens that the answer already has; the engine goes on after them.
    #[serde(default)]
    pub received: Vec<TokenId>,
    /// The length of the whole answer, [`GenerateOrder::received`] included.
    pub max_tokens: Position,
    /// The sampling seed.
    #[serde(default)]
    pub seed: u64,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i32,
}

/// One event of a stream: a token, or the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// The stream that it belongs to.
    pub id: StreamId,
    /// The position of the token; at the end, the number of tokens.
    pub position: Position,
    /// Always one.
    pub choices: Vec<StreamChoice>,
}

/// The token of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChoice {
    /// The token as text.
    pub text: String,
    /// One token, or none at the end.
    pub token_ids: Vec<TokenId>,
    /// `length`, `stop` or `abort` in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// What an engine says of its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences that it can run at once.
    pub slots: u32,
    /// Sequences that run.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
    /// Tokens that its KV cache holds.
    pub kv_tokens: u64,
    /// Tokens that its KV cache can hold.
    pub kv_capacity_tokens: u64,
    /// Whether it asks for no new work.
    pub leaving: bool,
}

/// The answer to a cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    /// Whether the model ran for this stream, even in part.
    pub started: bool,
}

/// Why an engine refuses an order; it never started and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// A sentence.
    pub error: String,
}
