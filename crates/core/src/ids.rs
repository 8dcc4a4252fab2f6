//! Aliases for the ids and counters that cross package borders.

/// Names one request of one customer; callers choose it (`Idempotency-Key`).
pub type RequestId = String;
/// Names one run of a request from its first token on; it outlives its attempts.
pub type GenerationId = u64;
/// Names one stream on one engine: a generation and an attempt.
pub type StreamId = String;
/// Counts the attempts of a generation; it only grows.
pub type AttemptNo = u32;
/// The first attempt of a generation; 0 stands for none.
pub const FIRST_ATTEMPT: AttemptNo = 1;
/// The index of a token in an answer, counted from 0.
pub type Position = u64;
/// A token as the model numbers it.
pub type TokenId = u32;
/// A digest of all that makes a request what it is, without the id of a caller's try.
pub type Fingerprint = u64;
/// Names a customer.
pub type CustomerId = String;
/// Names a version of the software of an upstream.
pub type EngineVersion = String;
/// Names a model engine.
pub type EngineId = String;
/// Names an entry host.
pub type HostId = String;
/// Names a hall.
pub type HallId = String;
/// Names a region: halls that are near each other.
pub type RegionId = String;
/// Names one of the two sites during a move.
pub type SiteId = String;
/// Names a group of upstreams that serve the same thing, such as `summary-llm`.
pub type ServiceId = String;
/// The version of the declarations; it only grows.
pub type ConfigVersion = u64;

/// When a life of an upstream began, by its own clock, in milliseconds since 1970; none where it does not
/// tell. Two lives are told apart by being different.
pub type Born = Option<u64>;

/// Builds the id under which an engine knows one attempt of a generation.
#[must_use]
pub fn stream_id(generation: GenerationId, attempt: AttemptNo) -> StreamId {
    format!("{generation:016x}-{attempt}")
}
