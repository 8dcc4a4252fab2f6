//! The limits that upstreams name for all hosts together: what is known of them, the permits that this host
//! was lent, and those that it lends.

use {
    parking_lot::{Mutex, RwLock},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{Born, EngineId, HostId},
        protection::{Protection, enabled},
    },
    tealshore_rates::{
        AdvertisedLimit, Ask, Borrower, KnownLimits, Lender, LimitChange, LimitUpdate, Loan,
        NextPermit, PermitRequest,
    },
};

/// What this host knows of limits and does about them. Each part is under its own lock, and no two are held
/// at a time.
#[derive(Default)]
pub struct Limits {
    known: RwLock<KnownLimits>,
    borrower: Mutex<Borrower>,
    lender: Mutex<Lender>,
    /// What happened since it was last told in a log line.
    counts: LimitCounts,
}

/// What happened at limited upstreams.
#[derive(Debug, Default)]
pub struct LimitCounts {
    /// Requests that left with a permit.
    pub sent: AtomicU64,
    /// Requests that found no permit when they were about to leave.
    pub short: AtomicU64,
    /// Permits that this host asked for.
    pub asked: AtomicU64,
    /// Permits that it got.
    pub got: AtomicU64,
    /// Permits that it lent.
    pub lent: AtomicU64,
}

impl LimitCounts {
    /// The counts, which begin anew; none where nothing happened.
    pub fn take(&self) -> Option<[u64; 5]> {
        let all = [&self.sent, &self.short, &self.asked, &self.got, &self.lent];
        let counts = all.map(|count| count.swap(0, Ordering::Relaxed));
        (counts != [0; 5]).then_some(counts)
    }
}

impl Limits {
    /// Takes in what an answer to a request says, that was sent at `sent`; what it changed.
    pub fn note_answer(
        &self,
        id: &EngineId,
        born: Born,
        named: AdvertisedLimit,
        sent: Instant,
    ) -> Option<LimitChange> {
        let mut known = self.known.write();
        known.note_answer(id, born, named, sent, Instant::now())
    }

    /// Takes in what another host told; whether it is news.
    pub fn hear(&self, news: &LimitUpdate, now: Instant) -> bool {
        self.known.write().merge(news, now)
    }

    /// How many requests a second a life of an upstream takes from all hosts; none where it names no limit.
    pub fn per_s(&self, id: &EngineId, born: Born, now: Instant) -> Option<f64> {
        let known = self.known.read();
        let per_s = known.per_s(id, born, now);
        per_s.filter(|_| enabled(Protection::SharedLimits))
    }

    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.known.read().is_empty()
    }

    /// What is known of some upstreams, for other hosts.
    pub fn news_of<'a>(
        &self,
        ids: impl Iterator<Item = &'a EngineId>,
        now: Instant,
    ) -> Vec<LimitUpdate> {
        let known = self.known.read();
        ids.filter_map(|id| known.update_for(id, now)).collect()
    }

    /// All that is known, for other hosts.
    pub fn news(&self, now: Instant) -> Vec<LimitUpdate> {
        self.known.read().updates(now)
    }

    /// Whether there is a permit for an upstream.
    pub fn has_permit(&self, id: &EngineId, now: Instant) -> bool {
        self.borrower.lock().has_permit(id, now)
    }

    /// Whether the lender of an upstream may be asked now.
    pub fn may_ask(&self, id: &str, now: Instant) -> bool {
        self.borrower.lock().may_ask(id, now)
    }

    /// Takes a permit for a request that leaves now; whether there was one.
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

    /// Notes a request that left without a permit, and had to.
    pub fn note_unpermitted(&self, id: &EngineId, now: Instant) {
        self.borrower.lock().note_unpermitted(id, now);
    }

    /// What to ask the lender of an upstream for a request that has no permit.
    pub fn want(&self, id: &EngineId, patience: Duration, now: Instant) -> Option<Ask> {
        let ask = self.borrower.lock().request_permits(id, patience, now)?;
        let asked = u64::from(ask.wanted);
        self.counts.asked.fetch_add(asked, Ordering::Relaxed);
        Some(ask)
    }

    /// Takes in what a lender lent.
    pub fn note_loan(&self, id: &EngineId, number: u32, loan: Loan, now: Instant) {
        self.borrower.lock().note_loan(id, number, loan, now);
        let got = u64::from(loan.permits);
        self.counts.got.fetch_add(got, Ordering::Relaxed);
    }

    /// When the next permit may come.
    pub fn shortage(&self, id: &EngineId, now: Instant) -> NextPermit {
        self.borrower.lock().next_permit(id, now)
    }

    /// Lends permits for an upstream that takes so many requests a second.
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

    /// What happened since this was last asked.
    pub fn counts(&self) -> &LimitCounts {
        &self.counts
    }

    /// Drops what nobody needs any more.
    pub fn forget(&self, is_listed: impl Fn(&EngineId) -> bool, now: Instant) {
        self.known.write().retain(is_listed, now);
        self.borrower.lock().forget_idle(now);
        self.lender.lock().forget_idle(now);
    }
}
