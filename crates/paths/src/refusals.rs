//! Hosts that recently opened no tunnel to a service.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{HostId, ServiceId},
};

/// How long a host that opened no tunnel to a service is not asked for another one.
pub const REFUSAL_LIFETIME: Duration = Duration::from_secs(1);
/// Number of refusals at which outdated ones are removed.
const PRUNE_LEN: usize = 1_024;

#[derive(Debug, Default)]
pub(super) struct Refusals(HashMap<(ServiceId, HostId), Instant>);

impl Refusals {
    pub(super) fn add(&mut self, service: &ServiceId, host: &HostId, now: Instant) {
        if self.0.len() >= PRUNE_LEN {
            self.0.retain(|_, since| is_current(*since, now));
        }
        self.0.insert((service.clone(), host.clone()), now);
    }

    pub(super) fn hosts(&self, service: &ServiceId, now: Instant) -> Vec<HostId> {
        let current = self
            .0
            .iter()
            .filter(|((refused, _), since)| refused == service && is_current(**since, now));
        current.map(|((_, host), _)| host.clone()).collect()
    }
}

fn is_current(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < REFUSAL_LIFETIME
}
