//! Which engine takes an attempt, and whether any can.

use {std::time::Duration, tealshore_core::ids::EngineId};

/// A report older than this is not trusted to tell an idle engine from a busy one.
const REPORT_STALE_AFTER: Duration = Duration::from_secs(5);
/// What being in another hall costs, in shares of a full engine.
const REMOTE_HALL_COST: f64 = 0.05;
/// What a stale report costs, in the same unit.
const STALE_REPORT_COST: f64 = 0.2;
/// How many engines are compared; few enough that many routers do not pick the same one.
const SAMPLE_SIZE: usize = 3;
/// New work may wait at an engine up to one part in this many of its slots.
const QUEUE_DIVISOR: u32 = 4;

/// What an attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A request that has no token yet: it is refused rather than left to wait long.
    New,
    /// An answer that goes on: it goes before new work.
    Resume,
}

/// What a router knows of an engine when it chooses.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Sequences that it can run at once.
    pub slots: u32,
    /// Sequences that it reported, running and waiting.
    pub reported: u32,
    /// How old that report is.
    pub report_age: Duration,
    /// Sequences that this router has sent since the report.
    pub sent_since: u32,
    /// Sequences that this router has there now.
    pub own: u32,
    /// Whether it stands in the router's hall.
    pub same_hall: bool,
}

impl Candidate {
    /// Sequences that the engine has, as far as is known: a report lags behind what this
    /// router sent, and does not know what others sent since.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.own.max(self.reported.saturating_add(self.sent_since))
    }

    /// Whether one more sequence would start soon.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.load() < self.slots + self.slots / QUEUE_DIVISOR
    }

    /// The relative cost of giving it one more sequence.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let load = f64::from(self.load()) / f64::from(self.slots.max(1));
        let hall = if self.same_hall {
            0.0
        } else {
            REMOTE_HALL_COST
        };
        let stale = if self.report_age > REPORT_STALE_AFTER {
            STALE_REPORT_COST
        } else {
            0.0
        };
        load + hall + stale
    }
}

/// Chooses the cheapest of a few engines drawn by `random`; none where none has room.
#[must_use]
pub fn choose(candidates: &[Candidate], urgency: Urgency, mut random: u64) -> Option<&Candidate> {
    let eligible: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| urgency == Urgency::Resume || candidate.has_capacity())
        .collect();
    let count = eligible.len();
    let sampled = (0..SAMPLE_SIZE.min(count)).map(|_| {
        let index = usize::try_from(random % count as u64).unwrap_or(0);
        random = random.rotate_right(21).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        eligible[index]
    });
    sampled.min_by(|a, b| a.cost().total_cmp(&b.cost()))
}
