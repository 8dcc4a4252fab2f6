//! The engines at which a stream may have run: a route bounds how many there may be.

use tealshore_core::ids::EngineId;

/// The engines at which a stream may have run, each counted once however often it was sent there.
#[derive(Debug, Default)]
pub struct EnginesTried {
    /// Each engine with how often the stream may have run there.
    tries: Vec<(EngineId, u32)>,
}

impl EnginesTried {
    /// Notes a send to an engine.
    pub fn begin(&mut self, engine: &EngineId) {
        match self.tries.iter_mut().find(|(id, _)| id == engine) {
            Some((_, tries)) => *tries += 1,
            None => self.tries.push((engine.clone(), 1)),
        }
    }

    /// Notes that the last send to an engine did not run there.
    pub fn undo(&mut self, engine: &EngineId) {
        if let Some((_, tries)) = self.tries.iter_mut().find(|(id, _)| id == engine) {
            *tries = tries.saturating_sub(1);
        }
        self.tries.retain(|(_, tries)| *tries > 0);
    }

    /// At how many engines it may have run.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tries.len()
    }

    /// Whether it may have run at an engine.
    #[must_use]
    pub fn contains(&self, engine: &EngineId) -> bool {
        self.tries.iter().any(|(id, _)| id == engine)
    }

    /// Whether a send to an engine stays within a bound on their number.
    #[must_use]
    pub fn allows(&self, engine: &EngineId, most: u32) -> bool {
        let most = usize::try_from(most.max(1)).unwrap_or(usize::MAX);
        self.contains(engine) || self.count() < most
    }
}
