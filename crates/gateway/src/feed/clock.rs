//! Tells the store's times on this host's steady clock, never too young.

use {crate::edge::StoreTime, std::time::Instant};

/// Relates the store's steady clock to this host's, from below.
///
/// A call of this host was asked for before the store wrote its answer. So the greatest
/// difference seen between the asking and the answer's time never makes a time younger than
/// it is, however long a datagram with that time was on its way or lay unread. And a watch
/// that was asked for seconds ago tells when its answer was written, but for the time that
/// the quickest call took to reach the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClockFloor {
    /// This host's moment that stands for the store's time 0.
    origin: Option<Instant>,
}

impl StoreClockFloor {
    /// Takes in an answer of the store to a call of this host.
    pub fn observe(&mut self, written: StoreTime, asked: Instant, arrived: Instant) {
        let Some(candidate) = asked.checked_sub(written) else {
            return;
        };
        // An answer from the future shows that it is another clock than before.
        let is_same_clock = self
            .origin
            .is_some_and(|origin| origin + written <= arrived);
        self.origin = match self.origin {
            Some(origin) if is_same_clock => Some(origin.max(candidate)),
            Some(_) | None => Some(candidate),
        };
    }

    /// The store's time at a moment, or a later one: the origin is never too late. None where no
    /// answer was seen yet.
    #[must_use]
    pub fn time_at(&self, now: Instant) -> Option<StoreTime> {
        Some(now.saturating_duration_since(self.origin?))
    }

    /// The latest moment that surely was not after a time of the store; none where the time
    /// makes no sense, or no answer was seen yet.
    #[must_use]
    pub fn moment(&self, written: StoreTime, now: Instant) -> Option<Instant> {
        let moment = self.origin? + written;
        (moment <= now).then_some(moment)
    }
}
