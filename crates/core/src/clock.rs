//! The clock for ages that decide something: how old keys, configurations, leases, budgets or reports of peers are.
//!
//! The steady clock of the operating system stands still while a machine is suspended, so ages measured with it look
//! smaller than they are. [`now`] counts that time (`CLOCK_BOOTTIME`). It returns the standard type, on a scale of its
//! own: its instants must not be mixed with those of `Instant::now`.

use {
    crate::protection::{Protection, enabled},
    rustix::time::{ClockId, clock_gettime},
    std::{
        future::Future,
        sync::OnceLock,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The longest single wait of [`sleep_until`]. Timers run on the steady clock, so a suspension delays a wait by at most
/// this much.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The same moment on the scale of the returned instants and on the clock that counts suspensions.
struct Origin {
    instant: Instant,
    since_boot: Duration,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// The time since the machine was started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The time since the start of the machine is never negative.
    Duration::try_from(time).unwrap_or_default()
}

/// Returns the current time of the clock that counts suspensions.
#[must_use]
pub fn now() -> Instant {
    if !enabled(Protection::SuspendedTime) {
        return steady_now();
    }
    let origin = ORIGIN.get_or_init(|| Origin {
        instant: steady_now(),
        since_boot: since_boot(),
    });
    origin.instant + since_boot().saturating_sub(origin.since_boot)
}

/// Returns the time since an instant of this clock, suspensions included.
#[must_use]
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Returns the current time of the steady clock, which stands still while the machine is suspended, for comparison with
/// [`now`]. No decision may depend on ages measured with it.
#[must_use]
#[expect(
    clippy::disallowed_methods,
    reason = "the one place that reads the steady clock"
)]
pub fn steady_now() -> Instant {
    Instant::now()
}

/// Waits until an instant of this clock.
pub async fn sleep_until(until: Instant) {
    loop {
        let remaining = until.saturating_duration_since(now());
        if remaining.is_zero() {
            return;
        }
        sleep(remaining.min(MAX_SLEEP)).await;
    }
}

/// The time limit of [`timeout_at`] has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

/// Runs a future until it completes, or until an instant of this clock.
///
/// # Errors
/// The future did not complete in time.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, TimedOut> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(until) => Err(TimedOut),
    }
}
