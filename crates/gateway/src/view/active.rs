//! The upstreams that this host reports to its peers: the few of many at which it has work, or whose
//! condition it found to be other than healthy.

use {parking_lot::Mutex, std::collections::HashSet, tealshore_core::ids::EngineId};

/// The ids of upstreams that may have something to report.
#[derive(Default)]
pub(super) struct ActiveUpstreams(Mutex<HashSet<EngineId>>);

impl ActiveUpstreams {
    /// Marks an upstream as one that may have something to report. Call it after the upstream changed, since
    /// [`Self::retain`] drops the marks of upstreams that are not active.
    pub(super) fn mark(&self, id: &EngineId) {
        let mut marked = self.0.lock();
        if !marked.contains(id) {
            marked.insert(id.clone());
        }
    }

    /// Drops the marks of ids that are no longer active.
    pub(super) fn retain(&self, is_active: impl FnMut(&EngineId) -> bool) {
        self.0.lock().retain(is_active);
    }
}
