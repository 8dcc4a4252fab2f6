//! Selection of the engine for an attempt.

use {std::time::Duration, tealshore_core::ids::EngineId};

/// A load report older than this does not reliably tell an idle engine from a busy one.
const REPORT_STALE_AFTER: Duration = Duration::from_secs(5);
/// The cost of an engine in another hall, as a fraction of a fully loaded engine.
const REMOTE_HALL_COST: f64 = 0.05;
/// The cost of an outdated load report, in the same unit.
const STALE_REPORT_COST: f64 = 0.2;
/// How many engines are compared. The sample is small so that many routers do not all pick the same
/// engine.
const SAMPLE_SIZE: usize = 3;
/// New work may queue at an engine up to its number of slots divided by this.
const QUEUE_DIVISOR: u32 = 4;

/// Whether an attempt is new work or a resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A request without any token yet: it is refused rather than queued for long.
    New,
    /// The continuation of an answer: it takes precedence over new work.
    Resume,
}

/// What a router knows of an engine when it chooses one.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The engine's id.
    pub engine: EngineId,
    /// How many sequences the engine can run at once.
    pub slots: u32,
    /// How many sequences the engine last reported, running and waiting.
    pub reported: u32,
    /// The age of that report.
    pub report_age: Duration,
    /// How many sequences this router has sent to the engine since that report.
    pub sent_since: u32,
    /// How many sequences of this router the engine has now.
    pub own: u32,
    /// Whether the engine is in the router's hall.
    pub same_hall: bool,
}

impl Candidate {
    /// Returns the estimated number of sequences at the engine. The last report does not include
    /// what this router sent afterwards, and what other routers sent afterwards is unknown.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.own.max(self.reported.saturating_add(self.sent_since))
    }

    /// Returns whether one more sequence would start without a long wait.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.load() < self.slots + self.slots / QUEUE_DIVISOR
    }

    /// Returns the relative cost of sending one more sequence to the engine.
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

/// Returns the cheapest of a few candidates sampled with `random`, or none if no candidate is
/// eligible. Resumes may go to engines without free capacity, new work may not.
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
