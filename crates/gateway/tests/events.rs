//! Tests that events are delivered complete, once and in order.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    bytes::Bytes,
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_gateway::events::{Event, EventSplitter, Progress, StreamFault},
};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn split(splitter: &mut EventSplitter) -> Vec<Event> {
    std::iter::from_fn(|| splitter.next_event().unwrap()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(100) })]

    /// However the bytes are split, the caller receives a prefix of the stream in complete events;
    /// over any number of engines that fail at any point, it receives each event once.
    #[test]
    fn a_caller_gets_each_event_once_over_engines_that_die_anywhere(
        length in 1_u64..30,
        crashes in prop::collection::vec((0_usize..600, 1_usize..40), 0..6),
    ) {
        let mut progress = Progress::after(None);
        let mut received = String::new();
        let attempts = crashes.into_iter().map(Some).chain([None]);
        for crash in attempts {
            let next_id = progress.last().map_or(1, |last| last + 1);
            let stream: String = (next_id..=length).map(event).collect();
            let (end, chunk) = crash.unwrap_or((stream.len(), 7));
            let mut splitter = EventSplitter::default();
            for piece in stream.as_bytes()[..end.min(stream.len())].chunks(chunk) {
                splitter.push(piece);
                for event in split(&mut splitter) {
                    prop_assert!(progress.accept(&event).is_ok());
                    received.push_str(std::str::from_utf8(&event.bytes).unwrap());
                }
            }
        }
        let whole: String = (1..=length).map(event).collect();
        prop_assert_eq!(received, whole);
    }
}

fn event_with_id(id: Option<u64>) -> Event {
    Event {
        id,
        bytes: Bytes::new(),
    }
}

#[test]
fn an_event_that_is_not_due_is_refused() {
    tealshore_core::protection::start();
    let mut progress = Progress::after(Some(4));
    assert_eq!(
        progress.accept(&event_with_id(Some(4))),
        Err(StreamFault::WrongPosition)
    );
    assert_eq!(
        progress.accept(&event_with_id(Some(6))),
        Err(StreamFault::WrongPosition)
    );
    assert_eq!(
        progress.accept(&event_with_id(None)),
        Err(StreamFault::WrongPosition)
    );
    assert_eq!(progress.accept(&event_with_id(Some(5))), Ok(()));
    assert_eq!(progress.last(), Some(5));
    assert_eq!(progress.delivered(), 1);
}

#[test]
fn a_stream_without_positions_passes_and_has_none() {
    let mut progress = Progress::after(None);
    assert_eq!(progress.accept(&event_with_id(None)), Ok(()));
    assert_eq!(progress.accept(&event_with_id(None)), Ok(()));
    assert_eq!(progress.last(), None);
    assert_eq!(progress.delivered(), 2);
}

#[test]
fn lines_may_end_in_carriage_returns() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 9\r\ndata: x\r\n\r\nid: 10");
    let events = split(&mut splitter);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(9));
    assert!(splitter.has_partial_event());
}

#[test]
fn an_event_that_exceeds_the_size_limit_is_a_fault() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(splitter.next_event(), Err(StreamFault::TooLarge));
}

#[test]
fn lines_that_make_no_event_do_not_reach_the_caller() {
    for junk in ["\n", "\r\n", "junk\n\n", ": junk\n\n"] {
        let mut splitter = EventSplitter::default();
        splitter.push(junk.as_bytes());
        assert_eq!(splitter.next_event(), Err(StreamFault::Empty), "{junk:?}");
    }
}

/// Returns the time in which the splitter takes an unfinished event of this length, byte by byte.
fn time_to_split(bytes: usize) -> Duration {
    let began = Instant::now();
    let mut splitter = EventSplitter::default();
    for _ in 0..bytes {
        splitter.push(b"x");
        assert_eq!(splitter.next_event(), Ok(None));
    }
    began.elapsed()
}

#[test]
fn an_event_in_tiny_pieces_does_not_take_time_by_its_length_squared() {
    const BYTES: usize = 16 * 1024;
    const FACTOR: usize = 16;
    let runs = (0..3).map(|_| (time_to_split(BYTES), time_to_split(BYTES * FACTOR)));
    let ratios = runs.map(|(short, long)| long.as_secs_f64() / short.as_secs_f64());
    let least = ratios.fold(f64::INFINITY, f64::min);
    // A splitter that searches all bytes again takes 256 times as long.
    assert!(least < 64.0, "{least}");
}
