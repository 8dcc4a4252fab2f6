//! How long an engine may be silent between two tokens before it is suspected.

use {crate::policy::SilenceBounds, std::time::Duration};

/// How many mean deviations above the mean are still ordinary.
const DEVIATION_FACTOR: u32 = 8;
/// The weight of a new gap in the mean is 1/8, as in TCP's retransmission timer (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
/// The weight of a new deviation is 1/4, as in the same.
const DEVIATION_DIVISOR: u32 = 4;

/// A running estimate of the gaps between the tokens of one generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GapEstimate {
    mean: Duration,
    deviation: Duration,
    samples: u32,
}

impl GapEstimate {
    /// Takes in the gap between two tokens.
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

    /// The silence that raises suspicion.
    #[must_use]
    pub fn suspicion_timeout(&self, bounds: &SilenceBounds) -> Duration {
        if self.samples == 0 {
            return bounds.ceiling;
        }
        (self.mean + self.deviation * DEVIATION_FACTOR).clamp(bounds.floor, bounds.ceiling)
    }
}
