//! Tests of the estimate of a stream's minimum duration.

use {
    std::time::Duration,
    tealshore_gateway::{
        pace::{Pace, RemainingWork},
        read_rate::ReadRate,
    },
};

/// Builds averages from streams of 100 events of 6 tokens, 40 ms apart, whose prompts are read at 5 tokens
/// per millisecond.
fn pace_after(streams: usize) -> (Pace, ReadRate) {
    let mut pace = Pace::default();
    let mut read_rate = ReadRate::default();
    for _ in 0..streams {
        pace.observe(101, Duration::from_secs(4), 606);
        read_rate.observe(5_000, Duration::from_secs(1));
    }
    (pace, read_rate)
}

fn min_duration_ms(streams: usize, work: RemainingWork) -> Option<u128> {
    let (pace, read_rate) = pace_after(streams);
    let shortest = pace.min_duration(work, read_rate)?;
    Some(shortest.as_millis())
}

const WHOLE: RemainingWork = RemainingWork {
    unread_tokens: 5_000,
    output_tokens: 606,
    events_delivered: 0,
};

#[test]
fn nothing_is_estimated_before_enough_streams_were_seen() {
    assert_eq!(min_duration_ms(0, WHOLE), None);
    assert_eq!(min_duration_ms(2, WHOLE), None);
    assert!(min_duration_ms(3, WHOLE).is_some());
}

#[test]
fn the_estimate_is_below_the_duration_of_streams() {
    let min_ms = min_duration_ms(200, WHOLE).unwrap_or_default();
    assert!((2_500..5_000).contains(&min_ms), "{min_ms}");
}

#[test]
fn a_held_prompt_and_delivered_events_take_no_time() {
    let held_prompt = RemainingWork {
        unread_tokens: 0,
        ..WHOLE
    };
    let nearly_done = RemainingWork {
        events_delivered: 80,
        ..held_prompt
    };
    let done = RemainingWork {
        events_delivered: 101,
        ..held_prompt
    };
    let min_ms = |work| min_duration_ms(200, work).unwrap_or_default();
    assert!(min_ms(held_prompt) < min_ms(WHOLE));
    assert!(min_ms(nearly_done) < min_ms(held_prompt) / 3);
    assert_eq!(min_ms(done), 0);
}
