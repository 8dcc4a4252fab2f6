//! The recent runs that a host knows, its own and those of other hosts.

use {
    crate::{
        inquiry::{LossReport, RunReport, RunState},
        proof::{Doubt, sole_run},
        trace::{ContentDigest, EventId, KnownRun, RunOrigin, RunTrace},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, Fingerprint, RequestId},
};

/// How long the copy of a run that ended is used: engines keep copies for some seconds.
const COPY_RETENTION: Duration = Duration::from_secs(6);
/// How long an engine may keep a prompt that it has read.
const PROMPT_RETENTION: Duration = Duration::from_secs(30);
/// How long a run is kept at least after it was last known to be answered. It is kept for longer while its caller waits:
/// once it is forgotten, its caller could be taken for that of another run.
const MIN_RUN_RETENTION: Duration = Duration::from_secs(30);
/// How long a run of another host counts as running after it was last reported.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of runs of other hosts.
const MAX_PEER_RUNS: usize = 20_000;

/// The host on which a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunLocation {
    /// This host, or another one of its group.
    InGroup,
    /// A host of another group, which keeps the run in the store.
    OtherGroup,
}

/// Which runs a lookup returns: those of requests for one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContentMatch {
    /// The digest under which runs are kept.
    pub fingerprint: Fingerprint,
    /// Digest of all that the request asks for. Runs without a known content match as well.
    pub content: ContentDigest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryState {
    /// This process answers the caller.
    Answering { begun: Instant },
    /// This process ended the answer then.
    Ended {
        at: Instant,
        last_event: Option<EventId>,
        is_complete: bool,
    },
    /// Another host reports the run; the latest report says that it was answered then.
    Reported { at: Instant },
}

struct Entry {
    run: KnownRun,
    location: RunLocation,
    state: EntryState,
    /// Until when its caller may resume, if that is known.
    waits_until: Option<Instant>,
}

impl Entry {
    fn new(run: KnownRun, location: RunLocation, state: EntryState, now: Instant) -> Self {
        let waits_until = run.caller_waits().and_then(|waits| now.checked_add(waits));
        Self {
            run,
            location,
            state,
            waits_until,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let may_resume = self.waits_until.is_some_and(|until| now <= until);
        self.age(now) > MIN_RUN_RETENTION && !may_resume
    }

    /// The run, with the time for which its caller waits from now on.
    fn run_at(&self, now: Instant) -> KnownRun {
        let mut run = self.run.clone();
        if let (Some(origin), Some(until)) = (&mut run.origin, self.waits_until) {
            let left = until.saturating_duration_since(now).as_millis();
            origin.waits_ms = u64::try_from(left).unwrap_or(u64::MAX);
        }
        run
    }

    /// Time since the run was last known to be answered.
    fn age(&self, now: Instant) -> Duration {
        match self.state {
            EntryState::Answering { .. } => Duration::ZERO,
            EntryState::Ended { at, .. } | EntryState::Reported { at } => {
                now.saturating_duration_since(at)
            }
        }
    }

    /// The state of the answer, if this process gives it.
    fn own_state(&self) -> Option<RunState> {
        match self.state {
            EntryState::Answering { .. } => Some(RunState::Answering),
            EntryState::Ended {
                last_event,
                is_complete,
                ..
            } => Some(RunState::Ended {
                last_event,
                is_complete,
            }),
            EntryState::Reported { .. } => None,
        }
    }

    fn is_complete(&self) -> bool {
        match self.state {
            EntryState::Ended { is_complete, .. } => is_complete,
            EntryState::Answering { .. } | EntryState::Reported { .. } => false,
        }
    }

    fn is_running(&self, now: Instant) -> bool {
        !self.is_complete() && self.age(now) <= RUNNING_TIMEOUT
    }

    /// The run, without a copy that engines no longer keep.
    fn report(&self, now: Instant) -> RunReport {
        let mut run = self.run_at(now);
        let age = self.age(now);
        if age > COPY_RETENTION {
            run.trace.copy = None;
        }
        RunReport {
            run,
            state: self.own_state(),
            age,
        }
    }
}

/// Recent runs, by the fingerprint of their request and the attempt for which they ran.
#[derive(Default)]
pub struct RunLog {
    entries: HashMap<Fingerprint, Vec<Entry>>,
    /// Number of runs of other hosts.
    peer_runs: usize,
    /// Until when runs may be missing, since some were left out for lack of room.
    partial_until: Option<Instant>,
    /// The latest loss of all hosts, with its time.
    loss: Option<(Instant, Vec<RequestId>)>,
}

impl RunLog {
    /// Records that this process answers a request. Replaces what is known of the same attempt, which moved to another
    /// engine.
    pub fn begin(&mut self, run: KnownRun, now: Instant) {
        let state = EntryState::Answering { begun: now };
        let entry = Entry::new(run, RunLocation::InGroup, state, now);
        self.remove(entry.run.trace.fingerprint, &entry.run.trace.request);
        self.push(entry);
    }

    /// Records that this process ended an answer, with the last event that was passed on to the caller.
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        request: &RequestId,
        last_event: Option<EventId>,
        is_complete: bool,
        now: Instant,
    ) {
        if let Some(entry) = self.find(fingerprint, request)
            && entry.own_state().is_some()
        {
            entry.state = EntryState::Ended {
                at: now,
                last_event,
                is_complete,
            };
        }
    }

    /// Whether another caller may have asked for the same as one whom this process answers.
    #[must_use]
    pub fn is_ambiguous(&self, wanted: ContentMatch, now: Instant) -> bool {
        let reports = self.recent(wanted, now);
        let is_own = |report: &RunReport| report.state == Some(RunState::Answering);
        reports.iter().any(is_own) && sole_run(&reports) == Err(Doubt::SeveralRuns)
    }

    /// Returns the runs of each content for which this process answers a caller while another caller may have asked for
    /// the same, ordered by fingerprint.
    #[must_use]
    pub fn ambiguous(&self, now: Instant) -> Vec<KnownRun> {
        let answering = self.entries.values().flatten().filter_map(|entry| {
            let origin = entry.run.origin.as_ref()?;
            let is_own = matches!(entry.state, EntryState::Answering { .. });
            is_own.then_some(ContentMatch {
                fingerprint: entry.run.trace.fingerprint,
                content: origin.content,
            })
        });
        let contents: BTreeSet<ContentMatch> = answering.collect();
        let ambiguous = contents
            .into_iter()
            .filter(|wanted| self.is_ambiguous(*wanted, now));
        ambiguous
            .flat_map(|wanted| self.matching(wanted, now))
            .map(|entry| entry.run_at(now))
            .collect()
    }

    /// Records a run of another host that was answered `age` ago. Returns whether it was unknown.
    pub fn record_peer(
        &mut self,
        run: KnownRun,
        location: RunLocation,
        age: Duration,
        now: Instant,
    ) -> bool {
        let at = now.checked_sub(age).unwrap_or(now);
        let (fingerprint, request) = (run.trace.fingerprint, run.trace.request.clone());
        if let Some(known) = self.find(fingerprint, &request) {
            let EntryState::Reported { at: known_at } = known.state else {
                return false;
            };
            if at < known_at {
                return false;
            }
            let (origin, waits_until) = (known.run.origin.take(), known.waits_until);
            *known = Entry::new(run, location, EntryState::Reported { at }, now);
            known.run.origin = known.run.origin.take().or(origin);
            known.waits_until = known.waits_until.or(waits_until);
            return false;
        }
        let entry = Entry::new(run, location, EntryState::Reported { at }, now);
        let has_room = self.peer_runs < MAX_PEER_RUNS;
        if has_room {
            self.push(entry);
        } else {
            let kept_until = entry.waits_until.max(Some(now + MIN_RUN_RETENTION));
            self.partial_until = self.partial_until.max(kept_until);
        }
        has_room
    }

    /// Records that a loss of all hosts left only these stored runs.
    pub fn restore(&mut self, runs: Vec<KnownRun>, now: Instant) {
        let (_, restored) = self.loss.get_or_insert((now, Vec::new()));
        restored.extend(runs.iter().map(|run| run.trace.request.clone()));
        for run in runs {
            // The store does not say when they were last answered.
            self.record_peer(run, RunLocation::OtherGroup, Duration::ZERO, now);
        }
    }

    /// Records the loss of all hosts that another host knows of.
    pub fn record_loss(&mut self, loss: LossReport, now: Instant) {
        let at = now.checked_sub(loss.age).unwrap_or(now);
        self.loss = Some((at, loss.restored));
    }

    /// Returns the latest loss of all hosts, if a caller who was answered before may still wait for `patience` after it.
    #[must_use]
    pub fn loss(&self, patience: Duration, now: Instant) -> Option<LossReport> {
        let (at, restored) = self.loss.as_ref()?;
        let age = now.saturating_duration_since(*at);
        (age <= patience).then(|| LossReport {
            age,
            restored: restored.clone(),
        })
    }

    /// Returns the engine that ran a request of this content last and may still have its prompt cached.
    #[must_use]
    pub fn last_engine(&self, wanted: ContentMatch, now: Instant) -> Option<EngineId> {
        let mut matching = self.matching(wanted, now).rev();
        let entry =
            matching.find(|entry| !entry.is_complete() && entry.age(now) <= PROMPT_RETENTION)?;
        Some(entry.run.trace.engine.clone())
    }

    /// Returns the recent runs of requests of this content.
    #[must_use]
    pub fn recent(&self, wanted: ContentMatch, now: Instant) -> Vec<RunReport> {
        let matching = self.matching(wanted, now);
        matching.map(|entry| entry.report(now)).collect()
    }

    /// Whether runs of other hosts may be missing, since there was no room for them.
    #[must_use]
    pub fn is_partial(&self, now: Instant) -> bool {
        self.partial_until.is_some_and(|until| now <= until)
    }

    /// Returns all recent runs, for a host that starts.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<RunReport> {
        let entries = self.entries.values().flatten();
        let recent = entries.filter(|entry| !entry.is_expired(now));
        recent.map(|entry| entry.report(now)).collect()
    }

    /// Returns the runs that this process answers, the newest first. Removes entries that have expired.
    pub fn own(&mut self, now: Instant) -> Vec<KnownRun> {
        self.remove_expired(now);
        let mut own: Vec<(Instant, KnownRun)> = self
            .entries
            .values()
            .flatten()
            .filter_map(|entry| match entry.state {
                EntryState::Answering { begun } => Some((begun, entry.run_at(now))),
                EntryState::Ended { .. } | EntryState::Reported { .. } => None,
            })
            .collect();
        own.sort_by_key(|(begun, run)| (Reverse(*begun), run.trace.fingerprint));
        own.into_iter().map(|(_, run)| run).collect()
    }

    /// Returns where streams run, according to recent reports, ordered by fingerprint.
    #[must_use]
    pub fn running(&self, now: Instant) -> Vec<RunTrace> {
        let running = self.running_where(now, |_| true);
        running.into_iter().map(|run| run.trace).collect()
    }

    /// Returns the running streams of this host's group, for the store, ordered by fingerprint.
    #[must_use]
    pub fn running_in_group(&self, now: Instant) -> Vec<KnownRun> {
        self.running_where(now, |location| location == RunLocation::InGroup)
    }

    /// Returns the origins of runs, in the same order.
    #[must_use]
    pub fn origins(&self, runs: &[RunTrace], now: Instant) -> Vec<Option<RunOrigin>> {
        let origin_of = |run: &RunTrace| {
            let mut entries = self.entries.get(&run.fingerprint)?.iter();
            let entry = entries.find(|entry| entry.run.trace.request == run.request)?;
            entry.run_at(now).origin
        };
        runs.iter().map(origin_of).collect()
    }

    fn running_where(&self, now: Instant, matches: impl Fn(RunLocation) -> bool) -> Vec<KnownRun> {
        let entries = self.entries.values().flatten();
        let running = entries.filter(|entry| matches(entry.location) && entry.is_running(now));
        let mut runs: Vec<KnownRun> = running.map(|entry| entry.run_at(now)).collect();
        runs.sort_by_cached_key(|run| (run.trace.fingerprint, run.trace.request.clone()));
        runs
    }

    /// The recent runs of requests of this content, in the order in which they were recorded first.
    fn matching(
        &self,
        wanted: ContentMatch,
        now: Instant,
    ) -> impl DoubleEndedIterator<Item = &Entry> {
        let entries = self.entries.get(&wanted.fingerprint).into_iter().flatten();
        entries.filter(move |entry| {
            entry.run.may_have_content(wanted.content) && !entry.is_expired(now)
        })
    }

    fn find(&mut self, fingerprint: Fingerprint, request: &RequestId) -> Option<&mut Entry> {
        let mut entries = self.entries.get_mut(&fingerprint)?.iter_mut();
        entries.find(|entry| entry.run.trace.request == *request)
    }

    fn push(&mut self, entry: Entry) {
        if entry.own_state().is_none() {
            self.peer_runs += 1;
        }
        let entries = self.entries.entry(entry.run.trace.fingerprint);
        entries.or_default().push(entry);
    }

    fn remove(&mut self, fingerprint: Fingerprint, request: &RequestId) {
        let Some(entries) = self.entries.get_mut(&fingerprint) else {
            return;
        };
        let removed = entries.extract_if(.., |entry| entry.run.trace.request == *request);
        let of_peers = removed.filter(|entry| entry.own_state().is_none());
        self.peer_runs -= of_peers.count();
    }

    fn remove_expired(&mut self, now: Instant) {
        let mut peer_runs = 0;
        self.entries.retain(|_, entries| {
            entries.retain(|entry| !entry.is_expired(now));
            let of_peers = entries.iter().filter(|entry| entry.own_state().is_none());
            peer_runs += of_peers.count();
            !entries.is_empty()
        });
        self.peer_runs = peer_runs;
    }
}
