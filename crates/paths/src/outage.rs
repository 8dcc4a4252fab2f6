//! Services none of whose upstreams this host reaches, neither directly nor through another host.

use {
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    tealshore_core::ids::EngineId,
};

/// How often a request is tried although the service is out of reach.
pub const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an outage is remembered without a further failure.
const OUTAGE_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of upstreams that must be out of reach, of a service with many.
const MAX_REQUIRED_UPSTREAMS: usize = 8;

/// The upstreams of a service to which no connection could be opened since the last one that could.
#[derive(Debug)]
pub(super) struct Outage {
    unreachable: HashSet<EngineId>,
    last_failure: Instant,
    checked: Option<Instant>,
}

impl Outage {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            unreachable: HashSet::new(),
            last_failure: now,
            checked: None,
        }
    }

    pub(super) fn record_failure(&mut self, upstream: &EngineId, now: Instant) {
        self.last_failure = now;
        if self.unreachable.len() < MAX_REQUIRED_UPSTREAMS {
            self.unreachable.insert(upstream.clone());
        }
    }

    /// Whether a request for the service, which has this number of upstreams, should be refused at once. One request in
    /// each check interval is not.
    pub(super) fn refuses(&mut self, upstreams: usize, now: Instant) -> bool {
        let required = (upstreams / 2 + 1).min(MAX_REQUIRED_UPSTREAMS);
        let is_recent = now.saturating_duration_since(self.last_failure) < OUTAGE_LIFETIME;
        if self.unreachable.len() < required || !is_recent {
            return false;
        }
        let is_checked = self
            .checked
            .is_some_and(|checked| now.saturating_duration_since(checked) < OUTAGE_CHECK_INTERVAL);
        if !is_checked {
            self.checked = Some(now);
        }
        is_checked
    }
}
