//! Lending of permits at the rate of an upstream's limit.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId},
};

/// The depth of a token bucket. Hosts ask a moment after each permit becomes available, and a permit that the
/// bucket cannot hold until then is lost.
const BUCKET_DEPTH: f64 = 3.0;
/// The minimum rate in requests per second. Only an answer shows whether a limit of zero still applies, so
/// requests must go on.
const MIN_RATE_PER_S: f64 = 0.2;
/// The minimum validity of a permit: long enough for a waiting request to pick it up.
const MIN_VALIDITY: Duration = Duration::from_millis(40);
/// The maximum validity of a permit.
const MAX_VALIDITY: Duration = Duration::from_millis(400);
/// The maximum time after which a host that got no permit may ask again.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The minimum wait of a host that got no permit, as a fraction of the time in which the limit yields one
/// permit for each host that asks.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// The maximum random addition to that wait, as a fraction of the same time.
const WAIT_JITTER_FRACTION: f64 = 0.5;
/// How long a host counts as a requester after it asked for permits.
const REQUESTER_TTL: Duration = Duration::from_secs(1);
/// A bucket that no host used for this long is dropped.
const IDLE_BUCKET_TTL: Duration = Duration::from_secs(60);
/// The maximum number of permits in one loan.
const MAX_PERMITS_PER_LOAN: u32 = 64;

/// A host's request for permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<'a> {
    /// The host that asks.
    pub host: &'a HostId,
    /// How many permits the host could use now.
    pub wanted: u32,
    /// How many requests the host has sent without a permit.
    pub owed: u32,
}

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The number of permits.
    pub permits: u32,
    /// How long the permits are valid after their arrival.
    pub valid: Duration,
    /// How long to wait before asking again.
    pub wait: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    last_asked: Instant,
    requesters: HashMap<HostId, Instant>,
}

/// The token buckets of the upstreams for which this host is the lender.
#[derive(Debug, Default)]
pub struct Lender {
    buckets: HashMap<EngineId, Bucket>,
}

impl Lender {
    /// Lends permits for an upstream that accepts `per_s` requests per second from all hosts together. `jitter`
    /// is a random number from 0 to 1 that spreads the hosts' next requests.
    pub fn lend(
        &mut self,
        upstream: &EngineId,
        per_s: f64,
        request: PermitRequest<'_>,
        jitter: f64,
        now: Instant,
    ) -> Loan {
        let per_s = per_s.max(MIN_RATE_PER_S);
        let bucket = self.bucket(upstream, now);
        bucket.refill(per_s, now);
        bucket.tokens = (bucket.tokens - f64::from(request.owed)).max(-BUCKET_DEPTH);
        bucket.record_requester(request.host, now);
        let permits = bucket.take(request.wanted.min(MAX_PERMITS_PER_LOAN));
        let wait = if permits > 0 {
            Duration::ZERO
        } else {
            bucket.wait(per_s, jitter)
        };
        Loan {
            permits,
            valid: validity(per_s),
            wait,
        }
    }

    /// Returns the number of upstreams with a bucket.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no upstream has a bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Drops the buckets of upstreams that no host has asked for recently.
    pub fn remove_idle(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.last_asked) < IDLE_BUCKET_TTL);
    }

    /// Returns the bucket of an upstream. A new one is empty, because another lender may have lent permits a
    /// moment ago.
    fn bucket(&mut self, upstream: &EngineId, now: Instant) -> &mut Bucket {
        self.buckets
            .entry(upstream.clone())
            .or_insert_with(|| Bucket {
                tokens: 0.0,
                refilled_at: now,
                last_asked: now,
                requesters: HashMap::new(),
            })
    }
}

impl Bucket {
    fn refill(&mut self, per_s: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * per_s).min(BUCKET_DEPTH);
        self.refilled_at = now;
    }

    fn record_requester(&mut self, host: &HostId, now: Instant) {
        self.last_asked = now;
        self.requesters
            .retain(|_, last_asked| now.saturating_duration_since(*last_asked) < REQUESTER_TTL);
        self.requesters.insert(host.clone(), now);
    }

    fn take(&mut self, wanted: u32) -> u32 {
        let mut taken = 0;
        while taken < wanted && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            taken += 1;
        }
        taken
    }

    /// Returns when a host that got no permit should ask again. Each host asks about twice as often as a permit
    /// becomes available for it, and the jitter keeps the hosts from asking all at once.
    fn wait(&self, per_s: f64, jitter: f64) -> Duration {
        let until_next_permit = (1.0 - self.tokens) / per_s;
        let requesters = u32::try_from(self.requesters.len()).unwrap_or(u32::MAX);
        let fair_wait =
            f64::from(requesters) / per_s * (MIN_WAIT_FRACTION + jitter * WAIT_JITTER_FRACTION);
        let contention_wait = if requesters > 1 { fair_wait } else { 0.0 };
        let wait = Duration::try_from_secs_f64(until_next_permit.max(contention_wait));
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}

/// Returns how long a permit is valid. The time is short because all unused permits may be used at the same
/// moment.
fn validity(per_s: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_VALIDITY);
    interval.clamp(MIN_VALIDITY, MAX_VALIDITY)
}
