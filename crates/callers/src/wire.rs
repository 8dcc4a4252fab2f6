//! The JSON messages between callers and entry hosts.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, num::NonZeroU64},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        ids::{HallId, Position, RequestId, TokenId},
    },
};

/// The path for completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// The path that returns the addresses to connect to.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// The path prefix of plain services.
pub const SERVICES_PATH: &str = "/v1/services/";
/// The header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "idempotency-key";
/// The header with the id of the last event that the caller received.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// The header that says whether a request may be repeated: `allowed` or `forbidden`.
pub const REPEAT_HEADER: &str = "tealshore-repeat";
/// The response header that says whether the request was executed.
pub const RAN_HEADER: &str = "tealshore-ran";
/// The data of the event that ends a response.
pub const DONE: &str = "[DONE]";
/// The maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A prompt, as text or as tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CallerPrompt {
    /// The prompt as text.
    Text(String),
    /// The prompt as tokens.
    Tokens(Vec<TokenId>),
}

/// A completion request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// The name of the template, which selects the model, adapter and version.
    pub model: String,
    /// The prompt.
    pub prompt: CallerPrompt,
    /// The maximum length of the response, in tokens.
    pub max_tokens: NonZeroU64,
    /// The seed for sampling.
    #[serde(default)]
    pub seed: u64,
    /// Responses are always streamed; `false` is rejected.
    #[serde(default = "yes")]
    pub stream: bool,
    /// The tokens that a resuming caller has already received, as far as it kept them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub received: Option<Vec<TokenId>>,
}

fn yes() -> bool {
    true
}

impl CompletionRequest {
    /// Parses and checks a request body.
    ///
    /// # Errors
    /// The body is not valid; the detail names the field or position.
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

    /// Returns a digest of the fields that identify the request, without those that only a resume
    /// sets.
    #[must_use]
    pub fn digest(&self) -> String {
        let parts = serde_json::to_vec(&(&self.model, &self.prompt, self.max_tokens, self.seed));
        let hash = blake3::hash(&parts.unwrap_or_default());
        hash.to_hex()[..DIGEST_DIGITS].to_owned()
    }
}

/// The length of a request digest, in hex digits.
const DIGEST_DIGITS: usize = 32;

/// Validates a request id.
///
/// # Errors
/// The id is empty, too long, or contains characters other than letters, digits, `-`, `_` and `.`.
pub fn check_request_id(id: &str) -> Result<RequestId, Failure> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !id.bytes().all(is_allowed) {
        let detail = format!(
            "{REQUEST_ID_HEADER}: 1 to {MAX_REQUEST_ID_BYTES} letters, digits, '-', '_' or '.' are allowed"
        );
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    Ok(id.to_owned())
}

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionEvent {
    /// The id of the request.
    pub id: RequestId,
    /// Always `text_completion`.
    pub object: String,
    /// The position of the token; in the last event, the number of tokens.
    pub position: Position,
    /// Always exactly one choice.
    pub choices: Vec<CompletionChoice>,
}

/// The content of one event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// The index of the choice, always 0.
    pub index: u32,
    /// The text of the token.
    pub text: String,
    /// One token; empty in the last event.
    pub token_ids: Vec<TokenId>,
    /// The finish reason, `length` or `stop`, in the last event; `None` in all others.
    pub finish_reason: Option<String>,
}

/// The response to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledResponse {
    /// The id of the request.
    pub id: RequestId,
    /// Whether the request was executed, as reported by its engine.
    pub ran: Ran,
}

/// The addresses that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressResponse {
    /// The addresses in order of preference.
    pub addresses: Vec<EntryAddress>,
    /// How long the caller may cache the addresses, in milliseconds.
    pub keep_ms: u64,
}

/// The address of one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The socket address.
    pub address: SocketAddr,
    /// The hall of the entry host.
    pub hall: HallId,
}
