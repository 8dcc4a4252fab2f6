//! The engines at which a stream may have run. A route limits how many there may be.

use {
    std::time::{Duration, Instant},
    tealshore_core::ids::EngineId,
};

/// How long a stream leaves out an engine that failed it twice without an event. Each further failure doubles the time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// The failures of an engine that brought the stream no event.
#[derive(Debug)]
struct Failures {
    engine: EngineId,
    count: u32,
    last: Instant,
}

impl Failures {
    /// When the stream may return to the engine.
    fn paused_until(&self) -> Instant {
        let Some(doublings) = self.count.checked_sub(2) else {
            return self.last;
        };
        self.last + FIRST_PAUSE * (1 << doublings.min(MAX_DOUBLINGS))
    }
}

/// The engines at which a stream may have run. Each counts once, however often the stream was sent
/// to it.
#[derive(Debug, Default)]
pub struct EnginesTried {
    /// Each engine, with the number of sends that may have run there.
    sends: Vec<(EngineId, u32)>,
    /// Those that were given up only because they were silent.
    silent: Vec<EngineId>,
    /// Those that failed without an event.
    failures: Vec<Failures>,
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

    /// Records that an engine that took the stream failed without an event.
    pub fn record_failure(&mut self, engine: &EngineId, now: Instant) {
        let mut failures = self.failures.iter_mut();
        match failures.find(|failures| failures.engine == *engine) {
            Some(failures) => {
                failures.count += 1;
                failures.last = now;
            }
            None => self.failures.push(Failures {
                engine: engine.clone(),
                count: 1,
                last: now,
            }),
        }
    }

    /// Whether the stream leaves out an engine for now, which failed it repeatedly. Where a stream has fewer engines
    /// than its route allows, it would otherwise use up the retry budget of all streams at them.
    #[must_use]
    pub fn is_paused(&self, engine: &EngineId, now: Instant) -> bool {
        let mut failures = self.failures.iter();
        failures.any(|failures| failures.engine == *engine && now < failures.paused_until())
    }

    /// The number of engines at which the stream may have run.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sends.len()
    }

    /// The engines at which the stream may have run.
    pub fn engines(&self) -> impl Iterator<Item = &EngineId> {
        self.sends.iter().map(|(id, _)| id)
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
