//! Bounds the share of requests that the target version receives while it is tried.

use tealshore_core::protection::{Protection, enabled};

/// Fraction of the allowed share that hosts use. It leaves a margin since requests that a host
/// counts may never reach an upstream.
const SHARE_FRACTION: f64 = 0.75;

/// Whether this host sends a request for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// This host has not sent the request to any upstream before.
    First,
    /// This host has sent the request before: a retry, a hedge, or a resumed stream.
    Repeat,
}

impl SendKind {
    /// Returns the kind of a send that follows `sends` earlier sends of the same request.
    #[must_use]
    pub fn after(sends: u32) -> Self {
        if sends == 0 {
            Self::First
        } else {
            Self::Repeat
        }
    }
}

/// Canary budget of one host, counted since it learned of an order.
///
/// Each host enforces the share with its own counts, independently of what other hosts report.
/// Starting from zero, a host could send its first canary only after about a dozen requests. With
/// many hosts that get few requests each, that is after most of the roll-out's time. So each host
/// starts with an initial credit, drawn uniformly from 0 to 1 canaries. The expected use then
/// equals the share, also for a host that restarts, and the sum over hosts deviates by less than
/// the square root of their number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CanaryBudget {
    requests: u64,
    canaries: u64,
    initial_credit: f64,
}

impl CanaryBudget {
    /// Creates a budget without any counted requests; `initial_credit` is a fraction of a canary
    /// from 0 to 1.
    #[must_use]
    pub fn with_initial_credit(initial_credit: f64) -> Self {
        Self {
            initial_credit,
            ..Self::default()
        }
    }

    /// Records a send to the serving version. Only first sends add to the budget: repeats are not
    /// requests of callers.
    pub fn record_request(&mut self, send: SendKind) {
        match send {
            SendKind::First => self.requests += 1,
            SendKind::Repeat => {}
        }
    }

    /// Records a send to the target version. Each one uses up budget, repeats included.
    pub fn record_canary(&mut self, send: SendKind) {
        self.record_request(send);
        self.canaries += 1;
    }

    /// Whether the budget allows one more request to the target version; `share` is the target's
    /// allowed share of all requests.
    #[must_use]
    pub fn allows_canary(&self, share: f64) -> bool {
        let max_canaries = to_f64(self.requests + 1) * share * SHARE_FRACTION + self.initial_credit;
        to_f64(self.canaries + 1) <= max_canaries || !enabled(Protection::CanaryShare)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
