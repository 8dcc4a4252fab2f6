//! The engines at which a stream may have run. A route limits how many there may be.

use tealshore_core::ids::EngineId;

/// The engines at which a stream may have run. Each counts once, however often the stream was sent
/// to it.
#[derive(Debug, Default)]
pub struct EnginesTried {
    /// Each engine, with the number of sends that may have run there.
    sends: Vec<(EngineId, u32)>,
    /// Those that were given up only because they were silent.
    silent: Vec<EngineId>,
}

impl EnginesTried {
    /// Records a send to an engine.
    pub fn begin(&mut self, engine: &EngineId) {
        self.silent.retain(|id| id != engine);
        match self.sends.iter_mut().find(|(id, _)| id == engine) {
            Some((_, sends)) => *sends += 1,
            None => self.sends.push((engine.clone(), 1)),
        }
    }

    /// Removes the last send to an engine, which did not run there.
    pub fn undo(&mut self, engine: &EngineId) {
        if let Some((_, sends)) = self.sends.iter_mut().find(|(id, _)| id == engine) {
            *sends = sends.saturating_sub(1);
        }
        self.sends.retain(|(_, sends)| *sends > 0);
    }

    /// Records that an engine was given up only because it was silent.
    pub fn record_silence(&mut self, engine: &EngineId) {
        if !self.silent.contains(engine) {
            self.silent.push(engine.clone());
        }
    }

    /// The engines that were given up only because they were silent, the first one first. The stream may return to
    /// them.
    #[must_use]
    pub fn silent(&self) -> &[EngineId] {
        &self.silent
    }

    /// The number of engines at which the stream may have run.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sends.len()
    }

    /// Whether the stream may have run at an engine.
    #[must_use]
    pub fn contains(&self, engine: &EngineId) -> bool {
        self.sends.iter().any(|(id, _)| id == engine)
    }

    /// Whether one more engine keeps the number of engines within `max_engines`.
    #[must_use]
    pub fn has_room(&self, max_engines: u32) -> bool {
        self.count() < usize::try_from(max_engines.max(1)).unwrap_or(usize::MAX)
    }

    /// Whether a send to an engine keeps the number of engines within `max_engines`.
    #[must_use]
    pub fn allows(&self, engine: &EngineId, max_engines: u32) -> bool {
        self.contains(engine) || self.has_room(max_engines)
    }
}
