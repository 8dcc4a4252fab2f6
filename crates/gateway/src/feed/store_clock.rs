//! Conversion of store times to this host's clock, which counts suspensions, such that data never
//! appears younger than it is.

use {crate::edge::StoreTime, std::time::Instant};

/// Lower bound of the offset between the store's monotonic clock and this host's.
///
/// A call is sent before the store writes its answer. The greatest difference seen between the
/// sending instant and the store time of the answer is therefore a safe offset: a converted time is
/// never later than the true one, however long a datagram was in transit or waited unread. The
/// error is at most the time that the fastest call took to reach the store, also for a watch that
/// was sent seconds before its answer was written.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClockOffset {
    /// The instant of this host that corresponds to store time 0.
    origin: Option<Instant>,
}

impl StoreClockOffset {
    /// Updates the offset from a store answer to a call of this host.
    pub fn observe(&mut self, written: StoreTime, asked: Instant, arrived: Instant) {
        let Some(candidate) = asked.checked_sub(written) else {
            return;
        };
        // An answer from the future means that the store's clock was replaced.
        let is_same_clock = self
            .origin
            .is_some_and(|origin| origin + written <= arrived);
        self.origin = match self.origin {
            Some(origin) if is_same_clock => Some(origin.max(candidate)),
            Some(_) | None => Some(candidate),
        };
    }

    /// Estimates the store time at an instant. The estimate may be late but is never early, since
    /// the origin is never too late. `None` until an answer was observed.
    #[must_use]
    pub fn time_at(&self, now: Instant) -> Option<StoreTime> {
        Some(now.saturating_duration_since(self.origin?))
    }

    /// Converts a store time to an instant that is never later than the true one. Returns `None` if
    /// the result lies in the future, or if no answer was observed yet.
    #[must_use]
    pub fn to_local_instant(&self, written: StoreTime, now: Instant) -> Option<Instant> {
        let moment = self.origin? + written;
        (moment <= now).then_some(moment)
    }
}
