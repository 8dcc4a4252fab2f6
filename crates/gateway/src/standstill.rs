//! Detects that this process stood still: a suspended process, or a machine without processor time for it. Whatever
//! the host knew before is older than the last datagrams make it seem.

use {
    crate::{state::GatewayState, view::ViewFacts},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::clock,
    tokio::time::sleep,
};

/// Interval at which a running process shows that it runs.
const TICK: Duration = Duration::from_millis(100);
/// The time without a tick from which the process stood still.
const MIN_STANDSTILL: Duration = Duration::from_secs(1);
/// The time without a tick in which an upstream may have ended and started again, unnoticed by this process.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// The difference between the clocks from which the machine was suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// The time after a standstill in which the host is learning again what it missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// When this process last ran, and when it last stood still.
#[derive(Debug)]
pub struct Standstill {
    last_tick: Instant,
    last_ended: Option<Instant>,
    /// When the process last went on after a pause, a standstill included.
    last_pause_ended: Option<Instant>,
}

impl Standstill {
    /// Returns the state of a process that runs now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_ended: None,
            last_pause_ended: None,
        }
    }

    /// Records that the process runs. Returns for how long it stood still, if it did.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap >= MIN_PAUSE {
            self.last_pause_ended = Some(now);
        }
        if gap < MIN_STANDSTILL {
            return None;
        }
        self.last_ended = Some(now);
        Some(gap)
    }

    /// Returns whether the process has just paused, for a shorter time than a standstill too.
    #[must_use]
    pub fn has_just_paused(&self, now: Instant) -> bool {
        let is_unnoticed = now.saturating_duration_since(self.last_tick) >= MIN_PAUSE;
        let ended = self.last_pause_ended;
        is_unnoticed
            || ended.is_some_and(|ended| now.saturating_duration_since(ended) < CATCH_UP_TIME)
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

impl GatewayState {
    /// Whether this process has just paused. The state of an upstream that it observes now may then differ from the state
    /// in which the upstream was when its connection ended.
    pub fn has_just_paused(&self) -> bool {
        self.standstill.lock().has_just_paused(clock::now())
    }
}

/// The time on the steady clock and on the clock that counts suspensions, read together.
#[derive(Clone, Copy)]
struct ClockPair {
    steady: Instant,
    counting: Instant,
}

impl ClockPair {
    fn read() -> Self {
        Self {
            steady: clock::steady_now(),
            counting: clock::now(),
        }
    }

    /// For how long the machine was suspended between an earlier reading and this one.
    fn suspended_since(self, earlier: Self) -> Duration {
        let steady = self.steady.saturating_duration_since(earlier.steady);
        let counting = self.counting.saturating_duration_since(earlier.counting);
        counting.saturating_sub(steady)
    }
}

/// Watches for standstills for as long as the process lives.
pub(crate) async fn watch(state: Arc<GatewayState>) {
    let mut clocks = ClockPair::read();
    loop {
        let read = ClockPair::read();
        let suspended = read.suspended_since(clocks);
        clocks = read;
        if suspended >= MIN_SUSPENSION {
            log::warn!(
                "host: this machine was suspended suspended_ms={} {}",
                suspended.as_millis(),
                ViewFacts::of(&state.view, clock::now())
            );
        }
        let gap = state.standstill.lock().tick(clock::now());
        if let Some(gap) = gap {
            state.metrics.standstills.inc();
            log::warn!(
                "host: this process stood still gap_ms={} {}",
                gap.as_millis(),
                ViewFacts::of(&state.view, clock::now())
            );
        }
        sleep(TICK).await;
    }
}
