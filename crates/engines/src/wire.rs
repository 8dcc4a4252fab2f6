//! The JSON messages between the router and an engine.
//!
//! The format follows the completion APIs that model engines commonly offer: tokens are sent as
//! server-sent events with `choices`, and the last event is `[DONE]`.

use {
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{Position, RequestId, StreamId, TokenId},
};

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// The path for generation requests.
pub const GENERATE_PATH: &str = "/v1/completions";
/// The path prefix of running streams, which can be attached to (`GET`) or cancelled (`DELETE`).
pub const STREAMS_PATH: &str = "/v1/streams/";
/// The path of the load report.
pub const LOAD_PATH: &str = "/v1/load";

/// A prompt, as text or as tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// The prompt as text, which the engine tokenizes.
    Text(String),
    /// The prompt as tokens.
    Tokens(Vec<TokenId>),
}

/// The model, adapter and version that a generation is pinned to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelPin {
    /// The name of the model.
    pub model: String,
    /// The name of the adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// The version of the model weights.
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

/// A request to generate a response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The id of the stream; an engine rejects an id that it has already seen.
    pub stream_id: StreamId,
    /// The id of the request that the stream belongs to.
    pub request_id: RequestId,
    /// The model, adapter and version to run.
    #[serde(flatten)]
    pub pin: ModelPin,
    /// The caller's prompt.
    pub prompt: Prompt,
    /// Tokens that the response already has; the engine continues after them.
    #[serde(default)]
    pub received: Vec<TokenId>,
    /// The maximum length of the complete response, including [`GenerateRequest::received`].
    pub max_tokens: Position,
    /// The seed for sampling.
    #[serde(default)]
    pub seed: u64,
    /// The scheduling priority; higher values go first.
    #[serde(default)]
    pub priority: i32,
}

/// One event of a stream: a token or the end of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// The id of the stream.
    pub id: StreamId,
    /// The position of the token; in the last event, the number of tokens.
    pub position: Position,
    /// Always exactly one choice.
    pub choices: Vec<StreamChoice>,
}

/// The content of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamChoice {
    /// The text of the token.
    pub text: String,
    /// One token; empty in the last event.
    pub token_ids: Vec<TokenId>,
    /// The finish reason, `length`, `stop` or `abort`, in the last event; `None` in all others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// The load that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of sequences that can run concurrently.
    pub slots: u32,
    /// The number of running sequences.
    pub running: u32,
    /// The number of waiting sequences.
    pub waiting: u32,
    /// The number of tokens in the KV cache.
    pub kv_tokens: u64,
    /// The capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Whether the engine asks for no new requests.
    pub leaving: bool,
}

/// The response to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelResponse {
    /// Whether the model was executed for this stream, even in part.
    pub started: bool,
}

/// The response with which an engine rejects a generation request, which has not started and never
/// will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// A human-readable description of the cause.
    pub error: String,
}
