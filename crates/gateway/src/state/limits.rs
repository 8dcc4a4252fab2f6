//! Enforces the rate limits that upstreams set for all hosts together.

use {
    super::GatewayState,
    crate::{
        edge::AnswerFacts,
        peers::{MAX_DATAGRAM_LIMITS, PermitAsk, PermitLoan, UpstreamLender},
        topology::Distance,
        view::UpstreamRecord,
    },
    std::time::{Duration, Instant},
    tealshore_core::{clock, ids::EngineId},
    tealshore_rates::{AdvertisedLimit, Ask, LimitUpdate, Loan, NextPermit},
    tokio::time::sleep,
};

/// How long to wait for the answer of a lender before asking again.
const LENDER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait for the answer of a lender if the upstream is in another region.
const REMOTE_LENDER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after its start a host lends no permits: it does not know all other hosts yet, and one of them may lend for
/// the same upstream.
const LENDING_DELAY: Duration = Duration::from_secs(1);
/// When a host may ask again after it was told that this host is not the lender, or does not lend yet.
const NOT_LENDING_WAIT: Duration = Duration::from_millis(50);
/// The interval at which a request that waits for a permit checks for one.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// The maximum number of limited upstreams in one log line.
const MAX_LOGGED_LIMITS: usize = 8;

/// Why an upstream that accepts work gets none at the moment, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    /// The upstream asked for no requests for this long.
    Resting(Duration),
    /// The rate limit of the upstream leaves no permit for this long.
    Limited(Duration),
}

impl ClosedReason {
    /// The time until it may get work again.
    #[must_use]
    pub fn left(self) -> Duration {
        match self {
            Self::Resting(left) | Self::Limited(left) => left,
        }
    }
}

impl GatewayState {
    /// Updates the rate limit of an upstream from its answer to a request that was sent at `sent`.
    pub(super) fn record_limit(
        &self,
        record: &UpstreamRecord,
        facts: &AnswerFacts,
        request: &str,
        sent: Instant,
    ) {
        let named = facts.limit;
        match named {
            // A missing limit counts only in an answer that the upstream itself has signed.
            AdvertisedLimit::No if !facts.signed || self.limits.is_empty() => return,
            AdvertisedLimit::No => {}
            AdvertisedLimit::PerSecond(_) => self.count_notice("limit"),
            AdvertisedLimit::Unreadable => self.count_notice("limit-unreadable"),
        }
        let change = self
            .limits
            .record_answer(&record.id, record.born, named, sent);
        if let Some(change) = change {
            self.peers.queue_limit_for_fleet(&record.id);
            log::info!(
                "upstream: limit changed request={request} upstream={} per_s={:?} before={:?}",
                record.id,
                change.now,
                change.before
            );
        }
    }

    /// The limits that this host reports to others with its full state.
    pub fn limits_to_report(&self, now: Instant) -> Vec<LimitUpdate> {
        let mut updates = self.limits.updates(now);
        // The newest limits are the least likely to be known to the others.
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(MAX_DATAGRAM_LIMITS);
        updates
    }

    /// The number of requests per second that an upstream accepts from all hosts together; `None` if it has no limit.
    pub fn limit_of(&self, record: &UpstreamRecord, now: Instant) -> Option<f64> {
        self.limits.per_s(&record.id, record.born, now)
    }

    /// Whether an upstream has a rate limit and this host has no permit to send it a request.
    pub fn lacks_permit(&self, record: &UpstreamRecord, now: Instant) -> bool {
        self.limit_of(record, now).is_some() && !self.limits.has_permit(&record.id, now)
    }

    /// Takes a permit for a request that is about to be sent, and requests one if there is none. Returns whether the
    /// request may be sent; an upstream without a limit needs no permit.
    pub fn take_permit(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let Some(per_s) = self.limit_of(record, now) else {
            return true;
        };
        let is_taken = self.limits.take(&record.id, now);
        if !is_taken {
            self.request_permit(record, per_s, now);
        }
        let result = if is_taken { "permitted" } else { "short" };
        let sends = &self.metrics.limited_sends;
        sends.with_label_values(&[result]).inc();
        is_taken
    }

    /// Records a call that is sent without a permit because it can't wait for one: the next request waits instead.
    pub fn record_unpermitted(&self, record: &UpstreamRecord) {
        let now = clock::now();
        if self.limit_of(record, now).is_some() {
            self.limits.record_unpermitted(&record.id, now);
            let sends = &self.metrics.limited_sends;
            sends.with_label_values(&["unpermitted"]).inc();
        }
    }

    /// Asks the lender of an upstream for a permit, unless a recent request for one is still open.
    pub fn request_permit(&self, record: &UpstreamRecord, per_s: f64, now: Instant) {
        let timeout = match self.distance_to(&record.hall) {
            Distance::SameHall | Distance::SameRegion => LENDER_TIMEOUT,
            Distance::OtherRegion => REMOTE_LENDER_TIMEOUT,
        };
        let Some(ask) = self.limits.request_permits(&record.id, timeout, now) else {
            return;
        };
        match self.peers.lender_of(record, self.phase(now), now) {
            UpstreamLender::ThisHost if self.is_lending_delayed(now) => {}
            UpstreamLender::ThisHost => {
                let own = &self.options.host.id;
                let part = per_s * self.peers.lendable_fraction(now);
                let loan = self.limits.lend(&record.id, part, own, ask, now);
                self.limits.record_loan(&record.id, ask.number, loan, now);
            }
            UpstreamLender::Host(address) => {
                let known = self.limits.updates_for([&record.id].into_iter(), now);
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
            // No lender is known yet, so nothing is lent; the request is repeated later.
            UpstreamLender::NotKnown => {}
        }
    }

    /// Waits at most `max_wait` for a permit of an upstream that has a rate limit.
    pub async fn await_permit(&self, id: &EngineId, max_wait: Duration) {
        let Some(upstream) = self.view.upstreams.get(id) else {
            return;
        };
        let until = clock::now() + max_wait;
        loop {
            let now = clock::now();
            let Some(per_s) = self.limit_of(&upstream.record, now) else {
                return;
            };
            if self.limits.has_permit(id, now) || now >= until {
                return;
            }
            self.request_permit(&upstream.record, per_s, now);
            sleep(PERMIT_POLL_INTERVAL).await;
        }
    }

    /// Whether this host started too recently to lend permits.
    fn is_lending_delayed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < LENDING_DELAY
    }

    /// Lends permits to a host that asks for them, if this host is the lender and knows the limit.
    pub fn lend(&self, ask: &PermitAsk) -> PermitLoan {
        let now = clock::now();
        self.limits.merge(&ask.limit, now);
        let loan = self.lend_to(ask, now).unwrap_or(Loan {
            permits: 0,
            valid: Duration::ZERO,
            wait: NOT_LENDING_WAIT,
        });
        let known = self.limits.updates_for([&ask.upstream].into_iter(), now);
        PermitLoan {
            upstream: ask.upstream.clone(),
            number: ask.number,
            permits: loan.permits,
            valid_ms: saturating_ms(loan.valid),
            wait_ms: saturating_ms(loan.wait),
            limit: known.into_iter().next(),
        }
    }

    fn lend_to(&self, ask: &PermitAsk, now: Instant) -> Option<Loan> {
        let upstream = self.view.upstreams.get(&ask.upstream)?;
        let record = &upstream.record;
        let lender = self.peers.lender_of(record, self.phase(now), now);
        if lender != UpstreamLender::ThisHost || self.is_lending_delayed(now) {
            return None;
        }
        let per_s = self.limit_of(record, now)? * self.peers.lendable_fraction(now);
        let request = Ask {
            number: ask.number,
            wanted: ask.wanted,
            owed: ask.owed,
        };
        Some(self.limits.lend(&record.id, per_s, &ask.host, request, now))
    }

    /// Applies the answer of a lender.
    pub fn apply_loan(&self, loan: &PermitLoan) {
        let now = clock::now();
        if let Some(limit) = &loan.limit {
            self.limits.merge(limit, now);
        }
        let permits = Loan {
            permits: loan.permits,
            valid: Duration::from_millis(u64::from(loan.valid_ms)),
            wait: Duration::from_millis(u64::from(loan.wait_ms)),
        };
        self.limits
            .record_loan(&loan.upstream, loan.number, permits, now);
    }

    /// How long an upstream without a permit stays unavailable because of its limit; `None` if a permit may arrive at
    /// any moment.
    pub(super) fn time_until_permit(&self, id: &EngineId, now: Instant) -> Option<Duration> {
        match self.limits.next_permit(id, now) {
            NextPermit::After(left) => Some(left),
            NextPermit::Open => None,
        }
    }

    /// Logs what happened at limited upstreams since the last such line, and updates their gauge.
    pub fn log_limits(&self) {
        let limits = self.limits.updates(clock::now());
        let in_force = limits.iter().filter(|update| update.per_s.is_some());
        let count = in_force.clone().count();
        self.metrics
            .limited_upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        let Some([sent, short, asked, got, lent]) = self.limits.counts().take() else {
            return;
        };
        let named = in_force.take(MAX_LOGGED_LIMITS);
        let named =
            named.map(|update| format!("{}:{}", update.upstream, update.per_s.unwrap_or(0.0)));
        log::info!(
            "upstream: limit statistics upstreams={count} per_s={} sent={sent} short={short} \
             asked={asked} got={got} lent={lent}",
            named.collect::<Vec<_>>().join(",")
        );
    }
}

fn saturating_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
