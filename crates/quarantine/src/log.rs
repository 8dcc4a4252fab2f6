//! The crashes that are known of requests, within bounds, and the verdict on each request.

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

/// So many crashes that speak against a request put it in quarantine. With two, 4 of 79 streams that
/// lost engines beside a crashing request would have been refused; with three none.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// With so many, a request is put there though another one lost the same upstreams each time.
const CERTAINTY_THRESHOLD: usize = 5;
/// For how long a request is in quarantine after its last crash; then it is tried again. Long against the time after
/// which callers come back, and one engine in this time is what a request costs that never stops coming.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);
/// The most requests of which crashes are kept: below 1 MB.
const MAX_REQUESTS: usize = 2_000;
/// The most requests that are told of at once: some 5 kB.
const MAX_UPDATES: usize = 50;

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// It may not.
    Quarantined {
        /// The crashes that speak against it.
        crashes: usize,
        /// How long the quarantine still lasts.
        left: Duration,
    },
}

/// What became of a crash that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteOutcome {
    /// It is new.
    New {
        /// The crashes that now speak against the request.
        against: usize,
    },
    /// It was known.
    Known,
    /// The request got a whole answer a short time ago.
    Outweighed,
}

/// A request of which other hosts told something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedCrashes {
    /// The request.
    pub request: Fingerprint,
    /// The crashes that spoke against it before.
    pub before: usize,
    /// The crashes that speak against it now.
    pub against: usize,
}

/// Who is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Hosts that every host tells of what it saw itself.
    Group,
    /// Hosts that this one tells for its whole group.
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

/// The crashes that are known.
#[derive(Debug, Default)]
pub struct CrashLog {
    records: HashMap<Fingerprint, Record>,
    completed: Completed,
}

impl CrashLog {
    /// Takes in a crash that this host saw.
    pub fn note(&mut self, request: Fingerprint, crash: Crash, now: Instant) -> NoteOutcome {
        if self.completed.outweighs_crash_at(request, crash.ended) {
            return NoteOutcome::Outweighed;
        }
        self.make_room(request, now);
        let record = self.records.entry(request);
        let record = record.or_insert_with(|| Record::new(now));
        if !record.add(crash, now) {
            return NoteOutcome::Known;
        }
        record.is_observed_locally = true;
        NoteOutcome::New {
            against: incriminating_count(&record.crashes),
        }
    }

    /// Takes in that a request got a whole answer; whether that ends crashes against it.
    pub fn note_completed(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.completed.note(request, now);
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if !record.is_significant() {
            // Nobody was told of it.
            self.records.remove(&request);
            return false;
        }
        let is_news = record.clear(now, now);
        record.is_observed_locally |= is_news;
        is_news
    }

    /// Takes in what another host tells; the requests of which that is more than was known.
    pub fn merge(&mut self, news: &[CrashUpdate], now: Instant) -> Vec<LearnedCrashes> {
        let mut learned = Vec::new();
        for told in news.iter().take(MAX_UPDATES) {
            let before = self.against(told.request);
            if self.merge_one(told, now) {
                learned.push(LearnedCrashes {
                    request: told.request,
                    before,
                    against: self.against(told.request),
                });
            }
        }
        learned
    }

    fn merge_one(&mut self, told: &CrashUpdate, now: Instant) -> bool {
        self.make_room(told.request, now);
        let record = self.records.entry(told.request);
        let record = record.or_insert_with(|| Record::new(now));
        let cleared = told.cleared_age_ms.map(|age_ms| ago(now, age_ms));
        let was_observed_locally = std::mem::take(&mut record.is_observed_locally);
        let mut is_news = cleared.is_some_and(|cleared| record.clear(cleared, now));
        let crashes = told.crashes.iter().take(MAX_CRASHES);
        let crashes: Vec<Crash> = crashes.map(|crash| crash.at(now)).collect();
        let shift = record.clock_shift(&crashes);
        for crash in crashes {
            let crash = crash.shifted(shift);
            let is_superseded = cleared.is_some_and(|cleared| crash.ended <= cleared);
            if !is_superseded {
                is_news |= record.add(crash, now);
            }
        }
        record.is_observed_locally = was_observed_locally && !is_news;
        if !record.is_kept(now) {
            self.records.remove(&told.request);
        }
        is_news
    }

    /// Takes back a crash that was none, as its upstream lives on; whether that changes anything. What came
    /// before it falls, too: hosts are told by the moment up to which all is cleared.
    pub fn retract(&mut self, request: Fingerprint, crash: &Crash, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let is_news = record.clear(crash.ended, now);
        record.is_observed_locally |= is_news;
        is_news
    }

    /// The crashes that speak against a request, and would with some more that are not certain.
    #[must_use]
    pub fn against_with(&self, request: Fingerprint, uncertain: Vec<Crash>) -> usize {
        let record = self.records.get(&request);
        let known = record.map_or(&[][..], |record| &record.crashes);
        let all: Vec<Crash> = known.iter().cloned().chain(uncertain).collect();
        incriminating_count(&all)
    }

    /// The crashes that speak against a request.
    #[must_use]
    pub fn against(&self, request: Fingerprint) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| incriminating_count(&record.crashes))
    }

    /// Whether a request may be sent to an upstream.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now: Instant) -> Verdict {
        let Some(record) = self.records.get(&request) else {
            return Verdict::Allowed;
        };
        let crashes = incriminating_count(&record.crashes);
        let since = record
            .last_crash()
            .map(|last| now.saturating_duration_since(last));
        let left = since.and_then(|since| QUARANTINE_PERIOD.checked_sub(since));
        let is_enough = crashes >= QUARANTINE_THRESHOLD && enabled(Protection::Quarantine);
        match left {
            Some(left) if is_enough && !self.has_alternative_cause(request, &record.crashes) => {
                Verdict::Quarantined { crashes, left }
            }
            Some(_) | None => Verdict::Allowed,
        }
    }

    /// Whether another request was there each time and has as much against it, so that either may have
    /// done it. A stream that began in the instant in which one that crashes engines did went on with it from
    /// engine to engine, three times within 75 ms, and was refused (once in 3 runs of 14 s on 4 engines with
    /// two such requests). The next crash tells them apart.
    fn has_alternative_cause(&self, request: Fingerprint, crashes: &[Crash]) -> bool {
        let own = incriminating(crashes);
        if own.len() >= CERTAINTY_THRESHOLD {
            return false;
        }
        let mut others = self.records.iter().filter(|(other, _)| **other != request);
        others.any(|(_, other)| {
            let shared = |crash: &&Crash| other.crashes.iter().any(|it| it.is_same_crash(crash));
            own.iter().all(shared) && incriminating_count(&other.crashes) >= own.len()
        })
    }

    /// What to tell other hosts: requests with more than one crash against them, and what is new.
    #[must_use]
    pub fn updates(&self, now: Instant, scope: UpdateScope) -> Vec<CrashUpdate> {
        self.collect_updates(now, |record| {
            record.is_suspect() || (record.is_news(now) && scope.includes(record))
        })
    }

    /// What to keep in the store: requests with more than one crash against them.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<CrashUpdate> {
        self.collect_updates(now, Record::is_suspect)
    }

    fn collect_updates(&self, now: Instant, is_told: impl Fn(&Record) -> bool) -> Vec<CrashUpdate> {
        let kept = self.records.iter();
        let kept = kept.filter(|(_, record)| record.is_kept(now) && is_told(record));
        let mut told: Vec<(&Fingerprint, &Record)> = kept.collect();
        told.sort_by_key(|(_, record)| {
            std::cmp::Reverse((incriminating_count(&record.crashes), record.changed))
        });
        let told = told.into_iter().take(MAX_UPDATES);
        told.map(|(request, record)| record.update(*request, now))
            .collect()
    }

    /// How many requests are in quarantine.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> usize {
        let requests = self.records.keys();
        requests
            .filter(|request| self.verdict(**request, now) != Verdict::Allowed)
            .count()
    }

    /// Drops what is too old, and where that is not enough, the request with the fewest crashes.
    fn make_room(&mut self, request: Fingerprint, now: Instant) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&request) {
            return;
        }
        self.records.retain(|_, record| record.is_kept(now));
        if self.records.len() < MAX_REQUESTS {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (incriminating_count(&record.crashes), record.changed));
        if let Some(least) = least.map(|(request, _)| *request) {
            self.records.remove(&least);
        }
    }
}
