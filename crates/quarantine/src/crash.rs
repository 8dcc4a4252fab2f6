//! Crashes of upstreams under requests, and which of them incriminate a request.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, RequestId},
};

/// How many events apart the positions of crashes may be to count as the same position. A request that crashes
/// upstreams makes hardly any progress from one crash to the next. Of 79 streams that lost engines next to such
/// requests, none lost three engines within one event, and one did within two events.
const POSITION_TOLERANCE: u64 = 1;
/// The minimum time after which a crashed upstream can run requests again.
pub(crate) const MIN_RESTART_TIME: Duration = Duration::from_millis(200);
/// How long before the end of one run the next run may seem to begin and still count as following it. Hosts
/// send ages in whole milliseconds, and the delays of their datagrams differ by some milliseconds. Runs that
/// end together overlap by tens of milliseconds.
pub(crate) const OVERLAP_TOLERANCE: Duration = Duration::from_millis(5);

/// Crashes under one request that are less than this apart count as one. It takes about 15 ms to detect a
/// crash, connect to the next upstream, send the request and start it there, and a request that crashed engines
/// needed at least 48 ms. When two such requests crashed three engines within 25 ms, an innocent stream had
/// been on all three, for 4 to 11 ms each.
pub(crate) const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(15);

/// The crash of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The caller's attempt at the request that the run belonged to.
    pub attempt: RequestId,
    /// The upstream's id.
    pub upstream: EngineId,
    /// The position of the last event of the request before the crash, over all its runs; 0 if there was none.
    pub position: u64,
    /// How many events this run had sent.
    pub run_events: u64,
    /// When the run began.
    pub began: Instant,
    /// When the crash was detected.
    pub ended: Instant,
}

impl Crash {
    /// Returns whether both records describe one crash of an upstream: reported twice, or seen from two runs
    /// that the upstream had at that time. A run that began well after the other crash ran after a restart, so
    /// its crash is another one.
    #[must_use]
    pub fn is_same_crash(&self, other: &Self) -> bool {
        let overlap = self.began < other.ended && other.began < self.ended;
        let gap = self.ended.max(other.ended) - self.ended.min(other.ended);
        let is_same_incarnation =
            self.attempt == other.attempt || overlap || gap < MIN_RESTART_TIME;
        self.upstream == other.upstream && is_same_incarnation
    }

    /// Returns the crash with its times corrected by `shift`.
    #[must_use]
    pub(crate) fn shifted(self, shift: Shift) -> Self {
        Self {
            began: shift.apply(self.began),
            ended: shift.apply(self.ended),
            ..self
        }
    }

    /// Returns whether the run ended within `POSITION_TOLERANCE` events of its start. Most streams that lose an
    /// engine have made more progress by then; the others were resumed where a request that crashes engines had
    /// ended them shortly before.
    #[must_use]
    pub fn is_at_start(&self) -> bool {
        is_at_start(self.run_events)
    }

    fn is_at_position(&self, position: u64) -> bool {
        (position..=position.saturating_add(POSITION_TOLERANCE)).contains(&self.position)
    }
}

/// Returns whether a run that has sent this many events may still crash its upstream because it began there.
#[must_use]
pub fn is_at_start(run_events: u64) -> bool {
    run_events <= POSITION_TOLERANCE
}

/// The correction from reported times to local times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shift {
    /// Reported times are too early.
    Later(Duration),
    /// Reported times are too late.
    Earlier(Duration),
}

impl Shift {
    /// Returns the correction that turns a reported time into the known time of the same event.
    pub(crate) fn between(reported: Instant, known: Instant) -> Self {
        match known.checked_duration_since(reported) {
            Some(later) => Self::Later(later),
            None => Self::Earlier(reported.saturating_duration_since(known)),
        }
    }

    fn apply(self, moment: Instant) -> Instant {
        match self {
            Self::Later(by) => moment + by,
            Self::Earlier(by) => moment.checked_sub(by).unwrap_or(moment),
        }
    }
}

/// Returns how many of a request's crashes incriminate it: the largest number of consecutive runs that crashed
/// at the same position. A request that merely ran next to the cause makes progress in each run, and engines
/// that crash together under many runs of one request have another cause.
#[must_use]
pub fn incriminating_count(crashes: &[Crash]) -> usize {
    incriminating(crashes).len()
}

/// Returns the incriminating crashes, ordered by time.
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

/// Selects runs of which each began after the previous one had ended, and lasted long enough to have caused the
/// crash.
fn longest_sequence(mut crashes: Vec<&Crash>) -> Vec<&Crash> {
    crashes.sort_by_key(|crash| crash.ended);
    let mut sequence: Vec<&Crash> = Vec::new();
    for crash in crashes {
        let follows = sequence.last().is_none_or(|last| {
            let began_after = crash.began + OVERLAP_TOLERANCE >= last.ended;
            let gap = crash.ended.saturating_duration_since(last.ended);
            began_after && gap >= MIN_CRASH_INTERVAL
        });
        if follows {
            sequence.push(crash);
        }
    }
    sequence
}
