//! What is known of one request under which upstreams ended.

use {
    crate::{
        crash::{Crash, Shift, incriminating_count},
        news::{CrashReport, CrashUpdate, to_millis},
    },
    std::time::{Duration, Instant},
    tealshore_core::ids::Fingerprint,
};

/// For how long crashes are kept: a request that comes back after its quarantine and crashes one more
/// upstream goes back into it.
const CRASH_RETENTION: Duration = Duration::from_secs(1_200);
/// The most crashes that are kept of one request.
pub(crate) const MAX_CRASHES: usize = 8;
/// With so many crashes against it a request is told of in each whole state, and kept in the store.
const SUSPECT_THRESHOLD: usize = 2;
/// What changed within this time is told in each whole state, so that a lost datagram does no harm: whole
/// states are sent each two seconds.
const RECENT_CHANGE: Duration = Duration::from_secs(5);

/// What is known of one request.
#[derive(Debug)]
pub(crate) struct Record {
    /// The crashes since the last whole answer.
    pub(crate) crashes: Vec<Crash>,
    /// The last whole answer after crashes.
    cleared: Option<Instant>,
    /// When something new was learned.
    pub(crate) changed: Instant,
    /// Whether this host saw that, and was not told.
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

    /// Whether it is worth telling others before more speaks against the request. A hall's death is the
    /// end of many streams that have got on, of which each host would tell all others.
    pub(crate) fn is_news(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.changed) <= RECENT_CHANGE;
        is_new && self.is_significant()
    }

    pub(crate) fn is_significant(&self) -> bool {
        self.cleared.is_some() || self.is_suspect() || self.crashes.iter().any(Crash::is_at_start)
    }

    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.ended).max()
    }

    pub(crate) fn is_kept(&self, now: Instant) -> bool {
        let newest = self.last_crash().max(self.cleared);
        newest.is_some_and(|at| now.saturating_duration_since(at) <= CRASH_RETENTION)
    }

    /// Takes in a crash; whether it is new.
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

    /// By how much crashes that another host tells are off from those of them that are known here. What
    /// is told is taken for younger by as long as its datagram took; without this a slow datagram, and a
    /// faster one after it, would make a run begin before the one before it had ended.
    pub(crate) fn clock_shift(&self, told: &[Crash]) -> Shift {
        let mut shifts = told.iter().filter_map(|told| {
            let mut known = self.crashes.iter();
            let known = known.find(|known| known.is_same_crash(told))?;
            Some(Shift::between(told.ended, known.ended))
        });
        shifts.next_back().unwrap_or(Shift::Later(Duration::ZERO))
    }

    /// Takes in a whole answer; whether it is news.
    pub(crate) fn clear(&mut self, answered: Instant, now: Instant) -> bool {
        let had = self.crashes.len();
        self.crashes.retain(|crash| crash.ended > answered);
        let is_news = self.crashes.len() < had;
        if is_news {
            self.cleared = self.cleared.max(Some(answered));
            self.changed = now;
        }
        is_news
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
