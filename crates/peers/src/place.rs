//! Locations of requests, as exchanged between entry hosts.

use {
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{AttemptNo, CustomerId, EngineId, GenerationId, RequestId},
};

/// Key of a request, unique across customers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Customer id.
    pub customer: CustomerId,
    /// Request id.
    pub request: RequestId,
}

/// Where the generation of a request runs, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Digest of the request.
    pub digest: String,
    /// Generation id.
    pub generation: GenerationId,
    /// The latest attempt.
    pub attempt: AttemptNo,
    /// Engine of the attempt; `None` while one is being chosen.
    pub engine: Option<EngineId>,
    /// Pinned model, adapter and version.
    pub pin: [String; 3],
    /// Whether the request must not be repeated.
    pub once: bool,
    /// Whether the customer cancelled the request.
    pub cancelled: bool,
}

/// Result of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reservation {
    /// The request had no location; it is reserved for the asking host.
    Reserved,
    /// The request already has this location.
    Existing(Location),
}
