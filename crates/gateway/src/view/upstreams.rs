//! The upstreams that the store lists, with what this host has there and thinks of them.

use {
    super::load::{ReportedLoad, UpstreamLoad},
    crate::edge::Revision,
    parking_lot::{Mutex, RwLock},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{EngineId, HallId, ServiceId},
        protection::{Protection, enabled},
    },
    tokio::sync::Notify,
};

/// What one failed call adds to an upstream's failure score; good calls take it away.
const FAILURE_WEIGHT: f64 = 0.2;
/// How long an incarnation that was replaced gets none: far longer than it stays listed.
const GONE_FOR_GOOD: Duration = Duration::from_secs(600);
/// How long an incarnation gets none after a younger one was listed at its address: the
/// platform takes its row away in less.
const SUPERSEDED: Duration = Duration::from_secs(5);
/// An incarnation counts as younger where it was listed this much later: of two that are
/// read at once, nothing tells which one lives.
const YOUNGER_BY: Duration = Duration::from_millis(500);
/// How long an upstream that seemed dead gets no new work.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// What a host found of an upstream by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Nothing that speaks against it.
    Sound,
    /// It seems dead.
    Suspected,
    /// Another incarnation answered at its address.
    Replaced,
}

/// One incarnation of an upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Names this incarnation.
    pub id: EngineId,
    /// The service that it is part of.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// How many requests it works on at once.
    pub slots: u32,
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
    reported: ReportedLoad,
    failure_score: f64,
    suspected_until: Option<Instant>,
    /// The suspicion came from a peer.
    by_word: bool,
    /// Another incarnation answered at its address.
    replaced: bool,
}

/// An upstream and what this host thinks of it.
pub struct Upstream {
    /// What the store lists.
    pub record: UpstreamRecord,
    /// When this host first saw it listed.
    listed: Instant,
    opinion: Mutex<Opinion>,
    suspicion: Notify,
}

impl Upstream {
    fn new(record: UpstreamRecord, listed: Instant) -> Self {
        Self {
            record,
            listed,
            opinion: Mutex::default(),
            suspicion: Notify::new(),
        }
    }

    /// What this host has there.
    pub fn own_work(&self) -> Work {
        self.opinion.lock().own
    }

    /// Notes work that begins there.
    pub fn begin(&self, work: Work) {
        self.opinion.lock().own.add(work);
    }

    /// Notes work that ended there.
    pub fn end(&self, work: Work) {
        self.opinion.lock().own.remove(work);
    }

    /// Records the load that it reported in an answer.
    pub fn record_load(&self, load: UpstreamLoad, reported: Instant) {
        self.opinion.lock().reported.record(load, reported);
    }

    /// The requests per slot that it reported and that are still to be expected there.
    pub fn reported_per_slot(&self, now: Instant) -> f64 {
        self.opinion.lock().reported.per_slot(now)
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

    /// Notes that it seems dead, and wakes all that wait for it; whether that is news.
    pub fn suspect(&self, now: Instant) -> bool {
        self.suspect_as(now, false)
    }

    /// Notes that another incarnation has its address, so that it never comes back.
    pub fn gone_for_good(&self, now: Instant) {
        self.replaced_as(now, false);
    }

    /// Notes that a younger incarnation is listed at its address.
    fn superseded(&self, now: Instant) {
        let mut opinion = self.opinion.lock();
        opinion.suspected_until = opinion.suspected_until.max(Some(now + SUPERSEDED));
        drop(opinion);
        self.suspicion.notify_waiters();
    }

    /// Notes that a peer found another incarnation at its address; whether that is news.
    pub fn replaced_by_word(&self, now: Instant) -> bool {
        self.replaced_as(now, true)
    }

    fn replaced_as(&self, now: Instant, by_word: bool) -> bool {
        let mut opinion = self.opinion.lock();
        if opinion.replaced {
            return false;
        }
        opinion.replaced = true;
        opinion.by_word = by_word;
        opinion.suspected_until = Some(now + GONE_FOR_GOOD);
        drop(opinion);
        self.suspicion.notify_waiters();
        true
    }

    /// Notes that it seems dead to a peer; whether that is news.
    pub fn suspect_by_word(&self, now: Instant) -> bool {
        self.suspect_as(now, true)
    }

    fn suspect_as(&self, now: Instant, by_word: bool) -> bool {
        let mut opinion = self.opinion.lock();
        let is_news = opinion.suspected_until.is_none_or(|until| until <= now);
        let until = now + SUSPICION;
        opinion.suspected_until = opinion.suspected_until.max(Some(until));
        if !opinion.replaced {
            opinion.by_word = by_word;
        }
        drop(opinion);
        if is_news {
            self.suspicion.notify_waiters();
        }
        is_news
    }

    /// Whether it seemed dead a short time ago.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let until = self.opinion.lock().suspected_until;
        until.is_some_and(|until| until > now)
    }

    /// What this host itself found of it a short time ago.
    pub fn condition_here(&self, now: Instant) -> Condition {
        let opinion = self.opinion.lock();
        let is_suspected = opinion.suspected_until.is_some_and(|until| until > now);
        match (is_suspected && !opinion.by_word, opinion.replaced) {
            (false, _) => Condition::Sound,
            (true, false) => Condition::Suspected,
            (true, true) => Condition::Replaced,
        }
    }

    /// Ends when somebody finds that it seems dead.
    pub async fn suspected(&self) {
        self.suspicion.notified().await;
    }
}

struct Listed {
    revision: Revision,
    upstream: Option<Arc<Upstream>>,
    /// Its row lapsed while the store was away; it counts as listed until then.
    lapses: Option<Instant>,
}

impl Listed {
    /// The upstream, while it counts as listed.
    fn current(&self) -> Option<&Arc<Upstream>> {
        let has_lapsed = self.lapses.is_some_and(|lapses| lapses <= Instant::now());
        self.upstream.as_ref().filter(|_| !has_lapsed)
    }
}

/// All upstreams by their ids. A row is never replaced by an older one.
#[derive(Default)]
pub struct Upstreams {
    listed: RwLock<HashMap<EngineId, Listed>>,
}

impl Upstreams {
    /// Takes in a row; whether it changed anything.
    pub fn put(&self, revision: Revision, record: UpstreamRecord) -> bool {
        self.put_seen(revision, record, Instant::now())
    }

    /// Takes in a row that was seen at a moment; whether it changed anything.
    pub fn put_seen(&self, revision: Revision, record: UpstreamRecord, seen: Instant) -> bool {
        let mut listed = self.listed.write();
        let known = listed.get(&record.id);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let same = known
            .and_then(|known| known.upstream.as_ref())
            .filter(|upstream| upstream.record == record)
            .cloned();
        let is_news = same.is_none();
        if known.is_none() {
            supersede(&listed, &record, seen);
        }
        let upstream = same.unwrap_or_else(|| Arc::new(Upstream::new(record.clone(), seen)));
        let entry = Listed {
            revision,
            upstream: Some(upstream),
            lapses: None,
        };
        listed.insert(record.id, entry);
        is_news
    }

    /// Takes in that a row went; whether it changed anything.
    pub fn remove(&self, revision: Revision, id: &EngineId) -> bool {
        let mut listed = self.listed.write();
        match listed.get_mut(id) {
            Some(known) if known.revision < revision => {
                known.revision = revision;
                known.upstream.take().is_some()
            }
            Some(_) | None => false,
        }
    }

    /// Takes in a whole set as of a version: what it lacks has gone. Tells how many went.
    pub fn retain(&self, revision: Revision, present: &[EngineId]) -> usize {
        let gone = self.missing(present);
        gone.iter().filter(|id| self.remove(revision, id)).count()
    }

    /// Takes in the first whole set after the store was away for long. What it lacks may have
    /// lapsed only because it could not write, so what took work before does so until a
    /// moment; rows that are back by then stay. Tells how many are missing.
    pub fn retain_lapsed(&self, revision: Revision, present: &[EngineId], until: Instant) -> usize {
        let missing = self.missing(present);
        let mut listed = self.listed.write();
        for id in &missing {
            let Some(known) = listed.get_mut(id) else {
                continue;
            };
            let took_work = known
                .upstream
                .as_ref()
                .is_some_and(|upstream| upstream.record.state == UpstreamState::Ready);
            if !took_work && known.revision < revision {
                known.upstream = None;
            }
            known.lapses.get_or_insert(until);
        }
        missing.len()
    }

    fn missing(&self, present: &[EngineId]) -> Vec<EngineId> {
        let listed = self.listed.read();
        let known = listed.iter().filter(|(_, known)| known.upstream.is_some());
        let missing = known.filter(|(id, _)| !present.contains(id));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// The upstream with an id, while it is listed.
    pub fn get(&self, id: &EngineId) -> Option<Arc<Upstream>> {
        let listed = self.listed.read();
        listed.get(id).and_then(|known| known.current().cloned())
    }

    /// All upstreams of a service that take new work.
    pub fn ready(&self, service: &ServiceId) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        listed
            .values()
            .filter_map(Listed::current)
            .filter(|upstream| upstream.record.service == *service)
            .filter(|upstream| {
                let is_ready = upstream.record.state == UpstreamState::Ready;
                is_ready || !enabled(Protection::LeavingCheck)
            })
            .cloned()
            .collect()
    }

    /// All upstreams that are listed.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        listed
            .values()
            .filter_map(Listed::current)
            .cloned()
            .collect()
    }

    /// All upstreams that are listed, each with the version of its row.
    pub fn rows(&self) -> Vec<(Revision, UpstreamRecord)> {
        let listed = self.listed.read();
        let current = listed
            .values()
            .filter_map(|known| Some((known.revision, known.current()?)));
        current
            .map(|(revision, upstream)| (revision, upstream.record.clone()))
            .collect()
    }

    /// Whether an upstream is listed and takes new work at this instant.
    pub fn takes_work(&self, id: &EngineId) -> bool {
        if !enabled(Protection::LeavingCheck) {
            return true;
        }
        self.get(id)
            .is_some_and(|upstream| upstream.record.state == UpstreamState::Ready)
    }
}

/// Gives up the older incarnations at the address of one that was not listed before.
fn supersede(listed: &HashMap<EngineId, Listed>, newcomer: &UpstreamRecord, now: Instant) {
    let upstreams = listed.values().filter_map(|known| known.upstream.as_ref());
    let older = upstreams
        .filter(|upstream| upstream.record.address == newcomer.address)
        .filter(|upstream| now.saturating_duration_since(upstream.listed) >= YOUNGER_BY);
    for upstream in older {
        upstream.superseded(now);
    }
}
