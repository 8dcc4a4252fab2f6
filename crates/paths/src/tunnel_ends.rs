//! Which tunnels that this host opened for others were ended by their upstream.
//!
//! An answer without a length ends with its connection. Where that passes through another host, the end of this host's
//! process ends it in the same way, so the host that reads the answer asks whether the upstream ended it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Identifies a tunnel; chosen at random by the host that asks for it.
pub type TunnelId = u64;

/// How long the end of a tunnel is remembered. The host that reads the answer asks as soon as it has read the end.
pub const TUNNEL_END_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of ends that are remembered.
const MAX_ENDS: usize = 10_000;

/// The tunnels that their upstream ended in order, after all of its bytes were passed on.
#[derive(Debug, Default)]
pub struct TunnelEnds {
    ends: HashMap<TunnelId, Instant>,
}

impl TunnelEnds {
    /// Records that the upstream ended a tunnel. If there is no room, the end is not recorded and thus never confirmed.
    pub fn record(&mut self, tunnel: TunnelId, now: Instant) {
        if self.ends.len() >= MAX_ENDS {
            self.ends.retain(|_, at| !is_expired(*at, now));
        }
        if self.ends.len() < MAX_ENDS {
            self.ends.insert(tunnel, now);
        }
    }

    /// Whether the upstream ended a tunnel recently.
    #[must_use]
    pub fn was_ended_by_upstream(&self, tunnel: TunnelId, now: Instant) -> bool {
        let at = self.ends.get(&tunnel);
        at.is_some_and(|at| !is_expired(*at, now))
    }
}

fn is_expired(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > TUNNEL_END_RETENTION
}
