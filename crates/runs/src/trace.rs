//! Where a request ran, and which engine holds a copy of the run's memory.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tealshore_core::ids::{EngineId, Fingerprint, RequestId},
};

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// The upstream that holds it.
    pub upstream: EngineId,
    /// Address that identifies the copy together with its name. For a copy made while the request runs, as the
    /// request ordered, it is the address of the upstream that holds the copy. For a copy made by a later copy
    /// call, it is the address of the engine from which the memory was copied.
    pub address: SocketAddr,
    /// Name of the copy: the id of the caller's attempt, or for a copy call the name in its answer.
    pub name: String,
}

/// Where a request last ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTrace {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Id of the caller's attempt for which it ran.
    pub request: RequestId,
    /// The engine that ran it.
    pub engine: EngineId,
    /// The engine that holds a copy of the run's memory, with its address.
    pub copy: Option<(EngineId, SocketAddr)>,
}

impl RunTrace {
    /// Returns the copy of the run's memory, if there is one.
    #[must_use]
    pub fn memory_copy(&self) -> Option<MemoryCopy> {
        let (upstream, address) = self.copy.clone()?;
        Some(MemoryCopy {
            upstream,
            address,
            name: self.request.clone(),
        })
    }
}
