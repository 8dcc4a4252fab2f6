//! The direct path to one upstream, or to the upstreams of one service, while it seems to be lost.

use {
    super::PATH_LIFETIME,
    std::time::{Duration, Instant},
};

/// Number of tunnels in a row, without a direct connection, after which a path is lost. A single one may be due to a
/// lost packet.
pub(super) const MIN_TUNNELS: u32 = 2;
/// How often the lost path to one upstream is checked.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How often a lost path is checked if it leads to all upstreams of a service.
pub const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// In which order to try connecting to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOrder {
    /// Directly, and through a tunnel only if that fails or takes long.
    DirectFirst,
    /// Through a tunnel, and directly only if no host offers one.
    TunnelFirst,
    /// Both ways at once, to check whether the direct path works again.
    Both,
}

/// How a connection changed what is known of the path to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The host reaches no upstream of the service directly.
    Lost,
    /// The host reaches an upstream of the service directly again.
    Restored,
}

#[derive(Debug)]
pub(super) struct Path {
    /// Number of tunnels since the last direct connection.
    pub(super) tunnels: u32,
    /// When the last of these was opened.
    last_tunnel: Instant,
    /// When the direct path was last checked.
    checked: Instant,
}

impl Path {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            tunnels: 0,
            last_tunnel: now,
            checked: now,
        }
    }

    pub(super) fn record_tunnel(&mut self, now: Instant) {
        if !self.is_remembered(now) {
            self.tunnels = 0;
        }
        self.tunnels = self.tunnels.saturating_add(1);
        self.last_tunnel = now;
    }

    pub(super) fn is_remembered(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tunnel) < PATH_LIFETIME
    }

    pub(super) fn is_lost(&self, now: Instant) -> bool {
        self.tunnels >= MIN_TUNNELS && self.is_remembered(now)
    }

    /// Returns the order for a path that is lost.
    pub(super) fn dial_order(&mut self, check_interval: Duration, now: Instant) -> DialOrder {
        if now.saturating_duration_since(self.checked) < check_interval {
            return DialOrder::TunnelFirst;
        }
        self.checked = now;
        DialOrder::Both
    }
}
