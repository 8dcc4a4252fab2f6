//! One upstream, with what this host has there and thinks of it.

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

/// What one failed call adds to an upstream's failure score; good calls take it away.
const FAILURE_WEIGHT: f64 = 0.2;
/// How long an incarnation that was replaced gets none: far longer than it stays listed.
const GONE_FOR_GOOD: Duration = Duration::from_secs(600);
/// How long an incarnation gets none after a younger one was listed at its address: the
/// platform takes its row away in less.
const SUPERSEDED: Duration = Duration::from_secs(5);
/// How long an upstream that seemed dead gets no new work.
const SUSPICION: Duration = Duration::from_millis(1_500);
/// How long an upstream gets no new work that failed what another one did. One that fails all at
/// once is always idle, and so the first choice of all hosts; when this is over, one of them tries it
/// again and tells the others.
const FAILING: Duration = Duration::from_millis(2_000);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// What a host found of an upstream by itself; of one life of it, where it tells these apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Nothing that speaks against it.
    Healthy,
    /// It answered with a failure what another upstream then did.
    Failing(StartTime),
    /// It seems dead.
    Suspected(StartTime),
    /// Another incarnation answered at its address.
    Replaced(StartTime),
}

/// One incarnation of an upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Names it.
    pub id: EngineId,
    /// When this life of it began.
    pub born: StartTime,
    /// The service that it is part of.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// The version of its software.
    pub version: EngineVersion,
    /// How many requests it works on at once.
    pub slots: u32,
    /// How it is paid for, and whether it may be taken away.
    pub kind: EngineKind,
    /// Whether it takes new work.
    pub state: UpstreamState,
}

/// What one or more hosts have at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that were sent and probably not read yet.
    pub unread_tokens: u64,
    /// Tokens that the requests will hold in memory.
    pub memory_tokens: u64,
}

impl Work {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    /// Takes work away.
    pub fn remove(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

#[derive(Default)]
struct Opinion {
    own: Work,
    failure_score: f64,
    suspected_until: Option<Instant>,
    /// The suspicion came from a peer.
    from_peer: bool,
    /// When it was found that another incarnation answered at its address.
    replaced_at: Option<Instant>,
    /// Until when it counts as failing, by what this host found.
    failing_until: Option<Instant>,
    /// The same by what a peer found.
    failing_for_peer_until: Option<Instant>,
}

/// An upstream and what this host thinks of it.
pub struct Upstream {
    /// What the store lists.
    pub record: UpstreamRecord,
    /// The version of the row by which this host first saw it so.
    pub row: Revision,
    /// When this host first saw it listed.
    pub(super) listed: Instant,
    opinion: Mutex<Opinion>,
    suspicion: Notify,
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
            opinion: Mutex::default(),
            suspicion: Notify::new(),
            active,
        }
    }

    /// Whether there is something to tell other hosts of it.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.own_work().memory_tokens > 0 || self.condition_here(now) != Condition::Healthy
    }

    pub(super) fn mark_active(&self) {
        self.active.mark(&self.record.id);
    }

    /// When this host first saw it listed.
    pub fn listed(&self) -> Instant {
        self.listed
    }

    /// Whether it leaves together with all others of its kind in its hall. Copies that lie there are lost
    /// in a moment, with many others; an engine that leaves alone is not worth a second copy.
    pub fn goes_with_its_hall(&self) -> bool {
        let is_leaving = self.record.state == UpstreamState::Leaving;
        is_leaving && self.record.kind == EngineKind::Preemptible
    }

    /// What this host has there.
    pub fn own_work(&self) -> Work {
        self.opinion.lock().own
    }

    /// Notes work that begins there.
    pub fn begin(&self, work: Work) {
        self.opinion.lock().own.add(work);
        self.mark_active();
    }

    /// Notes work that ended there.
    pub fn end(&self, work: Work) {
        self.opinion.lock().own.remove(work);
    }

    /// Notes how a call there ended.
    pub fn note_outcome(&self, failed: bool) {
        let mut opinion = self.opinion.lock();
        let outcome = f64::from(u8::from(failed));
        opinion.failure_score += (outcome - opinion.failure_score) * FAILURE_WEIGHT;
    }

    /// The share of recent calls that failed, 0 to 1.
    pub fn failure_score(&self) -> f64 {
        self.opinion.lock().failure_score
    }

    /// Notes that it seems dead, and wakes all that wait for it; whether that is a change.
    pub fn suspect(&self, now: Instant) -> bool {
        self.suspect_as(now, false)
    }

    /// Notes that another incarnation has its address, so that it never comes back.
    pub fn gone_for_good(&self, now: Instant) {
        self.replaced_as(now, false);
    }

    /// Notes that a younger incarnation is listed at its address.
    pub(super) fn superseded(&self, now: Instant) {
        let mut opinion = self.opinion.lock();
        opinion.suspected_until = opinion.suspected_until.max(Some(now + SUPERSEDED));
        drop(opinion);
        self.mark_active();
        self.suspicion.notify_waiters();
    }

    /// Whether another incarnation has its address.
    pub fn is_replaced(&self) -> bool {
        self.opinion.lock().replaced_at.is_some()
    }

    /// Whether that was found after a moment.
    pub fn was_replaced_after(&self, moment: Instant) -> bool {
        let found = self.opinion.lock().replaced_at;
        found.is_some_and(|found| found > moment)
    }

    /// Takes over what a peer found, unless this host found the same; whether that is a change. What was
    /// found of another life says nothing of this one.
    pub fn believe(&self, found: Condition, now: Instant) -> bool {
        let own = self.record.born;
        match found {
            Condition::Healthy => false,
            Condition::Failing(born) if born == own => {
                !self.is_failing(now) && self.note_failing_for_peer(now)
            }
            Condition::Suspected(born) if born == own => {
                !self.is_suspected(now) && self.suspect_for_peer(now)
            }
            Condition::Replaced(born) if born == own => self.replaced_for_peer(now),
            Condition::Failing(_) | Condition::Suspected(_) | Condition::Replaced(_) => false,
        }
    }

    /// Notes that a peer found another incarnation at its address; whether that is a change.
    pub fn replaced_for_peer(&self, now: Instant) -> bool {
        self.replaced_as(now, true)
    }

    fn replaced_as(&self, now: Instant, from_peer: bool) -> bool {
        let mut opinion = self.opinion.lock();
        if opinion.replaced_at.is_some() {
            return false;
        }
        opinion.replaced_at = Some(now);
        opinion.from_peer = from_peer;
        opinion.suspected_until = Some(now + GONE_FOR_GOOD);
        drop(opinion);
        self.mark_active();
        self.suspicion.notify_waiters();
        true
    }

    /// Notes that it seems dead to a peer; whether that is a change.
    pub fn suspect_for_peer(&self, now: Instant) -> bool {
        self.suspect_as(now, true)
    }

    fn suspect_as(&self, now: Instant, from_peer: bool) -> bool {
        let mut opinion = self.opinion.lock();
        let is_change = opinion.suspected_until.is_none_or(|until| until <= now);
        let until = now + SUSPICION;
        opinion.suspected_until = opinion.suspected_until.max(Some(until));
        if opinion.replaced_at.is_none() {
            opinion.from_peer = from_peer;
        }
        drop(opinion);
        self.mark_active();
        if is_change {
            self.suspicion.notify_waiters();
        }
        is_change
    }

    /// Whether it seemed dead a short time ago.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let until = self.opinion.lock().suspected_until;
        until.is_some_and(|until| until > now)
    }

    /// Notes that another upstream did what failed at this one.
    pub fn note_failing(&self, now: Instant) {
        self.opinion.lock().failing_until = Some(now + FAILING);
        self.mark_active();
    }

    /// Notes that a peer found so; whether that is a change.
    pub fn note_failing_for_peer(&self, now: Instant) -> bool {
        let mut opinion = self.opinion.lock();
        let is_change = opinion
            .failing_for_peer_until
            .is_none_or(|until| until <= now);
        opinion.failing_for_peer_until = Some(now + FAILING);
        is_change
    }

    /// Whether it failed a short time ago what another upstream did.
    pub fn is_failing(&self, now: Instant) -> bool {
        let opinion = self.opinion.lock();
        let until = opinion.failing_until.max(opinion.failing_for_peer_until);
        until.is_some_and(|until| until > now)
    }

    /// What this host itself found of it a short time ago.
    pub fn condition_here(&self, now: Instant) -> Condition {
        let opinion = self.opinion.lock();
        let is_suspected = opinion.suspected_until.is_some_and(|until| until > now);
        let is_failing = opinion.failing_until.is_some_and(|until| until > now);
        let is_replaced = opinion.replaced_at.is_some();
        match (is_suspected && !opinion.from_peer, is_replaced) {
            (false, _) if is_failing => Condition::Failing(self.record.born),
            (false, _) => Condition::Healthy,
            (true, false) => Condition::Suspected(self.record.born),
            (true, true) => Condition::Replaced(self.record.born),
        }
    }

    /// Ends when somebody finds that it seems dead.
    pub async fn suspected(&self) {
        self.suspicion.notified().await;
    }
}
