//! The permits that a host was lent, and when it asks for more.

use {
    crate::Loan,
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
    tealshore_core::ids::EngineId,
};

/// Within this a request counts towards how many permits are wanted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The most requests of that time that are counted for one upstream.
const MAX_DEMAND_SAMPLES: usize = 1_024;
/// How far ahead permits are asked for: a little longer than an answer takes.
const DEMAND_LOOKAHEAD: Duration = Duration::from_millis(20);
/// The most permits that are asked for at once.
const MAX_WANTED: u32 = 64;
/// The most requests without a permit that are told.
const MAX_OWED: u32 = 16;
/// An upstream that nobody wanted for this long is forgotten.
const IDLE_ACCOUNT_TTL: Duration = Duration::from_secs(60);

/// What to ask a lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Tells the answer to this ask from that to an earlier one.
    pub number: u32,
    /// How many permits could be used now.
    pub wanted: u32,
    /// How many requests were sent without one.
    pub owed: u32,
}

/// What a host without a permit knows of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPermit {
    /// An answer of the lender is due, or may be asked for.
    Open,
    /// The lender has none for this long.
    After(Duration),
}

#[derive(Debug)]
struct Account {
    /// When each permit lapses, in order.
    permits: VecDeque<Instant>,
    /// When requests took one, or asked for one.
    demand: VecDeque<Instant>,
    /// The number of the ask whose answer is due, and until when it is waited for.
    asked: Option<(u32, Instant)>,
    /// Nothing is asked before.
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
    /// Whether there is a permit for an upstream.
    #[must_use]
    pub fn has_permit(&self, upstream: &EngineId, now: Instant) -> bool {
        let account = self.accounts.get(upstream);
        account.is_some_and(|account| account.permits.iter().any(|expiry| *expiry > now))
    }

    /// Takes a permit for a request that leaves now; whether there was one.
    pub fn take(&mut self, upstream: &EngineId, now: Instant) -> bool {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return false;
        };
        account.drop_expired(now);
        let is_taken = account.permits.pop_front().is_some();
        if is_taken {
            account.note_demand(now);
        }
        is_taken
    }

    /// Notes a request that left without a permit, and had to.
    pub fn note_unpermitted(&mut self, upstream: &EngineId, now: Instant) {
        let account = self.account(upstream, now);
        if account.permits.pop_front().is_none() {
            account.owed = (account.owed + 1).min(MAX_OWED);
        }
    }

    /// Whether the lender may be asked for an upstream.
    #[must_use]
    pub fn may_ask(&self, upstream: &str, now: Instant) -> bool {
        self.accounts.get(upstream).is_none_or(|account| {
            let is_due = account.asked.is_some_and(|(_, until)| until > now);
            !is_due && account.not_before <= now
        })
    }

    /// Notes that a request would go to an upstream and has no permit; what to ask its lender, whose answer is
    /// waited for until `timeout` is over. None while an earlier ask stands.
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
        account.note_demand(now);
        let ask = Ask {
            number,
            wanted: account.wanted(),
            owed: account.owed,
        };
        account.asked = Some((number, now + timeout));
        account.owed = 0;
        self.last_ask = number;
        Some(ask)
    }

    /// Takes in what a lender answered to an ask.
    pub fn note_loan(&mut self, upstream: &EngineId, number: u32, loan: Loan, now: Instant) {
        let Some(account) = self.accounts.get_mut(upstream) else {
            return;
        };
        // An answer that is later than it was waited for is still a permit, and counts at its lender.
        account.drop_expired(now);
        let room = usize::try_from(MAX_WANTED).unwrap_or(usize::MAX) - account.permits.len();
        let permits = usize::try_from(loan.permits)
            .unwrap_or(usize::MAX)
            .min(room);
        account
            .permits
            .extend(std::iter::repeat_n(now + loan.valid, permits));
        if account.asked.is_some_and(|(asked, _)| asked == number) {
            account.asked = None;
            account.not_before = now + loan.wait;
        }
    }

    /// When the next permit may come, where there is none.
    #[must_use]
    pub fn next_permit(&self, upstream: &EngineId, now: Instant) -> NextPermit {
        let account = self.accounts.get(upstream);
        let wait = account.map(|account| account.not_before.saturating_duration_since(now));
        match wait {
            Some(wait) if wait > Duration::ZERO => NextPermit::After(wait),
            Some(_) | None => NextPermit::Open,
        }
    }

    /// Forgets upstreams that nobody wanted for long.
    pub fn forget_idle(&mut self, now: Instant) {
        self.accounts.retain(|_, account| {
            now.saturating_duration_since(account.last_demand) < IDLE_ACCOUNT_TTL
        });
    }

    /// How many upstreams it has an account for.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether it has none.
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
                asked: None,
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

    fn note_demand(&mut self, now: Instant) {
        self.last_demand = now;
        let is_past = |at: &Instant| now.saturating_duration_since(*at) > DEMAND_WINDOW;
        while self.demand.front().is_some_and(is_past) {
            self.demand.pop_front();
        }
        if self.demand.len() < MAX_DEMAND_SAMPLES {
            self.demand.push_back(now);
        }
    }

    /// One permit for the request that wants it, and as many as others are likely to request_permits until the next answer.
    fn wanted(&self) -> u32 {
        let demand = u32::try_from(self.demand.len()).unwrap_or(u32::MAX);
        let ahead = DEMAND_LOOKAHEAD.as_millis() * u128::from(demand) / DEMAND_WINDOW.as_millis();
        let ahead = u32::try_from(ahead).unwrap_or(MAX_WANTED);
        ahead.saturating_add(1).min(MAX_WANTED)
    }
}
