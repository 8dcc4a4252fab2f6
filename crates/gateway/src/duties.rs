//! Duties that one host of the system performs at a time: usage reports and orders for engines.
//!
//! Decisions are stored in the same row as the lease, so that the holder of the lease knows all earlier
//! decisions. `sync::duties` reads and writes the row and makes the calls; this module contains a host's state
//! of the duties.

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

/// Number of hosts, the first by rank, that may acquire the lease and receive its state and the counts. Counts
/// that the row lacks are lost only if three of these hosts fail within the same second.
pub const MAX_CANDIDATES: usize = 4;

/// Number of windows before the current one whose counts are sent. A new holder that has not received any before
/// can still decide the windows whose reports are not late yet.
const PAST_WINDOWS_SHARED: WindowIndex = 2;

/// The counts that a process sends to the candidates.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UsageUpdate {
    /// The process.
    pub process: ProcessId,
    /// Its hall.
    pub hall: HallId,
    /// Its counts in the last windows.
    pub windows: Vec<WindowCounts>,
}

/// A host's state of the duties.
pub struct Duties {
    /// The settings; `None` if the deployment has no duties.
    options: Option<DutyOptions>,
    process: ProcessId,
    hall: HallId,
    clock: OwnClock,
    offsets: Mutex<ClockOffsets>,
    lease: Mutex<Lease>,
    ledger: Mutex<UsageLedger>,
    /// Progress of the usage reports, as last written or received by this host.
    decided: Mutex<DecidedUsage>,
}

impl Duties {
    /// Creates the state of a process that starts now.
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

    /// The settings; `None` if the deployment has no duties.
    pub fn options(&self) -> Option<&DutyOptions> {
        self.options.as_ref()
    }

    /// Whether the deployment has this duty.
    pub fn has(&self, duty: Duty) -> bool {
        let options = self.options.as_ref();
        options.is_some_and(|options| options.duties.contains(&duty))
    }

    /// This process.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Counts a customer's request that an upstream has started. `store_time` is the current time of the store,
    /// or `None` while it is unknown.
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

    /// The time since the Unix epoch by the clocks of all hosts whose offset is known.
    pub fn since_epoch(&self, store_time: Option<StoreTime>, now: Instant) -> Duration {
        let own = self.clock.since_epoch(now);
        let Some(store_time) = store_time else {
            return own;
        };
        let offsets = self.offsets.lock();
        offsets.since_epoch(own, store_time, now)
    }

    /// How far this process's wall clock is ahead of the store's time; `None` while the latter is unknown.
    pub fn own_offset_ms(&self, store_time: Option<StoreTime>, now: Instant) -> Option<i64> {
        self.options.as_ref()?;
        ClockOffsets::offset_ms(self.clock.since_epoch(now), store_time?)
    }

    /// Records how far another host's wall clock is ahead of the store's time.
    pub fn record_clock_offset(&self, host: &HostId, offset_ms: i64, now: Instant) {
        self.offsets.lock().record(host, offset_ms, now);
    }

    /// Merges the counts of another process.
    pub fn record_usage(&self, update: &UsageUpdate) {
        let mut ledger = self.ledger.lock();
        for window in &update.windows {
            ledger.merge(&update.hall, &update.process, window);
        }
    }

    /// Merges the sums of another hall.
    pub fn record_hall_usage(&self, hall: &HallId, windows: &[WindowCounts]) {
        let mut ledger = self.ledger.lock();
        for window in windows {
            ledger.merge_hall(hall, window);
        }
    }

    /// Applies the state of the lease as reported by another host.
    pub fn record_lease_summary(&self, summary: &LeaseSummary, now: Instant) {
        self.lease.lock().record_summary(summary, now);
    }

    /// The counts of this process in the current window and in earlier ones that may still be reported.
    pub fn own_usage(&self, store_time: Option<StoreTime>, now: Instant) -> UsageUpdate {
        let process_counts =
            |ledger: &UsageLedger, from| ledger.process_counts(&self.hall, &self.process, from);
        self.usage_update(self.recent_windows(store_time, now, process_counts))
    }

    /// An update of this process with the counts of these windows.
    pub fn usage_update(&self, windows: Vec<WindowCounts>) -> UsageUpdate {
        UsageUpdate {
            process: self.process.clone(),
            hall: self.hall.clone(),
            windows,
        }
    }

    /// The counts of this hall's processes in the same windows.
    pub fn hall_usage(&self, store_time: Option<StoreTime>, now: Instant) -> Vec<WindowCounts> {
        let hall_counts = |ledger: &UsageLedger, from| ledger.hall_counts(&self.hall, from);
        self.recent_windows(store_time, now, hall_counts)
    }

    fn recent_windows(
        &self,
        store_time: Option<StoreTime>,
        now: Instant,
        read: impl Fn(&UsageLedger, WindowIndex) -> Vec<WindowCounts>,
    ) -> Vec<WindowCounts> {
        let Some(options) = &self.options else {
            return Vec::new();
        };
        let current = options.usage.window_at(self.since_epoch(store_time, now));
        read(
            &self.ledger.lock(),
            current.saturating_sub(PAST_WINDOWS_SHARED),
        )
    }

    /// The right to perform the duties at `now`; `None` if this host does not hold the lease.
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.lease.lock().tenure(now)
    }

    /// Merges the progress of the usage reports, as written by this host or received from another.
    pub fn merge_decided(&self, other: &DecidedUsage) {
        let mut known = self.decided.lock();
        let is_settled = other.next == known.next && other.open.len() < known.open.len();
        if other.next > known.next || is_settled {
            known.clone_from(other);
        }
    }

    /// Progress of the usage reports for the hosts that may hold the duties next. Hosts that received it forward
    /// it as well: the host that wrote it may restart and acquire the lease from an older row.
    pub fn decided_to_report(&self) -> Option<DecidedUsage> {
        let known = self.decided.lock().clone();
        (known != DecidedUsage::default()).then_some(known)
    }

    /// Adds decisions that the store lost to a row that was read. Returns whether there were any.
    pub fn add_lost_decisions(&self, usage: &mut UsageRecord) -> bool {
        usage.add_missing(&self.decided.lock())
    }

    /// The state of the lease to send to other hosts. It is sent by the holder and, for a while, by the host
    /// that released the lease.
    pub fn lease_to_report(&self, now: Instant) -> Option<LeaseSummary> {
        self.options.as_ref()?;
        let lease = self.lease.lock();
        if lease.tenure(now).is_some() {
            return lease.summary();
        }
        lease.summary().filter(|summary| summary.holder.is_none())
    }

    /// The holder of the lease as last received or read.
    pub fn holder(&self) -> Option<HostId> {
        self.lease.lock().holder().map(|holder| holder.host.clone())
    }

    /// Reads or changes the state of the lease.
    pub fn with_lease<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        act(&mut self.lease.lock())
    }

    /// Reads or changes the counts.
    pub fn with_ledger<T>(&self, act: impl FnOnce(&mut UsageLedger) -> T) -> T {
        act(&mut self.ledger.lock())
    }
}
