//! The recent runs that this host knows, shared by its tasks.
//!
//! A caller that comes back with the same request, at any host, resumes from the memory that its own run left behind.

use {
    parking_lot::Mutex,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
    tealshore_runs::RunLog,
    tokio::{sync::Notify, time::timeout},
};

/// The recent runs that this host knows.
#[derive(Default)]
pub struct Runs {
    /// The runs.
    pub log: Mutex<RunLog>,
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
}
