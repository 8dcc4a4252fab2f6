//! A lease that one process at a time holds, kept in one row of a store by writes under a condition.
//!
//! Nothing is judged by a time of day. A holder counts from the moment before it asked for its last
//! renewal; a contender counts from the moment at which it first knew the row's present version. The
//! first moment is before the second, and [`LeaseTiming::hold`] is shorter than
//! [`LeaseTiming::expiry`], so a holder stops before another one begins, without a common clock.
//!
//! Each taking raises the fencing token. Who held the lease before is kept in the row for
//! [`LeaseTiming::cooldown`], so that no host takes it back while others may still see its last acts: not
//! even one that has restarted since and knows nothing.

mod record;
mod step;

pub use record::{
    FencingToken, FormerHolder, LeaseRecord, LeaseSummary, LeaseTiming, ProcessId, RowVersion,
    StoreTime,
};
pub use step::{Purpose, Role, Step, Tenure};
use {
    std::time::{Duration, Instant},
    tealshore_core::{
        ids::HostId,
        protection::{Protection, enabled},
    },
};

/// The tokens of one era of the store: none is given out in two of them, though rows are lost between them.
const FENCES_PER_ERA: FencingToken = 1 << 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownRow {
    version: RowVersion,
    record: LeaseRecord,
}

/// The newest version of the row that is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LatestVersion {
    version: RowVersion,
    /// When this process first knew it.
    known_since: Instant,
    /// Who holds the lease by it.
    holder: Option<ProcessId>,
}

/// A write that may have been done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedWrite {
    serial: u64,
    requested_at: Instant,
}

/// What one process knows of the lease and may do about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    own: ProcessId,
    timing: LeaseTiming,
    /// The row as it was last read or written.
    known_row: Option<KnownRow>,
    latest: Option<LatestVersion>,
    tenure: Option<Tenure>,
    /// When the tenure was last renewed.
    last_renewal: Option<Instant>,
    unconfirmed_write: Option<UnconfirmedWrite>,
    /// The writes that this process asked for.
    serial: u64,
    /// The row has to be read before anything else is decided.
    needs_read: bool,
    /// The highest token that was read or heard. A store that lost the row does not know it.
    highest_fence: FencingToken,
    /// The store was restored from an older copy, and this process has not written the row since: a row that was
    /// lost may have let another process act until then.
    restore_grace_until: Option<Instant>,
    /// The first token of the era of the store that this process knows of.
    era_min_fence: FencingToken,
}

impl Lease {
    /// The lease as a process knows it that has just started.
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

    /// The right to act at a moment; none where this process does not hold the lease.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.tenure
            .filter(|tenure| now < tenure.until || !enabled(Protection::DutyTenure))
    }

    /// Who holds the lease by the newest version of the row that is known.
    #[must_use]
    pub fn holder(&self) -> Option<&ProcessId> {
        self.latest.as_ref()?.holder.as_ref()
    }

    /// The row as it was last read or written: what other hosts are told of it.
    #[must_use]
    pub fn summary(&self) -> Option<LeaseSummary> {
        let known_row = self.known_row.as_ref()?;
        Some(LeaseSummary {
            version: known_row.version,
            fence: known_row.record.fence,
            holder: known_row.record.holder.clone(),
        })
    }

    /// Notes what another host tells of the row.
    pub fn record_summary(&mut self, summary: &LeaseSummary, now: Instant) {
        self.highest_fence = self.highest_fence.max(summary.fence);
        self.record_version(summary.version, summary.holder.as_ref(), now);
    }

    /// Notes the row as it was read; none where there is none.
    pub fn record_read(&mut self, row: Option<(RowVersion, LeaseRecord)>, now: Instant) {
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
        self.known_row = Some(KnownRow { version, record });
    }

    /// The row to write, as [`Self::next_step`] gave it, with a number of its own. The tenure ends before a
    /// release is sent: another host may take the lease before this process has the answer.
    #[must_use]
    pub fn prepare_write(&mut self, mut record: LeaseRecord) -> LeaseRecord {
        if record.holder.is_none() {
            self.end_tenure();
        }
        self.serial += 1;
        record.serial = self.serial;
        record
    }

    /// Notes that a write was done.
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
        self.known_row = Some(KnownRow { version, record });
    }

    /// Notes that a write was not done, because the row had changed.
    pub fn record_conflict(&mut self) {
        self.end_tenure();
        self.needs_read = true;
    }

    /// Notes that a write may have been done, now or later.
    pub fn record_unknown_outcome(&mut self, record: &LeaseRecord, requested_at: Instant) {
        self.unconfirmed_write = Some(UnconfirmedWrite {
            serial: record.serial,
            requested_at,
        });
        self.needs_read = true;
    }

    /// Notes that the receiver of a call refused this process's token, since it knows a higher one: this
    /// process holds nothing, and takes the lease under a higher token if it takes it again.
    pub fn record_fenced(&mut self) {
        if let Some(tenure) = self.tenure {
            self.highest_fence = self.highest_fence.max(tenure.fence + 1);
        }
        self.end_tenure();
        self.needs_read = true;
    }

    /// Notes that the store came back from an older copy, for the `era`th time. The row that gave the lease may be
    /// lost, and whoever holds it may not know that yet: nobody takes it for the time that it lasts.
    pub fn record_store_restored(&mut self, era: u32, now: Instant) {
        self.era_min_fence = FencingToken::from(era) * FENCES_PER_ERA;
        self.end_tenure();
        self.known_row = None;
        self.latest = None;
        self.unconfirmed_write = None;
        self.needs_read = true;
        self.restore_grace_until = Some(now + self.timing.expiry);
    }

    /// Asks for a renewal now, so that what the row carries beside the lease is written at once.
    pub fn renew_now(&mut self) {
        self.last_renewal = None;
    }

    /// What to do at a moment. `store_time` is the store's time then, or one that is later by less than
    /// the quarter by which a rest is longer than a lease; none while that is not known.
    #[must_use]
    pub fn next_step(&self, store_time: Option<StoreTime>, role: Role, now: Instant) -> Step {
        let known_row = self.known_row.as_ref();
        let is_own =
            known_row.is_some_and(|known_row| known_row.record.holder.as_ref() == Some(&self.own));
        if self.needs_read {
            // A write that came late may have changed the row: what is still held is to be released.
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
        // A row of the restored store may be older than another holder's, which is lost.
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

    /// Renews what this process holds, also after its time was over: the condition of the write tells
    /// whether another one took it.
    fn renewal_step(&self, known_row: &KnownRow, now: Instant) -> Step {
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
            // What the row carries beside the lease is not known.
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

    /// The row once this process has taken the lease from whoever had it.
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

    /// Believes the store that has an older version than was known, or no row: else it would be read
    /// again and again. Whoever held the lease may not know yet, and keeps it for an expiry.
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
