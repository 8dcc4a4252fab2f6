//! Where a request last ran, and which engine holds a copy of the run's memory.

pub use tealshore_core::ids::Fingerprint;
use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tealshore_core::ids::{EngineId, RequestId},
};

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// The upstream that holds it.
    pub upstream: EngineId,
    /// Address of that upstream.
    pub address: SocketAddr,
    /// Name under which the upstream stores the copy: the id of the attempt that it was made for.
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
