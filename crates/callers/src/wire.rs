//! What callers send and get, as JSON.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, num::NonZeroU64},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        ids::{HallId, Position, RequestId, TokenId},
    },
};

/// The path that takes requests to generate.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// The path that tells which addresses to use.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// The path below which plain services are called.
pub const SERVICES_PATH: &str = "/v1/services/";
/// The header with the request's id.
pub const REQUEST_ID_HEADER: &str = "idempotency-key";
/// The header with the id of the last event that the caller has.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// The header that says whether a call may be repeated: `allowed` or `forbidden`.
pub const REPEAT_HEADER: &str = "tealshore-repeat";
/// The header of an answer that says whether the request ran.
pub const RAN_HEADER: &str = "tealshore-ran";
/// The data of the event that ends an answer.
pub const DONE: &str = "[DONE]";
/// The longest request id.
const REQUEST_ID_BOUND_BYTES: usize = 128;

/// A prompt, as text or already cut into tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CallerPrompt {
    /// Text.
    Text(String),
    /// Tokens.
    Tokens(Vec<TokenId>),
}

/// A request to generate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The template to use; it stands for a model, adapter and version.
    pub model: String,
    /// The prompt.
    pub prompt: CallerPrompt,
    /// The length of the answer, in tokens.
    pub max_tokens: NonZeroU64,
    /// The sampling seed.
    #[serde(default)]
    pub seed: u64,
    /// Answers are always streams; `false` is refused.
    #[serde(default = "yes")]
    pub stream: bool,
    /// The tokens that a caller which resumes already has, as far as it kept them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub received: Option<Vec<TokenId>>,
}

fn yes() -> bool {
    true
}

impl CompletionRequest {
    /// Reads a body.
    ///
    /// # Errors
    /// Says what is wrong with it, and where.
    pub fn parse(body: &[u8]) -> Result<Self, Failure> {
        let request: Self = serde_json::from_slice(body)
            .map_err(|error| Failure::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if !request.stream {
            return Err(Failure::new(
                ErrorKind::BadRequest,
                "stream: only true is allowed",
            ));
        }
        Ok(request)
    }

    /// A digest of what makes the request this one: all but what resuming adds.
    #[must_use]
    pub fn digest(&self) -> String {
        let parts = serde_json::to_vec(&(&self.model, &self.prompt, self.max_tokens, self.seed));
        let hash = blake3::hash(&parts.unwrap_or_default());
        hash.to_hex()[..DIGEST_DIGITS].to_owned()
    }
}

/// How many hex digits of a digest are kept.
const DIGEST_DIGITS: usize = 32;

/// Checks a request id.
///
/// # Errors
/// It is empty, too long, or holds other than letters, digits, `-`, `_` and `.`.
pub fn check_request_id(id: &str) -> Result<RequestId, Failure> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > REQUEST_ID_BOUND_BYTES || !id.bytes().all(is_allowed) {
        let detail = format!(
            "{REQUEST_ID_HEADER}: 1 to {REQUEST_ID_BOUND_BYTES} letters, digits, '-', '_' or '.' are allowed"
        );
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    Ok(id.to_owned())
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionEvent {
    /// The request.
    pub id: RequestId,
    /// Always `text_completion`.
    pub object: String,
    /// The position of the token; at the end, the number of tokens.
    pub position: Position,
    /// Always one.
    pub choices: Vec<CompletionChoice>,
}

/// The token of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The token as text.
    pub text: String,
    /// One token, or none at the end.
    pub token_ids: Vec<TokenId>,
    /// `length` or `stop` in the last event.
    pub finish_reason: Option<String>,
}

/// The answer to a cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledAnswer {
    /// The request.
    pub id: RequestId,
    /// Whether it ran, by its engine's word.
    pub ran: Ran,
}

/// Where a caller may connect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The addresses, the best first.
    pub addresses: Vec<EntryAddress>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One address of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Where to connect.
    pub address: SocketAddr,
    /// Where it stands.
    pub hall: HallId,
}
