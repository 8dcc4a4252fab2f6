//! Rows of upstreams by id, and which upstreams are listed at an address.

use {
    super::upstream::Upstream,
    crate::edge::Revision,
    std::{
        collections::{HashMap, hash_map},
        net::SocketAddr,
        sync::Arc,
        time::Instant,
    },
    tealshore_core::ids::EngineId,
};

/// What the store last said of an id.
pub(super) struct Listed {
    /// The version of the row.
    pub(super) revision: Revision,
    /// What the row lists; none where it is gone or can't be read.
    pub(super) upstream: Option<Arc<Upstream>>,
    /// Its row lapsed while the store was away; it counts as listed until then.
    lapses: Option<Instant>,
}

impl Listed {
    /// Whether its row lapsed while the store was away.
    pub(super) fn may_lapse(&self) -> bool {
        self.lapses.is_some()
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
        };
        self.rows.insert(id, entry);
    }

    /// Takes the upstream from the row of an id, as of a version; whether there was one.
    pub(super) fn clear(&mut self, id: &EngineId, revision: Revision) -> bool {
        let was_listed = self.unlist(id);
        if let Some(known) = self.rows.get_mut(id) {
            known.revision = revision;
        }
        was_listed
    }

    /// Lets a row count as listed until a moment, unless an earlier one was set.
    pub(super) fn let_lapse(&mut self, id: &EngineId, until: Instant) {
        if let Some(known) = self.rows.get_mut(id) {
            known.lapses.get_or_insert(until);
        }
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
