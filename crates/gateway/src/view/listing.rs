//! The rows of upstreams, indexed by id and by address.

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
        clock,
        ids::EngineId,
        protection::{Protection, enabled},
    },
};

/// The last known state of one id's row in the store.
pub(super) struct ListingEntry {
    /// The revision of the row.
    pub(super) revision: Revision,
    /// The upstream that the row lists; `None` if the row was deleted or can't be read.
    pub(super) upstream: Option<Arc<Upstream>>,
    /// Set if the row is missing after an outage or a restore of the store: the upstream counts as listed
    /// until this time.
    expires_at: Option<Instant>,
    /// A row of the restored store that is not applied yet.
    held: Option<HeldRow>,
}

/// A row of a restored store that contradicts what was known before.
struct HeldRow {
    record: UpstreamRecord,
    /// When the row is applied.
    until: Instant,
}

impl ListingEntry {
    /// Whether the row is missing, so that the upstream stays listed only until a deadline.
    pub(super) fn is_expiring(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Whether an upstream is listed, or will be by a row that is held back.
    pub(super) fn has_row(&self) -> bool {
        self.upstream.is_some() || self.held.is_some()
    }

    fn is_in_grace(&self) -> bool {
        self.expires_at.is_some() || self.held.is_some()
    }

    /// Whether a row of a later era lists as ready an upstream that was known to be leaving, in the same
    /// incarnation, or to be gone. Such a row may come from a backup that is older than what was known.
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

    /// The record that is reported to other hosts: the known one or, if the upstream was gone, the held one.
    pub(super) fn record_to_share(&self) -> Option<&UpstreamRecord> {
        let known = self.current().map(|upstream| &upstream.record);
        known.or_else(|| self.held.as_ref().map(|held| &held.record))
    }

    /// The upstream, if it still counts as listed.
    pub(super) fn current(&self) -> Option<&Arc<Upstream>> {
        let has_expired = self
            .expires_at
            .is_some_and(|expires_at| expires_at <= clock::now());
        self.upstream.as_ref().filter(|_| !has_expired)
    }
}

/// All rows, with an index of the upstreams by address: inserting a row takes the same time however many
/// there are, so that applying a full set takes time linear in its rows.
#[derive(Default)]
pub(super) struct Listing {
    rows: HashMap<EngineId, ListingEntry>,
    by_address: HashMap<SocketAddr, Vec<Arc<Upstream>>>,
    /// Ids whose rows are held or missing, and wait for the end of their grace period.
    ids_in_grace: HashSet<EngineId>,
}

impl Listing {
    /// The last known row of an id.
    pub(super) fn get(&self, id: &EngineId) -> Option<&ListingEntry> {
        self.rows.get(id)
    }

    /// All rows with their ids.
    pub(super) fn iter(&self) -> hash_map::Iter<'_, EngineId, ListingEntry> {
        self.rows.iter()
    }

    /// All rows.
    pub(super) fn values(&self) -> hash_map::Values<'_, EngineId, ListingEntry> {
        self.rows.values()
    }

    /// The upstreams listed at an address.
    pub(super) fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_address.get(&address).into_iter().flatten()
    }

    /// Inserts the row of an upstream, replacing the previous row of its id.
    pub(super) fn insert(&mut self, revision: Revision, upstream: Arc<Upstream>) {
        let id = upstream.record.id.clone();
        self.remove_from_index(&id);
        match self.by_address.entry(upstream.record.address) {
            hash_map::Entry::Occupied(mut listed) => listed.get_mut().push(upstream.clone()),
            hash_map::Entry::Vacant(free) => {
                free.insert(vec![upstream.clone()]);
            }
        }
        let entry = ListingEntry {
            revision,
            upstream: Some(upstream),
            expires_at: None,
            held: None,
        };
        self.rows.insert(id, entry);
    }

    /// Records that the row of an id is deleted or lists no valid upstream.
    pub(super) fn insert_without_upstream(&mut self, id: EngineId, revision: Revision) {
        self.remove_from_index(&id);
        let entry = ListingEntry {
            revision,
            upstream: None,
            expires_at: None,
            held: None,
        };
        self.rows.insert(id, entry);
    }

    /// Removes the upstream of an id as of a revision. Returns whether there was one.
    pub(super) fn remove_upstream(&mut self, id: &EngineId, revision: Revision) -> bool {
        let was_listed = self.remove_from_index(id);
        if let Some(known) = self.rows.get_mut(id) {
            known.revision = known.revision.max(revision);
            known.expires_at = None;
            known.held = None;
        }
        was_listed
    }

    /// Handles an upstream that is missing from the full set of a revision: if it was ready, it counts as listed
    /// until `until`, or an earlier deadline that was set before; otherwise it is removed.
    pub(super) fn expire_missing(&mut self, id: &EngineId, full_set: Revision, until: Instant) {
        let Some(known) = self.rows.get_mut(id) else {
            return;
        };
        let upstream = known.upstream.as_ref();
        let was_ready = upstream.is_some_and(|it| it.record.state == UpstreamState::Ready);
        if was_ready {
            known.expires_at.get_or_insert(until);
            self.ids_in_grace.insert(id.clone());
        } else {
            self.remove_upstream(id, full_set);
        }
    }

    /// Whether any row is held or missing.
    pub(super) fn is_in_grace(&self) -> bool {
        !self.ids_in_grace.is_empty()
    }

    /// Holds back a row of the store until `until`, and keeps the known state of its id until then.
    pub(super) fn hold(&mut self, revision: Revision, record: UpstreamRecord, until: Instant) {
        if let Some(known) = self.rows.get_mut(&record.id) {
            self.ids_in_grace.insert(record.id.clone());
            known.revision = revision;
            known.held = Some(HeldRow { record, until });
        }
    }

    /// Ends the grace periods that are over. Removes the upstreams that were missing from the full set of a
    /// revision and were not listed again in time, and returns the held rows, each with its revision.
    pub(super) fn end_grace(
        &mut self,
        full_set: Revision,
        now: Instant,
    ) -> Vec<(Revision, UpstreamRecord)> {
        let mut overdue = Vec::new();
        let mut gone = Vec::new();
        let rows = &mut self.rows;
        self.ids_in_grace.retain(|id| {
            // A newer row has replaced the held or missing one.
            let Some(known) = rows.get_mut(id).filter(|known| known.is_in_grace()) else {
                return false;
            };
            if known.expires_at.is_some_and(|expires_at| expires_at <= now) {
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
            self.remove_upstream(&id, full_set);
        }
        overdue
    }

    /// Removes the upstream of an id from its row and from the address index. Returns whether there was one.
    fn remove_from_index(&mut self, id: &EngineId) -> bool {
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
