//! Rows of upstreams by id, and which upstreams are listed at an address.

use {
    super::upstream::{Upstream, UpstreamRecord, UpstreamState},
    crate::edge::{Revision, era_of},
    std::{
        collections::{HashMap, HashSet, hash_map},
        net::SocketAddr,
        sync::Arc,
        time::Instant,
    },
    tealshore_core::{
        ids::EngineId,
        protection::{Protection, enabled},
    },
};

/// What the store last said of an id.
pub(super) struct Listed {
    /// The version of the row.
    pub(super) revision: Revision,
    /// What the row lists; none where it is gone or can't be read.
    pub(super) upstream: Option<Arc<Upstream>>,
    /// Its row lapsed while the store was away; it counts as listed until then.
    lapses: Option<Instant>,
    /// What the store lists since it was restored, where that is not applied yet.
    held: Option<HeldRow>,
}

/// A row of a restored store that contradicts what was known before.
struct HeldRow {
    record: UpstreamRecord,
    /// It is applied then.
    until: Instant,
}

impl Listed {
    /// Whether its row lapsed while the store was away.
    pub(super) fn may_lapse(&self) -> bool {
        self.lapses.is_some()
    }

    fn is_in_grace(&self) -> bool {
        self.lapses.is_some() || self.held.is_some()
    }

    /// Whether a row of a later era says that an upstream takes work which was known to leave, in
    /// the same life, or to be gone: a backup may be older than what was known.
    pub(super) fn contradicts(&self, revision: Revision, record: &UpstreamRecord) -> bool {
        let is_of_later_era = era_of(self.revision) < era_of(revision);
        if !is_of_later_era || record.state != UpstreamState::Ready {
            return false;
        }
        if !enabled(Protection::RestoreGrace) {
            return false;
        }
        self.upstream.as_ref().is_none_or(|known| {
            known.record.state == UpstreamState::Leaving && known.record.born == record.born
        })
    }

    /// The row as it is given to other hosts: what was known, or for one that was gone what the store lists.
    pub(super) fn record_to_share(&self) -> Option<&UpstreamRecord> {
        let known = self.current().map(|upstream| &upstream.record);
        known.or_else(|| self.held.as_ref().map(|held| &held.record))
    }

    /// The upstream, while it counts as listed.
    pub(super) fn current(&self) -> Option<&Arc<Upstream>> {
        let has_lapsed = self.lapses.is_some_and(|lapses| lapses <= Instant::now());
        self.upstream.as_ref().filter(|_| !has_lapsed)
    }
}

/// All rows. The upstreams at an address are indexed: a row that is new costs the same however many there
/// are, so a whole set costs as much as it has rows.
#[derive(Default)]
pub(super) struct Listing {
    rows: HashMap<EngineId, Listed>,
    by_address: HashMap<SocketAddr, Vec<Arc<Upstream>>>,
    /// Ids whose rows are held, or missing for a while.
    in_grace: HashSet<EngineId>,
}

impl Listing {
    /// What is known of an id.
    pub(super) fn get(&self, id: &EngineId) -> Option<&Listed> {
        self.rows.get(id)
    }

    /// All rows with their ids.
    pub(super) fn iter(&self) -> hash_map::Iter<'_, EngineId, Listed> {
        self.rows.iter()
    }

    /// All rows.
    pub(super) fn values(&self) -> hash_map::Values<'_, EngineId, Listed> {
        self.rows.values()
    }

    /// The upstreams that are listed at an address.
    pub(super) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_address.get(&address).into_iter().flatten()
    }

    /// Lists an upstream in place of what was known of its id.
    pub(super) fn insert(&mut self, revision: Revision, upstream: Arc<Upstream>) {
        let id = upstream.record.id.clone();
        self.unlist(&id);
        match self.by_address.entry(upstream.record.address) {
            hash_map::Entry::Occupied(mut listed) => listed.get_mut().push(upstream.clone()),
            hash_map::Entry::Vacant(free) => {
                free.insert(vec![upstream.clone()]);
            }
        }
        let entry = Listed {
            revision,
            upstream: Some(upstream),
            lapses: None,
            held: None,
        };
        self.rows.insert(id, entry);
    }

    /// Notes that the row of an id names no upstream, or none any more.
    pub(super) fn insert_without_upstream(&mut self, id: EngineId, revision: Revision) {
        self.unlist(&id);
        let entry = Listed {
            revision,
            upstream: None,
            lapses: None,
            held: None,
        };
        self.rows.insert(id, entry);
    }

    /// Takes the upstream from the row of an id, as of a version; whether there was one.
    pub(super) fn clear(&mut self, id: &EngineId, revision: Revision) -> bool {
        let was_listed = self.unlist(id);
        if let Some(known) = self.rows.get_mut(id) {
            known.revision = known.revision.max(revision);
            known.lapses = None;
            known.held = None;
        }
        was_listed
    }

    /// Lets an upstream that a whole set lacks, as of a version, count as listed until a moment, unless an
    /// earlier one was set, if it took work; else it is gone.
    pub(super) fn let_missing_lapse(&mut self, id: &EngineId, full_set: Revision, until: Instant) {
        let Some(known) = self.rows.get_mut(id) else {
            return;
        };
        let upstream = known.upstream.as_ref();
        let took_work = upstream.is_some_and(|it| it.record.state == UpstreamState::Ready);
        if took_work {
            known.lapses.get_or_insert(until);
            self.in_grace.insert(id.clone());
        } else {
            self.clear(id, full_set);
        }
    }

    /// Whether some rows are held, or missing for a while.
    pub(super) fn is_in_grace(&self) -> bool {
        !self.in_grace.is_empty()
    }

    /// Keeps what is known of an id against a row that the store lists, until a moment.
    pub(super) fn hold(&mut self, revision: Revision, record: UpstreamRecord, until: Instant) {
        if let Some(known) = self.rows.get_mut(&record.id) {
            self.in_grace.insert(record.id.clone());
            known.revision = revision;
            known.held = Some(HeldRow { record, until });
        }
    }

    /// Takes out the held rows whose grace period is over, each with its version. What a full set lacked, as of
    /// a version, and was not listed again in time is gone.
    pub(super) fn end_grace(
        &mut self,
        full_set: Revision,
        now: Instant,
    ) -> Vec<(Revision, UpstreamRecord)> {
        let mut overdue = Vec::new();
        let mut gone = Vec::new();
        let rows = &mut self.rows;
        self.in_grace.retain(|id| {
            // A row that was written since has taken its place.
            let Some(known) = rows.get_mut(id).filter(|known| known.is_in_grace()) else {
                return false;
            };
            if known.lapses.is_some_and(|lapses| lapses <= now) {
                gone.push(id.clone());
                return false;
            }
            let is_over = |held: &mut HeldRow| held.until <= now;
            if let Some(held) = known.held.take_if(is_over) {
                overdue.push((known.revision, held.record));
            }
            known.is_in_grace()
        });
        for id in gone {
            self.clear(&id, full_set);
        }
        overdue
    }

    /// Takes the upstream of an id out of its row and out of the index; whether there was one.
    fn unlist(&mut self, id: &EngineId) -> bool {
        let known = self.rows.get_mut(id);
        let Some(upstream) = known.and_then(|known| known.upstream.take()) else {
            return false;
        };
        let address = upstream.record.address;
        if let Some(listed) = self.by_address.get_mut(&address) {
            listed.retain(|listed| listed.record.id != *id);
            if listed.is_empty() {
                self.by_address.remove(&address);
            }
        }
        true
    }
}
