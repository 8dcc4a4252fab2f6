//! Duties that one host of the system holds at a time: usage is reported, and engines are ordered.
//!
//! What is decided stands in one row of the store together with the lease, so that whoever holds the
//! lease knows all that was decided before. `sync::duties` reads and writes the row and makes the
//! calls; this module holds what a host knows of it.

pub mod api;
mod clock;
mod record;

use {
    crate::options::{Duty, DutyOptions},
    parking_lot::Mutex,
    std::time::{Duration, Instant},
    tealshore_core::ids::{CustomerId, HallId, HostId},
    tealshore_duties::{
        lease::{Lease, LeaseSummary, ProcessId, StoreTime, Tenure},
        usage::{DecidedUsage, UsageLedger, UsageRecord, WindowCounts, WindowIndex},
    },
};
pub use {
    clock::{ClockOffsets, OwnClock},
    record::{DutyRecord, OrderState, PlacedOrder},
};

/// How many hosts, the first by rank, are told of the lease and of counts: those that may take the
/// lease. Three of them have to go in the same second before counts are lost that the row lacks.
pub const CANDIDATES: usize = 4;

/// Windows before the present one of which counts are told: a new holder that nobody told before still
/// decides those whose reports are not late yet.
const WINDOWS_TOLD: WindowIndex = 2;

/// What a process tells the candidates of its counts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UsageNews {
    /// The process.
    pub process: ProcessId,
    /// Its hall.
    pub hall: HallId,
    /// What it counted in the last windows.
    pub windows: Vec<WindowCounts>,
}

/// What this host knows of the duties.
pub struct Duties {
    /// The settings; none where the deployment has no duties.
    options: Option<DutyOptions>,
    process: ProcessId,
    hall: HallId,
    clock: OwnClock,
    offsets: Mutex<ClockOffsets>,
    lease: Mutex<Lease>,
    ledger: Mutex<UsageLedger>,
    /// How far windows are reported, as far as this host wrote or heard it.
    decided: Mutex<DecidedUsage>,
}

impl Duties {
    /// Of a process that starts now and knows nothing.
    #[must_use]
    pub fn new(options: Option<DutyOptions>, process: ProcessId, hall: &HallId) -> Self {
        let bounds = options.as_ref().map(|options| options.lease);
        Self {
            lease: Mutex::new(Lease::new(process.clone(), bounds.unwrap_or_default())),
            options,
            process,
            hall: hall.clone(),
            clock: OwnClock::start(),
            offsets: Mutex::default(),
            ledger: Mutex::default(),
            decided: Mutex::default(),
        }
    }

    /// The settings; none where the deployment has no duties.
    pub fn options(&self) -> Option<&DutyOptions> {
        self.options.as_ref()
    }

    /// Whether the deployment has a duty.
    pub fn has(&self, duty: Duty) -> bool {
        let options = self.options.as_ref();
        options.is_some_and(|options| options.duties.contains(&duty))
    }

    /// This process.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Counts a request of a customer that an upstream began. `store_time` is the store's time now;
    /// none while that is not known.
    pub fn count(&self, customer: &CustomerId, store_time: Option<StoreTime>, now: Instant) {
        let Some(options) = &self.options else {
            return;
        };
        if !self.has(Duty::ReportUsage) {
            return;
        }
        let window = options.usage.window_at(self.since_epoch(store_time, now));
        let mut ledger = self.ledger.lock();
        ledger.count(&self.hall, &self.process, window, customer);
    }

    /// The time since the beginning of 1970 by the clocks of all hosts that were heard.
    pub fn since_epoch(&self, store_time: Option<StoreTime>, now: Instant) -> Duration {
        let own = self.clock.since_epoch(now);
        let Some(store_time) = store_time else {
            return own;
        };
        let offsets = self.offsets.lock();
        offsets.since_epoch(own, store_time, now)
    }

    /// How far this process's time of day is ahead of the store's time; none while that is not known.
    pub fn own_offset_ms(&self, store_time: Option<StoreTime>, now: Instant) -> Option<i64> {
        self.options.as_ref()?;
        ClockOffsets::offset_ms(self.clock.since_epoch(now), store_time?)
    }

    /// Notes how far another host's time of day is ahead of the store's time.
    pub fn record_clock_offset(&self, host: &HostId, offset_ms: i64, now: Instant) {
        self.offsets.lock().hear(host, offset_ms, now);
    }

    /// Takes in what another process counted.
    pub fn record_usage(&self, news: &UsageNews) {
        let mut ledger = self.ledger.lock();
        for window in &news.windows {
            ledger.merge(&news.hall, &news.process, window);
        }
    }

    /// Takes in the sums of another hall.
    pub fn record_hall_usage(&self, hall: &HallId, windows: &[WindowCounts]) {
        let mut ledger = self.ledger.lock();
        for window in windows {
            ledger.merge_hall(hall, window);
        }
    }

    /// Takes in what another host tells of the lease.
    pub fn record_lease_news(&self, news: &LeaseSummary, now: Instant) {
        self.lease.lock().record_summary(news, now);
    }

    /// What this process counted in the window of a time and in those before it that may still be
    /// reported.
    pub fn own_usage(&self, store_time: Option<StoreTime>, now: Instant) -> Option<UsageNews> {
        let windows = self.last_windows(store_time, now, |ledger, from| {
            ledger.process_counts(&self.hall, &self.process, from)
        })?;
        Some(UsageNews {
            process: self.process.clone(),
            hall: self.hall.clone(),
            windows,
        })
    }

    /// What the processes of this hall counted in the same windows.
    pub fn hall_usage(&self, store_time: Option<StoreTime>, now: Instant) -> Vec<WindowCounts> {
        let hall_counts = |ledger: &UsageLedger, from| ledger.hall_counts(&self.hall, from);
        self.last_windows(store_time, now, hall_counts)
            .unwrap_or_default()
    }

    fn last_windows(
        &self,
        store_time: Option<StoreTime>,
        now: Instant,
        read: impl Fn(&UsageLedger, WindowIndex) -> Vec<WindowCounts>,
    ) -> Option<Vec<WindowCounts>> {
        let options = self.options.as_ref()?;
        let current = options.usage.window_at(self.since_epoch(store_time, now));
        let windows = read(&self.ledger.lock(), current.saturating_sub(WINDOWS_TOLD));
        (!windows.is_empty()).then_some(windows)
    }

    /// The right to act at a moment; none where this host does not hold the lease.
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.lease.lock().tenure(now)
    }

    /// Takes in how far windows are reported, as this host wrote it or another one tells.
    pub fn merge_decided(&self, other: &DecidedUsage) {
        let mut known = self.decided.lock();
        let is_settled = other.next == known.next && other.open.len() < known.open.len();
        if other.next > known.next || is_settled {
            known.clone_from(other);
        }
    }

    /// How far windows are reported, for those that may hold the duties next. Who heard it tells it as well: the
    /// one that wrote it may start again, and take the lease from a row that is older.
    pub fn decided_to_gossip(&self) -> Option<DecidedUsage> {
        let known = self.decided.lock().clone();
        (known != DecidedUsage::default()).then_some(known)
    }

    /// Adds to a row that was read the decisions that the store lost; whether there were any.
    pub fn add_lost_decisions(&self, usage: &mut UsageRecord) -> bool {
        usage.add_missing(&self.decided.lock())
    }

    /// What other hosts are told of the lease: by its holder, and for a while by the one that gave it up.
    pub fn lease_to_tell(&self, now: Instant) -> Option<LeaseSummary> {
        self.options.as_ref()?;
        let lease = self.lease.lock();
        if lease.tenure(now).is_some() {
            return lease.summary();
        }
        lease.summary().filter(|news| news.holder.is_none())
    }

    /// Who holds the lease, as far as was heard or read.
    pub fn holder(&self) -> Option<HostId> {
        self.lease.lock().holder().map(|holder| holder.host.clone())
    }

    /// Reads or changes what is known of the lease.
    pub fn with_lease<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        act(&mut self.lease.lock())
    }

    /// Reads or changes the counts.
    pub fn with_ledger<T>(&self, act: impl FnOnce(&mut UsageLedger) -> T) -> T {
        act(&mut self.ledger.lock())
    }
}
