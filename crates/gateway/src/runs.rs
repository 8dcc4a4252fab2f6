//! Which engines ran a stream a short time ago, on this host or on another.
//!
//! A caller that comes back with the same request, at any host, goes on from the memory that
//! its run left behind: the copy, or else what the engine keeps of the prompt.

use {
    crate::run_trace::{Fingerprint, RunTrace},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
};

/// How long the copy of a run that ended is of use: engines keep copies for some seconds.
const COPY_KEPT: Duration = Duration::from_secs(6);
/// How long an engine may keep a prompt that it has read.
const PROMPT_KEPT: Duration = Duration::from_secs(30);
/// How long a run of another host counts as running after it was heard of.
const RUNNING: Duration = Duration::from_secs(5);
/// The most runs that are remembered.
const RUNS_BOUND: usize = 20_000;

struct Kept {
    trace: RunTrace,
    /// When it was last known to run; none while it runs here.
    last_known: Option<Instant>,
}

impl Kept {
    fn is_younger_than(&self, bound: Duration, now: Instant) -> bool {
        self.last_known
            .is_none_or(|known| now.saturating_duration_since(known) <= bound)
    }
}

/// The runs of a short time.
#[derive(Default)]
pub struct Runs {
    kept: Mutex<HashMap<Fingerprint, Kept>>,
}

impl Runs {
    /// Notes that a request runs, in place of where it ran before.
    pub fn begin(&self, trace: RunTrace) {
        let kept = Kept {
            trace,
            last_known: None,
        };
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
            known.last_known = Some(now);
        }
    }

    /// Takes in a run of another host.
    pub fn hear(&self, trace: RunTrace, now: Instant) {
        let mut kept = self.kept.lock();
        let known = kept.get(&trace.fingerprint);
        if known.is_some_and(|known| known.last_known.is_none()) {
            // It runs here now, which is later.
            return;
        }
        if kept.len() >= RUNS_BOUND {
            return;
        }
        let last_known = Some(now);
        kept.insert(trace.fingerprint, Kept { trace, last_known });
    }

    /// Takes in what the store kept of a run, unless more is known.
    pub fn restore(&self, trace: RunTrace, now: Instant) {
        let is_known = self.kept.lock().contains_key(&trace.fingerprint);
        if !is_known {
            self.hear(trace, now);
        }
    }

    /// Where a request ran last; its copy only while engines keep it.
    pub fn find(&self, fingerprint: Fingerprint, now: Instant) -> Option<RunTrace> {
        let kept = self.kept.lock();
        let known = kept.get(&fingerprint)?;
        if !known.is_younger_than(PROMPT_KEPT, now) {
            return None;
        }
        let mut trace = known.trace.clone();
        if !known.is_younger_than(COPY_KEPT, now) {
            trace.copy = None;
        }
        Some(trace)
    }

    /// The runs of this host, for its peers; forgets what is of no more use.
    pub fn own(&self, now: Instant) -> Vec<RunTrace> {
        let mut kept = self.kept.lock();
        kept.retain(|_, known| known.is_younger_than(PROMPT_KEPT, now));
        let running = kept.values().filter(|known| known.last_known.is_none());
        running.map(|known| known.trace.clone()).collect()
    }

    /// Where streams run now, on this host and on those that were heard a moment ago, for the
    /// store, in a fixed order.
    pub fn running(&self, now: Instant) -> Vec<RunTrace> {
        let kept = self.kept.lock();
        let running = kept
            .values()
            .filter(|known| known.is_younger_than(RUNNING, now));
        let mut traces: Vec<RunTrace> = running.map(|known| known.trace.clone()).collect();
        drop(kept);
        traces.sort_by_key(|trace| trace.fingerprint);
        traces
    }
}
