//! Bounds what a version gets that is being tried.

use tealshore_core::protection::{Protection, enabled};

/// The part of the allowed share that hosts use. A host counts what it chose upstreams for, and of
/// these up to a quarter may be repeats, which are no requests of callers.
const SHARE_PART: f64 = 0.75;

/// One host's count of requests since it knows of an order.
///
/// Each host keeps to the share by its own count, so that all together keep to it whatever they
/// hear of each other. A host that starts anew counts anew, and so uses nothing twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    requests: u64,
    canaries: u64,
}

impl Exposure {
    /// Notes a request that was sent to the version that serves.
    pub fn note_request(&mut self) {
        self.requests += 1;
    }

    /// Notes a request that was sent to the version that is tried.
    pub fn note_canary(&mut self) {
        self.requests += 1;
        self.canaries += 1;
    }

    /// Whether one more request may go to the version that is tried; `share` is the part of all
    /// requests that it may get.
    #[must_use]
    pub fn allows_canary(&self, share: f64) -> bool {
        let bound = to_f64(self.requests + 1) * share * SHARE_PART;
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
