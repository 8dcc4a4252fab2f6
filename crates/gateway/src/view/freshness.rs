//! How old what the store said is, on this host's steady clock.

use std::time::{Duration, Instant};

/// When a fact was last known to hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Notes that the fact held at a moment; an earlier moment changes nothing.
    pub fn confirm(&mut self, moment: Instant) {
        self.confirmed = Some(self.confirmed.map_or(moment, |known| known.max(moment)));
    }

    /// How long ago the fact was last known to hold.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_duration_since(confirmed))
    }
}

/// Relates the store's steady clock to this host's.
///
/// An answer that the store wrote at its time `t` arrives later than it was written, so the
/// smallest difference seen between arrival and `t` is the best bound. With it, a watch that
/// was asked for seconds ago tells when its answer was written, not only when it was asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// This host's moment that stands for the store's time 0, and the store's newest time.
    origin: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// The moment at which an answer was written: never before it was asked for, never after
    /// it arrived.
    pub fn written_at(
        &mut self,
        store_time: Duration,
        asked: Instant,
        arrived: Instant,
    ) -> Instant {
        let Some(candidate) = arrived.checked_sub(store_time) else {
            return asked;
        };
        let origin = match self.origin {
            // A clock that went back is another clock.
            Some((_, newest)) if store_time < newest => candidate,
            Some((origin, _)) => origin.min(candidate),
            None => candidate,
        };
        self.origin = Some((origin, store_time));
        (origin + store_time).clamp(asked, arrived)
    }
}
