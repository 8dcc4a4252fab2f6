//! Chooses the engine that holds the copy of a run's memory.

use {
    super::StreamRun,
    crate::{
        balance::Need,
        forward::reservation::Reservation,
        view::{Upstream, UpstreamRecord, Work},
    },
    std::sync::Arc,
};

impl StreamRun {
    /// Chooses an engine to hold the copy of a run's memory. Returns `None` if the service makes no
    /// copies, the route allows no repeats, or no engine has room for it.
    pub fn choose_copy_holder(&self, runs_at: &UpstreamRecord) -> Option<Arc<Upstream>> {
        let engines = self.engines();
        if !engines.copies || !self.call.route.may_repeat() {
            return None;
        }
        let need = Need::Copy {
            away_from: &runs_at.hall,
            kind: runs_at.kind,
            version: &runs_at.version,
            memory_tokens: self.memory_tokens(),
            engine_memory_tokens: engines.memory_tokens,
        };
        let mut avoid = self.avoid.clone();
        avoid.push(runs_at.id.clone());
        self.state.choose_upstream(&self.call.service, need, &avoid)
    }

    /// Reserves the memory that the copy takes at its holder.
    pub fn reserve_copy_memory(&self, holder: &Arc<Upstream>) -> Reservation {
        let work = Work {
            memory_tokens: self.memory_tokens(),
            ..Work::default()
        };
        Reservation::begin(&self.state, holder, work)
    }
}
