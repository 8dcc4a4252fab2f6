//! Which engine takes an attempt.

use {std::time::Duration, tealshore_core::ids::EngineId};

/// A report older than this is not trusted to tell an idle engine from a busy one.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// What being in another hall costs, in shares of a full engine.
const OTHER_HALL_COST: f64 = 0.05;
/// What a stale report costs, in the same unit.
const STALE_COST: f64 = 0.2;
/// How many engines are compared; few enough that many routers do not pick the same one.
const COMPARED: usize = 3;

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
    /// Whether it stands in the router's hall.
    pub same_hall: bool,
}

/// The relative cost of giving one more sequence to an engine.
#[must_use]
pub fn cost(candidate: &Candidate) -> f64 {
    let load =
        f64::from(candidate.reported + candidate.sent_since) / f64::from(candidate.slots.max(1));
    let hall = if candidate.same_hall {
        0.0
    } else {
        OTHER_HALL_COST
    };
    let stale = if candidate.report_age > STALE_AFTER {
        STALE_COST
    } else {
        0.0
    };
    load + hall + stale
}

/// Chooses the cheapest of a few engines drawn by `random`, or none of none.
#[must_use]
pub fn choose(candidates: &[Candidate], mut random: u64) -> Option<&Candidate> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let drawn = (0..COMPARED.min(count)).map(|_| {
        let index = usize::try_from(random % count as u64).unwrap_or(0);
        random = random.rotate_right(21).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        &candidates[index]
    });
    drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
