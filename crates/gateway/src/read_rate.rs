//! Estimates how fast the engines of a service read prompts (prefill), from the streams that have
//! begun.

use std::time::Duration;

/// The rate assumed before any stream has begun. It is lower than that of real engines, so that no
/// stream is given up too early.
const INITIAL_TOKENS_PER_MS: f64 = 4.0;
/// The weight of one stream in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Shorter waits are ignored: the engine had the prompt cached.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The timeout is this multiple of the time expected at the average rate. Moving a stream that is
/// only waiting would make a second engine read its prompt, just when the engines are full.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Added to every timeout.
const TIMEOUT_BASE: Duration = Duration::from_millis(5_000);

/// A moving average of the prompt tokens that an engine reads per millisecond, counting those
/// queued before a stream's own.
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
    /// Records that a stream began after `wait` at an engine that had `tokens` left to read for it
    /// and for the streams before it.
    pub fn observe(&mut self, tokens: u64, wait: Duration) {
        if wait < MIN_WAIT || tokens == 0 {
            return;
        }
        let rate = to_f64(tokens) / (wait.as_secs_f64() * 1_000.0);
        self.tokens_per_ms += (rate - self.tokens_per_ms) * SAMPLE_WEIGHT;
    }

    /// The expected time until this many tokens are read, in milliseconds.
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
