//! Chooses the engine for the next attempt of a stream.

use {
    super::StreamRun,
    crate::{balance::Need, view::Upstream},
    std::sync::Arc,
    tealshore_core::{clock, ids::EngineId},
    tealshore_runs::MemoryCopy,
};

/// A chosen engine, with the copy to resume from if it holds one.
pub struct Chosen {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The copy that it holds.
    pub resume_from: Option<MemoryCopy>,
    /// Whether the engine probably holds the prompt already, from a copy or from reading it before,
    /// so that it has nothing to read.
    pub has_prompt_cached: bool,
}

impl StreamRun {
    /// Chooses the engine that holds the copy, or else the one that has the prompt cached, or else the best one for the
    /// whole prompt.
    pub fn choose(&mut self) -> Option<Chosen> {
        let now = clock::now();
        let prefers_isolation = self.state.crashes.is_near_quarantine(&self.call);
        if prefers_isolation {
            // The engine that holds the copy may also hold copies of the streams that ran beside
            // this one.
            self.copy = None;
            self.prompt_cached_at = None;
        }
        let service = &self.call.service;
        let preferable = |id: &EngineId| {
            let upstream = self.state.view.upstreams.get(id)?;
            let may_prefer = self.state.may_prefer(service, &upstream, now);
            may_prefer.then_some(upstream)
        };
        if let Some(copy) = self.copy.take()
            && let Some(holder) = preferable(&copy.upstream)
        {
            return Some(Chosen {
                upstream: holder,
                resume_from: Some(copy),
                has_prompt_cached: true,
            });
        }
        if let Some(cached_at) = self.prompt_cached_at.take()
            && !self.avoid.contains(&cached_at)
            && let Some(upstream) = preferable(&cached_at)
        {
            return Some(Chosen {
                upstream,
                resume_from: None,
                has_prompt_cached: true,
            });
        }
        let chosen = self
            .state
            .choose_upstream(service, self.need(), &self.avoid)?;
        Some(Chosen {
            upstream: chosen,
            resume_from: None,
            has_prompt_cached: false,
        })
    }

    /// What the whole prompt needs from an engine.
    pub fn need(&self) -> Need<'static> {
        let fingerprint = self.call.fingerprint;
        Need::Prompt {
            fingerprint,
            memory_tokens: self.memory_tokens(),
            engine_memory_tokens: self.engines().memory_tokens,
            has_failed: !self.failed_at.is_empty(),
            prefers_isolation: self.state.crashes.is_near_quarantine(&self.call),
        }
    }
}
