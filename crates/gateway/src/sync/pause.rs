//! How long a host waits after a failed call to the store.
//!
//! During an outage any host that reaches the store again feeds the others, so a few probing hosts
//! are enough. Refused calls cost as much as others.

use std::time::Duration;

/// The maximum pause after the first failed call; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Upper limit of the pause for a host that is alone.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How much each live host adds to the upper limit. Any of them that reaches the store feeds the
/// others, so all hosts together call as often in a large fleet as in a small one.
const PAUSE_PER_HOST: Duration = Duration::from_millis(20);
/// Number of hosts, the first by rank, that back off exponentially during an outage. The others use
/// the upper limit from the first failure on.
const STORE_TRIERS: usize = 3;
/// Factor for the pauses of the sets that are not used to probe the store. Their followers wait for
/// the probe set; they call on their own in case it alone stays unanswered.
const OTHER_SETS_FACTOR: u32 = 3;
/// Maximum number of doublings.
const MOST_DOUBLINGS: u32 = 6;

/// A failed call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Number of failed calls for this set directly before this one.
    pub failures: u32,
    /// Whether the failure means that the store is unavailable to this host, rather than only busy.
    pub shows_loss: bool,
    /// Whether the call was for the set used to probe an unavailable store.
    pub is_tried_set: bool,
    /// Number of other live hosts. A host without any can only rely on its own calls.
    pub hosts_heard: usize,
    /// Number of live hosts that rank before this one.
    pub hosts_before: usize,
}

impl FailedCall {
    /// The maximum time until the next call.
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
