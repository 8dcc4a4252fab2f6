//! Ends of upstreams under requests that may turn out to be none: the upstream is looked at again.

use {
    crate::crash::Crash,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::Fingerprint,
};

/// An upstream that has been silent for so long, while most others answer, has ended in all that matters: it
/// hangs for good, or is cut off for good. Longer than hosts and engines are known to freeze (some seconds).
pub const LONG_SILENCE: Duration = Duration::from_secs(10);
/// The times of day of a host and an upstream may differ by so much: some machines' jump by two seconds.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3);
/// How long an end that counts may still be taken back. An upstream that ended has started again by then.
pub const REVIEW_PERIOD: Duration = Duration::from_secs(60);
/// The most requests of which such ends are kept, and the most of one: some 100 kB.
const MAX_REQUESTS: usize = 512;
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// What an upstream showed when it was looked at after it had lost a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Another life answers under its id: the one that ran the request has ended.
    AnotherLife,
    /// Another life may answer than the one that ran the request; it may also have been there all the while,
    /// behind a row of an earlier one.
    PerhapsAnotherLife,
    /// Nothing listens at its address, or what listens there ends each connection at once. A way to it that
    /// is cut by resets looks the same.
    Refused,
    /// It answers nothing: it ended, hangs, stands still, or is cut off.
    Silent,
    /// It answers.
    Lives {
        /// It is known to be the life that ran the request.
        is_same_life: bool,
    },
}

impl ProbeResult {
    /// What it tells that the life which answers was born at a time, by its own clock, under another row than
    /// the one that the run was sent by. Rows may be older than the lives behind them: only a life that began
    /// after the run proves that the one which ran it has ended. Both times count from 1970.
    #[must_use]
    pub fn from_birth(born: Duration, run_began: Duration) -> Self {
        if born + MAX_CLOCK_SKEW <= run_began {
            Self::Lives { is_same_life: true }
        } else if born >= run_began + MAX_CLOCK_SKEW {
            Self::AnotherLife
        } else {
            Self::PerhapsAnotherLife
        }
    }

    /// How far it is evidence that the upstream ended; none where it lives.
    #[must_use]
    pub fn evidence(self) -> Option<Evidence> {
        match self {
            Self::AnotherLife | Self::PerhapsAnotherLife | Self::Refused => Some(Evidence::Refused),
            Self::Silent => Some(Evidence::Silent),
            Self::Lives { .. } => None,
        }
    }
}

/// How an end was found that is not certain yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing listened: it counts, and may be taken back.
    Refused,
    /// It was silent: it does not count.
    Silent,
}

/// What follows from looking again at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Look again later.
    Wait,
    /// The end is certain, or nothing more can be learned of it.
    Settled,
    /// It was silent, and counts from now on.
    Counts {
        /// It may still be taken back.
        stays_open: bool,
    },
    /// It was none, and did not count.
    WasNone,
    /// It was none, and counted: what was held against the request falls.
    TakeBack,
}

/// What follows from looking again at an upstream this long after its end under a request. `most_serve` tells
/// whether most other upstreams of its service answer: where many are silent together, no request did it.
#[must_use]
pub fn next_step(
    evidence: Evidence,
    found: ProbeResult,
    age: Duration,
    most_serve: bool,
) -> NextStep {
    match (evidence, found) {
        (Evidence::Silent, ProbeResult::AnotherLife) => NextStep::Counts { stays_open: false },
        (Evidence::Silent, ProbeResult::Refused | ProbeResult::PerhapsAnotherLife) => {
            NextStep::Counts { stays_open: true }
        }
        (Evidence::Silent, ProbeResult::Lives { .. }) => NextStep::WasNone,
        (Evidence::Silent, ProbeResult::Silent) if age < LONG_SILENCE => NextStep::Wait,
        (Evidence::Silent, ProbeResult::Silent) if most_serve => {
            NextStep::Counts { stays_open: true }
        }
        (Evidence::Silent, ProbeResult::Silent) => NextStep::WasNone,
        (Evidence::Refused, ProbeResult::Lives { is_same_life: true }) => NextStep::TakeBack,
        (
            Evidence::Refused,
            ProbeResult::AnotherLife | ProbeResult::PerhapsAnotherLife | ProbeResult::Lives { .. },
        ) => NextStep::Settled,
        (Evidence::Refused, ProbeResult::Refused | ProbeResult::Silent) if age < REVIEW_PERIOD => {
            NextStep::Wait
        }
        (Evidence::Refused, ProbeResult::Refused | ProbeResult::Silent) => NextStep::Settled,
    }
}

/// An end that is not certain.
#[derive(Clone, Debug)]
pub struct UncertainCrash<U> {
    /// The end, as it counts or would count.
    pub crash: Crash,
    /// The upstream.
    pub upstream: U,
    /// How it was found.
    pub evidence: Evidence,
}

/// The ends that are not certain, by requests.
#[derive(Debug)]
pub struct UncertainCrashes<U> {
    ends: HashMap<Fingerprint, Vec<UncertainCrash<U>>>,
}

impl<U> Default for UncertainCrashes<U> {
    fn default() -> Self {
        Self {
            ends: HashMap::new(),
        }
    }
}

impl<U: Clone> UncertainCrashes<U> {
    /// Takes in an end, or what was found of a known one.
    pub fn note(&mut self, request: Fingerprint, end: UncertainCrash<U>, now: Instant) {
        self.make_room(request, now);
        let ends = self.ends.entry(request).or_default();
        ends.retain(|known| !known.crash.is_same_crash(&end.crash));
        ends.push(end);
        if ends.len() > MAX_CRASHES_PER_REQUEST {
            ends.remove(0);
        }
    }

    /// Those of a request.
    #[must_use]
    pub fn of(&self, request: Fingerprint) -> Vec<UncertainCrash<U>> {
        self.ends.get(&request).cloned().unwrap_or_default()
    }

    /// Those of a request that do not count.
    #[must_use]
    pub fn silent(&self, request: Fingerprint) -> Vec<Crash> {
        let ends = self.ends.get(&request).into_iter().flatten();
        let silent = ends.filter(|end| end.evidence == Evidence::Silent);
        silent.map(|end| end.crash.clone()).collect()
    }

    /// Forgets an end, of which nothing more is to be learned.
    pub fn settle(&mut self, request: Fingerprint, crash: &Crash) {
        let Some(ends) = self.ends.get_mut(&request) else {
            return;
        };
        ends.retain(|known| !known.crash.is_same_crash(crash));
        if ends.is_empty() {
            self.ends.remove(&request);
        }
    }

    /// Forgets all ends of a request: it got a whole answer.
    pub fn clear(&mut self, request: Fingerprint) {
        self.ends.remove(&request);
    }

    fn make_room(&mut self, request: Fingerprint, now: Instant) {
        if self.ends.len() < MAX_REQUESTS || self.ends.contains_key(&request) {
            return;
        }
        self.ends.retain(|_, ends| {
            let mut ends = ends.iter();
            ends.any(|end| now.saturating_duration_since(end.crash.ended) < REVIEW_PERIOD)
        });
        if self.ends.len() < MAX_REQUESTS {
            return;
        }
        let newest = |ends: &Vec<UncertainCrash<U>>| ends.iter().map(|end| end.crash.ended).max();
        let oldest = self.ends.iter().min_by_key(|(_, ends)| newest(ends));
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.ends.remove(&oldest);
        }
    }
}
