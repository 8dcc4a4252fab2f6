//! How long an engine may be silent between two tokens before it is suspected.

use {crate::policy::SilenceBounds, std::time::Duration};

/// How many mean deviations above the mean are still ordinary.
const DEVIATIONS: u32 = 8;
/// The weight of a new gap in the mean is 1/8, as in TCP's retransmission timer (RFC 6298).
const MEAN_SHIFT: u32 = 8;
/// The weight of a new deviation is 1/4, as in the same.
const DEVIATION_SHIFT: u32 = 4;

/// A running estimate of the gaps between the tokens of one generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GapEstimate {
    mean: Duration,
    deviation: Duration,
    seen: u32,
}

impl GapEstimate {
    /// Takes in the gap between two tokens.
    pub fn observe(&mut self, gap: Duration) {
        if self.seen == 0 {
            self.mean = gap;
            self.deviation = gap / 2;
        } else {
            let off = self.mean.abs_diff(gap);
            self.deviation =
                self.deviation - self.deviation / DEVIATION_SHIFT + off / DEVIATION_SHIFT;
            self.mean = self.mean - self.mean / MEAN_SHIFT + gap / MEAN_SHIFT;
        }
        self.seen = self.seen.saturating_add(1);
    }

    /// The silence that raises suspicion.
    #[must_use]
    pub fn bound(&self, bounds: &SilenceBounds) -> Duration {
        if self.seen == 0 {
            return bounds.ceiling;
        }
        (self.mean + self.deviation * DEVIATIONS).clamp(bounds.floor, bounds.ceiling)
    }
}
