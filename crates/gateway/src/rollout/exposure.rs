//! Bounds what a version gets that is being tried.

use tealshore_core::protection::{Protection, enabled};

/// The part of the allowed share that hosts use: what a host counts may not reach an upstream.
const SHARE_FRACTION: f64 = 0.75;

/// Whether a request is sent for the first time on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// No upstream was sent it from this host before.
    First,
    /// It was sent from this host before: a retry, a hedge, or a stream that goes on.
    Repeat,
}

impl SendKind {
    /// Of a request that was sent so many times before.
    #[must_use]
    pub fn after(sends: u32) -> Self {
        if sends == 0 {
            Self::First
        } else {
            Self::Repeat
        }
    }
}

/// One host's count of requests since it knows of an order.
///
/// Each host keeps to the share by its own count, whatever it hears of the others. A count from
/// zero would let a host have its first canary only once it had a dozen requests, which on many
/// hosts with few requests each is after most of the roll-out's time. So each begins with a part
/// of one canary, drawn evenly from 0 to 1: what it then uses is on average just the share of
/// what it got, also of a host that starts anew, and the sum over hosts strays by less than the
/// root of their number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CanaryBudget {
    requests: u64,
    canaries: u64,
    initial_credit: f64,
}

impl CanaryBudget {
    /// Nothing is counted yet; `initial_credit` is what it has of its first canary, from 0 to 1.
    #[must_use]
    pub fn with_initial_credit(initial_credit: f64) -> Self {
        Self {
            initial_credit,
            ..Self::default()
        }
    }

    /// Notes a send to the version that serves. Repeats are no requests of callers, and earn no canaries.
    pub fn record_request(&mut self, send: SendKind) {
        match send {
            SendKind::First => self.requests += 1,
            SendKind::Repeat => {}
        }
    }

    /// Notes a send to the version that is tried; each of them counts.
    pub fn record_canary(&mut self, send: SendKind) {
        self.record_request(send);
        self.canaries += 1;
    }

    /// Whether one more request may go to the version that is tried; `share` is the part of all
    /// requests that it may get.
    #[must_use]
    pub fn allows_canary(&self, share: f64) -> bool {
        let bound = to_f64(self.requests + 1) * share * SHARE_FRACTION + self.initial_credit;
        to_f64(self.canaries + 1) <= bound || !enabled(Protection::CanaryShare)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
