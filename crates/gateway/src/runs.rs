//! Which engines recently ran a stream, on this host or on another.
//!
//! A caller that comes back with the same request, at any host, resumes from the memory that its run left
//! behind: the copy, or else the prompt that the engine still holds.

use {
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{Fingerprint, RequestId},
    tealshore_runs::RunTrace,
    tokio::{sync::Notify, time::timeout},
};

/// How long the copy of a run that ended is used: engines keep copies for some seconds.
const COPY_RETENTION: Duration = Duration::from_secs(6);
/// How long an engine may keep a prompt that it has read.
const PROMPT_RETENTION: Duration = Duration::from_secs(30);
/// How long a run of another host counts as running after it was last reported.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of runs that are remembered.
const MAX_RUNS: usize = 20_000;

/// The host on which a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunHost {
    /// This host, or another one of its group.
    InGroup,
    /// A host of another group, which keeps the run in the store.
    OtherGroup,
}

struct RunEntry {
    trace: RunTrace,
    host: RunHost,
    /// When it was last known to run; none while it runs here.
    last_known: Option<Instant>,
}

impl RunEntry {
    fn is_younger_than(&self, max_age: Duration, now: Instant) -> bool {
        self.last_known
            .is_none_or(|known| now.saturating_duration_since(known) <= max_age)
    }
}

/// Recent runs, by the fingerprint of their request.
#[derive(Default)]
pub struct Runs {
    entries: Mutex<HashMap<Fingerprint, RunEntry>>,
    /// Whether the runs from before this host's start are known, as far as any host or the store knows them.
    is_restored: AtomicBool,
    restored: Notify,
}

impl Runs {
    /// Records that the runs from before this host's start were learned, or that there were none.
    pub fn mark_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
        self.restored.notify_waiters();
    }

    /// Waits until those runs are known, for `max_wait` at most.
    pub async fn wait_restored(&self, max_wait: Duration) {
        let notified = self.restored.notified();
        if !self.is_restored() {
            // It makes no difference whether the wait ended with the notification or with the timeout.
            let _ = timeout(max_wait, notified).await;
        }
    }

    /// Whether this host can tell another one where streams run.
    pub fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }

    /// Records that a request runs here, in place of where it ran before.
    pub fn begin(&self, trace: RunTrace) {
        let entry = RunEntry {
            trace,
            host: RunHost::InGroup,
            last_known: None,
        };
        self.entries.lock().insert(entry.trace.fingerprint, entry);
    }

    /// Records that a caller's attempt ended here. A run that completed is dropped.
    pub fn end(&self, fingerprint: Fingerprint, request: &RequestId, complete: bool, now: Instant) {
        let mut entries = self.entries.lock();
        let Some(entry) = entries.get_mut(&fingerprint) else {
            return;
        };
        if entry.trace.request != *request {
            return;
        }
        if complete {
            entries.remove(&fingerprint);
        } else {
            entry.last_known = Some(now);
        }
    }

    /// Records a run of another host.
    pub fn record_peer(&self, trace: RunTrace, host: RunHost, now: Instant) {
        let mut entries = self.entries.lock();
        let current = entries.get(&trace.fingerprint);
        if current.is_some_and(|current| current.last_known.is_none()) {
            // The run on this host is the later one.
            return;
        }
        if entries.len() >= MAX_RUNS {
            return;
        }
        let last_known = Some(now);
        let entry = RunEntry {
            trace,
            host,
            last_known,
        };
        entries.insert(entry.trace.fingerprint, entry);
    }

    /// Restores a run from the store, unless a run of the same request is known already.
    pub fn restore(&self, trace: RunTrace, now: Instant) {
        let is_known = self.entries.lock().contains_key(&trace.fingerprint);
        if !is_known {
            self.record_peer(trace, RunHost::OtherGroup, now);
        }
    }

    /// Where a request last ran. The copy is included only for as long as engines keep it.
    pub fn find(&self, fingerprint: Fingerprint, now: Instant) -> Option<RunTrace> {
        let entries = self.entries.lock();
        let entry = entries.get(&fingerprint)?;
        if !entry.is_younger_than(PROMPT_RETENTION, now) {
            return None;
        }
        let mut trace = entry.trace.clone();
        if !entry.is_younger_than(COPY_RETENTION, now) {
            trace.copy = None;
        }
        Some(trace)
    }

    /// The runs of this host, for its peers. Drops entries that have expired.
    pub fn own(&self, now: Instant) -> Vec<RunTrace> {
        let mut entries = self.entries.lock();
        entries.retain(|_, entry| entry.is_younger_than(PROMPT_RETENTION, now));
        let running = entries.values().filter(|entry| entry.last_known.is_none());
        running.map(|entry| entry.trace.clone()).collect()
    }

    /// Where streams run now, according to recent reports, ordered by fingerprint.
    pub fn running(&self, now: Instant) -> Vec<RunTrace> {
        self.running_where(now, |_| true)
    }

    /// Where streams of this host's group run now, for the store, ordered by fingerprint.
    pub fn running_in_group(&self, now: Instant) -> Vec<RunTrace> {
        self.running_where(now, |host| host == RunHost::InGroup)
    }

    fn running_where(&self, now: Instant, matches: impl Fn(RunHost) -> bool) -> Vec<RunTrace> {
        let entries = self.entries.lock();
        let running = entries
            .values()
            .filter(|entry| matches(entry.host) && entry.is_younger_than(RUNNING_TIMEOUT, now));
        let mut traces: Vec<RunTrace> = running.map(|entry| entry.trace.clone()).collect();
        drop(entries);
        traces.sort_by_key(|trace| trace.fingerprint);
        traces
    }
}
