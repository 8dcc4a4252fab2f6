//! The least time that a stream takes, by what was seen of others.

use {
    std::time::Duration,
    tealshore_gateway::{
        pace::{Pace, RemainingWork},
        read_rate::ReadRate,
    },
};

/// Streams of 100 events of 6 tokens, 40 ms apart; prompts are read at 5 tokens in a millisecond.
fn seen(streams: usize) -> (Pace, ReadRate) {
    let mut pace = Pace::default();
    let mut read_rate = ReadRate::default();
    for _ in 0..streams {
        pace.observe(101, Duration::from_secs(4), 606);
        read_rate.observe(5_000, Duration::from_secs(1));
    }
    (pace, read_rate)
}

fn least_ms(streams: usize, work: RemainingWork) -> Option<u128> {
    let (pace, read_rate) = seen(streams);
    let least = pace.min_duration(work, read_rate)?;
    Some(least.as_millis())
}

const WHOLE: RemainingWork = RemainingWork {
    unread_tokens: 5_000,
    output_tokens: 606,
    events_delivered: 0,
};

#[test]
fn nothing_is_estimated_before_enough_streams_were_seen() {
    assert_eq!(least_ms(0, WHOLE), None);
    assert_eq!(least_ms(2, WHOLE), None);
    assert!(least_ms(3, WHOLE).is_some());
}

#[test]
fn the_estimate_is_below_what_streams_took() {
    let least = least_ms(200, WHOLE).unwrap_or_default();
    assert!((2_500..5_000).contains(&least), "{least}");
}

#[test]
fn a_kept_prompt_and_events_that_the_caller_has_take_no_time() {
    let kept = RemainingWork {
        unread_tokens: 0,
        ..WHOLE
    };
    let nearly_done = RemainingWork {
        events_delivered: 80,
        ..kept
    };
    let done = RemainingWork {
        events_delivered: 101,
        ..kept
    };
    let least = |work| least_ms(200, work).unwrap_or_default();
    assert!(least(kept) < least(WHOLE));
    assert!(least(nearly_done) < least(kept) / 3);
    assert_eq!(least(done), 0);
}
