//! The crashes of one request.

use {
    crate::{
        crash::{Crash, Shift, incriminating, incriminating_count},
        news::{CrashReport, CrashUpdate, to_millis},
    },
    std::time::{Duration, Instant},
    tealshore_core::ids::Fingerprint,
};

/// How long crashes are kept. It exceeds the quarantine period, so that a request that returns after its
/// quarantine and crashes one more upstream is quarantined again.
const CRASH_RETENTION: Duration = Duration::from_secs(1_200);
/// The maximum number of crashes kept for one request.
pub(crate) const MAX_CRASHES: usize = 8;
/// With this many incriminating crashes a request is included in every full state that is sent, and kept in the
/// store.
const SUSPECT_THRESHOLD: usize = 2;
/// Changes within this time are included in every full state, so that the loss of a datagram does no harm: full
/// states are sent every two seconds.
const RECENT_CHANGE: Duration = Duration::from_secs(5);

/// What this host knows of one request.
#[derive(Debug)]
pub(crate) struct Record {
    /// The crashes that have not been cleared.
    pub(crate) crashes: Vec<Crash>,
    /// The moment up to which crashes were cleared, because the request was completed or a crash was
    /// retracted.
    cleared: Option<Instant>,
    /// When the record last changed.
    pub(crate) changed: Instant,
    /// Whether this host observed the last change itself rather than learning it from another host.
    pub(crate) is_observed_locally: bool,
}

impl Record {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            cleared: None,
            changed: now,
            is_observed_locally: false,
        }
    }

    pub(crate) fn is_suspect(&self) -> bool {
        incriminating_count(&self.crashes) >= SUSPECT_THRESHOLD
    }

    /// Returns whether the record is worth sending although the request is not a suspect yet. The failure of a
    /// whole hall ends many streams that have made progress; without this check each host would report all of
    /// them to all others.
    pub(crate) fn is_worth_sending(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.changed) <= RECENT_CHANGE;
        is_recent && self.is_significant()
    }

    pub(crate) fn is_significant(&self) -> bool {
        self.cleared.is_some() || self.is_suspect() || self.crashes.iter().any(Crash::is_at_start)
    }

    /// Returns whether the request was on the upstream when it crashed.
    pub(crate) fn was_present_at(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|own| own.is_same_crash(crash))
    }

    /// Returns whether a crash incriminates the request that is none of `others`.
    pub(crate) fn has_crashed_without(&self, others: &[Crash]) -> bool {
        let mut incriminating = incriminating(&self.crashes).into_iter();
        incriminating.any(|own| !others.iter().any(|other| own.is_same_crash(other)))
    }

    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.ended).max()
    }

    pub(crate) fn is_kept(&self, now: Instant) -> bool {
        let newest = self.last_crash().max(self.cleared);
        newest.is_some_and(|at| now.saturating_duration_since(at) <= CRASH_RETENTION)
    }

    /// Adds a crash. Returns whether it is new.
    pub(crate) fn add(&mut self, crash: Crash, now: Instant) -> bool {
        if self.cleared.is_some_and(|cleared| crash.ended <= cleared) {
            return false;
        }
        if self.crashes.iter().any(|known| known.is_same_crash(&crash)) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.changed = now;
        true
    }

    /// Returns the correction for crashes that another host reported, from those of them that are known here.
    /// Reported crashes seem younger than they are by the delay of their datagram. Without the correction, a
    /// slow datagram followed by a faster one would make a run seem to begin before the previous one ended.
    pub(crate) fn delay_correction(&self, reported: &[Crash]) -> Shift {
        let mut shifts = reported.iter().filter_map(|reported| {
            let mut known = self.crashes.iter();
            let known = known.find(|known| known.is_same_crash(reported))?;
            Some(Shift::between(reported.ended, known.ended))
        });
        shifts.next_back().unwrap_or(Shift::Later(Duration::ZERO))
    }

    /// Clears the crashes up to a moment: when the request was completed, or when a retracted crash had been
    /// detected. Returns whether there were any.
    pub(crate) fn clear(&mut self, answered: Instant, now: Instant) -> bool {
        let count_before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > answered);
        let has_cleared = self.crashes.len() < count_before;
        if has_cleared {
            self.cleared = self.cleared.max(Some(answered));
            self.changed = now;
        }
        has_cleared
    }

    pub(crate) fn update(&self, request: Fingerprint, now: Instant) -> CrashUpdate {
        let crashes = self.crashes.iter();
        let cleared_age = self
            .cleared
            .map(|cleared| now.saturating_duration_since(cleared));
        CrashUpdate {
            request,
            crashes: crashes.map(|crash| CrashReport::of(crash, now)).collect(),
            cleared_age_ms: cleared_age.map(to_millis),
            is_observed_locally: self.is_observed_locally,
        }
    }
}
