//! Spreads moments so that many callers do not act together.

use {rand::RngExt, std::time::Duration};

/// A random duration in `base..=base * 2`.
#[must_use]
pub fn spread(base: Duration) -> Duration {
    base + base.mul_f64(rand::rng().random::<f64>())
}
