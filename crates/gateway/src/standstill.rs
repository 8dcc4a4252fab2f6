//! Detects that this process stood still: a suspended process, or a machine without processor time for it. Whatever
//! the host knew before is older than the last datagrams make it seem.

use {
    crate::state::GatewayState,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Interval at which a running process shows that it runs.
const TICK: Duration = Duration::from_millis(100);
/// The time without a tick from which the process stood still.
const MIN_STANDSTILL: Duration = Duration::from_secs(1);
/// The time after a standstill in which the host is learning again what it missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// When this process last ran, and when it last stood still.
#[derive(Debug)]
pub struct Standstill {
    last_tick: Instant,
    last_ended: Option<Instant>,
}

impl Standstill {
    /// Returns the state of a process that runs now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_ended: None,
        }
    }

    /// Records that the process runs. Returns for how long it stood still, if it did.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < MIN_STANDSTILL {
            return None;
        }
        self.last_ended = Some(now);
        Some(gap)
    }

    /// Returns whether the process has just stood still. A standstill may have ended before the next tick.
    #[must_use]
    pub fn has_just_ended(&self, now: Instant) -> bool {
        let is_unnoticed = now.saturating_duration_since(self.last_tick) >= MIN_STANDSTILL;
        let ended = self.last_ended;
        is_unnoticed
            || ended.is_some_and(|ended| now.saturating_duration_since(ended) < CATCH_UP_TIME)
    }
}

/// Watches for standstills for as long as the process lives.
pub(crate) async fn watch(state: Arc<GatewayState>) {
    loop {
        let gap = state.standstill.lock().tick(Instant::now());
        if let Some(gap) = gap {
            state.metrics.standstills.inc();
            log::warn!(
                "host: this process stood still gap_ms={} view_age_ms={:?}",
                gap.as_millis(),
                state.view.age(Instant::now()).map(|age| age.as_millis())
            );
        }
        sleep(TICK).await;
    }
}
