//! The bounded log of crashes with their possible causes, and the verdict on each request.

use {
    super::{
        PartId, RunId, RuntimeId,
        begins::Begins,
        crash::{MAX_PARTS, PartCrash, PossibleCause},
        news::PartCrashReport,
        suspects::{CONTACT_TIME, Suspect, find_suspects},
    },
    crate::{
        log::{QUARANTINE_PERIOD, UpdateScope, Verdict},
        trial::{TRIAL_INTERVAL, Trials},
    },
    std::{
        cmp::Reverse,
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::Fingerprint,
        protection::{Protection, enabled},
    },
};

/// How long crashes are kept. It exceeds the quarantine period, so that a part is quarantined again after one crash
/// in its trial.
const CRASH_RETENTION: Duration = Duration::from_secs(1_200);
/// The maximum number of stored crashes; with a few parts each they take about 50 kB.
const MAX_CRASHES: usize = 256;
/// The maximum number of crashes in one message, and the maximum number that are stored.
pub const MAX_REPORTS: usize = 32;
/// The maximum number of older crashes in a full state, and in the store, for each suspect.
const MAX_REPORTS_PER_SUSPECT: usize = 6;
/// Changes within this time are included in every full state, so that the loss of a datagram does no harm.
const RECENT_CHANGE: Duration = Duration::from_secs(5);

/// The hosts that a change has not been sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// None.
    Nobody,
    /// The hosts of the own group.
    Group,
    /// All hosts.
    Fleet,
}

/// Changes that were not sent yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnsentReports {
    /// Those for the hosts of the own group only.
    pub for_group: Vec<PartCrashReport>,
    /// Those for all hosts.
    pub for_fleet: Vec<PartCrashReport>,
}

impl UnsentReports {
    /// Returns the reports with their ages increased.
    #[must_use]
    pub fn aged(&self, age: Duration) -> Self {
        let aged = |reports: &[PartCrashReport]| {
            let reports = reports.iter().cloned();
            reports.map(|report| report.aged(age)).collect()
        };
        Self {
            for_group: aged(&self.for_group),
            for_fleet: aged(&self.for_fleet),
        }
    }
}

/// A crash that this host knows of.
#[derive(Debug)]
struct Entry {
    crash: PartCrash,
    changed: Instant,
    unsent: Audience,
    /// Whether this host observed the last change itself rather than learning it from another host.
    is_observed_locally: bool,
}

/// The crashes known to this host.
#[derive(Debug)]
pub struct PartLog {
    /// Ordered by the time of the crash.
    entries: Vec<Entry>,
    begins: Begins,
    suspects: Vec<Suspect>,
    trials: Trials,
}

impl PartLog {
    /// Returns the log of a host that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            entries: Vec::new(),
            begins: Begins::default(),
            suspects: Vec::new(),
            trials: Trials::new(now),
        }
    }

    /// Records a crash that this host observed. Returns the suspects among its parts, the strongest first.
    pub fn record_crash(&mut self, mut crash: PartCrash, now: Instant) -> Vec<Suspect> {
        crash.causes.truncate(MAX_PARTS);
        let parts: Vec<PartId> = crash.causes.iter().map(|cause| cause.part).collect();
        self.insert(crash, Audience::Fleet, now);
        self.refresh(now);
        self.suspects_in(&parts).cloned().collect()
    }

    /// Records that an answer began. Returns whether that excludes parts as causes of known crashes.
    pub fn record_begin(&mut self, parts: &[PartId], runtime: RuntimeId, now: Instant) -> bool {
        for part in parts {
            self.begins.record(*part, runtime, now);
        }
        let mut has_changed = false;
        for entry in &mut self.entries {
            has_changed |= entry.exclude(&self.begins, now);
        }
        if has_changed {
            self.refresh(now);
        }
        has_changed
    }

    /// Records that an upstream which seemed to crash is alive. Returns whether the crash was known.
    pub fn retract(&mut self, run: RunId, now: Instant) -> bool {
        let mut entries = self.entries.iter_mut();
        let known = entries.find(|entry| entry.crash.run == run);
        let Some(entry) = known.filter(|entry| !entry.crash.causes.is_empty()) else {
            return false;
        };
        entry.crash.causes.clear();
        entry.mark_changed(Audience::Fleet, now);
        self.refresh(now);
        true
    }

    /// Merges what another host knows. `audience` are the hosts to which this host sends on what is new. Returns
    /// whether anything changed.
    pub fn merge(&mut self, reports: &[PartCrashReport], audience: Audience, now: Instant) -> bool {
        let mut has_changed = false;
        for report in reports.iter().take(MAX_REPORTS) {
            has_changed |= self.merge_one(report, audience, now);
        }
        if has_changed {
            self.refresh(now);
        }
        has_changed
    }

    fn merge_one(&mut self, report: &PartCrashReport, audience: Audience, now: Instant) -> bool {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.crash.run == report.run) {
            let has_changed = entry.crash.merge(&report.causes);
            if has_changed {
                entry.mark_changed(audience, now);
            }
            return has_changed;
        }
        let crash = report.at(now);
        if now.saturating_duration_since(crash.ended) > CRASH_RETENTION {
            return false;
        }
        self.insert(crash, audience, now);
        true
    }

    fn insert(&mut self, mut crash: PartCrash, audience: Audience, now: Instant) {
        if self
            .entries
            .iter()
            .any(|entry| entry.crash.run == crash.run)
        {
            return;
        }
        for cause in &mut crash.causes {
            let begins = &self.begins;
            cause.began_before |= begins.is_begun_before(cause.part, crash.runtime, crash.ended);
        }
        let mut entry = Entry {
            crash,
            changed: now,
            unsent: audience,
            is_observed_locally: audience == Audience::Fleet,
        };
        // Other hosts do not know yet what this host excludes.
        entry.exclude(&self.begins, now);
        let at = self
            .entries
            .partition_point(|known| known.crash.ended <= entry.crash.ended);
        self.entries.insert(at, entry);
    }

    /// Drops old crashes, determines the suspects, and drops the least useful crashes if there are too many.
    fn refresh(&mut self, now: Instant) {
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.crash.ended) <= CRASH_RETENTION);
        let crashes: Vec<&PartCrash> = self.entries.iter().map(|entry| &entry.crash).collect();
        self.suspects = find_suspects(&crashes);
        while self.entries.len() > MAX_CRASHES {
            let entries = self.entries.iter().enumerate();
            let weakest = entries.min_by_key(|(index, entry)| (self.support(&entry.crash), *index));
            let Some((weakest, _)) = weakest else {
                return;
            };
            self.entries.remove(weakest);
        }
    }

    /// Returns the strongest suspect that may have caused the crash.
    fn main_suspect(&self, crash: &PartCrash) -> Option<&Suspect> {
        let mut suspects = self.suspects.iter();
        suspects.find(|suspect| crash.may_be_caused_by(suspect.part))
    }

    /// Returns how strongly the main suspect of the crash is incriminated.
    fn support(&self, crash: &PartCrash) -> usize {
        let suspect = self.main_suspect(crash);
        suspect.map_or(0, |suspect| suspect.strength.weight)
    }

    /// Returns the suspects whose whole group is among these parts.
    fn suspects_in<'a>(&'a self, parts: &'a [PartId]) -> impl Iterator<Item = &'a Suspect> {
        self.suspects.iter().filter(|suspect| suspect.is_in(parts))
    }

    /// Returns whether a request with these parts is suspected to crash upstreams.
    #[must_use]
    pub fn is_suspected(&self, parts: &[PartId]) -> bool {
        self.suspects_in(parts).next().is_some()
    }

    /// Returns whether a request may be sent to an upstream. After a quarantine one host after the other may try one
    /// request; `rank_of` returns this host's position in that order. A doubtful part is tried after seconds, with
    /// requests that have crashed nothing.
    pub fn verdict(
        &mut self,
        request: Fingerprint,
        parts: &[PartId],
        rank_of: impl Fn(PartId) -> usize,
        now: Instant,
    ) -> Verdict {
        if !enabled(Protection::Quarantine) {
            return Verdict::Allowed;
        }
        let suspects = self.suspects.iter();
        let quarantined = suspects.filter(|it| it.strength.is_enough() && it.is_in(parts));
        for suspect in quarantined {
            let is_early = suspect.is_doubtful && now < suspect.last + QUARANTINE_PERIOD;
            let period = if is_early {
                CONTACT_TIME
            } else {
                QUARANTINE_PERIOD
            };
            let due = suspect.last + period;
            let crashes = suspect.strength.weight;
            if let Some(left) = due
                .checked_duration_since(now)
                .filter(|left| !left.is_zero())
            {
                return Verdict::Quarantined { crashes, left };
            }
            let rank = rank_of(suspect.part);
            let mut crashes_of_request = self.entries.iter().filter(|entry| {
                entry.crash.request == request && entry.crash.may_be_caused_by(suspect.part)
            });
            let is_barred = is_early && crashes_of_request.next().is_some();
            if is_barred || !self.trials.admit(suspect.part, request, due, rank, now) {
                let left = TRIAL_INTERVAL;
                return Verdict::Quarantined { crashes, left };
            }
        }
        Verdict::Allowed
    }

    /// Returns the number of parts in quarantine.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let suspects = self.suspects.iter();
        suspects
            .filter(|suspect| suspect.strength.is_enough())
            .count()
    }

    /// Returns what has changed and was not sent yet, and records it as sent.
    pub fn take_unsent(&mut self, now: Instant) -> UnsentReports {
        let mut unsent = UnsentReports::default();
        for entry in &mut self.entries {
            let reports = match std::mem::replace(&mut entry.unsent, Audience::Nobody) {
                Audience::Nobody => continue,
                Audience::Group => &mut unsent.for_group,
                Audience::Fleet => &mut unsent.for_fleet,
            };
            reports.push(PartCrashReport::of(&entry.crash, now));
        }
        unsent
    }

    /// Returns what a full state includes: what incriminates suspects, and recent changes; for the own group only those
    /// that this host saw itself.
    #[must_use]
    pub fn reports(&self, now: Instant, scope: UpdateScope) -> Vec<PartCrashReport> {
        let is_included = |entry: &&Entry| {
            let is_recent = now.saturating_duration_since(entry.changed) <= RECENT_CHANGE;
            let is_in_scope = match scope {
                UpdateScope::Group => entry.is_observed_locally,
                UpdateScope::OtherGroups => true,
            };
            is_recent && is_in_scope
        };
        let mut included = self.incriminating();
        for entry in self.entries.iter().rev().filter(is_included) {
            if !included.iter().any(|it| it.crash.run == entry.crash.run) {
                included.push(entry);
            }
        }
        report(&included, now)
    }

    /// Returns what to keep in the store: what incriminates suspects.
    #[must_use]
    pub fn suspicious(&self, now: Instant) -> Vec<PartCrashReport> {
        report(&self.incriminating(), now)
    }

    /// Returns a few crashes for each suspect, those with the fewest possible causes first.
    fn incriminating(&self) -> Vec<&Entry> {
        let mut counts: HashMap<PartId, usize> = HashMap::new();
        let mut entries: Vec<(&Entry, &Suspect)> = self
            .entries
            .iter()
            .filter_map(|entry| Some((entry, self.main_suspect(&entry.crash)?)))
            .collect();
        entries.sort_by_key(|(entry, suspect)| {
            let causes = entry.crash.causes.len();
            (
                Reverse(suspect.strength.count()),
                causes,
                Reverse(entry.crash.ended),
            )
        });
        entries.retain(|(_, suspect)| {
            let count = counts.entry(suspect.part).or_default();
            *count += 1;
            *count <= MAX_REPORTS_PER_SUSPECT
        });
        entries.into_iter().map(|(entry, _)| entry).collect()
    }
}

fn report(entries: &[&Entry], now: Instant) -> Vec<PartCrashReport> {
    let entries = entries.iter().take(MAX_REPORTS);
    entries
        .map(|entry| PartCrashReport::of(&entry.crash, now))
        .collect()
}

impl Entry {
    /// Excludes the parts on which an answer began after the crash. Returns whether there were any.
    fn exclude(&mut self, begins: &Begins, now: Instant) -> bool {
        let (runtime, ended) = (self.crash.runtime, self.crash.ended);
        let count_before = self.crash.causes.len();
        self.crash
            .causes
            .retain(|cause: &PossibleCause| !begins.is_begun_since(cause.part, runtime, ended));
        let has_changed = self.crash.causes.len() < count_before;
        if has_changed {
            self.mark_changed(Audience::Fleet, now);
        }
        has_changed
    }

    fn mark_changed(&mut self, audience: Audience, now: Instant) {
        self.changed = now;
        self.unsent = self.unsent.max(audience);
        self.is_observed_locally = audience == Audience::Fleet;
    }
}
