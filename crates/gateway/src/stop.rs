//! How far a planned stop is, and what is in flight.

use {
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
    tokio::sync::watch,
};

/// How far a planned stop is, and what is in flight.
pub struct Stop {
    requested_at: watch::Sender<Option<Instant>>,
    in_flight: AtomicUsize,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            requested_at: watch::Sender::new(None),
            in_flight: AtomicUsize::new(0),
        }
    }
}

impl Stop {
    /// Notes that a stop was asked for.
    pub fn initiate(&self, now: Instant) {
        self.requested_at.send_replace(Some(now));
    }

    /// Counts a request that begins.
    pub fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a stop was asked for.
    pub fn is_requested(&self) -> bool {
        self.requested_at.borrow().is_some() && enabled(Protection::Withdrawal)
    }

    /// How long ago a stop was asked for.
    pub fn age(&self) -> Option<Duration> {
        self.requested_at
            .borrow()
            .map(|requested_at| requested_at.elapsed())
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
