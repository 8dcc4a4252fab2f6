//! Speed of a service's streams, learned from those that completed, and the minimum time that another stream
//! would take.

use {crate::read_rate::ReadRate, std::time::Duration};

/// Weight of one stream in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of streams that must have completed before an estimate is made.
const MIN_STREAMS: u32 = 3;
/// Best-case read rate relative to the average: a prompt is read this much faster if no other stream runs
/// beside it. The average is 0.8 of the best.
const BEST_READ_FACTOR: f64 = 1.25;
/// Best-case time between two events relative to the average.
const BEST_INTERVAL_FACTOR: f64 = 0.8;
/// Best-case number of events relative to the average: answers may be shorter.
const BEST_EVENTS_FACTOR: f64 = 0.9;

/// What remains to be done for a stream.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// Prompt tokens that no engine is known to hold.
    pub unread_tokens: u64,
    /// Maximum number of tokens of the whole answer.
    pub output_tokens: u64,
    /// Number of events that the caller already has.
    pub events_delivered: u64,
}

/// Moving averages over the streams that completed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    streams: u32,
    interval_ms: f64,
    events_per_token: f64,
}

impl Pace {
    /// Records a completed stream: its number of events, the time from the first to the last, and its maximum
    /// number of output tokens. A stream that was resumed in the middle must not be recorded, as it lacks the
    /// events before.
    pub fn observe(&mut self, events: u64, duration: Duration, output_tokens: u64) {
        if events < 2 || output_tokens == 0 {
            return;
        }
        let interval_ms = duration.as_secs_f64() * 1_000.0 / to_f64(events - 1);
        let events_per_token = to_f64(events) / to_f64(output_tokens);
        let weight = if self.streams == 0 {
            1.0
        } else {
            SAMPLE_WEIGHT
        };
        self.interval_ms += (interval_ms - self.interval_ms) * weight;
        self.events_per_token += (events_per_token - self.events_per_token) * weight;
        self.streams = self.streams.saturating_add(1);
    }

    /// Returns the minimum time in which a stream may complete, or none until enough streams have been seen.
    #[must_use]
    pub fn min_duration(&self, work: RemainingWork, read_rate: ReadRate) -> Option<Duration> {
        if self.streams < MIN_STREAMS {
            return None;
        }
        let prefill_ms = read_rate.expected_ms(work.unread_tokens) / BEST_READ_FACTOR;
        let expected_events =
            to_f64(work.output_tokens) * self.events_per_token * BEST_EVENTS_FACTOR;
        let events = (expected_events - to_f64(work.events_delivered)).max(0.0);
        let generate_ms = events * self.interval_ms * BEST_INTERVAL_FACTOR;
        Duration::try_from_secs_f64((prefill_ms + generate_ms) / 1_000.0).ok()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and events are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
