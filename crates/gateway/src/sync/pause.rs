//! How long a host waits before it calls again a store that gave it nothing.
//!
//! While the store is away any host that reaches it again feeds the others, so a few of them are
//! enough to find out; calls that are refused cost as much as others.

use std::time::Duration;

/// The pause after the first failed call; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after a failed call of a host that is alone.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The time by which each further host that is heard makes it longer: any of them that reaches the
/// store feeds the others. All hosts together then try as often in a large fleet as in a small one.
const PAUSE_PER_HOST: Duration = Duration::from_millis(20);
/// So many hosts, the first by rank, try a store that is away more and more slowly; the others at the
/// longest pause from the first failure on.
const STORE_TRIERS: usize = 3;
/// How many times the pause of a set lasts by which hosts do not try the store: its followers
/// wait for the one by which they do, should that one alone stay unanswered.
const OTHER_SETS_FACTOR: u32 = 3;
/// Doublings after which the pause is longer than any.
const MOST_DOUBLINGS: u32 = 6;

/// A call to the store that gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Failed calls for this set right before it.
    pub failures: u32,
    /// Whether it tells that the store is lost to this host, and not only busy.
    pub shows_loss: bool,
    /// Whether it was for the set by which hosts try a store that is away.
    pub is_tried_set: bool,
    /// How many other hosts were heard a moment ago: one that hears nobody tries for itself alone.
    pub hosts_heard: usize,
    /// How many hosts that were heard a moment ago rank before this one.
    pub hosts_before: usize,
}

impl FailedCall {
    /// The longest time until the next call.
    #[must_use]
    pub fn pause(&self) -> Duration {
        let longest = self.longest();
        if self.hosts_before >= STORE_TRIERS {
            return longest;
        }
        let doubled = FIRST_PAUSE * (1 << self.failures.min(MOST_DOUBLINGS));
        doubled.min(longest)
    }

    fn longest(&self) -> Duration {
        if !self.shows_loss {
            return LONGEST_PAUSE;
        }
        let others = u32::try_from(self.hosts_heard).unwrap_or(u32::MAX);
        let longest = LONGEST_PAUSE.saturating_add(PAUSE_PER_HOST.saturating_mul(others));
        if self.is_tried_set {
            longest
        } else {
            longest * OTHER_SETS_FACTOR
        }
    }
}
