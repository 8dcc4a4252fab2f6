//! What this host last sent its peers, so that it then sends only what changed.

use {
    super::message::{HostPhase, PeerDelta, PeerState, ServiceUse, UpstreamWork},
    crate::run_trace::{Fingerprint, RunTrace},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, ServiceId},
};

/// How often the whole state is sent: what a lost datagram said is known again after this.
const WHOLE_INTERVAL: Duration = Duration::from_secs(2);
/// A host that starts sends its whole state more often for this long.
const INTRODUCTION: Duration = Duration::from_secs(3);
/// How often it does so: about each heartbeat, and not at each of its streams' events.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(400);

/// What a host last sent its peers.
pub struct LastState {
    started: Instant,
    phase: Option<HostPhase>,
    whole_at: Option<Instant>,
    work: HashMap<EngineId, UpstreamWork>,
    budgets: HashMap<ServiceId, ServiceUse>,
    runs: HashMap<Fingerprint, RunTrace>,
}

impl LastState {
    /// Of a host that starts now and sent nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            phase: None,
            whole_at: None,
            work: HashMap::new(),
            budgets: HashMap::new(),
            runs: HashMap::new(),
        }
    }

    /// The phase that was last sent; none before the first.
    #[must_use]
    pub fn phase(&self) -> Option<HostPhase> {
        self.phase
    }

    /// Whether the whole state is to be sent.
    #[must_use]
    pub fn is_whole_due(&self, phase: HostPhase, now: Instant) -> bool {
        let is_introduced = now.saturating_duration_since(self.started) > INTRODUCTION;
        let interval = if is_introduced {
            WHOLE_INTERVAL
        } else {
            INTRODUCTION_INTERVAL
        };
        let is_old = self
            .whole_at
            .is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        is_old || self.phase != Some(phase)
    }

    /// Notes that the whole state was sent to all.
    pub fn note_whole(&mut self, state: &PeerState, now: Instant) {
        self.whole_at = Some(now);
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
            let sent = self.budgets.get(&entry.service);
            let is_change = |sent: &ServiceUse| {
                sent.used.repeats != entry.used.repeats || sent.rollout != entry.rollout
            };
            if sent.is_none_or(is_change) {
                changed.push(entry.clone());
                self.budgets.insert(entry.service.clone(), entry.clone());
            }
        }
        changed
    }

    /// Runs that began, or that go on at another engine.
    fn new_runs(&mut self, now: &[RunTrace]) -> Vec<RunTrace> {
        let sent = |run: &&RunTrace| self.runs.get(&run.fingerprint) != Some(*run);
        let new = now.iter().filter(sent).cloned().collect();
        let current = now.iter().map(|run| (run.fingerprint, run.clone()));
        self.runs = current.collect();
        new
    }
}
