//! The age of data from the store, measured with this host's clock that counts suspensions.

use std::time::{Duration, Instant};

/// The time at which data was last confirmed to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
}

impl Freshness {
    /// Records that the data was current at `moment`; a moment before the last confirmation is ignored.
    pub fn confirm(&mut self, moment: Instant) {
        self.confirmed = Some(self.confirmed.map_or(moment, |known| known.max(moment)));
    }

    /// The time since the last confirmation; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_duration_since(confirmed))
    }
}
