//! The ids and counters that several packages use.

use serde::{Deserialize, Serialize};

/// Identifies a request of a customer; the caller chooses it (`Idempotency-Key`).
pub type RequestId = String;
/// Identifies the generation of one response, across all its attempts.
pub type GenerationId = u64;
/// Identifies a stream on an engine: one attempt of a generation.
pub type StreamId = String;
/// The number of an attempt within its generation; it only increases.
pub type AttemptNo = u32;
/// The number of the first attempt of a generation; 0 stands for none.
pub const FIRST_ATTEMPT: AttemptNo = 1;
/// The zero-based index of a token in a response.
pub type Position = u64;
/// The id of a token in the model's vocabulary.
pub type TokenId = u32;
/// A digest of everything that identifies a request, except the id of a single attempt by its
/// caller.
pub type Fingerprint = u64;
/// Identifies a customer.
pub type CustomerId = String;
/// Identifies a software version of an upstream.
pub type EngineVersion = String;
/// Identifies a model engine.
pub type EngineId = String;
/// Identifies an entry host.
pub type HostId = String;
/// Identifies one process of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The host.
    pub host: HostId,
    /// Chosen when the process starts; differs after a restart.
    pub incarnation: u64,
}

/// Identifies a hall.
pub type HallId = String;
/// Identifies a region: a set of halls that are close to each other.
pub type RegionId = String;
/// Identifies one of the two sites during a migration.
pub type SiteId = String;
/// Identifies a group of upstreams that serve the same model or service, such as `summary-llm`.
pub type ServiceId = String;
/// The version of the declarations; it only increases.
pub type ConfigVersion = u64;

/// The start time of an incarnation of an upstream by its own clock, in milliseconds since the Unix
/// epoch; `None` if it reports none. Two incarnations are distinguished by comparing the values for
/// equality.
pub type StartTime = Option<u64>;

/// Builds the stream id under which an engine runs one attempt of a generation.
#[must_use]
pub fn stream_id(generation: GenerationId, attempt: AttemptNo) -> StreamId {
    format!("{generation:016x}-{attempt}")
}
