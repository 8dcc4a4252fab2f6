//! Percentiles and rounding.

/// Percentiles of a sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct Percentiles {
    /// The size of the sample.
    pub count: usize,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile; the largest value if there are fewer than 100.
    pub p99: f64,
}

impl Percentiles {
    /// Computes the percentiles of values in any order. All are 0 for an empty sample.
    #[must_use]
    pub fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let rank = (figures.len() as f64 * share).ceil() as usize;
            figures.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self {
            count: figures.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Rounds a value to three decimals.
#[must_use]
pub fn round(figure: f64) -> f64 {
    (figure * 1e3).round() / 1e3
}
