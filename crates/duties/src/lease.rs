//! A lease that one process at a time holds, kept in one row of a store by writes under a condition.
//!
//! Nothing is judged by a time of day. A holder counts from the moment before it asked for its last
//! renewal; a contender counts from the moment at which it first knew the row's present version. The
//! first moment is before the second, and [`LeaseTiming::hold`] is shorter than
//! [`LeaseTiming::expiry`], so a holder stops before another one begins, without a common clock.
//!
//! Each taking raises the fencing token. Who held the lease before is kept in the row for
//! [`LeaseTiming::rest`], so that no host takes it back while others may still see its last acts: not
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
const FENCES_OF_AN_ERA: FencingToken = 1 << 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    version: RowVersion,
    record: LeaseRecord,
}

/// The newest version of the row that is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Newest {
    version: RowVersion,
    /// When this process first knew it.
    since: Instant,
    /// Who holds the lease by it.
    holder: Option<ProcessId>,
}

/// A write that may have been done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct InDoubt {
    serial: u64,
    asked: Instant,
}

/// What one process knows of the lease and may do about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    own: ProcessId,
    bounds: LeaseTiming,
    /// The row as it was last read or written.
    seen: Option<Seen>,
    newest: Option<Newest>,
    tenure: Option<Tenure>,
    /// When the tenure was last renewed.
    renewed: Option<Instant>,
    in_doubt: Option<InDoubt>,
    /// The writes that this process asked for.
    serial: u64,
    /// The row has to be read before anything else is decided.
    must_read: bool,
    /// The highest token that was read or heard. A store that lost the row does not know it.
    highest_fence: FencingToken,
    /// The store was restored from an older copy, and this process has not written the row since: a row that was
    /// lost may have let another process act until then.
    restore_grace_until: Option<Instant>,
    /// The first token of the era of the store that this process knows of.
    first_fence: FencingToken,
}

impl Lease {
    /// The lease as a process knows it that has just started.
    #[must_use]
    pub fn new(own: ProcessId, bounds: LeaseTiming) -> Self {
        Self {
            own,
            bounds,
            seen: None,
            newest: None,
            tenure: None,
            renewed: None,
            in_doubt: None,
            serial: 0,
            must_read: true,
            highest_fence: 0,
            restore_grace_until: None,
            first_fence: 0,
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
        self.newest.as_ref()?.holder.as_ref()
    }

    /// The row as it was last read or written: what other hosts are told of it.
    #[must_use]
    pub fn summary(&self) -> Option<LeaseSummary> {
        let seen = self.seen.as_ref()?;
        Some(LeaseSummary {
            version: seen.version,
            fence: seen.record.fence,
            holder: seen.record.holder.clone(),
        })
    }

    /// Notes what another host tells of the row.
    pub fn record_summary(&mut self, news: &LeaseSummary, now: Instant) {
        self.highest_fence = self.highest_fence.max(news.fence);
        self.note_version(news.version, news.holder.as_ref(), now);
    }

    /// Notes the row as it was read; none where there is none.
    pub fn record_read(&mut self, row: Option<(RowVersion, LeaseRecord)>, now: Instant) {
        self.must_read = false;
        let in_doubt = self.in_doubt.take();
        let (version, record) = row.unwrap_or_default();
        self.highest_fence = self.highest_fence.max(record.fence);
        self.note_version(version, record.holder.as_ref(), now);
        self.note_older(version, now);
        let is_own = record.holder.as_ref() == Some(&self.own);
        let done = in_doubt.filter(|write| is_own && write.serial == record.serial);
        let is_unchanged = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if let Some(write) = done {
            self.begin_tenure(record.fence, write.asked);
        } else if !is_unchanged {
            self.end_tenure();
        }
        self.seen = Some(Seen { version, record });
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
        asked: Instant,
        now: Instant,
    ) {
        self.note_version(version, record.holder.as_ref(), now);
        self.restore_grace_until = None;
        if record.holder.as_ref() == Some(&self.own) {
            self.begin_tenure(record.fence, asked);
        } else {
            self.end_tenure();
        }
        self.seen = Some(Seen { version, record });
    }

    /// Notes that a write was not done, because the row had changed.
    pub fn record_conflict(&mut self) {
        self.end_tenure();
        self.must_read = true;
    }

    /// Notes that a write may have been done, now or later.
    pub fn record_unknown_outcome(&mut self, record: &LeaseRecord, asked: Instant) {
        self.in_doubt = Some(InDoubt {
            serial: record.serial,
            asked,
        });
        self.must_read = true;
    }

    /// Notes that the receiver of a call refused this process's token, since it knows a higher one: this
    /// process holds nothing, and takes the lease under a higher token if it takes it again.
    pub fn record_fenced(&mut self) {
        if let Some(tenure) = self.tenure {
            self.highest_fence = self.highest_fence.max(tenure.fence + 1);
        }
        self.end_tenure();
        self.must_read = true;
    }

    /// Notes that the store came back from an older copy, for the `era`th time. The row that gave the lease may be
    /// lost, and whoever holds it may not know that yet: nobody takes it for the time that it lasts.
    pub fn record_store_restored(&mut self, era: u32, now: Instant) {
        self.first_fence = FencingToken::from(era) * FENCES_OF_AN_ERA;
        self.end_tenure();
        self.seen = None;
        self.newest = None;
        self.in_doubt = None;
        self.must_read = true;
        self.restore_grace_until = Some(now + self.bounds.expiry);
    }

    /// Asks for a renewal now, so that what the row carries beside the lease is written at once.
    pub fn renew_now(&mut self) {
        self.renewed = None;
    }

    /// What to do at a moment. `store_time` is the store's time then, or one that is later by less than
    /// the quarter by which a rest is longer than a lease; none while that is not known.
    #[must_use]
    pub fn next_step(&self, store_time: Option<StoreTime>, role: Role, now: Instant) -> Step {
        let seen = self.seen.as_ref();
        let is_own = seen.is_some_and(|seen| seen.record.holder.as_ref() == Some(&self.own));
        if self.must_read {
            // A write that came late may have changed the row: what is still held is to be released.
            let may_hold = is_own || self.in_doubt.is_some();
            return match role {
                Role::Candidate { .. } => Step::Read,
                Role::NonCandidate | Role::Leaving if may_hold => Step::Read,
                Role::NonCandidate | Role::Leaving => Step::Wait(now + self.bounds.renew),
            };
        }
        let Some(seen) = seen else {
            return Step::Wait(now + self.bounds.renew);
        };
        // A row of the restored store may be older than another holder's, which is lost.
        let is_own = is_own && self.restore_grace_until.is_none();
        match role {
            Role::Leaving if is_own => self.release(seen, store_time, now),
            Role::Candidate { .. } | Role::NonCandidate if is_own => self.renew(seen, now),
            Role::Candidate { delay } => self.contend(seen, store_time, delay, now),
            Role::NonCandidate | Role::Leaving => Step::Wait(now + self.bounds.renew),
        }
    }

    /// Renews what this process holds, also after its time was over: the condition of the write tells
    /// whether another one took it.
    fn renew(&self, seen: &Seen, now: Instant) -> Step {
        let due = self.renewed.map(|renewed| renewed + self.bounds.renew);
        if let Some(due) = due
            && now < due
        {
            return Step::Wait(due);
        }
        let mut record = seen.record.clone();
        let purpose = if record.fence < self.highest_fence {
            record.fence = self.highest_fence;
            Purpose::Take
        } else {
            Purpose::Renew
        };
        Step::Write {
            record,
            expected: seen.version,
            purpose,
        }
    }

    fn release(&self, seen: &Seen, store_time: Option<StoreTime>, now: Instant) -> Step {
        let Some(store_time) = store_time else {
            return Step::Wait(now + self.bounds.renew);
        };
        let mut record = seen.record.clone();
        record.holder = None;
        self.add_former(&mut record, self.own.host.clone(), store_time);
        Step::Write {
            record,
            expected: seen.version,
            purpose: Purpose::Release,
        }
    }

    fn contend(
        &self,
        seen: &Seen,
        store_time: Option<StoreTime>,
        delay: Duration,
        now: Instant,
    ) -> Step {
        let (Some(newest), Some(store_time)) = (&self.newest, store_time) else {
            return Step::Read;
        };
        let held_for = match newest.holder {
            Some(_) if enabled(Protection::LeaseExpiry) => self.bounds.expiry,
            Some(_) | None => Duration::ZERO,
        };
        let mut free_from = newest.since + held_for + delay;
        if let Some(until) = self.restore_grace_until {
            free_from = free_from.max(until + delay);
        }
        if now < free_from {
            return Step::Wait(free_from);
        }
        if newest.version > seen.version {
            // What the row carries beside the lease is not known.
            return Step::Read;
        }
        let own_host = &self.own.host;
        let left = seen.record.former.iter().filter(|it| it.host == *own_host);
        if let Some(rested) = left.map(|it| it.left + self.bounds.rest).max()
            && store_time < rested
        {
            return Step::Wait(now + (rested - store_time));
        }
        Step::Write {
            record: self.taken(&seen.record, store_time),
            expected: seen.version,
            purpose: Purpose::Take,
        }
    }

    /// The row once this process has taken the lease from whoever had it.
    fn taken(&self, before: &LeaseRecord, store_time: StoreTime) -> LeaseRecord {
        let mut record = before.clone();
        let other = before.holder.as_ref().filter(|it| it.host != self.own.host);
        if let Some(other) = other {
            self.add_former(&mut record, other.host.clone(), store_time);
        }
        let rest = self.bounds.rest;
        record.former.retain(|it| store_time < it.left + rest);
        record.holder = Some(self.own.clone());
        let highest = record.fence.max(self.highest_fence);
        record.fence = (highest + 1).max(self.first_fence);
        record
    }

    fn add_former(&self, record: &mut LeaseRecord, host: HostId, left: StoreTime) {
        record.former.retain(|it| it.host != host);
        record.former.push(FormerHolder { host, left });
    }

    fn begin_tenure(&mut self, fence: FencingToken, asked: Instant) {
        self.tenure = Some(Tenure {
            fence,
            until: asked + self.bounds.hold,
        });
        self.renewed = Some(asked);
    }

    fn end_tenure(&mut self) {
        self.tenure = None;
        self.renewed = None;
    }

    /// Believes the store that has an older version than was known, or no row: else it would be read
    /// again and again. Whoever held the lease may not know yet, and keeps it for an expiry.
    fn note_older(&mut self, version: RowVersion, now: Instant) {
        if let Some(newest) = &mut self.newest
            && version < newest.version
        {
            newest.version = version;
            newest.since = now;
        }
    }

    fn note_version(&mut self, version: RowVersion, holder: Option<&ProcessId>, now: Instant) {
        let newest = self.newest.as_ref();
        if newest.is_none_or(|newest| version > newest.version) {
            self.newest = Some(Newest {
                version,
                since: now,
                holder: holder.cloned(),
            });
        }
    }
}
