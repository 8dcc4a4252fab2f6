//! Keeps this host, and all hosts together, to the limits that upstreams name.

use {
    super::GatewayState,
    crate::{
        edge::AnswerFacts,
        peers::{LIMITS_BOUND, LenderOf, PermitAsk, PermitLoan},
        topology::Distance,
        view::UpstreamRecord,
    },
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
    tealshore_rates::{AdvertisedLimit, Ask, LimitUpdate, Loan, NextPermit},
    tokio::time::sleep,
};

/// How long an answer of a lender is waited for before it is asked again.
const ASK_PATIENCE: Duration = Duration::from_millis(100);
/// The same where the upstream is in another region.
const FAR_ASK_PATIENCE: Duration = Duration::from_millis(300);
/// A host that starts lends nothing for this long: it does not know yet who else there is, and another one may
/// lend for the same upstream.
const QUIET_AFTER_START: Duration = Duration::from_secs(1);
/// When a host asks again that was told that another one is the lender, or that this one does not lend yet.
const NOT_THE_LENDER: Duration = Duration::from_millis(50);
/// How often a request that waits for a permit looks for it.
const PERMIT_LOOK: Duration = Duration::from_millis(4);
/// The most limited upstreams that are told in one log line.
const LOGGED_LIMITS: usize = 8;

/// Why an upstream that takes work gets none now, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It asked for rest.
    Resting(Duration),
    /// Its limit is used up.
    Limited(Duration),
}

impl Closed {
    /// The time until it may get work.
    #[must_use]
    pub fn left(self) -> Duration {
        match self {
            Self::Resting(left) | Self::Limited(left) => left,
        }
    }
}

impl GatewayState {
    /// Takes in whether an upstream names a limit in the answer to a request that was sent at `sent`.
    pub(super) fn note_limit(
        &self,
        record: &UpstreamRecord,
        facts: &AnswerFacts,
        request: &str,
        sent: Instant,
    ) {
        let named = facts.limit;
        match named {
            // Only an answer that is an upstream's own tells that it names none.
            AdvertisedLimit::No if !facts.signed || self.limits.is_empty() => return,
            AdvertisedLimit::No => {}
            AdvertisedLimit::PerSecond(_) => self.count_notice("limit"),
            AdvertisedLimit::Unreadable => self.count_notice("limit-unreadable"),
        }
        let change = self
            .limits
            .note_answer(&record.id, record.born, named, sent);
        if let Some(change) = change {
            self.peers.tell_limit(&record.id);
            log::info!(
                "upstream: limit request={request} upstream={} per_s={:?} before={:?}",
                record.id,
                change.now,
                change.before
            );
        }
    }

    /// The limits that this host tells others with its whole state.
    pub fn limits_to_tell(&self, now: Instant) -> Vec<LimitUpdate> {
        let mut news = self.limits.news(now);
        // Those that were said last are the least likely to be known.
        news.sort_by_key(|news| news.age_ms);
        news.truncate(LIMITS_BOUND);
        news
    }

    /// How many requests a second an upstream takes from all hosts together; none where it names no limit.
    pub fn limit_of(&self, record: &UpstreamRecord, now: Instant) -> Option<f64> {
        self.limits.per_s(&record.id, record.born, now)
    }

    /// Whether an upstream names a limit, and this host has no permit to send it a request.
    pub fn is_short(&self, record: &UpstreamRecord, now: Instant) -> bool {
        self.limit_of(record, now).is_some() && !self.limits.has_permit(&record.id, now)
    }

    /// Takes a permit for a request that leaves now. None is needed where the upstream names no limit.
    pub fn take_permit(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let Some(per_s) = self.limit_of(record, now) else {
            return true;
        };
        let is_taken = self.limits.take(&record.id, now);
        if !is_taken {
            self.want_permit(record, per_s, now);
        }
        let result = if is_taken { "permitted" } else { "short" };
        let sends = &self.metrics.limited_sends;
        sends.with_label_values(&[result]).inc();
        is_taken
    }

    /// Notes a call that reaches an upstream and can't wait for a permit: the next request waits in its place.
    pub fn note_unpermitted(&self, record: &UpstreamRecord) {
        let now = Instant::now();
        if self.limit_of(record, now).is_some() {
            self.limits.note_unpermitted(&record.id, now);
            let sends = &self.metrics.limited_sends;
            sends.with_label_values(&["unpermitted"]).inc();
        }
    }

    /// Asks the lender of an upstream for a permit, unless it was asked a moment ago.
    pub fn want_permit(&self, record: &UpstreamRecord, per_s: f64, now: Instant) {
        let patience = match self.distance_to(&record.hall) {
            Distance::SameHall | Distance::SameRegion => ASK_PATIENCE,
            Distance::OtherRegion => FAR_ASK_PATIENCE,
        };
        let Some(ask) = self.limits.want(&record.id, patience, now) else {
            return;
        };
        match self.peers.lender_of(record, self.phase(now), now) {
            LenderOf::Itself if self.is_quiet(now) => {}
            LenderOf::Itself => {
                let own = &self.options.host.id;
                let part = per_s * self.peers.lent_part(now);
                let loan = self.limits.lend(&record.id, part, own, ask, now);
                self.limits.note_loan(&record.id, ask.number, loan, now);
            }
            LenderOf::Host(address) => {
                let known = self.limits.news_of([&record.id].into_iter(), now);
                if let Some(limit) = known.into_iter().next() {
                    let ask = PermitAsk {
                        host: self.options.host.id.clone(),
                        upstream: record.id.clone(),
                        number: ask.number,
                        wanted: ask.wanted,
                        owed: ask.owed,
                        limit,
                    };
                    self.peers.ask_lender(address, ask);
                }
            }
            // Until one is known nothing is lent; the ask is made again.
            LenderOf::Nobody => {}
        }
    }

    /// Waits for a permit of an upstream that names a limit, no longer than the patience.
    pub async fn await_permit(&self, id: &EngineId, patience: Duration) {
        let Some(upstream) = self.view.upstreams.get(id) else {
            return;
        };
        let until = Instant::now() + patience;
        loop {
            let now = Instant::now();
            let Some(per_s) = self.limit_of(&upstream.record, now) else {
                return;
            };
            if self.limits.has_permit(id, now) || now >= until {
                return;
            }
            self.want_permit(&upstream.record, per_s, now);
            sleep(PERMIT_LOOK).await;
        }
    }

    /// Whether this host started so lately that it lends nothing.
    fn is_quiet(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < QUIET_AFTER_START
    }

    /// Lends permits to a host that asks for them, where this host is the lender and knows the limit.
    pub fn lend(&self, ask: &PermitAsk) -> PermitLoan {
        let now = Instant::now();
        self.limits.hear(&ask.limit, now);
        let loan = self.lend_of(ask, now).unwrap_or(Loan {
            permits: 0,
            valid: Duration::ZERO,
            wait: NOT_THE_LENDER,
        });
        let known = self.limits.news_of([&ask.upstream].into_iter(), now);
        PermitLoan {
            upstream: ask.upstream.clone(),
            number: ask.number,
            permits: loan.permits,
            valid_ms: whole_ms(loan.valid),
            wait_ms: whole_ms(loan.wait),
            limit: known.into_iter().next(),
        }
    }

    fn lend_of(&self, ask: &PermitAsk, now: Instant) -> Option<Loan> {
        let upstream = self.view.upstreams.get(&ask.upstream)?;
        let record = &upstream.record;
        let lender = self.peers.lender_of(record, self.phase(now), now);
        if lender != LenderOf::Itself || self.is_quiet(now) {
            return None;
        }
        let per_s = self.limit_of(record, now)? * self.peers.lent_part(now);
        let request = Ask {
            number: ask.number,
            wanted: ask.wanted,
            owed: ask.owed,
        };
        Some(self.limits.lend(&record.id, per_s, &ask.host, request, now))
    }

    /// Takes in what a lender answered.
    pub fn apply_loan(&self, loan: &PermitLoan) {
        let now = Instant::now();
        if let Some(limit) = &loan.limit {
            self.limits.hear(limit, now);
        }
        let permits = Loan {
            permits: loan.permits,
            valid: Duration::from_millis(u64::from(loan.valid_ms)),
            wait: Duration::from_millis(u64::from(loan.wait_ms)),
        };
        self.limits
            .note_loan(&loan.upstream, loan.number, permits, now);
    }

    /// How long the limit of an upstream that has no permit keeps it closed; none where a permit may come at
    /// any moment.
    pub(super) fn shortage_of(&self, id: &EngineId, now: Instant) -> Option<Duration> {
        match self.limits.shortage(id, now) {
            NextPermit::After(left) => Some(left),
            NextPermit::Open => None,
        }
    }

    /// Tells in a log line what happened at limited upstreams since the last one.
    pub fn log_limits(&self) {
        let limits = self.limits.news(Instant::now());
        let in_force = limits.iter().filter(|news| news.per_s.is_some());
        let count = in_force.clone().count();
        self.metrics
            .limited_upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        let Some([sent, short, asked, got, lent]) = self.limits.counts().take() else {
            return;
        };
        let named = in_force.take(LOGGED_LIMITS);
        let named = named.map(|news| format!("{}:{}", news.upstream, news.per_s.unwrap_or(0.0)));
        log::info!(
            "upstream: limits upstreams={count} per_s={} sent={sent} short={short} asked={asked} got={got} lent={lent}",
            named.collect::<Vec<_>>().join(",")
        );
    }
}

fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
