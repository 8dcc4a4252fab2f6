//! The time of day on which all hosts agree, whatever single clocks do.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant, SystemTime},
    },
    tealshore_core::ids::HostId,
    tealshore_duties::lease::StoreTime,
};

/// How long what a host told of its clock is counted. Hosts tell it every two seconds; one that died
/// had as good a clock as others.
const COUNTED: Duration = Duration::from_secs(60);

/// The time of day as it was at the start of the process, carried on by its steady clock: a jump of
/// the time of day later on changes nothing.
#[derive(Clone, Copy, Debug)]
pub struct OwnClock {
    started: Instant,
    since_epoch: Duration,
}

impl OwnClock {
    /// Reads both clocks.
    #[must_use]
    pub fn start() -> Self {
        let time_of_day = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            started: Instant::now(),
            // A time of day before 1970 makes this host count into a window that nobody reports.
            since_epoch: time_of_day.unwrap_or_default(),
        }
    }

    /// The time since the beginning of 1970 at a moment.
    #[must_use]
    pub fn since_epoch(&self, now: Instant) -> Duration {
        self.since_epoch + now.saturating_duration_since(self.started)
    }
}

/// How far the hosts' times of day are ahead of the store's time. Their median is right as long as
/// less than half of them started while their time of day was wrong.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    heard: HashMap<HostId, (i64, Instant)>,
}

impl ClockOffsets {
    /// How far a time of day is ahead of the store's time, in milliseconds.
    #[must_use]
    pub fn offset_ms(since_epoch: Duration, store_time: StoreTime) -> Option<i64> {
        let ahead = i64::try_from(since_epoch.as_millis()).ok()?;
        let store_ms = i64::try_from(store_time.as_millis()).ok()?;
        Some(ahead - store_ms)
    }

    /// Notes how far a host's time of day is ahead of the store's time.
    pub fn hear(&mut self, host: &HostId, offset_ms: i64, now: Instant) {
        self.heard.insert(host.clone(), (offset_ms, now));
        self.heard
            .retain(|_, (_, heard)| now.saturating_duration_since(*heard) <= COUNTED);
    }

    /// The time since the beginning of 1970 by the median of all clocks; `own` is that of this host.
    #[must_use]
    pub fn since_epoch(&self, own: Duration, store_time: StoreTime, now: Instant) -> Duration {
        let counted = self
            .heard
            .values()
            .filter(|(_, heard)| now.saturating_duration_since(*heard) <= COUNTED);
        let mut offsets: Vec<i64> = counted.map(|(offset_ms, _)| *offset_ms).collect();
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
