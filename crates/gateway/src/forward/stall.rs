//! Decides how long to wait for an upstream that accepts connections and answers nothing: its process does not run, but may
//! go on with what it has. It reads neither the close of a connection nor anything else meanwhile.

use {
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// How long after its first unanswered probe such an upstream is waited for.
const MAX_STALL: Duration = Duration::from_millis(1_200);

/// The stall of the upstream of one attempt, as its probes show it.
#[derive(Debug, Default)]
pub struct Stall(Mutex<StallState>);

#[derive(Clone, Copy, Debug, Default)]
struct StallState {
    /// When the first probe was sent that was not answered.
    since: Option<Instant>,
    /// When the upstream answered after a stall.
    ended: Option<Instant>,
}

impl Stall {
    /// Records a probe that was accepted and not answered.
    pub fn record_unanswered(&self, sent: Instant) {
        self.0.lock().since.get_or_insert(sent);
    }

    /// Records that something arrived.
    pub fn record_answer(&self, now: Instant) {
        let mut state = self.0.lock();
        if state.since.take().is_some() {
            state.ended = Some(now);
        }
    }

    /// Whether the upstream is stalled, for however long.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.0.lock().since.is_some()
    }

    /// How much longer the upstream is waited for; none if it is not stalled, or has been for too long.
    #[must_use]
    pub fn wait_left(&self, now: Instant) -> Option<Duration> {
        let since = self.0.lock().since?;
        let left = (since + MAX_STALL).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// When the last stall ended.
    #[must_use]
    pub fn ended(&self) -> Option<Instant> {
        self.0.lock().ended
    }
}
