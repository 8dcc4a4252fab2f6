//! Upstreams that ended under a request, and which of these ends speak against it.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, RequestId},
};

/// A request that crashes upstreams gets no further than so many events past the place where it
/// did before. Of 79 streams that lost engines beside such requests, none lost three within one event
/// and one did within two.
const POSITION_TOLERANCE: u64 = 1;
/// An upstream that ended does not run requests again sooner than this.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);
/// A run counts as following another one though it seems to have begun this much before the other's
/// end: hosts tell ages in whole milliseconds, and datagrams of two hosts take some. Runs that end
/// together overlap by tens of milliseconds.
const OVERLAP_TOLERANCE: Duration = Duration::from_millis(5);

/// Ends of upstreams under one request that are no further apart count as one: to see the first, open a connection,
/// send and let the next upstream begin takes some 15 ms, and a request that crashed engines needed 48 ms and more. Where
/// two of them ended three engines in 25 ms, a stream that did nothing had been at all three, 4 to 11 ms each.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(15);

/// An upstream that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The try of the request's caller that ran there.
    pub attempt: RequestId,
    /// The upstream.
    pub upstream: EngineId,
    /// The last event of the request that had come by then, of any of its runs; 0 where none had.
    pub position: u64,
    /// How many events had come of this run.
    pub run_events: u64,
    /// When the run began there.
    pub began: Instant,
    /// When the upstream was found to have ended.
    pub ended: Instant,
}

impl Crash {
    /// Whether both are one end of an upstream: told twice, or seen for two runs that it had then. A run
    /// that began well after the other's end was there after the upstream had started again.
    #[must_use]
    pub fn is_same_crash(&self, other: &Self) -> bool {
        let overlap = self.began < other.ended && other.began < self.ended;
        let apart = self.ended.max(other.ended) - self.ended.min(other.ended);
        let is_one_life = self.attempt == other.attempt || overlap || apart < MIN_RESTART_TIME;
        self.upstream == other.upstream && is_one_life
    }

    /// The same crash by a clock that runs ahead of, or behind, the one by which it was told.
    #[must_use]
    pub(crate) fn shifted(self, shift: Shift) -> Self {
        Self {
            began: shift.apply(self.began),
            ended: shift.apply(self.ended),
            ..self
        }
    }

    /// Whether the run ended nearly where it began. Most of what ends with an engine has got on by then,
    /// and only goes on from where a request that crashes engines ended them before.
    #[must_use]
    pub fn is_at_start(&self) -> bool {
        self.run_events <= POSITION_TOLERANCE
    }

    fn is_at_position(&self, position: u64) -> bool {
        (position..=position.saturating_add(POSITION_TOLERANCE)).contains(&self.position)
    }
}

/// By how much moments that were told are off from those that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shift {
    /// They are too early.
    Later(Duration),
    /// They are too late.
    Earlier(Duration),
}

impl Shift {
    /// What makes a moment that was told the known one.
    pub(crate) fn between(told: Instant, known: Instant) -> Self {
        match known.checked_duration_since(told) {
            Some(later) => Self::Later(later),
            None => Self::Earlier(told.saturating_duration_since(known)),
        }
    }

    fn apply(self, moment: Instant) -> Instant {
        match self {
            Self::Later(by) => moment + by,
            Self::Earlier(by) => moment.checked_sub(by).unwrap_or(moment),
        }
    }
}

/// How many of a request's crashes speak against it: the most at one place in runs that followed one
/// another. A request beside the one that crashes an engine has got further in each run, and engines
/// that end together under many runs of one request end for a reason of their own.
#[must_use]
pub fn incriminating_count(crashes: &[Crash]) -> usize {
    incriminating(crashes).len()
}

/// Those crashes, by their time.
#[must_use]
pub fn incriminating(crashes: &[Crash]) -> Vec<&Crash> {
    let positions = crashes.iter().map(|crash| crash.position);
    let sequences = positions.map(|position| {
        let at_position = crashes
            .iter()
            .filter(|crash| crash.is_at_position(position));
        longest_sequence(at_position.collect())
    });
    sequences.max_by_key(Vec::len).unwrap_or_default()
}

/// The most runs of which each began after the one before had ended, and was there long enough to do harm.
fn longest_sequence(mut crashes: Vec<&Crash>) -> Vec<&Crash> {
    crashes.sort_by_key(|crash| crash.ended);
    let mut sequence: Vec<&Crash> = Vec::new();
    for crash in crashes {
        let follows = sequence.last().is_none_or(|last| {
            let began_after = crash.began + OVERLAP_TOLERANCE >= last.ended;
            let apart = crash.ended.saturating_duration_since(last.ended);
            began_after && apart >= MIN_CRASH_INTERVAL
        });
        if follows {
            sequence.push(crash);
        }
    }
    sequence
}
