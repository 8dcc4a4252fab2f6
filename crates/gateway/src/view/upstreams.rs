//! The upstreams that the store lists.

use {
    super::{
        active::ActiveUpstreams,
        listing::{Listed, Listing},
        upstream::{Upstream, UpstreamRecord, UpstreamState, Work},
    },
    crate::{
        edge::{Revision, era_of},
        feed::RESTORE_GRACE,
    },
    parking_lot::{Mutex, RwLock},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{EngineId, ServiceId},
        protection::{Protection, enabled},
    },
};

/// An incarnation counts as younger where it was listed this much later: of two that are
/// read at once, nothing tells which one lives.
const YOUNGER_BY: Duration = Duration::from_millis(500);
/// Rows that lapsed while the store was away, or that it lost, are back within about two seconds, or
/// their upstreams are gone.
pub const MISSING_ROW_GRACE: Duration = Duration::from_millis(1_800);

/// What changed of the upstreams after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChanges {
    /// The version after which these are all changes.
    pub after: Revision,
    /// Rows that are listed, each with its version.
    pub listed: Vec<(Revision, UpstreamRecord)>,
    /// Rows that name no upstream any more, each with the version of that change or a later one.
    pub gone: Vec<(Revision, EngineId)>,
}

/// All upstreams by their ids. A row is never replaced by an older one.
#[derive(Default)]
pub struct Upstreams {
    listed: RwLock<Listing>,
    /// The version of the last full set: which rows came and went unseen before it is not known.
    changes_known_after: Mutex<Option<Revision>>,
    active: Arc<ActiveUpstreams>,
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
        if known.is_some_and(|known| known.contradicts(revision, &record)) {
            let known = known.and_then(|known| known.upstream.as_ref());
            log::info!(
                "view: restored row held upstream={} revision={revision} known={:?}",
                record.id,
                known.map(|upstream| upstream.record.state)
            );
            listed.hold(revision, record, seen + RESTORE_GRACE);
            return false;
        }
        list(&mut listed, &self.active, revision, record, seen)
    }

    /// Applies the rows of a restored store that were held for long enough, and forgets the upstreams whose missing
    /// rows did not come back; how many rows were applied.
    pub fn end_grace(&self, now: Instant) -> usize {
        if !self.listed.read().is_in_grace() {
            return 0;
        }
        let full_set = self.changes_known_after.lock().unwrap_or_default();
        let mut listed = self.listed.write();
        let overdue = listed.end_grace(full_set, now);
        let count = overdue.len();
        for (revision, record) in overdue {
            log::info!(
                "view: restored row applied upstream={} state={:?} revision={revision}",
                record.id,
                record.state
            );
            list(&mut listed, &self.active, revision, record, now);
        }
        count
    }

    /// Takes in that a row went; whether it changed anything.
    pub fn remove(&self, revision: Revision, id: &EngineId) -> bool {
        let mut listed = self.listed.write();
        match listed.get(id) {
            Some(known) if known.revision < revision => listed.clear(id, revision),
            Some(_) => false,
            None => {
                // It came and went unseen here, but another host that is told changes may list it.
                listed.insert_without_upstream(id.clone(), revision);
                false
            }
        }
    }

    /// Takes in that a row can't be read, so that it names no upstream to use; whether that is news.
    pub fn put_unreadable(&self, revision: Revision, id: &EngineId) -> bool {
        let mut listed = self.listed.write();
        if listed
            .get(id)
            .is_some_and(|known| known.revision >= revision)
        {
            return false;
        }
        listed.insert_without_upstream(id.clone(), revision);
        true
    }

    /// Takes in a whole set as of a version: what it lacks has gone, but for what was listed in an earlier
    /// era, whose row may only be lost and counts as lapsed. Tells how many it lacks.
    pub fn retain(&self, revision: Revision, present: &[EngineId]) -> usize {
        self.note_full_set(revision);
        let missing = self.missing(present);
        let mut listed = self.listed.write();
        let until = Instant::now() + MISSING_ROW_GRACE;
        let mut lacked = 0;
        for id in &missing {
            let Some(row) = listed.get(id).map(|known| known.revision) else {
                continue;
            };
            lacked += usize::from(row < revision);
            if era_of(row) < era_of(revision) {
                listed.let_missing_lapse(id, revision, until);
            } else if row < revision {
                listed.clear(id, revision);
            }
        }
        lacked
    }

    /// Takes in the first whole set after the store was away for long. What it lacks may have
    /// lapsed only because it could not write, so what took work before does so until a
    /// moment; rows that are back by then stay. Tells how many are missing.
    pub fn retain_lapsed(&self, revision: Revision, present: &[EngineId], until: Instant) -> usize {
        self.note_full_set(revision);
        let missing = self.missing(present);
        let mut listed = self.listed.write();
        for id in &missing {
            let row = listed.get(id).map(|known| known.revision);
            if row.is_some_and(|row| row < revision) {
                listed.let_missing_lapse(id, revision, until);
            }
        }
        missing.len()
    }

    /// What changed after a version; none where that is not known for all rows.
    pub fn changes_after(&self, after: Revision) -> Option<UpstreamChanges> {
        let known_after = *self.changes_known_after.lock();
        if known_after.is_none_or(|known_after| after < known_after) {
            return None;
        }
        let listed = self.listed.read();
        let mut changes = UpstreamChanges {
            after,
            ..UpstreamChanges::default()
        };
        for (id, known) in listed.iter() {
            if known.may_lapse() {
                // Whether it is listed depends on the time.
                return None;
            }
            if known.revision <= after {
                continue;
            }
            match known.record_to_share() {
                Some(record) => changes.listed.push((known.revision, record.clone())),
                None => changes.gone.push((known.revision, id.clone())),
            }
        }
        Some(changes)
    }

    fn note_full_set(&self, revision: Revision) {
        let mut known_after = self.changes_known_after.lock();
        *known_after = known_after.max(Some(revision));
    }

    fn missing(&self, present: &[EngineId]) -> Vec<EngineId> {
        let present: HashSet<&EngineId> = present.iter().collect();
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

    /// The upstreams that are listed and of which there is something to tell other hosts: this host
    /// has work there, or found something.
    pub fn active(&self, now: Instant) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        let mut active = Vec::new();
        self.active.retain(|id| {
            let upstream = listed.get(id).and_then(Listed::current);
            let upstream = upstream.filter(|upstream| upstream.is_active(now));
            active.extend(upstream.cloned());
            upstream.is_some()
        });
        active
    }

    /// All upstreams that are listed, each with the version of its row. One that only an earlier era listed
    /// may be gone: other hosts go by what they knew of it.
    pub fn rows(&self) -> Vec<(Revision, UpstreamRecord)> {
        let full_set = *self.changes_known_after.lock();
        let era = full_set.map_or(0, era_of);
        let listed = self.listed.read();
        let of_era = listed
            .values()
            .filter(|known| era_of(known.revision) >= era);
        let rows =
            of_era.filter_map(|known| Some((known.revision, known.record_to_share()?.clone())));
        rows.collect()
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

/// Whether requests run on any of some upstreams: of this host, or by what the others told.
#[must_use]
pub fn are_in_use(upstreams: &[Arc<Upstream>], elsewhere: &HashMap<EngineId, Work>) -> bool {
    upstreams.iter().any(|upstream| {
        let of_others = elsewhere.get(&upstream.record.id);
        upstream.own_work().running > 0 || of_others.is_some_and(|work| work.running > 0)
    })
}

/// Gives up the older incarnations at the address of one that was not listed before.
fn supersede(listed: &Listing, newcomer: &UpstreamRecord, now: Instant) {
    let older = listed
        .at(newcomer.address)
        .filter(|upstream| now.saturating_duration_since(upstream.listed) >= YOUNGER_BY);
    for upstream in older {
        upstream.superseded(now);
    }
}

/// Lists an upstream in place of what was known of its id; whether that changed anything.
fn list(
    listed: &mut Listing,
    active: &Arc<ActiveUpstreams>,
    revision: Revision,
    record: UpstreamRecord,
    seen: Instant,
) -> bool {
    let known = listed.get(&record.id);
    let same = known
        .and_then(|known| known.upstream.as_ref())
        .filter(|upstream| upstream.record == record)
        .cloned();
    let is_change = same.is_none();
    match known.and_then(|known| known.upstream.as_ref()) {
        Some(earlier) if earlier.record.born != record.born => {
            log::info!(
                "view: upstream started again upstream={} born={:?} before={:?} revision={revision}",
                record.id,
                record.born,
                earlier.record.born
            );
            // Wakes what still waits for the earlier life.
            earlier.gone_for_good(seen);
        }
        Some(_) => {}
        None => supersede(listed, &record, seen),
    }
    let upstream = same.unwrap_or_else(|| {
        Arc::new(Upstream::new(
            record.clone(),
            revision,
            seen,
            active.clone(),
        ))
    });
    if !is_change {
        // It may have lapsed meanwhile, and what is known of it is told again.
        upstream.mark_active();
    }
    listed.insert(revision, upstream);
    is_change
}
