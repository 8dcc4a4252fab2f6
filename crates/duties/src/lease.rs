//! A lease that at most one process holds at a time. It is stored in one row, which is changed only by
//! conditional writes on the row's version.
//!
//! The lease needs no synchronized clocks. A holder measures its tenure from the moment before it sent
//! its last renewal; a contender measures the expiry from the moment when it first learned of the row's
//! current version. The first moment precedes the second, and [`LeaseTiming::hold`] is shorter than
//! [`LeaseTiming::expiry`], so a holder stops before the next one starts.
//!
//! Each acquisition increases the fencing token. The row lists former holders for
//! [`LeaseTiming::cooldown`], so that a host does not take the lease again while receivers may still get
//! its last calls. As the list is in the row, this also holds for a host that restarted and lost its state.

mod record;
mod step;

pub use record::{
    FencingToken, FormerHolder, LeaseRecord, LeaseSummary, LeaseTiming, RowVersion, StoreTime,
};
pub use step::{Purpose, Role, Step, Tenure};
pub use tealshore_core::ids::ProcessId;
use {
    std::time::{Duration, Instant},
    tealshore_core::{
        ids::HostId,
        protection::{Protection, enabled},
    },
};

/// Number of fencing tokens reserved for each era of the store, so that no token is issued in two eras even
/// if a restore from an older copy loses rows.
const FENCES_PER_ERA: FencingToken = 1 << 32;

/// Returns the era of the store in which a token was issued.
#[must_use]
pub fn era_of(fence: FencingToken) -> u32 {
    u32::try_from(fence / FENCES_PER_ERA).unwrap_or(u32::MAX)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownRow {
    version: RowVersion,
    record: LeaseRecord,
    /// When the read or write was requested.
    requested_at: Instant,
}

/// The highest version of the row that this process knows of, from the store or from other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LatestVersion {
    version: RowVersion,
    /// When this process first learned of the version.
    known_since: Instant,
    /// The holder according to this version.
    holder: Option<ProcessId>,
}

/// A write whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedWrite {
    serial: u64,
    requested_at: Instant,
}

/// One process's state of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    own: ProcessId,
    timing: LeaseTiming,
    /// The row as it was last read or written.
    known_row: Option<KnownRow>,
    latest: Option<LatestVersion>,
    tenure: Option<Tenure>,
    /// When the last successful acquisition or renewal was requested.
    last_renewal: Option<Instant>,
    unconfirmed_write: Option<UnconfirmedWrite>,
    /// Number of writes that this process has requested.
    serial: u64,
    /// Whether the row must be read before the next decision.
    needs_read: bool,
    /// The highest token read from the row or received from other hosts. It outlives a loss of the row.
    highest_fence: FencingToken,
    /// Set after the store was restored from an older copy, until this process has written the row. Another
    /// process may still act until this moment under a row that the restore lost.
    restore_grace_until: Option<Instant>,
    /// The lowest token of the store's current era, as far as this process knows.
    era_min_fence: FencingToken,
}

impl Lease {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(own: ProcessId, timing: LeaseTiming) -> Self {
        Self {
            own,
            timing,
            known_row: None,
            latest: None,
            tenure: None,
            last_renewal: None,
            unconfirmed_write: None,
            serial: 0,
            needs_read: true,
            highest_fence: 0,
            restore_grace_until: None,
            era_min_fence: 0,
        }
    }

    /// Returns the tenure that is valid at `now`, or `None` if this process does not hold the lease.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.tenure
            .filter(|tenure| now < tenure.until || !enabled(Protection::DutyTenure))
    }

    /// Returns the holder according to the highest known version of the row.
    #[must_use]
    pub fn holder(&self) -> Option<&ProcessId> {
        self.latest.as_ref()?.holder.as_ref()
    }

    /// Returns a summary of the row as last read or written, to be sent to other hosts.
    #[must_use]
    pub fn summary(&self) -> Option<LeaseSummary> {
        let known_row = self.known_row.as_ref()?;
        Some(LeaseSummary {
            version: known_row.version,
            fence: known_row.record.fence,
            holder: known_row.record.holder.clone(),
        })
    }

    /// Records a summary of the row received from another host.
    pub fn record_summary(&mut self, summary: &LeaseSummary, now: Instant) {
        self.highest_fence = self.highest_fence.max(summary.fence);
        self.record_version(summary.version, summary.holder.as_ref(), now);
    }

    /// Records the result of a read; `None` if the row does not exist.
    pub fn record_read(
        &mut self,
        row: Option<(RowVersion, LeaseRecord)>,
        requested_at: Instant,
        now: Instant,
    ) {
        self.needs_read = false;
        let unconfirmed_write = self.unconfirmed_write.take();
        let (version, record) = row.unwrap_or_default();
        self.highest_fence = self.highest_fence.max(record.fence);
        self.record_version(version, record.holder.as_ref(), now);
        self.accept_older_version(version, now);
        let is_own = record.holder.as_ref() == Some(&self.own);
        let confirmed = unconfirmed_write.filter(|write| is_own && write.serial == record.serial);
        let is_unchanged = self
            .known_row
            .as_ref()
            .is_some_and(|known_row| known_row.version == version);
        if let Some(write) = confirmed {
            self.begin_tenure(record.fence, write.requested_at);
        } else if !is_unchanged {
            self.end_tenure();
        }
        self.known_row = Some(KnownRow {
            version,
            record,
            requested_at,
        });
    }

    /// Returns the step that stores data again which the store lost when it was restored from an older copy, or
    /// `None` if that is not possible now. The lease in the row stays as it is, so the write needs no tenure and
    /// gives none; it is sent without [`Self::prepare_write`].
    ///
    /// Once a process has taken the lease in the store's current era, only the holder writes: it knows what the
    /// others reported to it.
    #[must_use]
    pub fn write_back_step(&self) -> Option<Step> {
        let known_row = self.known_row.as_ref().filter(|_| !self.needs_read)?;
        let is_taken_in_era = known_row.record.fence >= self.era_min_fence;
        if is_taken_in_era || !enabled(Protection::DecisionWriteBack) {
            return None;
        }
        Some(Step::Write {
            record: known_row.record.clone(),
            expected: known_row.version,
            purpose: Purpose::WriteBack,
        })
    }

    /// Records that a write-back succeeded.
    pub fn record_written_back(
        &mut self,
        version: RowVersion,
        record: LeaseRecord,
        requested_at: Instant,
        now: Instant,
    ) {
        self.record_version(version, record.holder.as_ref(), now);
        self.known_row = Some(KnownRow {
            version,
            record,
            requested_at,
        });
    }

    /// Records that the outcome of a write-back is unknown.
    pub fn record_unknown_write_back(&mut self) {
        self.needs_read = true;
    }

    /// Prepares a record returned by [`Self::next_step`] for writing, and gives it a new serial number. For a
    /// release, this ends the tenure before the write is sent: another host may take the lease before this
    /// process receives the answer.
    #[must_use]
    pub fn prepare_write(&mut self, mut record: LeaseRecord) -> LeaseRecord {
        if record.holder.is_none() {
            self.end_tenure();
        }
        self.serial += 1;
        record.serial = self.serial;
        record
    }

    /// Records that a write succeeded.
    pub fn record_written(
        &mut self,
        version: RowVersion,
        record: LeaseRecord,
        requested_at: Instant,
        now: Instant,
    ) {
        self.record_version(version, record.holder.as_ref(), now);
        self.restore_grace_until = None;
        if record.holder.as_ref() == Some(&self.own) {
            self.begin_tenure(record.fence, requested_at);
        } else {
            self.end_tenure();
        }
        self.known_row = Some(KnownRow {
            version,
            record,
            requested_at,
        });
    }

    /// Records that a write failed because the row's version had changed.
    pub fn record_conflict(&mut self) {
        self.end_tenure();
        self.needs_read = true;
    }

    /// Records a write with an unknown outcome; the store may still apply it later.
    pub fn record_unknown_outcome(&mut self, record: &LeaseRecord, requested_at: Instant) {
        self.unconfirmed_write = Some(UnconfirmedWrite {
            serial: record.serial,
            requested_at,
        });
        self.needs_read = true;
    }

    /// Records that the receiver of a call rejected this process's token because it has seen a higher one.
    /// This ends the tenure, and a later acquisition uses a higher token.
    pub fn record_fenced(&mut self) {
        if let Some(tenure) = self.tenure {
            self.highest_fence = self.highest_fence.max(tenure.fence + 1);
        }
        self.end_tenure();
        self.needs_read = true;
    }

    /// Records that the store was restored from an older copy and is now in era `era`. The row of the current
    /// holder may be lost without its knowledge, so nobody takes the lease until it would have expired.
    pub fn record_store_restored(&mut self, era: u32, now: Instant) {
        self.era_min_fence = FencingToken::from(era) * FENCES_PER_ERA;
        self.end_tenure();
        self.known_row = None;
        self.latest = None;
        self.unconfirmed_write = None;
        self.needs_read = true;
        self.restore_grace_until = Some(now + self.timing.expiry);
    }

    /// Makes a renewal due immediately, so that the other data in the row is written without delay.
    pub fn renew_now(&mut self) {
        self.last_renewal = None;
    }

    /// Returns the next step at `now`. `store_time` is the store's time at that moment, or `None` while it is
    /// unknown. It may be ahead by less than the difference between cooldown and expiry, which is a quarter
    /// of the lease's length.
    #[must_use]
    pub fn next_step(&self, store_time: Option<StoreTime>, role: Role, now: Instant) -> Step {
        let known_row = self.known_row.as_ref();
        let is_own =
            known_row.is_some_and(|known_row| known_row.record.holder.as_ref() == Some(&self.own));
        if self.needs_read {
            // A delayed write may have changed the row, so a process that may still hold the lease reads
            // it again: a leaving one has to release it.
            let may_hold = is_own || self.unconfirmed_write.is_some();
            return match role {
                Role::Candidate { .. } => Step::Read,
                Role::NonCandidate | Role::Leaving if may_hold => Step::Read,
                Role::NonCandidate | Role::Leaving => Step::Wait(now + self.timing.renew_interval),
            };
        }
        let Some(known_row) = known_row else {
            return Step::Wait(now + self.timing.renew_interval);
        };
        // The restored row may be older than a lost row that names another holder.
        let is_own = is_own && self.restore_grace_until.is_none();
        match role {
            Role::Leaving if is_own => self.release_step(known_row, store_time, now),
            Role::Candidate { .. } | Role::NonCandidate if is_own => {
                self.renewal_step(known_row, now)
            }
            Role::Candidate { delay } => self.acquire_step(known_row, store_time, delay, now),
            Role::NonCandidate | Role::Leaving => Step::Wait(now + self.timing.renew_interval),
        }
    }

    /// Renews the lease, even after the tenure has ended: the conditional write fails if another process
    /// has taken it. A row that was last read or written longer ago than a tenure lasts is read again first.
    /// Another process may have taken the lease since then and a restore of the store may have lost its write, so
    /// that the condition would hold although the lease was taken.
    fn renewal_step(&self, known_row: &KnownRow, now: Instant) -> Step {
        if now >= known_row.requested_at + self.timing.hold {
            return Step::Read;
        }
        let due = self
            .last_renewal
            .map(|last_renewal| last_renewal + self.timing.renew_interval);
        if let Some(due) = due
            && now < due
        {
            return Step::Wait(due);
        }
        let mut record = known_row.record.clone();
        let purpose = if record.fence < self.highest_fence {
            record.fence = self.highest_fence;
            Purpose::Take
        } else {
            Purpose::Renew
        };
        Step::Write {
            record,
            expected: known_row.version,
            purpose,
        }
    }

    fn release_step(
        &self,
        known_row: &KnownRow,
        store_time: Option<StoreTime>,
        now: Instant,
    ) -> Step {
        let Some(store_time) = store_time else {
            return Step::Wait(now + self.timing.renew_interval);
        };
        let mut record = known_row.record.clone();
        record.holder = None;
        self.add_former_holder(&mut record, self.own.host.clone(), store_time);
        Step::Write {
            record,
            expected: known_row.version,
            purpose: Purpose::Release,
        }
    }

    fn acquire_step(
        &self,
        known_row: &KnownRow,
        store_time: Option<StoreTime>,
        delay: Duration,
        now: Instant,
    ) -> Step {
        let (Some(latest), Some(store_time)) = (&self.latest, store_time) else {
            return Step::Read;
        };
        let held_for = match latest.holder {
            Some(_) if enabled(Protection::LeaseExpiry) => self.timing.expiry,
            Some(_) | None => Duration::ZERO,
        };
        let mut free_from = latest.known_since + held_for + delay;
        if let Some(until) = self.restore_grace_until {
            free_from = free_from.max(until + delay);
        }
        if now < free_from {
            return Step::Wait(free_from);
        }
        if latest.version > known_row.version {
            // The other data in the row may have changed as well.
            return Step::Read;
        }
        let own_host = &self.own.host;
        let own_records = known_row
            .record
            .former
            .iter()
            .filter(|it| it.host == *own_host);
        if let Some(cooldown_end) = own_records.map(|it| it.left + self.timing.cooldown).max()
            && store_time < cooldown_end
        {
            return Step::Wait(now + (cooldown_end - store_time));
        }
        Step::Write {
            record: self.acquired_record(&known_row.record, store_time),
            expected: known_row.version,
            purpose: Purpose::Take,
        }
    }

    /// Returns the record to write when this process takes the lease.
    fn acquired_record(&self, before: &LeaseRecord, store_time: StoreTime) -> LeaseRecord {
        let mut record = before.clone();
        let other = before.holder.as_ref().filter(|it| it.host != self.own.host);
        if let Some(other) = other {
            self.add_former_holder(&mut record, other.host.clone(), store_time);
        }
        let cooldown = self.timing.cooldown;
        record.former.retain(|it| store_time < it.left + cooldown);
        record.holder = Some(self.own.clone());
        let highest = record.fence.max(self.highest_fence);
        record.fence = (highest + 1).max(self.era_min_fence);
        record
    }

    fn add_former_holder(&self, record: &mut LeaseRecord, host: HostId, left: StoreTime) {
        record.former.retain(|it| it.host != host);
        record.former.push(FormerHolder { host, left });
    }

    fn begin_tenure(&mut self, fence: FencingToken, requested_at: Instant) {
        self.tenure = Some(Tenure {
            fence,
            until: requested_at + self.timing.hold,
        });
        self.last_renewal = Some(requested_at);
    }

    fn end_tenure(&mut self) {
        self.tenure = None;
        self.last_renewal = None;
    }

    /// Accepts a row whose version is lower than the highest known one, or a missing row; otherwise this
    /// process would read it over and over. The wait starts anew, since the former holder may not know
    /// of the loss and may act until its lease expires.
    fn accept_older_version(&mut self, version: RowVersion, now: Instant) {
        if let Some(latest) = &mut self.latest
            && version < latest.version
        {
            latest.version = version;
            latest.known_since = now;
        }
    }

    fn record_version(&mut self, version: RowVersion, holder: Option<&ProcessId>, now: Instant) {
        let latest = self.latest.as_ref();
        if latest.is_none_or(|latest| version > latest.version) {
            self.latest = Some(LatestVersion {
                version,
                known_since: now,
                holder: holder.cloned(),
            });
        }
    }
}
