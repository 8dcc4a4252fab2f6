//! The recent runs that this host knows, shared by its tasks.
//!
//! A caller that comes back with the same request, at any host, resumes from the memory that its own run left behind.

use {
    parking_lot::Mutex,
    std::{
        collections::HashSet,
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tealshore_core::ids::RequestId,
    tealshore_runs::RunLog,
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// The recent runs that this host knows.
#[derive(Default)]
pub struct Runs {
    /// The runs.
    pub log: Mutex<RunLog>,
    /// Whether the runs from before this host's start are known, as far as any host or the store knows them.
    is_restored: AtomicBool,
    restored: Notify,
    /// Wakes the task that stores ambiguous runs.
    ambiguity: Notify,
    /// The attempts of the ambiguous runs that this host stored last.
    stored: watch::Sender<HashSet<RequestId>>,
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

    /// Has the ambiguous runs stored at once.
    pub fn report_ambiguity(&self) {
        self.ambiguity.notify_one();
    }

    /// Waits until a run may have become ambiguous, for `max_wait` at most.
    pub async fn wait_ambiguity(&self, max_wait: Duration) {
        // Runs also become ambiguous by what other hosts report, which is found without a notification.
        let _ = timeout(max_wait, self.ambiguity.notified()).await;
    }

    /// Records the attempts of the ambiguous runs that this host stored.
    pub fn record_stored(&self, attempts: HashSet<RequestId>) {
        self.stored.send_replace(attempts);
    }

    /// Waits until this host has stored the run of an attempt, for `max_wait` at most. Returns whether it has.
    pub async fn wait_stored(&self, attempt: &RequestId, max_wait: Duration) -> bool {
        let mut stored = self.stored.subscribe();
        let waiting = stored.wait_for(|attempts| attempts.contains(attempt));
        matches!(timeout(max_wait, waiting).await, Ok(Ok(_)))
    }
}
