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
