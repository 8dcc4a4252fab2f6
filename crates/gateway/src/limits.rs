//! Request limits that upstreams announce for all hosts together: which limits are known, the permits that
//! other hosts lent to this one, and the permits that this host lends.

use {
    parking_lot::{Mutex, RwLock},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        ids::{EngineId, HostId, StartTime},
        protection::{Protection, enabled},
    },
    tealshore_rates::{
        AdvertisedLimit, Ask, Borrower, KnownLimits, Lender, LimitChange, LimitUpdate, Loan,
        NextPermit, PermitRequest,
    },
};

/// Limits and permits that this host knows of. Each part has its own lock, and no two are held at the same
/// time.
#[derive(Default)]
pub struct UpstreamLimits {
    known: RwLock<KnownLimits>,
    borrower: Mutex<Borrower>,
    lender: Mutex<Lender>,
    /// Counts since the last log line that reported them.
    counts: LimitCounts,
}

/// Counts of requests and permits for upstreams with a limit.
#[derive(Debug, Default)]
pub struct LimitCounts {
    /// Requests that were sent with a permit.
    pub sent: AtomicU64,
    /// Requests for which there was no permit when they were about to be sent.
    pub short: AtomicU64,
    /// Permits that this host asked for.
    pub asked: AtomicU64,
    /// Permits that it got.
    pub got: AtomicU64,
    /// Permits that it lent.
    pub lent: AtomicU64,
}

impl LimitCounts {
    /// Returns the counts and resets them, or returns none if all are 0.
    pub fn take(&self) -> Option<[u64; 5]> {
        let all = [&self.sent, &self.short, &self.asked, &self.got, &self.lent];
        let counts = all.map(|count| count.swap(0, Ordering::Relaxed));
        (counts != [0; 5]).then_some(counts)
    }
}

impl UpstreamLimits {
    /// Records the limit that the answer to a request announces. The request was sent at `sent`. Returns the
    /// change, if there is one.
    pub fn record_answer(
        &self,
        id: &EngineId,
        born: StartTime,
        named: AdvertisedLimit,
        sent: Instant,
    ) -> Option<LimitChange> {
        let mut known = self.known.write();
        known.record_answer(id, born, named, sent, clock::now())
    }

    /// Merges a limit that another host reported. Returns whether it was new.
    pub fn merge(&self, update: &LimitUpdate, now: Instant) -> bool {
        self.known.write().merge(update, now)
    }

    /// Requests per second that this incarnation of an upstream accepts from all hosts together, or none if
    /// it announces no limit.
    pub fn per_s(&self, id: &EngineId, born: StartTime, now: Instant) -> Option<f64> {
        let known = self.known.read();
        let per_s = known.per_s(id, born, now);
        per_s.filter(|_| enabled(Protection::SharedLimits))
    }

    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.known.read().is_empty()
    }

    /// Known limits of the given upstreams, for other hosts.
    pub fn updates_for<'a>(
        &self,
        ids: impl Iterator<Item = &'a EngineId>,
        now: Instant,
    ) -> Vec<LimitUpdate> {
        let known = self.known.read();
        ids.filter_map(|id| known.update_for(id, now)).collect()
    }

    /// All known limits, for other hosts.
    pub fn updates(&self, now: Instant) -> Vec<LimitUpdate> {
        self.known.read().updates(now)
    }

    /// Whether this host has a permit for an upstream.
    pub fn has_permit(&self, id: &EngineId, now: Instant) -> bool {
        self.borrower.lock().has_permit(id, now)
    }

    /// Whether the lender of an upstream may be asked now.
    pub fn may_ask(&self, id: &str, now: Instant) -> bool {
        self.borrower.lock().may_ask(id, now)
    }

    /// Takes a permit for a request that is about to be sent. Returns whether there was one.
    pub fn take(&self, id: &EngineId, now: Instant) -> bool {
        let is_taken = self.borrower.lock().take(id, now);
        let count = if is_taken {
            &self.counts.sent
        } else {
            &self.counts.short
        };
        count.fetch_add(1, Ordering::Relaxed);
        is_taken
    }

    /// Records a request that had to be sent without a permit.
    pub fn record_unpermitted(&self, id: &EngineId, now: Instant) {
        self.borrower.lock().record_unpermitted(id, now);
    }

    /// What to ask the lender of an upstream for a request that has no permit, or none if it should not be
    /// asked.
    pub fn request_permits(&self, id: &EngineId, timeout: Duration, now: Instant) -> Option<Ask> {
        let ask = self.borrower.lock().request_permits(id, timeout, now)?;
        let asked = u64::from(ask.wanted);
        self.counts.asked.fetch_add(asked, Ordering::Relaxed);
        Some(ask)
    }

    /// Records the permits that a lender lent.
    pub fn record_loan(&self, id: &EngineId, number: u32, loan: Loan, now: Instant) {
        self.borrower.lock().record_loan(id, number, loan, now);
        let got = u64::from(loan.permits);
        self.counts.got.fetch_add(got, Ordering::Relaxed);
    }

    /// When the next permit may arrive.
    pub fn next_permit(&self, id: &EngineId, now: Instant) -> NextPermit {
        self.borrower.lock().next_permit(id, now)
    }

    /// Lends permits for an upstream that accepts `per_s` requests per second.
    pub fn lend(&self, id: &EngineId, per_s: f64, host: &HostId, ask: Ask, now: Instant) -> Loan {
        let request = PermitRequest {
            host,
            wanted: ask.wanted,
            owed: ask.owed,
        };
        let loan = self
            .lender
            .lock()
            .lend(id, per_s, request, rand::random(), now);
        let lent = u64::from(loan.permits);
        self.counts.lent.fetch_add(lent, Ordering::Relaxed);
        loan
    }

    /// Counts since they were last taken.
    pub fn counts(&self) -> &LimitCounts {
        &self.counts
    }

    /// Drops what is no longer needed.
    pub fn remove_unused(&self, is_listed: impl Fn(&EngineId) -> bool, now: Instant) {
        self.known.write().retain(is_listed, now);
        self.borrower.lock().remove_idle(now);
        self.lender.lock().remove_idle(now);
    }
}
