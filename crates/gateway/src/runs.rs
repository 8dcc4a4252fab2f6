//! Which engines ran a stream a short time ago, on this host or on another.
//!
//! A caller that comes back with the same request, at any host, goes on from the memory that
//! its run left behind: the copy, or else what the engine keeps of the prompt.

use {
    crate::edge::MemoryCopy,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, RequestId},
};

/// How long a run that ended is of use: engines keep copies for some seconds.
const KEPT_AFTER_END: Duration = Duration::from_secs(6);

/// A digest of all that makes a request what it is, without the attempt's id.
pub type Fingerprint = u64;

/// Where a request ran last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTrace {
    /// The request's digest.
    pub fingerprint: Fingerprint,
    /// The attempt of the caller that it ran for.
    pub request: RequestId,
    /// The engine that ran it.
    pub engine: EngineId,
    /// The engine that holds a copy of the run's memory, with its address.
    pub copy: Option<(EngineId, SocketAddr)>,
}

impl RunTrace {
    /// The copy of the run's memory.
    #[must_use]
    pub fn memory_copy(&self) -> Option<MemoryCopy> {
        let (upstream, address) = self.copy.clone()?;
        Some(MemoryCopy {
            upstream,
            address,
            run: self.request.clone(),
        })
    }
}

struct Kept {
    trace: RunTrace,
    /// When it may be forgotten; none while it runs here.
    until: Option<Instant>,
}

/// The runs of a short time.
#[derive(Default)]
pub struct Runs {
    kept: Mutex<HashMap<Fingerprint, Kept>>,
}

impl Runs {
    /// Notes that a request runs, in place of where it ran before.
    pub fn begin(&self, trace: RunTrace) {
        let kept = Kept { trace, until: None };
        self.kept.lock().insert(kept.trace.fingerprint, kept);
    }

    /// Notes that a caller's attempt ended here. A run that ended well is of no more use.
    pub fn end(&self, fingerprint: Fingerprint, request: &RequestId, complete: bool, now: Instant) {
        let mut kept = self.kept.lock();
        let Some(known) = kept.get_mut(&fingerprint) else {
            return;
        };
        if known.trace.request != *request {
            return;
        }
        if complete {
            kept.remove(&fingerprint);
        } else {
            known.until = Some(now + KEPT_AFTER_END);
        }
    }

    /// Takes in a run of another host.
    pub fn hear(&self, trace: RunTrace, now: Instant) {
        let mut kept = self.kept.lock();
        let known = kept.get(&trace.fingerprint);
        if known.is_some_and(|known| known.until.is_none()) {
            // It runs here now, which is later.
            return;
        }
        let until = Some(now + KEPT_AFTER_END);
        kept.insert(trace.fingerprint, Kept { trace, until });
    }

    /// Where a request ran last.
    pub fn find(&self, fingerprint: Fingerprint, now: Instant) -> Option<RunTrace> {
        let kept = self.kept.lock();
        let known = kept.get(&fingerprint)?;
        let is_current = known.until.is_none_or(|until| until > now);
        is_current.then(|| known.trace.clone())
    }

    /// The runs of this host, for its peers; forgets what is of no more use.
    pub fn own(&self, now: Instant) -> Vec<RunTrace> {
        let mut kept = self.kept.lock();
        kept.retain(|_, known| known.until.is_none_or(|until| until > now));
        let running = kept.values().filter(|known| known.until.is_none());
        running.map(|known| known.trace.clone()).collect()
    }
}
