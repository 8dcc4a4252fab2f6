//! State of a graceful stop, and the number of requests in flight.

use {
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        protection::{Protection, enabled},
    },
    tokio::sync::watch,
};

/// State of a graceful stop, and the number of requests in flight.
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
    /// Records that a stop was requested.
    pub fn initiate(&self, now: Instant) {
        self.requested_at.send_replace(Some(now));
    }

    /// Adds a request to the number in flight.
    pub fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a request from the number in flight.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a stop was requested. Always false while `Protection::Withdrawal` is switched off.
    pub fn is_requested(&self) -> bool {
        self.requested_at.borrow().is_some() && enabled(Protection::Withdrawal)
    }

    /// Time since a stop was requested; `None` if none was.
    pub fn age(&self) -> Option<Duration> {
        self.requested_at.borrow().map(clock::elapsed)
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
