//! One upstream: its record, this host's work there, and the condition that this host assumes.

use {
    super::active::ActiveUpstreams,
    crate::edge::Revision,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_capacity::EngineKind,
    tealshore_core::ids::{EngineId, EngineVersion, HallId, ServiceId, StartTime},
    tokio::sync::Notify,
};

/// The weight of the latest call in an upstream's failure score, an exponential moving average.
const FAILURE_WEIGHT: f64 = 0.2;
/// How long a replaced incarnation gets no new work: far longer than it stays listed.
const REPLACED_AVOIDANCE: Duration = Duration::from_secs(600);
/// How long an incarnation gets no new work after a younger one was listed at its address. The platform
/// removes its row in less time than this.
const SUPERSEDED_AVOIDANCE: Duration = Duration::from_secs(5);
/// How long a suspected upstream gets no new work.
const SUSPICION_DURATION: Duration = Duration::from_millis(1_500);
/// How long an upstream gets no new work after it failed a request that another one then served. An upstream
/// that fails every request immediately is always idle, and so would be the first choice of all hosts. After
/// this time one host tries it again and reports the result to the others.
const FAILING_DURATION: Duration = Duration::from_millis(2_000);

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Finishes its running requests and then stops.
    Leaving,
}

/// The condition of an upstream as one host observed it, with the incarnation that it applies to, if the
/// upstream reports one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// No failure is known.
    Healthy,
    /// The upstream failed a request that another upstream then served.
    Failing(StartTime),
    /// The upstream appears to be down.
    Suspected(StartTime),
    /// Another incarnation answered at the address of this one.
    Replaced(StartTime),
}

/// One incarnation of an upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// The id of the upstream.
    pub id: EngineId,
    /// When this incarnation started.
    pub born: StartTime,
    /// The service that the upstream belongs to.
    pub service: ServiceId,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The hall in which the upstream runs.
    pub hall: HallId,
    /// The version of its software.
    pub version: EngineVersion,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// The pricing model of the upstream, which also tells whether it may be preempted.
    pub kind: EngineKind,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
}

/// The work that one or more hosts have at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The number of running requests.
    pub running: u32,
    /// Prompt tokens that were sent but, by estimate, not processed yet.
    pub unread_tokens: u64,
    /// Tokens that the requests will occupy in memory.
    pub memory_tokens: u64,
}

impl Work {
    /// Adds `other` to this work.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    /// Subtracts `other` from this work; no count drops below 0.
    pub fn remove(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

#[derive(Default)]
struct LocalState {
    local_work: Work,
    failure_score: f64,
    suspected_until: Option<Instant>,
    /// Whether the last suspicion or replacement is not reported to peers, because it came from one of them or may be
    /// due to this host's own path.
    is_unreported: bool,
    /// When another incarnation was found at the address.
    replaced_at: Option<Instant>,
    /// Until when the upstream counts as failing because of failures that this host saw.
    failing_until: Option<Instant>,
    /// Until when the upstream counts as failing because of a peer's report.
    peer_failing_until: Option<Instant>,
}

/// One incarnation of an upstream, with its condition as this host knows it.
pub struct Upstream {
    /// The record that the store lists.
    pub record: UpstreamRecord,
    /// The revision of the row in which this host first saw this record.
    pub row: Revision,
    /// When this host first saw this record listed.
    pub(super) listed: Instant,
    local_state: Mutex<LocalState>,
    suspicion_notify: Notify,
    active: Arc<ActiveUpstreams>,
}

impl Upstream {
    pub(super) fn new(
        record: UpstreamRecord,
        row: Revision,
        listed: Instant,
        active: Arc<ActiveUpstreams>,
    ) -> Self {
        Self {
            record,
            row,
            listed,
            local_state: Mutex::default(),
            suspicion_notify: Notify::new(),
            active,
        }
    }

    /// Whether this host reports the upstream to its peers: it has work there, or found it not to be healthy.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.own_work().memory_tokens > 0 || self.local_condition(now) != Condition::Healthy
    }

    pub(super) fn mark_active(&self) {
        self.active.mark(&self.record.id);
    }

    /// When this host first saw this record listed.
    pub fn listed(&self) -> Instant {
        self.listed
    }

    /// Whether the upstream is a leaving preemptible engine, which leaves together with all others of its kind in
    /// its hall. Copies stored there are then lost soon and all at once; an engine that leaves alone is not worth a
    /// second copy.
    pub fn leaves_with_hall(&self) -> bool {
        let is_leaving = self.record.state == UpstreamState::Leaving;
        is_leaving && self.record.kind == EngineKind::Preemptible
    }

    /// The work that this host has at the upstream.
    pub fn own_work(&self) -> Work {
        self.local_state.lock().local_work
    }

    /// Adds work of this host that starts at the upstream.
    pub fn begin(&self, work: Work) {
        self.local_state.lock().local_work.add(work);
        self.mark_active();
    }

    /// Removes work of this host that ended at the upstream.
    pub fn end(&self, work: Work) {
        self.local_state.lock().local_work.remove(work);
    }

    /// Updates the failure score with the result of a call.
    pub fn record_outcome(&self, failed: bool) {
        let mut local_state = self.local_state.lock();
        let outcome = f64::from(u8::from(failed));
        local_state.failure_score += (outcome - local_state.failure_score) * FAILURE_WEIGHT;
    }

    /// The fraction of recent calls that failed, from 0 to 1.
    pub fn failure_score(&self) -> f64 {
        self.local_state.lock().failure_score
    }

    /// Marks the upstream as suspected, and wakes the tasks that wait for this. Returns whether it was not suspected
    /// before.
    pub fn suspect(&self, now: Instant) -> bool {
        self.suspect_as(now, false)
    }

    /// Records that another incarnation has taken over the address, so that this one never comes back.
    pub fn mark_replaced(&self, now: Instant) {
        self.mark_replaced_as(now, false);
    }

    /// Records that a younger incarnation is listed at the same address.
    pub(super) fn mark_superseded(&self, now: Instant) {
        let mut local_state = self.local_state.lock();
        local_state.suspected_until = local_state
            .suspected_until
            .max(Some(now + SUPERSEDED_AVOIDANCE));
        drop(local_state);
        self.mark_active();
        self.suspicion_notify.notify_waiters();
    }

    /// Whether another incarnation has taken over the address.
    pub fn is_replaced(&self) -> bool {
        self.local_state.lock().replaced_at.is_some()
    }

    /// Whether the replacement was found after `moment`.
    pub fn was_replaced_after(&self, moment: Instant) -> bool {
        let found = self.local_state.lock().replaced_at;
        found.is_some_and(|found| found > moment)
    }

    /// Applies a condition that a peer reported, unless it applies already. Returns whether anything changed.
    /// Reports about another incarnation are ignored.
    pub fn apply_peer_condition(&self, found: Condition, now: Instant) -> bool {
        let own_born = self.record.born;
        match found {
            Condition::Healthy => false,
            Condition::Failing(born) if born == own_born => {
                !self.is_failing(now) && self.record_failing_from_peer(now)
            }
            Condition::Suspected(born) if born == own_born => {
                !self.is_suspected(now) && self.suspect_unreported(now)
            }
            Condition::Replaced(born) if born == own_born => self.mark_replaced_from_peer(now),
            Condition::Failing(_) | Condition::Suspected(_) | Condition::Replaced(_) => false,
        }
    }

    /// Records that a peer found another incarnation at the address. Returns whether this was not known before.
    pub fn mark_replaced_from_peer(&self, now: Instant) -> bool {
        self.mark_replaced_as(now, true)
    }

    fn mark_replaced_as(&self, now: Instant, is_unreported: bool) -> bool {
        let mut local_state = self.local_state.lock();
        if local_state.replaced_at.is_some() {
            return false;
        }
        local_state.replaced_at = Some(now);
        local_state.is_unreported = is_unreported;
        local_state.suspected_until = Some(now + REPLACED_AVOIDANCE);
        drop(local_state);
        self.mark_active();
        self.suspicion_notify.notify_waiters();
        true
    }

    /// Marks the upstream as suspected without reporting it to peers, because one of them suspects it or this host's
    /// own path may be at fault. Returns whether it was not suspected before.
    pub fn suspect_unreported(&self, now: Instant) -> bool {
        self.suspect_as(now, true)
    }

    fn suspect_as(&self, now: Instant, is_unreported: bool) -> bool {
        let mut local_state = self.local_state.lock();
        let is_change = local_state.suspected_until.is_none_or(|until| until <= now);
        let until = now + SUSPICION_DURATION;
        local_state.suspected_until = local_state.suspected_until.max(Some(until));
        if local_state.replaced_at.is_none() {
            local_state.is_unreported = is_unreported;
        }
        drop(local_state);
        self.mark_active();
        if is_change {
            self.suspicion_notify.notify_waiters();
        }
        is_change
    }

    /// Whether the upstream is suspected, superseded or replaced.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let until = self.local_state.lock().suspected_until;
        until.is_some_and(|until| until > now)
    }

    /// Records that another upstream served a request that failed at this one.
    pub fn record_failing(&self, now: Instant) {
        self.local_state.lock().failing_until = Some(now + FAILING_DURATION);
        self.mark_active();
    }

    /// Records that a peer found the upstream failing. Returns whether no peer's report of this was in effect before.
    pub fn record_failing_from_peer(&self, now: Instant) -> bool {
        let mut local_state = self.local_state.lock();
        let is_change = local_state
            .peer_failing_until
            .is_none_or(|until| until <= now);
        local_state.peer_failing_until = Some(now + FAILING_DURATION);
        is_change
    }

    /// Whether the upstream recently failed a request that another one then served.
    pub fn is_failing(&self, now: Instant) -> bool {
        let local_state = self.local_state.lock();
        let until = local_state
            .failing_until
            .max(local_state.peer_failing_until);
        until.is_some_and(|until| until > now)
    }

    /// The condition as this host itself observed it, without what peers reported.
    pub fn local_condition(&self, now: Instant) -> Condition {
        let local_state = self.local_state.lock();
        let is_suspected = local_state.suspected_until.is_some_and(|until| until > now);
        let is_failing = local_state.failing_until.is_some_and(|until| until > now);
        let is_replaced = local_state.replaced_at.is_some();
        match (is_suspected && !local_state.is_unreported, is_replaced) {
            (false, _) if is_failing => Condition::Failing(self.record.born),
            (false, _) => Condition::Healthy,
            (true, false) => Condition::Suspected(self.record.born),
            (true, true) => Condition::Replaced(self.record.born),
        }
    }

    /// Waits until the upstream is next marked as suspected, superseded or replaced. A mark from before the call does
    /// not end the wait.
    pub async fn wait_until_suspected(&self) {
        self.suspicion_notify.notified().await;
    }
}
