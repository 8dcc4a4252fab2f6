//! Hosts that recently opened no tunnel to a service, or to one upstream.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId, ServiceId},
};

/// How long a host that opened no tunnel is not asked for another one to the same service or upstream.
pub const REFUSAL_LIFETIME: Duration = Duration::from_secs(1);
/// Number of refusals at which outdated ones are removed.
const PRUNE_LEN: usize = 1_024;

/// What a host opened no tunnel to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RefusedTarget {
    /// All upstreams of a service.
    Service(ServiceId),
    /// One upstream that the host does not know.
    Upstream(EngineId),
}

#[derive(Debug, Default)]
pub(super) struct Refusals(HashMap<(RefusedTarget, HostId), Instant>);

impl Refusals {
    pub(super) fn add(&mut self, target: RefusedTarget, host: &HostId, now: Instant) {
        if self.0.len() >= PRUNE_LEN {
            self.0.retain(|_, since| is_current(*since, now));
        }
        self.0.insert((target, host.clone()), now);
    }

    pub(super) fn hosts(
        &self,
        service: &ServiceId,
        upstream: &EngineId,
        now: Instant,
    ) -> Vec<HostId> {
        let concerns = |target: &RefusedTarget| match target {
            RefusedTarget::Service(refused) => refused == service,
            RefusedTarget::Upstream(refused) => refused == upstream,
        };
        let current = self
            .0
            .iter()
            .filter(|((target, _), since)| concerns(target) && is_current(**since, now));
        current.map(|((_, host), _)| host.clone()).collect()
    }
}

fn is_current(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < REFUSAL_LIFETIME
}
