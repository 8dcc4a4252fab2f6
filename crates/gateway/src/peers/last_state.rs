//! The state that this host last sent to its peers, from which it computes deltas.

use {
    super::message::{HostPhase, PeerDelta, PeerState, ServiceUse, UpstreamWork},
    crate::view::Condition,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, Fingerprint, RequestId, ServiceId},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
    tealshore_runs::RunTrace,
};

/// Interval at which the whole state is sent, to repair the loss of a datagram.
const FULL_INTERVAL: Duration = Duration::from_secs(2);
/// The same for hosts of other regions. Full states are half of the bytes sent there, and a lost
/// datagram matters less where fewer requests go.
const OTHER_REGIONS_FULL_INTERVAL: Duration = Duration::from_secs(4);
/// For this long after its start, a host sends its whole state more often.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Interval at which it does so: about once per heartbeat, rather than at each event of its
/// streams.
const STARTUP_FULL_INTERVAL: Duration = Duration::from_millis(400);

/// The state that a host last sent to its peers.
pub struct SentState {
    started: Instant,
    full_interval: Duration,
    phase: Option<HostPhase>,
    full_sent_at: Option<Instant>,
    work: HashMap<EngineId, UpstreamWork>,
    budgets: HashMap<ServiceId, ServiceUse>,
    runs: HashMap<RequestId, RunTrace>,
    crashes: HashMap<Fingerprint, UpdateSize>,
}

impl SentState {
    /// The state of a host that starts now and has sent nothing yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_interval(now, FULL_INTERVAL)
    }

    /// The same for what is sent to hosts of other regions.
    #[must_use]
    pub fn for_other_regions(now: Instant) -> Self {
        Self::with_interval(now, OTHER_REGIONS_FULL_INTERVAL)
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

    /// The phase that was last sent, or `None` if none was.
    #[must_use]
    pub fn phase(&self) -> Option<HostPhase> {
        self.phase
    }

    /// Returns whether it is time to send the whole state.
    #[must_use]
    pub fn is_full_due(&self, phase: HostPhase, now: Instant) -> bool {
        let is_past_startup = now.saturating_duration_since(self.started) > STARTUP_PERIOD;
        let interval = if is_past_startup {
            self.full_interval
        } else {
            STARTUP_FULL_INTERVAL
        };
        let is_interval_over = self
            .full_sent_at
            .is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        is_interval_over || self.phase != Some(phase)
    }

    /// Returns whether something other than upstream load changed: a stream started or moved to
    /// another upstream, a request was repeated, a rollout advanced, an upstream's condition
    /// changed, or this host saw a request crash an upstream.
    #[must_use]
    pub fn has_urgent_change(&self, state: &PeerState) -> bool {
        let condition_sent = |entry: &UpstreamWork| {
            let sent = self.work.get(&entry.upstream);
            sent.map_or(Condition::Healthy, |sent| sent.condition)
        };
        let mut work = state.work.iter();
        work.any(|entry| entry.condition != condition_sent(entry))
            || state.budgets.iter().any(|entry| self.is_new_use(entry))
            || state.runs.iter().any(|run| self.is_new_run(run))
            || own_crashes(state).any(|crash| self.is_new_crash(crash))
    }

    /// Records that the whole state was sent to all peers.
    pub fn record_full(&mut self, state: &PeerState, now: Instant) {
        self.full_sent_at = Some(now);
        // The delta isn't needed, since the whole state was sent.
        let _ = self.delta(state);
    }

    /// Returns what changed since the state was last sent, and records the new state as sent.
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
        let ended = ended.map(UpstreamWork::no_work_at);
        let changed = now
            .iter()
            .filter(|entry| self.work.get(&entry.upstream) != Some(*entry));
        let entries = changed.cloned().chain(ended).collect();
        self.work = current;
        entries
    }

    /// Returns services with new repeats or a changed rollout. Ordinary requests change the counts
    /// all the time, and are sent only with the whole state.
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

    /// Returns runs that started or moved to another engine.
    fn new_runs(&mut self, now: &[RunTrace]) -> Vec<RunTrace> {
        let new = now.iter().filter(|run| self.is_new_run(run));
        let new = new.cloned().collect();
        let current = now.iter().map(|run| (run.request.clone(), run.clone()));
        self.runs = current.collect();
        new
    }

    fn new_crashes(&mut self, state: &PeerState) -> Vec<CrashUpdate> {
        let new = own_crashes(state).filter(|crash| self.is_new_crash(crash));
        let new = new.cloned().collect();
        let current = own_crashes(state).map(|crash| (crash.request, crash.size()));
        self.crashes = current.collect();
        new
    }

    fn is_new_crash(&self, crash: &CrashUpdate) -> bool {
        self.crashes.get(&crash.request) != Some(&crash.size())
    }

    fn is_new_run(&self, run: &RunTrace) -> bool {
        self.runs.get(&run.request) != Some(run)
    }
}

/// Crashes that this host saw itself. Those that it learned of are sent by the hosts that saw them.
fn own_crashes(state: &PeerState) -> impl Iterator<Item = &CrashUpdate> {
    let crashes = state.crashes.iter().flatten();
    crashes.filter(|crash| crash.is_observed_locally)
}
