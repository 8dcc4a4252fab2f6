//! Permits that this host was lent, and when it asks for more.

use {
    crate::Loan,
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
    tealshore_core::ids::EngineId,
};

/// Requests within this window count towards the number of permits that are asked for.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of recent requests that are counted for one upstream.
const MAX_DEMAND_SAMPLES: usize = 1_024;
/// How far ahead permits are requested: a little longer than the lender takes to answer.
const DEMAND_LOOKAHEAD: Duration = Duration::from_millis(20);
/// The maximum number of permits that are requested at once.
const MAX_WANTED: u32 = 64;
/// The maximum number of requests without a permit that are reported to the lender.
const MAX_OWED: u32 = 16;
/// The account of an upstream without requests for this long is dropped.
const IDLE_ACCOUNT_TTL: Duration = Duration::from_secs(60);

/// A request for permits, addressed to a lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Matches the lender's answer to this request.
    pub number: u32,
    /// How many permits this host could use now.
    pub wanted: u32,
    /// How many requests this host has sent without a permit since its last request for permits.
    pub owed: u32,
}

/// When a host without a permit can expect the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPermit {
    /// The lender's answer is pending, or the lender may be asked now.
    Open,
    /// The lender has no permit for this host until this time has passed.
    After(Duration),
}

#[derive(Debug)]
struct Account {
    /// When each permit expires, in the order in which the permits arrived.
    permits: VecDeque<Instant>,
    /// When recent requests took a permit or asked for one.
    demand: VecDeque<Instant>,
    /// The number of the pending request for permits, and when it times out.
    pending_ask: Option<(u32, Instant)>,
    /// The lender is not asked before this time.
    not_before: Instant,
    owed: u32,
    last_demand: Instant,
}

/// The permits that this host was lent, by upstream.
#[derive(Debug, Default)]
pub struct Borrower {
    accounts: HashMap<EngineId, Account>,
    last_ask: u32,
}

impl Borrower {
    /// Returns whether a valid permit is available for an upstream.
    #[must_use]
    pub fn has_permit(&self, upstream: &EngineId, now: Instant) -> bool {
        let account = self.accounts.get(upstream);
        account.is_some_and(|account| account.permits.iter().any(|expiry| *expiry > now))
    }

    /// Takes a permit for a request that is about to be sent. Returns whether there was one.
    pub fn take(&mut self, upstream: &EngineId, now: Instant) -> bool {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return false;
        };
        account.drop_expired(now);
        let is_taken = account.permits.pop_front().is_some();
        if is_taken {
            account.record_demand(now);
        }
        is_taken
    }

    /// Records a request that had to be sent without waiting for a permit. It uses up a permit if there is one,
    /// and counts as owed otherwise.
    pub fn record_unpermitted(&mut self, upstream: &EngineId, now: Instant) {
        let account = self.account(upstream, now);
        if account.permits.pop_front().is_none() {
            account.owed = (account.owed + 1).min(MAX_OWED);
        }
    }

    /// Returns whether the lender of an upstream may be asked now.
    #[must_use]
    pub fn may_ask(&self, upstream: &str, now: Instant) -> bool {
        self.accounts.get(upstream).is_none_or(|account| {
            let is_pending = account.pending_ask.is_some_and(|(_, until)| until > now);
            !is_pending && account.not_before <= now
        })
    }

    /// Records that a request to an upstream has no permit, and returns what to ask the lender. The answer is
    /// awaited for `timeout`. Returns none and records nothing while an earlier request for permits is pending or
    /// the lender's wait has not passed.
    pub fn request_permits(
        &mut self,
        upstream: &EngineId,
        timeout: Duration,
        now: Instant,
    ) -> Option<Ask> {
        if !self.may_ask(upstream, now) {
            return None;
        }
        let number = self.last_ask.wrapping_add(1);
        let account = self.account(upstream, now);
        account.record_demand(now);
        let ask = Ask {
            number,
            wanted: account.wanted(),
            owed: account.owed,
        };
        account.pending_ask = Some((number, now + timeout));
        account.owed = 0;
        self.last_ask = number;
        Some(ask)
    }

    /// Processes the lender's answer to a request for permits.
    pub fn record_loan(&mut self, upstream: &EngineId, number: u32, loan: Loan, now: Instant) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        // A loan that arrives after the timeout is still valid: the lender has already deducted it.
        account.drop_expired(now);
        let room = usize::try_from(MAX_WANTED).unwrap_or(usize::MAX) - account.permits.len();
        let permits = usize::try_from(loan.permits)
            .unwrap_or(usize::MAX)
            .min(room);
        account
            .permits
            .extend(std::iter::repeat_n(now + loan.valid, permits));
        if account
            .pending_ask
            .is_some_and(|(asked, _)| asked == number)
        {
            account.pending_ask = None;
            account.not_before = now + loan.wait;
        }
    }

    /// Returns when the next permit can be expected.
    #[must_use]
    pub fn next_permit(&self, upstream: &EngineId, now: Instant) -> NextPermit {
        let account = self.accounts.get(upstream);
        let wait = account.map(|account| account.not_before.saturating_duration_since(now));
        match wait {
            Some(wait) if wait > Duration::ZERO => NextPermit::After(wait),
            Some(_) | None => NextPermit::Open,
        }
    }

    /// Drops the accounts of upstreams without recent requests.
    pub fn remove_idle(&mut self, now: Instant) {
        self.accounts.retain(|_, account| {
            now.saturating_duration_since(account.last_demand) < IDLE_ACCOUNT_TTL
        });
    }

    /// Returns the number of upstreams with an account.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no upstream has an account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn account(&mut self, upstream: &EngineId, now: Instant) -> &mut Account {
        self.accounts
            .entry(upstream.clone())
            .or_insert_with(|| Account {
                permits: VecDeque::new(),
                demand: VecDeque::new(),
                pending_ask: None,
                not_before: now,
                owed: 0,
                last_demand: now,
            })
    }
}

impl Account {
    fn drop_expired(&mut self, now: Instant) {
        self.permits.retain(|expiry| *expiry > now);
    }

    fn record_demand(&mut self, now: Instant) {
        self.last_demand = now;
        let is_past = |at: &Instant| now.saturating_duration_since(*at) > DEMAND_WINDOW;
        while self.demand.front().is_some_and(is_past) {
            self.demand.pop_front();
        }
        if self.demand.len() < MAX_DEMAND_SAMPLES {
            self.demand.push_back(now);
        }
    }

    /// Returns one permit for the current request plus as many as further requests are likely to need until the
    /// next answer.
    fn wanted(&self) -> u32 {
        let demand = u32::try_from(self.demand.len()).unwrap_or(u32::MAX);
        let ahead = DEMAND_LOOKAHEAD.as_millis() * u128::from(demand) / DEMAND_WINDOW.as_millis();
        let ahead = u32::try_from(ahead).unwrap_or(MAX_WANTED);
        ahead.saturating_add(1).min(MAX_WANTED)
    }
}
