//! What this host last sent its peers, so that it then sends only what changed.

use {
    super::message::{HostPhase, PeerDelta, PeerState, ServiceUse, UpstreamWork},
    crate::{
        run_trace::{Fingerprint, RunTrace},
        view::Condition,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, ServiceId},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
};

/// How often the whole state is sent: what a lost datagram said is known again after this.
const FULL_INTERVAL: Duration = Duration::from_secs(2);
/// How often it is sent to hosts of other regions: full states are half of the bytes of datagrams
/// there, and what a lost one said matters less where fewer requests go.
const FAR_FULL_INTERVAL: Duration = Duration::from_secs(4);
/// A host that starts sends its whole state more often for this long.
const INTRODUCTION: Duration = Duration::from_secs(3);
/// How often it does so: about each heartbeat, and not at each of its streams' events.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(400);

/// What a host last sent its peers.
pub struct LastState {
    started: Instant,
    full_interval: Duration,
    phase: Option<HostPhase>,
    full_sent_at: Option<Instant>,
    work: HashMap<EngineId, UpstreamWork>,
    budgets: HashMap<ServiceId, ServiceUse>,
    runs: HashMap<Fingerprint, RunTrace>,
    crashes: HashMap<Fingerprint, UpdateSize>,
}

impl LastState {
    /// Of a host that starts now and sent nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_interval(now, FULL_INTERVAL)
    }

    /// The same, of what is sent to hosts of other regions.
    #[must_use]
    pub fn for_other_regions(now: Instant) -> Self {
        Self::with_interval(now, FAR_FULL_INTERVAL)
    }

    fn with_interval(now: Instant, full_interval: Duration) -> Self {
        Self {
            started: now,
            full_interval,
            phase: None,
            full_sent_at: None,
            work: HashMap::new(),
            budgets: HashMap::new(),
            runs: HashMap::new(),
            crashes: HashMap::new(),
        }
    }

    /// The phase that was last sent; none before the first.
    #[must_use]
    pub fn phase(&self) -> Option<HostPhase> {
        self.phase
    }

    /// Whether the whole state is to be sent.
    #[must_use]
    pub fn is_full_due(&self, phase: HostPhase, now: Instant) -> bool {
        let is_introduced = now.saturating_duration_since(self.started) > INTRODUCTION;
        let interval = if is_introduced {
            self.full_interval
        } else {
            INTRODUCTION_INTERVAL
        };
        let is_old = self
            .full_sent_at
            .is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        is_old || self.phase != Some(phase)
    }

    /// Whether something changed besides the load of upstreams: a stream began or goes on
    /// elsewhere, a repeat was sent, a roll-out went on, or an upstream was found to be unsound.
    #[must_use]
    pub fn has_news(&self, state: &PeerState) -> bool {
        let condition_sent = |entry: &UpstreamWork| {
            let sent = self.work.get(&entry.upstream);
            sent.map_or(Condition::Healthy, |sent| sent.condition)
        };
        let mut work = state.work.iter();
        work.any(|entry| entry.condition != condition_sent(entry))
            || state.budgets.iter().any(|entry| self.is_new_use(entry))
            || state.runs.iter().any(|run| self.is_new_run(run))
            || crashes_of(state).any(|news| self.is_new_crash(news))
    }

    /// Notes that the whole state was sent to all.
    pub fn record_full(&mut self, state: &PeerState, now: Instant) {
        self.full_sent_at = Some(now);
        // What changed is of no interest: all of it was sent.
        let _ = self.delta(state);
    }

    /// What changed of the state since it was last sent; it counts as sent now.
    pub fn delta(&mut self, state: &PeerState) -> PeerDelta {
        self.phase = Some(state.phase);
        PeerDelta {
            host: state.host.clone(),
            incarnation: state.incarnation,
            sequence: state.sequence,
            watermark: state.watermark,
            reaches_store: state.reaches_store,
            work: self.changed_work(&state.work),
            budgets: self.changed_budgets(&state.budgets),
            runs: self.new_runs(&state.runs),
            lease: state.lease.clone(),
            crashes: self.new_crashes(state),
        }
    }

    fn changed_work(&mut self, now: &[UpstreamWork]) -> Vec<UpstreamWork> {
        let current: HashMap<EngineId, UpstreamWork> = now
            .iter()
            .map(|entry| (entry.upstream.clone(), entry.clone()))
            .collect();
        let ended = self.work.keys().filter(|id| !current.contains_key(*id));
        let ended = ended.map(UpstreamWork::none_at);
        let changed = now
            .iter()
            .filter(|entry| self.work.get(&entry.upstream) != Some(*entry));
        let entries = changed.cloned().chain(ended).collect();
        self.work = current;
        entries
    }

    /// Requests come all the time; only repeats are sent at once, and what a roll-out changed.
    fn changed_budgets(&mut self, now: &[ServiceUse]) -> Vec<ServiceUse> {
        let mut changed = Vec::new();
        for entry in now {
            if self.is_new_use(entry) {
                changed.push(entry.clone());
                self.budgets.insert(entry.service.clone(), entry.clone());
            }
        }
        changed
    }

    fn is_new_use(&self, entry: &ServiceUse) -> bool {
        let sent = self.budgets.get(&entry.service);
        sent.is_none_or(|sent| {
            sent.used.repeats != entry.used.repeats || sent.rollout != entry.rollout
        })
    }

    /// Runs that began, or that go on at another engine.
    fn new_runs(&mut self, now: &[RunTrace]) -> Vec<RunTrace> {
        let new = now.iter().filter(|run| self.is_new_run(run));
        let new = new.cloned().collect();
        let current = now.iter().map(|run| (run.fingerprint, run.clone()));
        self.runs = current.collect();
        new
    }

    fn new_crashes(&mut self, state: &PeerState) -> Vec<CrashUpdate> {
        let new = crashes_of(state).filter(|news| self.is_new_crash(news));
        let new = new.cloned().collect();
        let current = crashes_of(state).map(|news| (news.request, news.size()));
        self.crashes = current.collect();
        new
    }

    fn is_new_crash(&self, news: &CrashUpdate) -> bool {
        self.crashes.get(&news.request) != Some(&news.size())
    }

    fn is_new_run(&self, run: &RunTrace) -> bool {
        self.runs.get(&run.fingerprint) != Some(run)
    }
}

/// What a host saw itself of requests that crash upstreams: what it only learned, others tell.
fn crashes_of(state: &PeerState) -> impl Iterator<Item = &CrashUpdate> {
    let told = state.crashes.iter().flatten();
    told.filter(|news| news.is_observed_locally)
}
