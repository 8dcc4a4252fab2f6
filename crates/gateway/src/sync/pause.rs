//! How long a host waits after a failed call to the store.
//!
//! During an outage any host that reaches the store again feeds the others, so a few probing hosts
//! are enough. Refused calls cost as much as others.

use std::time::Duration;

/// The maximum pause after the first failed call; each further failure doubles it.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Upper limit of the pause for a host that is alone.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// How much each live host adds to the upper limit. Any of them that reaches the store feeds the
/// others, so all hosts together call as often in a large fleet as in a small one.
const PAUSE_PER_HOST: Duration = Duration::from_millis(20);
/// Number of hosts, the first by rank, that back off exponentially during an outage. The others use
/// the upper limit from the first failure on.
const PROBING_HOSTS: usize = 3;
/// Factor for the pauses of the sets that are not used to probe the store. Their followers wait for
/// the probe set; they call on their own in case it alone stays unanswered.
const OTHER_SETS_PAUSE_FACTOR: u32 = 3;
/// Maximum number of doublings. The pause is then 3.2 s, more than the upper limit of a host that is
/// alone.
const MAX_DOUBLINGS: u32 = 6;

/// A failed call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// Number of failed calls for this set directly before this one.
    pub failures: u32,
    /// Whether the failure means that the store is unavailable to this host, rather than only busy.
    pub is_outage: bool,
    /// Whether the call was for the set used to probe an unavailable store.
    pub is_probe_set: bool,
    /// Number of other live hosts. A host without any can only rely on its own calls.
    pub live_peers: usize,
    /// Number of live hosts that rank before this one.
    pub hosts_before: usize,
}

impl FailedCall {
    /// The maximum time until the next call.
    #[must_use]
    pub fn pause(&self) -> Duration {
        let max_pause = self.max_pause();
        if self.hosts_before >= PROBING_HOSTS {
            return max_pause;
        }
        let doubled = INITIAL_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        doubled.min(max_pause)
    }

    fn max_pause(&self) -> Duration {
        if !self.is_outage {
            return MAX_PAUSE;
        }
        let others = u32::try_from(self.live_peers).unwrap_or(u32::MAX);
        let max_pause = MAX_PAUSE.saturating_add(PAUSE_PER_HOST.saturating_mul(others));
        if self.is_probe_set {
            max_pause
        } else {
            max_pause * OTHER_SETS_PAUSE_FACTOR
        }
    }
}
