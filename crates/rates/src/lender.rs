//! What a lender gives: permits at the rate of a limit, to whoever asks.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId},
};

/// How many permits gather while nobody asks: the next host to ask comes a moment after each permit is there,
/// and what does not gather is lost.
const BUCKET_DEPTH: f64 = 3.0;
/// The least rate, in requests a second: whether a limit of nothing still stands is only said in answers.
const MIN_RATE_PER_S: f64 = 0.2;
/// The shortest time for which a permit holds: a request that waits for it gets it within this.
const MIN_VALIDITY: Duration = Duration::from_millis(40);
/// The longest time for which it does.
const MAX_VALIDITY: Duration = Duration::from_millis(400);
/// The longest time after which a host that got nothing may ask again.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The least part of the time in which all that ask could get a permit, after which one of them asks again.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// By how much of that time at most it asks later.
const WAIT_JITTER_FRACTION: f64 = 0.5;
/// How long a host that asked counts as one of those that request_permits permits.
const ASKER_TTL: Duration = Duration::from_secs(1);
/// A bucket that nobody asked for this long is forgotten.
const IDLE_BUCKET_TTL: Duration = Duration::from_secs(60);
/// The most permits that are lent at once.
const MAX_PERMITS_PER_LOAN: u32 = 64;

/// A host's request for permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<'a> {
    /// Who asks.
    pub host: &'a HostId,
    /// How many permits it could use now.
    pub wanted: u32,
    /// How many requests it sent without one.
    pub owed: u32,
}

/// What is lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// How many permits.
    pub permits: u32,
    /// How long they hold, from their arrival on.
    pub valid: Duration,
    /// When to ask again.
    pub wait: Duration,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    asked: Instant,
    askers: HashMap<HostId, Instant>,
}

/// The token buckets of the upstreams for which this host lends.
#[derive(Debug, Default)]
pub struct Lender {
    buckets: HashMap<EngineId, Bucket>,
}

impl Lender {
    /// Lends permits for an upstream that takes `per_s` requests a second from all hosts; `jitter` is a number
    /// from 0 to 1 drawn for this answer.
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
        bucket.note_asker(request.host, now);
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

    /// How many upstreams it has a bucket for.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether it has none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Forgets upstreams for which nobody asked for long.
    pub fn forget_idle(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.asked) < IDLE_BUCKET_TTL);
    }

    /// A new bucket is empty: the lender before this one may have lent a moment ago.
    fn bucket(&mut self, upstream: &EngineId, now: Instant) -> &mut Bucket {
        self.buckets
            .entry(upstream.clone())
            .or_insert_with(|| Bucket {
                tokens: 0.0,
                refilled_at: now,
                asked: now,
                askers: HashMap::new(),
            })
    }
}

impl Bucket {
    fn refill(&mut self, per_s: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * per_s).min(BUCKET_DEPTH);
        self.refilled_at = now;
    }

    fn note_asker(&mut self, host: &HostId, now: Instant) {
        self.asked = now;
        self.askers
            .retain(|_, asked| now.saturating_duration_since(*asked) < ASKER_TTL);
        self.askers.insert(host.clone(), now);
    }

    fn take(&mut self, wanted: u32) -> u32 {
        let mut taken = 0;
        while taken < wanted && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            taken += 1;
        }
        taken
    }

    /// When a host that got nothing asks again: each of those that ask comes about twice as often as there is a
    /// permit for it, and not all in one instant.
    fn wait(&self, per_s: f64, jitter: f64) -> Duration {
        let until_next_permit = (1.0 - self.tokens) / per_s;
        let askers = u32::try_from(self.askers.len()).unwrap_or(u32::MAX);
        let fair_wait =
            f64::from(askers) / per_s * (MIN_WAIT_FRACTION + jitter * WAIT_JITTER_FRACTION);
        let others = if askers > 1 { fair_wait } else { 0.0 };
        let wait = Duration::try_from_secs_f64(until_next_permit.max(others));
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}

/// How long a permit holds: so short that few lie unused, as all that do may be used in one instant.
fn validity(per_s: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_VALIDITY);
    interval.clamp(MIN_VALIDITY, MAX_VALIDITY)
}
