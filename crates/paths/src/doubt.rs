//! Upstreams that only this host found unreachable.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::EngineId,
};

/// How long a doubt lasts: longer than it takes to find an upstream dead after a connection to it failed.
const DOUBT_LIFETIME: Duration = Duration::from_secs(1);
/// Number of doubts at which outdated ones are removed.
const PRUNE_LEN: usize = 256;

#[derive(Debug, Default)]
pub(super) struct Doubts(HashMap<EngineId, Instant>);

impl Doubts {
    pub(super) fn add(&mut self, upstream: &EngineId, now: Instant) {
        if self.0.len() >= PRUNE_LEN {
            self.0.retain(|_, since| is_current(*since, now));
        }
        self.0.insert(upstream.clone(), now);
    }

    pub(super) fn remove(&mut self, upstream: &EngineId) {
        self.0.remove(upstream);
    }

    pub(super) fn contains(&self, upstream: &EngineId, now: Instant) -> bool {
        self.0
            .get(upstream)
            .is_some_and(|since| is_current(*since, now))
    }
}

fn is_current(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < DOUBT_LIFETIME
}
