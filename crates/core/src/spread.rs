//! Random jitter, so that many hosts or callers do not act at the same time.

use {rand::RngExt, std::time::Duration};

/// Adds jitter: returns a random duration in `base..=base * 2`.
#[must_use]
pub fn with_jitter(base: Duration) -> Duration {
    base + base.mul_f64(rand::rng().random::<f64>())
}
