//! Retry budget, shared by all hosts.
//!
//! Each host may always use its own share, without hearing from the others. What the others leave unused is
//! shared too, as long as at least three quarters of all hosts are live: each host takes at most an equal share
//! of it in the time that an update needs to reach all hosts.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Number of buckets in which the sliding window is counted.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Bounds of the retry budget for the whole system.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed per window in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the ratio that is used: the requests and repeats of one window may be counted in buckets that
/// differ by one.
const RATIO_FRACTION: f64 = 0.75;
/// Fraction of the slack that is used. A host that starts does not know what its previous process used just
/// before: if all hosts were killed, they would otherwise use the whole slack twice in one window. If hosts
/// used no slack for a window after their start, they could not resume the first streams that come to them.
const SLACK_FRACTION: f64 = 0.5;
/// Fraction of all hosts that must be live before unused budget of others is taken.
const MIN_LIVE_FRACTION: f64 = 0.75;

/// Up to this many hosts, a host's share of the unused budget is rounded down. Above it, a share of less than
/// one repeat is drawn at random: rounded down, it would leave some hundred repeats unused in a large fleet.
/// Among few hosts the random draws would deviate too far from the budget.
const MAX_HOSTS_WITHOUT_DRAW: usize = 100;
/// Fraction of the unused budget that is drawn in one bucket: hosts hear of each other's use within two.
const DRAWN_SHARE_FRACTION: f64 = 0.5;

/// Use of a budget within its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

impl BudgetUse {
    /// Adds the use of another host.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
    }
}

/// What a host knows of the other hosts when it is about to repeat a send.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// Largest number of hosts that there have ever been at once, including this one.
    pub hosts: usize,
    /// Number of other live hosts.
    pub live_peers: usize,
    /// Use by those hosts.
    pub used: BudgetUse,
}

impl Pool {
    /// A pool without other live hosts.
    #[must_use]
    pub fn without_peers(hosts: usize) -> Self {
        Self {
            hosts,
            live_peers: 0,
            used: BudgetUse::default(),
        }
    }
}

#[derive(Clone, Copy)]
struct Bucket {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// One host's share of the retry budget of one service.
pub struct RetryBudget {
    bounds: BudgetBounds,
    buckets: VecDeque<Bucket>,
    /// Seed of this host's random draws, so that they differ from those of other hosts.
    seed: u64,
    buckets_begun: u64,
    /// When this process replaced an earlier one, if it did.
    restarted_at: Option<Instant>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self::with_draw_seed(bounds, 0)
    }

    /// Creates an unused budget with a seed that was drawn for this host.
    #[must_use]
    pub fn with_draw_seed(bounds: BudgetBounds, seed: u64) -> Self {
        Self {
            bounds,
            buckets: VecDeque::new(),
            seed,
            buckets_begun: 0,
            restarted_at: None,
        }
    }

    /// Creates a budget for a host whose previous process may have used its share just before.
    #[must_use]
    pub fn after_restart(bounds: BudgetBounds, seed: u64, now: Instant) -> Self {
        Self {
            restarted_at: Some(now),
            ..Self::with_draw_seed(bounds, seed)
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat if this host's own share allows it, or else from what the others leave unused.
    /// Returns whether it was taken.
    pub fn take(&mut self, now: Instant, pool: &Pool) -> bool {
        let is_allowed = self.allows(now, pool);
        if is_allowed {
            self.bucket(now).repeats += 1;
        }
        is_allowed
    }

    /// Whether a repeat could be taken now.
    pub fn allows(&mut self, now: Instant, pool: &Pool) -> bool {
        self.host_share_allows(now, pool)
            || self.pool_allows(now, pool)
            || !enabled(Protection::RetryBudget)
    }

    /// Returns a repeat that was taken but reached no upstream.
    pub fn refund(&mut self) {
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|bucket| bucket.repeats > 0) {
            bucket.repeats -= 1;
        }
    }

    /// Use by this host within the window that ends now.
    pub fn used(&mut self, now: Instant) -> BudgetUse {
        self.drop_expired(now);
        let mut used = BudgetUse::default();
        for bucket in &self.buckets {
            used.add(BudgetUse {
                requests: bucket.requests,
                repeats: bucket.repeats,
            });
        }
        used
    }

    fn host_share_allows(&mut self, now: Instant, pool: &Pool) -> bool {
        let used_here = self.used(now);
        let slack = self.bounds.slack * SLACK_FRACTION / to_f64(pool.hosts);
        f64::from(used_here.repeats) + 1.0 <= self.allowed(used_here.requests, slack, now)
    }

    /// Whether the hosts that were heard have unused budget together, and this host has not yet taken its
    /// equal share of it since an update last reached all hosts.
    fn pool_allows(&mut self, now: Instant, pool: &Pool) -> bool {
        let members = to_f64(pool.live_peers + 1);
        if members < to_f64(pool.hosts) * MIN_LIVE_FRACTION {
            return false;
        }
        let mut used_by_all = self.used(now);
        used_by_all.add(pool.used);
        let slack = self.bounds.slack * SLACK_FRACTION * members / to_f64(pool.hosts);
        let remaining =
            self.allowed(used_by_all.requests, slack, now) - f64::from(used_by_all.repeats);
        let host_share = remaining / to_f64(pool.hosts);
        let share = if pool.hosts > MAX_HOSTS_WITHOUT_DRAW && host_share < 1.0 {
            f64::from(u8::from(
                self.share_draw(now) < host_share * DRAWN_SHARE_FRACTION,
            ))
        } else {
            host_share.floor()
        };
        f64::from(self.repeats_since_update(now)) + 1.0 <= share
    }

    /// Random number from 0 to 1. It changes with each bucket, however often it is read within one.
    fn share_draw(&mut self, now: Instant) -> f64 {
        self.bucket(now);
        let hash = xxh3_64_with_seed(&self.buckets_begun.to_le_bytes(), self.seed);
        let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Repeats in the current bucket and the one before it: a bucket is as long as the longest interval
    /// between heartbeats of hosts.
    fn repeats_since_update(&self, now: Instant) -> u32 {
        let update_interval = self.bounds.window / BUCKETS_PER_WINDOW;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| now.saturating_duration_since(bucket.began) <= update_interval * 2);
        recent.map(|bucket| bucket.repeats).sum()
    }

    /// Number of repeats allowed for this many requests, plus the slack.
    fn allowed(&self, requests: u32, slack: f64, now: Instant) -> f64 {
        f64::from(requests) * self.bounds.ratio * self.ratio_fraction(now) + slack
    }

    /// Fraction of the ratio that is used. Until the repeats of a previous process of this host have left the
    /// window, it is the part that the previous process left unused.
    fn ratio_fraction(&self, now: Instant) -> f64 {
        let started = self.restarted_at;
        let age = started.map(|started| now.saturating_duration_since(started));
        match age {
            Some(age) if age < self.bounds.window => 1.0 - RATIO_FRACTION,
            Some(_) | None => RATIO_FRACTION,
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let window = self.bounds.window;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.began) > window)
        {
            self.buckets.pop_front();
        }
    }

    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let bucket_width = self.bounds.window / BUCKETS_PER_WINDOW;
        let is_current = self
            .buckets
            .back()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.began) < bucket_width);
        if !is_current {
            self.drop_expired(now);
            self.buckets_begun += 1;
            self.buckets.push_back(Bucket {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}
