//! Where a request runs, as entry hosts tell one another.

use {
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{AttemptNo, CustomerId, EngineId, GenerationId, RequestId},
};

/// Names a request across customers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The customer.
    pub customer: CustomerId,
    /// The request.
    pub request: RequestId,
}

/// Where a generation runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The digest of the request.
    pub digest: String,
    /// The generation.
    pub generation: GenerationId,
    /// The attempt that counts.
    pub attempt: AttemptNo,
    /// Its engine; none while one is being chosen.
    pub engine: Option<EngineId>,
    /// The pinned model, adapter and version.
    pub pin: [String; 3],
    /// Whether the request may not be repeated.
    pub once: bool,
    /// Whether the customer cancelled the request.
    pub cancelled: bool,
}

/// The answer to a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reservation {
    /// Nobody had the request; it is noted now.
    Reserved,
    /// The request has a place already.
    Existing(Location),
}
