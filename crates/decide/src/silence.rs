//! Adaptive timeout for the silence between two tokens, after which an engine is suspected.

use {crate::policy::SilenceBounds, std::time::Duration};

/// Gaps up to this many mean deviations above the mean are normal.
const DEVIATION_FACTOR: u32 = 8;
/// A new gap has a weight of 1/8 in the mean, as in TCP's retransmission timer (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
/// A new deviation has a weight of 1/4 in the mean deviation, also as in RFC 6298.
const DEVIATION_DIVISOR: u32 = 4;

/// A running estimate of the gaps between the tokens of one generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GapEstimate {
    mean: Duration,
    deviation: Duration,
    samples: u32,
}

impl GapEstimate {
    /// Updates the estimate with the gap between two tokens.
    pub fn observe(&mut self, gap: Duration) {
        if self.samples == 0 {
            self.mean = gap;
            self.deviation = gap / 2;
        } else {
            let error = self.mean.abs_diff(gap);
            self.deviation =
                self.deviation - self.deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
            self.mean = self.mean - self.mean / MEAN_DIVISOR + gap / MEAN_DIVISOR;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the silence after which the engine is suspected, within the policy's bounds.
    #[must_use]
    pub fn suspicion_timeout(&self, bounds: &SilenceBounds) -> Duration {
        if self.samples == 0 {
            return bounds.ceiling;
        }
        (self.mean + self.deviation * DEVIATION_FACTOR).clamp(bounds.floor, bounds.ceiling)
    }
}
