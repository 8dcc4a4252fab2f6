//! The number of engines that the work of a service needs.

/// Maximum utilisation of engines. In an M/D/1 queue (one engine, prompts of equal length), a prompt waits
/// on average for two others at 0.8, and for four and a half at 0.9.
const MAX_UTILISATION: f64 = 0.8;
/// Factor of the square root of the load that [`Sizing::QueueingDelay`] adds to the load. With 2, fewer than
/// 3 of 100 prompts have to wait according to the Halfin-Whitt approximation.
const QUEUEING_RESERVE: f64 = 2.0;

/// The work of a service, as measured by all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Streams started per second.
    pub streams_per_s: f64,
    /// Average number of prompt tokens of a stream.
    pub prompt_tokens: f64,
    /// Prompt tokens that an engine processes per millisecond.
    pub tokens_per_ms: f64,
    /// Tokens that streams and their copies occupy in the memory of all engines.
    pub held_tokens: u64,
    /// Memory of one engine in tokens; 0 if unknown.
    pub engine_memory_tokens: u64,
    /// Number of running streams.
    pub running: u32,
}

/// How the number of engines is computed from the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sizing {
    /// Engines are utilised up to a fixed fraction of the time.
    #[default]
    Utilisation,
    /// The load plus a multiple of its square root, which keeps the queueing delay about equal at each
    /// size: a large fleet needs a smaller fraction of idle engines than a small one.
    QueueingDelay,
}

impl Demand {
    /// Returns whether any work was measured. No requests at all are not treated as low demand: traffic may
    /// not have started, or this host may have just received the first reports of others.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.streams_per_s > 0.0 && self.prompt_tokens > 0.0 && self.tokens_per_ms > 0.0
    }

    /// Returns the number of fully utilised engines, for prompt processing or for memory, whichever needs more.
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

    /// Returns the number of engines that the work needs, or `None` if it was not measured. `reserve` is the
    /// fraction by which bursts may exceed the measured work.
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
