//! Where a request ran, for whom, and which engine holds a copy of the run's memory.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::ids::{EngineId, Fingerprint, ProcessId, RequestId},
};

/// The id of an event of a stream; ids are consecutive and start at 1.
pub type EventId = u64;
/// Digest of everything that a request asks for, by which its answers may differ. Two requests with the same digest
/// may still be those of two callers.
pub type ContentDigest = u64;

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

/// For whom a request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrigin {
    /// The process that answers the caller.
    pub process: ProcessId,
    /// The address at which this process tells other hosts about its runs.
    pub address: SocketAddr,
    /// Digest of what the request asks for.
    pub content: ContentDigest,
    /// The attempt of the same caller whose run this one continues, if that was proven.
    pub continues: Option<RequestId>,
    /// How long the caller still waits, in milliseconds, when this is reported. It may resume until then.
    pub waits_ms: u64,
}

/// A run, with all that its host reported of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRun {
    /// Where the request last ran.
    pub trace: RunTrace,
    /// For whom it ran; `None` if a host of an earlier build reported the run.
    pub origin: Option<RunOrigin>,
}

impl KnownRun {
    /// How long the caller still waits; `None` if that is not known.
    #[must_use]
    pub fn caller_waits(&self) -> Option<Duration> {
        let origin = self.origin.as_ref()?;
        Some(Duration::from_millis(origin.waits_ms))
    }

    /// Whether the run may have been made for a request of this content.
    #[must_use]
    pub fn may_have_content(&self, content: ContentDigest) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.content == content)
    }
}
