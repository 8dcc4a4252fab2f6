//! How fast the streams of a service go, learned from those that ended well, and the least time
//! that one more would take.

use {crate::read_rate::ReadRate, std::time::Duration};

/// What one stream weighs in the averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Streams that must have ended before an estimate is made.
const MIN_STREAMS: u32 = 3;
/// The best case against the average: prompts are read this many times as fast, where no other
/// stream runs beside them. Averages were seen to be 0.8 of the best.
const BEST_READ_FACTOR: f64 = 1.25;
/// The best case of the time between two events, against the average.
const BEST_INTERVAL_FACTOR: f64 = 0.8;
/// The best case of the number of events, against the average: answers may be shorter.
const BEST_EVENTS_FACTOR: f64 = 0.9;

/// What is still to be done for a stream.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// Prompt tokens that no engine is known to keep.
    pub unread_tokens: u64,
    /// The most tokens of the expected_events answer.
    pub output_tokens: u64,
    /// Events that the caller has.
    pub events_delivered: u64,
}

/// Averages over the streams that ended well.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    streams: u32,
    interval_ms: f64,
    events_per_token: f64,
}

impl Pace {
    /// Records a stream that ended well: its events, the time from the first to the last, and
    /// the most tokens that it was to have. One that began in the middle says nothing.
    pub fn observe(&mut self, events: u64, duration: Duration, output_tokens: u64) {
        if events < 2 || output_tokens == 0 {
            return;
        }
        let interval_ms = duration.as_secs_f64() * 1_000.0 / to_f64(events - 1);
        let events_per_token = to_f64(events) / to_f64(output_tokens);
        let weight = if self.streams == 0 {
            1.0
        } else {
            AVERAGE_WEIGHT
        };
        self.interval_ms += (interval_ms - self.interval_ms) * weight;
        self.events_per_token += (events_per_token - self.events_per_token) * weight;
        self.streams = self.streams.saturating_add(1);
    }

    /// The least time in which a stream may end; none before enough streams were seen.
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
