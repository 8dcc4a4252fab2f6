//! Which engines ran a stream a short time ago, on this host or on another.
//!
//! A caller that comes back with the same request, at any host, goes on from the memory that
//! its run left behind: the copy, or else what the engine keeps of the prompt.

use {
    crate::run_trace::{Fingerprint, RunTrace},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
    tokio::{sync::Notify, time::timeout},
};

/// How long the copy of a run that ended is of use: engines keep copies for some seconds.
const COPY_KEPT: Duration = Duration::from_secs(6);
/// How long an engine may keep a prompt that it has read.
const PROMPT_KEPT: Duration = Duration::from_secs(30);
/// How long a run of another host counts as running after it was heard of.
const RUNNING: Duration = Duration::from_secs(5);
/// The most runs that are remembered.
const RUNS_BOUND: usize = 20_000;

/// On which host a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunHost {
    /// On this one, or one of its group.
    InGroup,
    /// On a host of another group, which keeps it in the store.
    Elsewhere,
}

struct Kept {
    trace: RunTrace,
    host: RunHost,
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
    /// The runs from before this host's start are known, as far as any host or the store knows.
    is_restored: AtomicBool,
    restored: Notify,
}

impl Runs {
    /// Notes that the runs from before this host's start were learned, or that there were none.
    pub fn note_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
        self.restored.notify_waiters();
    }

    /// Waits until those runs are known, for a time at most.
    pub async fn wait_restored(&self, bound: Duration) {
        let notified = self.restored.notified();
        if !self.is_restored() {
            // Whether they are known or the time's end ends the wait makes no difference.
            let _ = timeout(bound, notified).await;
        }
    }

    /// Whether this host can tell another one where streams run.
    pub fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }

    /// Notes that a request runs, in place of where it ran before.
    pub fn begin(&self, trace: RunTrace) {
        let kept = Kept {
            trace,
            host: RunHost::InGroup,
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
    pub fn record_peer(&self, trace: RunTrace, host: RunHost, now: Instant) {
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
        let entry = Kept {
            trace,
            host,
            last_known,
        };
        kept.insert(entry.trace.fingerprint, entry);
    }

    /// Takes in what the store kept of a run, unless more is known.
    pub fn restore(&self, trace: RunTrace, now: Instant) {
        let is_known = self.kept.lock().contains_key(&trace.fingerprint);
        if !is_known {
            self.record_peer(trace, RunHost::Elsewhere, now);
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

    /// Where streams run now, as far as was heard a moment ago, in a fixed order.
    pub fn running(&self, now: Instant) -> Vec<RunTrace> {
        self.running_where(now, |_| true)
    }

    /// Where streams of the hosts of this one's group run now, for the store, in a fixed order.
    pub fn running_in_group(&self, now: Instant) -> Vec<RunTrace> {
        self.running_where(now, |host| host == RunHost::InGroup)
    }

    fn running_where(&self, now: Instant, is_wanted: impl Fn(RunHost) -> bool) -> Vec<RunTrace> {
        let kept = self.kept.lock();
        let running = kept
            .values()
            .filter(|known| is_wanted(known.host) && known.is_younger_than(RUNNING, now));
        let mut traces: Vec<RunTrace> = running.map(|known| known.trace.clone()).collect();
        drop(kept);
        traces.sort_by_key(|trace| trace.fingerprint);
        traces
    }
}
