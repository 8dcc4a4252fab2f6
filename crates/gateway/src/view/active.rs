//! Which upstreams this host may have work at, or have found something of: the few of many of which it
//! tells the other hosts.

use {parking_lot::Mutex, std::collections::HashSet, tealshore_core::ids::EngineId};

/// Ids of upstreams that were marked.
#[derive(Default)]
pub(super) struct ActiveUpstreams(Mutex<HashSet<EngineId>>);

impl ActiveUpstreams {
    /// Notes that there may be something to tell of an upstream: after it changed, as what is not
    /// active when the marks are looked at is forgotten.
    pub(super) fn mark(&self, id: &EngineId) {
        let mut marked = self.0.lock();
        if !marked.contains(id) {
            marked.insert(id.clone());
        }
    }

    /// Keeps the marks of those ids that are still active.
    pub(super) fn retain(&self, is_active: impl FnMut(&EngineId) -> bool) {
        self.0.lock().retain(is_active);
    }
}
