//! Chooses the engine for the next attempt of a stream.

use {
    super::StreamRun,
    crate::{balance::Need, room, view::Upstream},
    std::sync::Arc,
    tealshore_core::{clock, ids::EngineId},
    tealshore_runs::MemoryCopy,
};

/// For how many times the wait for the retry budget a stream without an event waits for silent engines.
const MAX_SILENT_WAITS: u32 = 3;

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
    /// whole prompt. Once the stream ran at as many engines as its route allows, only those of them are chosen that were
    /// merely silent.
    pub fn choose(&mut self) -> Option<Chosen> {
        let now = clock::now();
        let max_engines = self.call.route.max_attempts;
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
            (may_prefer && !self.tried.is_paused(id, now)).then_some(upstream)
        };
        if let Some(copy) = self.copy.take()
            && self.tried.allows(&copy.upstream, max_engines)
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
            && self.tried.allows(&cached_at, max_engines)
            && let Some(upstream) = preferable(&cached_at)
        {
            return Some(Chosen {
                upstream,
                resume_from: None,
                has_prompt_cached: true,
            });
        }
        let chosen = if self.tried.has_room(max_engines) {
            let paused = self
                .tried
                .engines()
                .filter(|id| self.tried.is_paused(id, now));
            let avoid: Vec<EngineId> = self.avoid.iter().chain(paused).cloned().collect();
            self.state.choose_upstream(service, self.need(), &avoid)?
        } else {
            let silent = self.tried.silent().iter();
            let mut returnable = silent.filter(|id| !self.avoid.contains(id));
            returnable.find_map(preferable)?
        };
        Some(Chosen {
            upstream: chosen,
            resume_from: None,
            has_prompt_cached: false,
        })
    }

    /// Whether to go on waiting for a silent engine, as the stream can't go on elsewhere now. An engine may be silent
    /// for a while and then continue, and one that is no longer listed may still be serving what it has begun.
    pub fn must_wait_for(&mut self, upstream: &Upstream) -> bool {
        let engine = &upstream.record.id;
        self.silent_since.get_or_insert_with(clock::now);
        let may_refuse = !self.has_begun() && self.call.route.may_repeat();
        let is_listed = self.state.view.upstreams.get(engine).is_some();
        let gives_up = self.is_better_refused() || (may_refuse && !is_listed);
        let must_wait = !gives_up && !self.reserve_move_from(engine);
        if must_wait {
            log::info!(
                "stream: waiting for a silent engine request={} upstream={engine} run={} last={:?} left_ms={}",
                self.call.id(),
                self.tried.count(),
                self.progress.last(),
                self.call.left(clock::now()).as_millis()
            );
        }
        must_wait
    }

    /// Records that the stream leaves a silent engine. It may then go to all engines that it left before, which may have
    /// recovered meanwhile.
    pub fn leave_silent(&mut self, engine: &EngineId) {
        self.avoid.clear();
        self.tried.record_silence(engine);
    }

    /// Whether engines were silent for so long that a stream which its caller may repeat, and has seen nothing of, is
    /// better refused: the caller's next attempt is the better chance.
    pub fn is_better_refused(&self) -> bool {
        let may_refuse = !self.has_begun() && self.call.route.may_repeat();
        let max_silence = room::budget_wait(self.call.route.objective) * MAX_SILENT_WAITS;
        let since = self.silent_since;
        may_refuse && since.is_some_and(|since| clock::elapsed(since) >= max_silence)
    }

    /// Reserves a retry for going on elsewhere than at `engine`. Returns whether the stream can do so now.
    fn reserve_move_from(&mut self, engine: &EngineId) -> bool {
        let service = &self.call.service;
        if !self.call.route.may_repeat()
            || !self.has_position()
            || self.state.check_quarantine(&self.call).is_err()
            || self.check_time_left().is_err()
            || !self.state.may_retry(service)
        {
            return false;
        }
        let preferences = (self.copy.clone(), self.prompt_cached_at.clone());
        let avoided = std::mem::replace(&mut self.avoid, vec![engine.clone()]);
        let chosen = self.choose();
        self.avoid = avoided;
        (self.copy, self.prompt_cached_at) = preferences;
        let now = clock::now();
        let is_elsewhere = chosen.is_some_and(|Chosen { upstream, .. }| {
            upstream.record.id != *engine && !upstream.is_suspected(now)
        });
        self.has_reserved_retry = is_elsewhere && self.state.take_retry(&self.call.service);
        self.has_reserved_retry
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
