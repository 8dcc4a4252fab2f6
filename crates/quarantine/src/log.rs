//! The bounded log of known crashes, and the verdict on each request.

use {
    crate::{
        completed::Completed,
        crash::{Crash, incriminating, incriminating_count},
        news::{CrashUpdate, ago},
        record::{MAX_CRASHES, Record},
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::Fingerprint,
        protection::{Protection, enabled},
    },
};

/// The number of incriminating crashes that quarantines a request. With two, 4 of 79 streams that lost engines
/// next to a crashing request would have been refused; with three, none.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// With this many crashes a request is quarantined even if another request lost the same upstreams each time.
const CERTAINTY_THRESHOLD: usize = 5;
/// How long a request is quarantined after its last crash, until it is tried again. This is much longer than
/// the time after which callers retry, and a request that is retried forever crashes one engine per period.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);
/// How long after the last news about a request its quarantine may still prove to be wrong. Hosts recheck silent
/// upstreams each second, and exchange their findings within 0.2 s.
const SETTLING_TIME: Duration = Duration::from_millis(1_200);
/// The maximum number of requests with stored crashes; they take less than 1 MB.
const MAX_REQUESTS: usize = 2_000;
/// The maximum number of requests in one set of updates, about 5 kB.
const MAX_UPDATES: usize = 50;

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request must not be sent.
    Quarantined {
        /// The number of crashes that incriminate the request.
        crashes: usize,
        /// The remaining time of the quarantine.
        left: Duration,
    },
}

/// How a crash that this host observed was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The crash was not known before.
    New {
        /// The number of crashes that now incriminate the request.
        against: usize,
    },
    /// The crash was already known.
    Known,
    /// The crash was ignored because the request was completed recently.
    Outweighed,
}

/// A request for which an update from another host contained new information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedCrashes {
    /// The request's fingerprint.
    pub request: Fingerprint,
    /// The number of incriminating crashes before the update.
    pub before: usize,
    /// The number of incriminating crashes after the update.
    pub against: usize,
}

/// The receivers of updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// The hosts of the own group; each host sends them what it observed itself.
    Group,
    /// The hosts of other groups; this host sends them what its whole group knows.
    OtherGroups,
}

impl UpdateScope {
    fn includes(self, record: &Record) -> bool {
        match self {
            Self::Group => record.is_observed_locally,
            Self::OtherGroups => true,
        }
    }
}

/// The crashes known to this host.
#[derive(Debug, Default)]
pub struct CrashLog {
    records: HashMap<Fingerprint, Record>,
    completed: Completed,
}

impl CrashLog {
    /// Records a crash that this host observed.
    pub fn record(&mut self, request: Fingerprint, crash: Crash, now: Instant) -> RecordOutcome {
        if self.completed.outweighs_crash_at(request, crash.ended) {
            return RecordOutcome::Outweighed;
        }
        self.make_room(request, now);
        let record = self.records.entry(request);
        let record = record.or_insert_with(|| Record::new(now));
        if !record.add(crash, now) {
            return RecordOutcome::Known;
        }
        record.is_observed_locally = true;
        RecordOutcome::New {
            against: incriminating_count(&record.crashes),
        }
    }

    /// Records that a request was completed. Returns whether that cleared crashes that other hosts may know of.
    pub fn record_completed(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.completed.record(request, now);
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if !record.is_significant() {
            // These crashes were not shared with other hosts.
            self.records.remove(&request);
            return false;
        }
        let has_cleared = record.clear(now, now);
        record.is_observed_locally |= has_cleared;
        has_cleared
    }

    /// Merges updates from another host. Returns the requests for which they contained new information.
    pub fn merge(&mut self, updates: &[CrashUpdate], now: Instant) -> Vec<LearnedCrashes> {
        let mut learned = Vec::new();
        for update in updates.iter().take(MAX_UPDATES) {
            let before = self.against(update.request);
            if self.merge_one(update, now) {
                learned.push(LearnedCrashes {
                    request: update.request,
                    before,
                    against: self.against(update.request),
                });
            }
        }
        learned
    }

    fn merge_one(&mut self, update: &CrashUpdate, now: Instant) -> bool {
        self.make_room(update.request, now);
        let record = self.records.entry(update.request);
        let record = record.or_insert_with(|| Record::new(now));
        let cleared = update.cleared_age_ms.map(|age_ms| ago(now, age_ms));
        let was_observed_locally = std::mem::take(&mut record.is_observed_locally);
        let mut has_changed = cleared.is_some_and(|cleared| record.clear(cleared, now));
        let crashes = update.crashes.iter().take(MAX_CRASHES);
        let crashes: Vec<Crash> = crashes.map(|crash| crash.at(now)).collect();
        let shift = record.delay_correction(&crashes);
        for crash in crashes {
            let crash = crash.shifted(shift);
            let is_superseded = cleared.is_some_and(|cleared| crash.ended <= cleared);
            if !is_superseded {
                has_changed |= record.add(crash, now);
            }
        }
        record.is_observed_locally = was_observed_locally && !has_changed;
        if !record.is_kept(now) {
            self.records.remove(&update.request);
        }
        has_changed
    }

    /// Retracts a crash after its upstream was found to be alive. Returns whether anything changed. Earlier
    /// crashes of the request are cleared as well, because updates only carry the time up to which all crashes
    /// are cleared.
    pub fn retract(&mut self, request: Fingerprint, crash: &Crash, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let has_cleared = record.clear(crash.ended, now);
        record.is_observed_locally |= has_cleared;
        has_cleared
    }

    /// Returns how many crashes would incriminate a request together with some uncertain ones.
    #[must_use]
    pub fn against_with(&self, request: Fingerprint, uncertain: Vec<Crash>) -> usize {
        let record = self.records.get(&request);
        let known = record.map_or(&[][..], |record| &record.crashes);
        let all: Vec<Crash> = known.iter().cloned().chain(uncertain).collect();
        incriminating_count(&all)
    }

    /// Returns how many crashes incriminate a request.
    #[must_use]
    pub fn against(&self, request: Fingerprint) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| incriminating_count(&record.crashes))
    }

    /// Returns whether a request may be sent to an upstream.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now: Instant) -> Verdict {
        let Some((crashes, ends)) = self.quarantine_of(request) else {
            return Verdict::Allowed;
        };
        match ends.checked_duration_since(now) {
            Some(left) if !left.is_zero() => Verdict::Quarantined { crashes, left },
            Some(_) | None => Verdict::Allowed,
        }
    }

    /// Returns how long a request in quarantine may still be found not to have caused its crashes, because other
    /// requests that were present may prove to crash upstreams. It should not be refused before.
    #[must_use]
    pub fn settles_in(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        if self.verdict(request, now) == Verdict::Allowed {
            return None;
        }
        let record = self.records.get(&request)?;
        let left = SETTLING_TIME.checked_sub(now.saturating_duration_since(record.changed))?;
        let was_alone = !self.others(request).any(|other| {
            let mut crashes = record.crashes.iter();
            crashes.any(|crash| other.was_present_at(crash))
        });
        (!left.is_zero() && !was_alone).then_some(left)
    }

    fn others(&self, request: Fingerprint) -> impl Iterator<Item = &Record> {
        let records = self.records.iter();
        let others = records.filter(move |(other, _)| **other != request);
        others.map(|(_, record)| record)
    }

    /// Returns since when a request may be tried again after its quarantine.
    #[must_use]
    pub fn on_trial_since(&self, request: Fingerprint, now: Instant) -> Option<Instant> {
        let (_, ends) = self.quarantine_of(request)?;
        (ends <= now).then_some(ends)
    }

    /// Returns the number of crashes that quarantine a request, and when the quarantine ends.
    fn quarantine_of(&self, request: Fingerprint) -> Option<(usize, Instant)> {
        let record = self.records.get(&request)?;
        let crashes = incriminating_count(&record.crashes);
        let is_enough = crashes >= QUARANTINE_THRESHOLD && enabled(Protection::Quarantine);
        if !is_enough || self.has_alternative_cause(request, &record.crashes) {
            return None;
        }
        Some((crashes, record.last_crash()? + QUARANTINE_PERIOD))
    }

    /// Returns whether other requests may be the cause of each crash that incriminates a request. Such a request
    /// must have crashed as many upstreams as put it in quarantine.
    ///
    /// A crash is explained by one that was present and has crashed another upstream without this request. All that
    /// is left may be due to a single one that was present at each and is incriminated by at least as many crashes.
    /// Streams beside requests that crash engines are sent to the few engines that are left, as these are, and lose
    /// several engines to them. The next crash tells them apart.
    fn has_alternative_cause(&self, request: Fingerprint, crashes: &[Crash]) -> bool {
        let own = incriminating(crashes);
        if own.len() >= CERTAINTY_THRESHOLD {
            return false;
        }
        let present = self.others(request).filter(|record| {
            own.iter().any(|crash| record.was_present_at(crash))
                && incriminating_count(&record.crashes) >= QUARANTINE_THRESHOLD
        });
        let present: Vec<&Record> = present.collect();
        let has_cause = |crash: &&Crash| {
            let mut present = present.iter();
            present.any(|it| it.was_present_at(crash) && it.has_crashed_without(crashes))
        };
        let unexplained: Vec<&Crash> = own.into_iter().filter(|it| !has_cause(it)).collect();
        let mut present = present.iter();
        unexplained.is_empty()
            || present.any(|it| {
                unexplained.iter().all(|crash| it.was_present_at(crash))
                    && incriminating_count(&it.crashes) >= unexplained.len()
            })
    }

    /// Returns the updates for other hosts: requests with at least two incriminating crashes, and recent
    /// changes.
    #[must_use]
    pub fn updates(&self, now: Instant, scope: UpdateScope) -> Vec<CrashUpdate> {
        self.collect_updates(now, |record| {
            record.is_suspect() || (record.is_worth_sending(now) && scope.includes(record))
        })
    }

    /// Returns what to keep in the store: requests with at least two incriminating crashes.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<CrashUpdate> {
        self.collect_updates(now, Record::is_suspect)
    }

    fn collect_updates(
        &self,
        now: Instant,
        is_included: impl Fn(&Record) -> bool,
    ) -> Vec<CrashUpdate> {
        let kept = self.records.iter();
        let kept = kept.filter(|(_, record)| record.is_kept(now) && is_included(record));
        let mut selected: Vec<(&Fingerprint, &Record)> = kept.collect();
        selected.sort_by_key(|(_, record)| {
            std::cmp::Reverse((incriminating_count(&record.crashes), record.changed))
        });
        let selected = selected.into_iter().take(MAX_UPDATES);
        selected
            .map(|(request, record)| record.update(*request, now))
            .collect()
    }

    /// Returns the number of requests in quarantine.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> usize {
        let requests = self.records.keys();
        requests
            .filter(|request| self.verdict(**request, now) != Verdict::Allowed)
            .count()
    }

    /// Makes room for another request: drops expired records, and if that is not enough, the record with the
    /// fewest incriminating crashes.
    fn make_room(&mut self, request: Fingerprint, now: Instant) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&request) {
            return;
        }
        self.records.retain(|_, record| record.is_kept(now));
        if self.records.len() < MAX_REQUESTS {
            return;
        }
        let evicted = self
            .records
            .iter()
            .min_by_key(|(_, record)| (incriminating_count(&record.crashes), record.changed));
        if let Some(evicted) = evicted.map(|(request, _)| *request) {
            self.records.remove(&evicted);
        }
    }
}
