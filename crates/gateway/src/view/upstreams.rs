//! The set of upstreams, as the store lists them.

use {
    super::{
        active::ActiveUpstreams,
        listing::{Listing, ListingEntry},
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
        clock,
        ids::{EngineId, ServiceId},
        protection::{Protection, enabled},
    },
};

/// How much later an incarnation must be listed to count as younger. If two are read at the same time, nothing
/// shows which of them is still running.
const MIN_LISTING_GAP: Duration = Duration::from_millis(500);
/// How long an upstream whose row is missing after an outage or a restore of the store still counts as listed.
/// A live upstream's row is written again within about two seconds.
pub const MISSING_ROW_GRACE: Duration = Duration::from_millis(1_800);

/// All changes of upstreams after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChanges {
    /// The revision after which these are all changes.
    pub after: Revision,
    /// Listed upstreams, each with the revision of its row.
    pub listed: Vec<(Revision, UpstreamRecord)>,
    /// Upstreams that are no longer listed, each with the revision of that change or a later one.
    pub gone: Vec<(Revision, EngineId)>,
}

/// All upstreams, by id. A row is never replaced by an older one.
#[derive(Default)]
pub struct Upstreams {
    listed: RwLock<Listing>,
    /// The revision of the last full set. Rows that were added and deleted between earlier reads are unknown.
    changes_known_after: Mutex<Option<Revision>>,
    active: Arc<ActiveUpstreams>,
}

impl Upstreams {
    /// Applies a row. Returns whether anything changed.
    pub fn put(&self, revision: Revision, record: UpstreamRecord) -> bool {
        self.put_seen(revision, record, clock::now())
    }

    /// Applies a row that was read at `seen`. Returns whether anything changed.
    pub fn put_seen(&self, revision: Revision, record: UpstreamRecord, seen: Instant) -> bool {
        let mut listed = self.listed.write();
        let known = listed.get(&record.id);
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        if known.is_some_and(|known| known.contradicts(revision, &record)) {
            let known = known.and_then(|known| known.upstream.as_ref());
            log::info!(
                "view: restored row held back upstream={} revision={revision} known={:?}",
                record.id,
                known.map(|upstream| upstream.record.state)
            );
            listed.hold(revision, record, seen + RESTORE_GRACE);
            return false;
        }
        insert_row(&mut listed, &self.active, revision, record, seen)
    }

    /// Ends the grace periods that are over: applies the held rows of a restored store, and removes the upstreams
    /// whose missing rows were not written again. Returns the number of rows applied.
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
            insert_row(&mut listed, &self.active, revision, record, now);
        }
        count
    }

    /// Applies the deletion of a row. Returns whether anything changed.
    pub fn remove(&self, revision: Revision, id: &EngineId) -> bool {
        let mut listed = self.listed.write();
        match listed.get(id) {
            Some(known) if known.revision < revision => listed.remove_upstream(id, revision),
            Some(_) => false,
            None => {
                // This host never saw the row, but a host that receives changes from it may still list the upstream.
                listed.insert_without_upstream(id.clone(), revision);
                false
            }
        }
    }

    /// Records that a row can't be read, and so lists no usable upstream. Returns whether this was not known.
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

    /// Applies the full set of a revision: upstreams that it lacks are removed. Those that were listed in an earlier
    /// era are kept for a grace period, since the restore may only have lost their rows. Returns the number of
    /// missing upstreams.
    pub fn retain(&self, revision: Revision, present: &[EngineId]) -> usize {
        self.record_full_set(revision);
        let missing = self.missing(present);
        let mut listed = self.listed.write();
        let until = clock::now() + MISSING_ROW_GRACE;
        let mut missing_count = 0;
        for id in &missing {
            let Some(row) = listed.get(id).map(|known| known.revision) else {
                continue;
            };
            missing_count += usize::from(row < revision);
            if era_of(row) < era_of(revision) {
                listed.expire_missing(id, revision, until);
            } else if row < revision {
                listed.remove_upstream(id, revision);
            }
        }
        missing_count
    }

    /// Applies the first full set after a long outage of the store. The rows of live upstreams may have expired
    /// because they could not be renewed, so upstreams that were ready stay listed until `until`, and for good if
    /// their rows are back by then. Returns the number of missing upstreams.
    pub fn retain_after_outage(
        &self,
        revision: Revision,
        present: &[EngineId],
        until: Instant,
    ) -> usize {
        self.record_full_set(revision);
        let missing = self.missing(present);
        let mut listed = self.listed.write();
        for id in &missing {
            let row = listed.get(id).map(|known| known.revision);
            if row.is_some_and(|row| row < revision) {
                listed.expire_missing(id, revision, until);
            }
        }
        missing.len()
    }

    /// All changes after a revision; `None` if they are not known for all rows.
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
            if known.is_expiring() {
                // Whether this upstream is listed depends on the current time, so it can't be stated as a change.
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

    fn record_full_set(&self, revision: Revision) {
        let mut known_after = self.changes_known_after.lock();
        *known_after = known_after.max(Some(revision));
    }

    fn missing(&self, present: &[EngineId]) -> Vec<EngineId> {
        let present: HashSet<&EngineId> = present.iter().collect();
        let listed = self.listed.read();
        let known = listed.iter().filter(|(_, known)| known.has_row());
        let missing = known.filter(|(id, _)| !present.contains(id));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// The upstream with an id, if it is listed.
    pub fn get(&self, id: &EngineId) -> Option<Arc<Upstream>> {
        let listed = self.listed.read();
        listed.get(id).and_then(|known| known.current().cloned())
    }

    /// The upstreams of a service that accept new work.
    pub fn ready(&self, service: &ServiceId) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        listed
            .values()
            .filter_map(ListingEntry::current)
            .filter(|upstream| upstream.record.service == *service)
            .filter(|upstream| {
                let is_ready = upstream.record.state == UpstreamState::Ready;
                is_ready || !enabled(Protection::LeavingCheck)
            })
            .cloned()
            .collect()
    }

    /// All listed upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        listed
            .values()
            .filter_map(ListingEntry::current)
            .cloned()
            .collect()
    }

    /// The listed upstreams that this host reports to its peers: it has work there, or found them not to be
    /// healthy.
    pub fn active(&self, now: Instant) -> Vec<Arc<Upstream>> {
        let listed = self.listed.read();
        let mut active = Vec::new();
        self.active.retain(|id| {
            let upstream = listed.get(id).and_then(ListingEntry::current);
            let upstream = upstream.filter(|upstream| upstream.is_active(now));
            active.extend(upstream.cloned());
            upstream.is_some()
        });
        active
    }

    /// The records of all listed upstreams, each with the revision of its row. Upstreams that only an earlier era
    /// listed are left out, since they may be gone: for these, other hosts rely on what they know themselves.
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

    /// Whether an upstream is currently listed and accepts new work.
    pub fn accepts_work(&self, id: &EngineId) -> bool {
        if !enabled(Protection::LeavingCheck) {
            return true;
        }
        self.get(id)
            .is_some_and(|upstream| upstream.record.state == UpstreamState::Ready)
    }
}

/// Whether requests of this host, or of others as reported in `elsewhere`, run on any of the upstreams.
#[must_use]
pub fn are_in_use(upstreams: &[Arc<Upstream>], elsewhere: &HashMap<EngineId, Work>) -> bool {
    upstreams.iter().any(|upstream| {
        let of_others = elsewhere.get(&upstream.record.id);
        upstream.own_work().running > 0 || of_others.is_some_and(|work| work.running > 0)
    })
}

/// Marks older incarnations at the address of a newly listed one as superseded.
fn supersede(listed: &Listing, newcomer: &UpstreamRecord, now: Instant) {
    let older = listed
        .at_address(newcomer.address)
        .filter(|upstream| now.saturating_duration_since(upstream.listed) >= MIN_LISTING_GAP);
    for upstream in older {
        upstream.mark_superseded(now);
    }
}

/// Inserts an upstream, replacing the known one with its id. Returns whether its record changed.
fn insert_row(
    listed: &mut Listing,
    active: &Arc<ActiveUpstreams>,
    revision: Revision,
    record: UpstreamRecord,
    seen: Instant,
) -> bool {
    let known = listed.get(&record.id);
    let unchanged = known
        .and_then(|known| known.upstream.as_ref())
        .filter(|upstream| upstream.record == record)
        .cloned();
    let is_change = unchanged.is_none();
    match known.and_then(|known| known.upstream.as_ref()) {
        Some(earlier) if earlier.record.born != record.born => {
            log::info!(
                "view: upstream restarted upstream={} born={:?} before={:?} revision={revision}",
                record.id,
                record.born,
                earlier.record.born
            );
            // Wakes tasks that still wait for the earlier incarnation.
            earlier.mark_replaced(seen);
        }
        Some(_) => {}
        None => supersede(listed, &record, seen),
    }
    let upstream = unchanged.unwrap_or_else(|| {
        Arc::new(Upstream::new(
            record.clone(),
            revision,
            seen,
            active.clone(),
        ))
    });
    if !is_change {
        // The upstream may have been unlisted in the meantime, which dropped its mark.
        upstream.mark_active();
    }
    listed.insert(revision, upstream);
    is_change
}
