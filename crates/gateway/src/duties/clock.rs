//! The wall-clock time on which all hosts agree, even if some clocks are wrong.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant, SystemTime},
    },
    tealshore_core::{clock, ids::HostId},
    tealshore_duties::lease::StoreTime,
};

/// How long a host's reported clock offset is used. Hosts report it every two seconds; the offset of
/// a host that has ended remains as valid as others.
const OFFSET_LIFETIME: Duration = Duration::from_secs(60);

/// The wall-clock time at the start of the process, advanced by the clock that counts suspensions. Later jumps
/// of the wall clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct OwnClock {
    started: Instant,
    since_epoch: Duration,
}

impl OwnClock {
    /// Reads both clocks.
    #[must_use]
    #[expect(
        clippy::disallowed_methods,
        reason = "reads the time of day, not an age"
    )]
    pub fn start() -> Self {
        let time_of_day = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            started: clock::now(),
            // With a wall clock before 1970, this host counts into a window that nobody reports.
            since_epoch: time_of_day.unwrap_or_default(),
        }
    }

    /// The time since the Unix epoch at `now`.
    #[must_use]
    pub fn since_epoch(&self, now: Instant) -> Duration {
        self.since_epoch + now.saturating_duration_since(self.started)
    }
}

/// How far the hosts' wall clocks are ahead of the store's time. The median is correct as long as
/// fewer than half of the hosts started with a wrong wall clock.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    offsets_by_host: HashMap<HostId, (i64, Instant)>,
}

impl ClockOffsets {
    /// How far a wall clock is ahead of the store's time, in milliseconds.
    #[must_use]
    pub fn offset_ms(since_epoch: Duration, store_time: StoreTime) -> Option<i64> {
        let ahead = i64::try_from(since_epoch.as_millis()).ok()?;
        let store_ms = i64::try_from(store_time.as_millis()).ok()?;
        Some(ahead - store_ms)
    }

    /// Records how far a host's wall clock is ahead of the store's time.
    pub fn record(&mut self, host: &HostId, offset_ms: i64, now: Instant) {
        self.offsets_by_host.insert(host.clone(), (offset_ms, now));
        self.offsets_by_host.retain(|_, (_, reported_at)| {
            now.saturating_duration_since(*reported_at) <= OFFSET_LIFETIME
        });
    }

    /// The time since the Unix epoch by the median of all clocks. `own` is the time by this host's
    /// clock.
    #[must_use]
    pub fn since_epoch(&self, own: Duration, store_time: StoreTime, now: Instant) -> Duration {
        let recent = self.offsets_by_host.values().filter(|(_, reported_at)| {
            now.saturating_duration_since(*reported_at) <= OFFSET_LIFETIME
        });
        let mut offsets: Vec<i64> = recent.map(|(offset_ms, _)| *offset_ms).collect();
        offsets.extend(Self::offset_ms(own, store_time));
        offsets.sort_unstable();
        let Some(median_ms) = offsets.get(offsets.len() / 2) else {
            return own;
        };
        match u64::try_from(*median_ms) {
            Ok(ahead_ms) => store_time + Duration::from_millis(ahead_ms),
            Err(_) => own,
        }
    }
}
