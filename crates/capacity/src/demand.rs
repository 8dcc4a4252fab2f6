//! What the work of a service asks of its engines.

/// The busy part of engines up to which they are filled. By computation for one engine with prompts of
/// one length (M/D/1): at 0.8 a prompt waits on average for two others, at 0.9 for four and a half.
const MAX_UTILISATION: f64 = 0.8;
/// How many square roots of the load are added to it where sizes follow the queueing delay. With 2,
/// fewer than 3 of 100 prompts wait at all by the Halfin-Whitt approximation.
const QUEUEING_RESERVE: f64 = 2.0;

/// What all hosts saw of a service's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Streams that began, in a second.
    pub streams_per_s: f64,
    /// Prompt tokens of a stream, on average.
    pub prompt_tokens: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens that streams and their copies hold in the memory of all engines.
    pub held_tokens: u64,
    /// Tokens that one engine's memory holds; 0 where that is not known.
    pub engine_memory_tokens: u64,
    /// Streams that run.
    pub running: u32,
}

/// How the number of engines follows from their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sizing {
    /// Engines are busy up to a fixed part of the time.
    #[default]
    Utilisation,
    /// The load and a multiple of its square root, so that the wait for an engine stays the same at
    /// each size: a large fleet needs a smaller part of idle engines than a small one.
    QueueingDelay,
}

impl Demand {
    /// Whether there was any work to measure. No requests at all is not taken for little demand:
    /// traffic may not have begun, or this host has only just heard of the others.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.streams_per_s > 0.0 && self.prompt_tokens > 0.0 && self.tokens_per_ms > 0.0
    }

    /// How many engines are busy all the time, by what binds more: reading, or memory.
    fn busy_engines(&self) -> f64 {
        let prompt_ms = self.prompt_tokens / self.tokens_per_ms;
        let prompt_engines = self.streams_per_s * prompt_ms / 1_000.0;
        let memory_engines = if self.engine_memory_tokens == 0 {
            0.0
        } else {
            to_f64(self.held_tokens) / to_f64(self.engine_memory_tokens)
        };
        prompt_engines.max(memory_engines)
    }

    /// How many engines the work needs; none where it was not measured. `reserve` is the part by which
    /// bursts exceed what was measured.
    #[must_use]
    pub fn engines_needed(&self, sizing: Sizing, reserve: f64) -> Option<u32> {
        if !self.is_measured() {
            return None;
        }
        let busy = self.busy_engines() * (1.0 + reserve);
        let needed = match sizing {
            Sizing::Utilisation => busy / MAX_UTILISATION,
            Sizing::QueueingDelay => busy + QUEUEING_RESERVE * busy.sqrt(),
        };
        Some(round_up(needed))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of engines are positive and far below 2^32"
)]
fn round_up(engines: f64) -> u32 {
    engines.ceil().max(0.0) as u32
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
