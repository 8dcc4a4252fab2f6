//! Uncertain crashes: an upstream seems to have crashed under a request and is probed again to find out.

use {
    crate::crash::Crash,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::Fingerprint,
};

/// An upstream that has been silent for this long while most others answer is considered crashed: it hangs or
/// is unreachable for good. Hosts and engines are known to freeze for shorter times (some seconds).
pub const LONG_SILENCE: Duration = Duration::from_secs(10);
/// The maximum difference between the clocks of a host and an upstream. Clocks of some machines jump by two
/// seconds.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3);
/// How long a counted crash may still be retracted. A crashed upstream has restarted by then.
pub const REVIEW_PERIOD: Duration = Duration::from_secs(60);
/// The maximum number of requests with uncertain crashes, and of uncertain crashes per request; they take about
/// 100 kB in total.
const MAX_REQUESTS: usize = 512;
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// The result of probing an upstream after it lost a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Another incarnation answers under the same id: the one that ran the request has crashed.
    AnotherLife,
    /// The incarnation that answers may be another one than the one that ran the request. It may also be the
    /// same one, listed in an outdated row when the request was sent.
    PerhapsAnotherLife,
    /// The connection is refused or closed at once. A network path that is cut by connection resets looks the
    /// same.
    Refused,
    /// No answer: the upstream has crashed, hangs, is paused or is unreachable.
    Silent,
    /// The upstream answers.
    Lives {
        /// Whether it is known to be the incarnation that ran the request.
        is_same_life: bool,
    },
}

impl ProbeResult {
    /// Returns the probe result for an incarnation that answers under another row than the one that the run was
    /// sent to, by its time of birth on its own clock. Rows may be older than the incarnations behind them, so
    /// only an incarnation that began after the run proves that the one that ran it has crashed. Both times are
    /// relative to the Unix epoch.
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

    /// Returns the evidence of a crash, or none if the upstream is alive.
    #[must_use]
    pub fn evidence(self) -> Option<CrashEvidence> {
        match self {
            Self::AnotherLife | Self::PerhapsAnotherLife | Self::Refused => {
                Some(CrashEvidence::Refused)
            }
            Self::Silent => Some(CrashEvidence::Silent),
            Self::Lives { .. } => None,
        }
    }
}

/// The evidence for an uncertain crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The connection was refused: the crash counts, and may be retracted.
    Refused,
    /// The upstream was silent: the crash does not count yet.
    Silent,
}

/// What follows from probing an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Probe again later.
    Wait,
    /// The crash is certain, or nothing more can be learned about it.
    Settled,
    /// The upstream was silent, and the crash counts from now on.
    Counts {
        /// Whether the crash may still be retracted.
        stays_open: bool,
    },
    /// There was no crash, and it had not been counted.
    WasNone,
    /// There was no crash, but it had been counted and must be retracted.
    TakeBack,
}

/// Returns what follows from a probe of an upstream at this age of its uncertain crash. `most_serve` tells
/// whether most other upstreams of the service answer: if many are silent together, the request is not the
/// cause.
#[must_use]
pub fn next_step(
    evidence: CrashEvidence,
    found: ProbeResult,
    age: Duration,
    most_serve: bool,
) -> NextStep {
    match (evidence, found) {
        (CrashEvidence::Silent, ProbeResult::AnotherLife) => NextStep::Counts { stays_open: false },
        (CrashEvidence::Silent, ProbeResult::Refused | ProbeResult::PerhapsAnotherLife) => {
            NextStep::Counts { stays_open: true }
        }
        (CrashEvidence::Silent, ProbeResult::Lives { .. }) => NextStep::WasNone,
        (CrashEvidence::Silent, ProbeResult::Silent) if age < LONG_SILENCE => NextStep::Wait,
        (CrashEvidence::Silent, ProbeResult::Silent) if most_serve => {
            NextStep::Counts { stays_open: true }
        }
        (CrashEvidence::Silent, ProbeResult::Silent) => NextStep::WasNone,
        (CrashEvidence::Refused, ProbeResult::Lives { is_same_life: true }) => NextStep::TakeBack,
        (
            CrashEvidence::Refused,
            ProbeResult::AnotherLife | ProbeResult::PerhapsAnotherLife | ProbeResult::Lives { .. },
        ) => NextStep::Settled,
        (CrashEvidence::Refused, ProbeResult::Refused | ProbeResult::Silent)
            if age < REVIEW_PERIOD =>
        {
            NextStep::Wait
        }
        (CrashEvidence::Refused, ProbeResult::Refused | ProbeResult::Silent) => NextStep::Settled,
    }
}

/// A crash that is not certain yet.
#[derive(Clone, Debug)]
pub struct UncertainCrash<U> {
    /// The crash as it counts or would count.
    pub crash: Crash,
    /// The upstream to probe.
    pub upstream: U,
    /// The evidence for the crash.
    pub evidence: CrashEvidence,
}

/// The uncertain crashes of all requests.
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
    /// Records an uncertain crash, or updates the evidence for a known one.
    pub fn record(&mut self, request: Fingerprint, end: UncertainCrash<U>, now: Instant) {
        self.make_room(request, now);
        let ends = self.ends.entry(request).or_default();
        ends.retain(|known| !known.crash.is_same_crash(&end.crash));
        ends.push(end);
        if ends.len() > MAX_CRASHES_PER_REQUEST {
            ends.remove(0);
        }
    }

    /// Returns the uncertain crashes of a request.
    #[must_use]
    pub fn of(&self, request: Fingerprint) -> Vec<UncertainCrash<U>> {
        self.ends.get(&request).cloned().unwrap_or_default()
    }

    /// Returns the crashes of a request that do not count yet.
    #[must_use]
    pub fn silent(&self, request: Fingerprint) -> Vec<Crash> {
        let ends = self.ends.get(&request).into_iter().flatten();
        let silent = ends.filter(|end| end.evidence == CrashEvidence::Silent);
        silent.map(|end| end.crash.clone()).collect()
    }

    /// Drops a crash about which nothing more can be learned.
    pub fn settle(&mut self, request: Fingerprint, crash: &Crash) {
        let Some(ends) = self.ends.get_mut(&request) else {
            return;
        };
        ends.retain(|known| !known.crash.is_same_crash(crash));
        if ends.is_empty() {
            self.ends.remove(&request);
        }
    }

    /// Drops all uncertain crashes of a request after it was completed.
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
