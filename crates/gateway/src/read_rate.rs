//! How fast the engines of a service read prompts, learned from the streams that began.

use std::time::Duration;

/// The rate that is assumed before any stream began: slower than engines are, so that none
/// is given up too early.
const INITIAL_TOKENS_PER_MS: f64 = 4.0;
/// What one stream weighs in the average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Waits shorter than this tell nothing: the prompt was kept.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// A stream may take this many times as long as its tokens would at the average rate: to send
/// it elsewhere while it only waits would read its prompt twice, and that when engines are full.
const TIMEOUT_FACTOR: f64 = 2.0;
/// It may take this much longer besides.
const TIMEOUT_BASE: Duration = Duration::from_millis(5_000);

/// An average of prompt tokens that an engine reads in a millisecond, those included that
/// wait before a stream's own.
#[derive(Clone, Copy, Debug)]
pub struct ReadRate {
    tokens_per_ms: f64,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl ReadRate {
    /// Notes that a stream began after `wait` at an engine that had `tokens` to read for it
    /// and for those before it.
    pub fn observe(&mut self, tokens: u64, wait: Duration) {
        if wait < MIN_WAIT || tokens == 0 {
            return;
        }
        let rate = to_f64(tokens) / (wait.as_secs_f64() * 1_000.0);
        self.tokens_per_ms += (rate - self.tokens_per_ms) * SAMPLE_WEIGHT;
    }

    /// How many milliseconds it takes on average until so many tokens are read.
    #[must_use]
    pub fn expected_ms(&self, tokens: u64) -> f64 {
        to_f64(tokens) / self.tokens_per_ms.max(f64::MIN_POSITIVE)
    }

    /// How long a stream may wait for its first event before it counts as lost.
    #[must_use]
    pub fn first_event_timeout(&self, tokens: u64) -> Duration {
        let expected = Duration::try_from_secs_f64(self.expected_ms(tokens) / 1_000.0);
        let expected = expected.unwrap_or(Duration::MAX / 4);
        TIMEOUT_BASE + expected.mul_f64(TIMEOUT_FACTOR)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
