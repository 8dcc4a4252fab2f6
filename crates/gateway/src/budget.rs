//! The budget of repeated sends of all hosts.
//!
//! Each host may always use its used_here part, without a word from the others. What the others
//! leave over is shared as well, as long as nearly all of them are heard: each takes at most
//! its equal part of what is remaining in the time that an update needs to reach everybody.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How finely the window is counted.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The bounds of the used_by_all system.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the ratio that is used: requests and repeats of one window may be counted in
/// buckets that differ by one.
const RATIO_FRACTION: f64 = 0.75;
/// Part of the slack that is used. A host that starts does not know what its former process used a
/// moment ago: where all hosts are killed, they would else use the used_by_all slack twice in one window.
/// Hosts that took none of it for a window after a start would not go on with the first streams that
/// come to them.
const SLACK_FRACTION: f64 = 0.5;
/// The part of all hosts that must have been heard before what they leave over is used.
const MIN_HEARD_FRACTION: f64 = 0.75;

/// Where more hosts than this share what is remaining, a share below one repeat is drawn at random. Rounded down, a
/// large fleet would leave some hundred repeats unused; among few hosts the draws would stray too far.
const MAX_HOSTS_WITHOUT_DRAW: usize = 100;
/// The part of what is remaining that is drawn in one bucket: hosts hear of each other's use within two.
const DRAWN_SHARE_FRACTION: f64 = 0.5;

/// What was used of a budget within its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

impl BudgetUse {
    /// Adds what another host used.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
    }
}

/// What a host knows of the others when it is about to repeat a send.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// The most hosts that there ever were at once, this one included.
    pub hosts: usize,
    /// Other hosts that were heard a moment ago.
    pub heard: usize,
    /// What those have used.
    pub used: BudgetUse,
}

impl Pool {
    /// A pool of which nothing was heard.
    #[must_use]
    pub fn unheard(hosts: usize) -> Self {
        Self {
            hosts,
            heard: 0,
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

/// One host's part of the budget for one service.
pub struct RetryBudget {
    bounds: BudgetBounds,
    buckets: VecDeque<Bucket>,
    /// Sets the draws of this host apart from those of others.
    seed: u64,
    buckets_begun: u64,
    /// When this process took the place of an earlier one.
    restarted_at: Option<Instant>,
}

impl RetryBudget {
    /// A budget that has seen nothing.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self::with_draw_seed(bounds, 0)
    }

    /// The same, with a number that was drawn for this host.
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

    /// The same, of a host whose earlier process may have used its part a moment ago.
    #[must_use]
    pub fn after_restart(bounds: BudgetBounds, seed: u64, now: Instant) -> Self {
        Self {
            restarted_at: Some(now),
            ..Self::with_draw_seed(bounds, seed)
        }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat, where this host's used_here part allows it, or what the others leave over.
    pub fn take(&mut self, now: Instant, pool: &Pool) -> bool {
        let is_allowed = self.host_share_allows(now, pool) || self.pool_allows(now, pool);
        if !is_allowed && enabled(Protection::RetryBudget) {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Gives back a repeat that was taken and reached no upstream.
    pub fn refund(&mut self) {
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|bucket| bucket.repeats > 0) {
            bucket.repeats -= 1;
        }
    }

    /// What this host used within the window that ends now.
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

    /// Whether the used_by_all of the hosts that were heard has something remaining, and this host has
    /// not yet taken its equal part of that since an update last reached everybody.
    fn pool_allows(&mut self, now: Instant, pool: &Pool) -> bool {
        let members = to_f64(pool.heard + 1);
        if members < to_f64(pool.hosts) * MIN_HEARD_FRACTION {
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

    /// A number from 0 to 1 that is drawn anew for each bucket, however often it is asked for.
    fn share_draw(&mut self, now: Instant) -> f64 {
        self.bucket(now);
        let hash = xxh3_64_with_seed(&self.buckets_begun.to_le_bytes(), self.seed);
        let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Repeats in the bucket that runs and in the one before it: a bucket is as long as a
    /// heartbeat between hosts may take.
    fn repeats_since_update(&self, now: Instant) -> u32 {
        let update_interval = self.bounds.window / BUCKETS_PER_WINDOW;
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| now.saturating_duration_since(bucket.began) <= update_interval * 2);
        recent.map(|bucket| bucket.repeats).sum()
    }

    /// Repeats that so many requests allow, with a slack besides.
    fn allowed(&self, requests: u32, slack: f64, now: Instant) -> f64 {
        f64::from(requests) * self.bounds.ratio * self.ratio_fraction(now) + slack
    }

    /// The part of the ratio that is used: what an earlier process of this host remaining over of it, for as long as that
    /// one's repeats are counted.
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
