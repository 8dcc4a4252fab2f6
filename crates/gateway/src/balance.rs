//! Selects the upstream for a request from the load that all hosts are known to have there.

use {
    crate::{
        topology::{Distance, Topology},
        view::Work,
    },
    std::cmp::Ordering,
    tealshore_capacity::EngineKind,
    tealshore_core::ids::{EngineId, EngineVersion, Fingerprint, HallId},
};

/// Cost for a new prompt of each stream that already runs on the engine, in equivalent prompt tokens to read.
const STREAM_COST_TOKENS: f64 = 1_500.0;
/// Extra cost that a request accepts to reach its preferred engine, in equivalent prompt tokens to read: that
/// engine may still hold the prompt when the caller comes back.
const AFFINITY_COST_TOKENS: f64 = 1_500.0;
/// Cost of an engine in another hall, in equivalent prompt tokens to read. Load that hosts of another hall
/// send to its engines is known here up to 0.2 s late, so more prompts collide on one engine there. A much
/// higher cost would leave the engines of other halls idle while those of a busy hall queue.
const OTHER_HALL_COST_TOKENS: f64 = 1_600.0;
/// Cost of an engine in another region, in equivalent prompt tokens to read: latency is higher, a stream's
/// bytes cross the link for its whole life, and load there is known up to 0.5 s late.
const OTHER_REGION_COST_TOKENS: f64 = 4_000.0;
/// Cost of a failure score of 1: for a plain call, in upstreams whose slots are all busy; for a prompt, in
/// running streams.
const FAILURE_COST: f64 = 3.0;
/// Cost of an upstream in another hall, for a plain call, as a fraction of the upstream's slots.
const OTHER_HALL_COST: f64 = 0.1;
/// Cost of an upstream in another region, for a plain call, as a fraction of the upstream's slots.
const OTHER_REGION_COST: f64 = 0.2;
/// Cost of storing a copy in the region in which its run is, in tokens that the storing engine already holds.
/// When a region fails, its copies are lost along with its runs, and their prompts are read again by engines
/// that are full at that moment.
const SAME_REGION_COPY_COST_TOKENS: f64 = 8_000.0;
/// Calls that all hosts together may have at an upstream, in percent of its slots.
const QUEUE_PERCENT: u32 = 200;
/// Minimum number of calls that each host may have at an upstream.
const MIN_HOST_SHARE: u32 = 2;
/// Random variation of a plain call's cost, so that hosts do not all make the same choice.
const JITTER: f64 = 0.05;
/// Random variation of the memory in use that is assumed when the engine for a copy is chosen, in tokens.
const COPY_JITTER_TOKENS: f64 = 20_000.0;
/// Fraction of an engine's memory that may be filled with work.
const MEMORY_FRACTION: f64 = 0.9;
/// Fraction of an engine's memory up to which copies are sent to it: they must not evict what runs there.
const COPY_MEMORY_FRACTION: f64 = 0.6;

/// What is known of an upstream when a request is placed.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Hall of the upstream.
    pub hall: &'a str,
    /// Whether the upstream is preemptible: it may be withdrawn together with all others of its kind in its
    /// hall.
    pub kind: EngineKind,
    /// Load from all hosts.
    pub work: Work,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Fraction of recent calls that failed.
    pub failure_score: f64,
    /// Whether it was recently suspected to be down, failed requests that succeeded on another upstream, or,
    /// for a copy, has a rate limit.
    pub degraded: bool,
    /// Random number from 0 to 1, drawn for this choice, or derived from the request and the upstream.
    pub draw: f64,
}

/// What a request needs from an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Need<'a> {
    /// An upstream for a plain call.
    Call {
        /// Number of hosts that share the upstreams.
        hosts: usize,
    },
    /// An engine for a prompt.
    Prompt {
        /// Digest of the request: the same request prefers the same engine on all hosts.
        fingerprint: Fingerprint,
        /// Tokens that it will hold in memory.
        memory_tokens: u64,
        /// Capacity of an engine's memory, in tokens; 0 if unknown.
        engine_memory_tokens: u64,
        /// An engine answered it with a failure. An engine that fails requests at once is always idle, so
        /// engines with running streams are preferred to idle ones.
        has_failed: bool,
        /// Engines ended while they ran this request, or one beside it. Alone on the next engine, it shows
        /// which of the two is the cause, and harms no other request.
        prefers_isolation: bool,
    },
    /// An engine for a copy of a run's memory: in another hall than the run if there is one, and preferably
    /// in another region.
    Copy {
        /// Hall of the run.
        away_from: &'a HallId,
        /// Kind of the engine that runs it.
        kind: EngineKind,
        /// Version of the engine that runs it.
        version: &'a EngineVersion,
        /// Tokens that it will hold in memory.
        memory_tokens: u64,
        /// Capacity of an engine's memory, in tokens; 0 if unknown.
        engine_memory_tokens: u64,
    },
}

/// Returns the cheapest candidate that is not in `avoid`, or none if no candidate has room. Degraded
/// candidates are returned only if there is no other.
#[must_use]
pub fn choose<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    need: Need<'_>,
    own_hall: &HallId,
    topology: &Topology,
    avoid: &[EngineId],
) -> Option<&'c Candidate<'a>> {
    let allowed = candidates
        .iter()
        .filter(|candidate| !avoid.iter().any(|id| id == candidate.id))
        .filter(|candidate| has_room(candidate.work, candidate.slots, need));
    // Computes the cost once per candidate, as there may be many thousands.
    let ranked = allowed.map(|candidate| {
        let rank = Rank {
            is_degraded: candidate.degraded,
            is_occupied: is_occupied(candidate, need),
            is_unproven: is_unproven(candidate, need),
            cost: cost(candidate, need, own_hall, topology),
        };
        (rank, candidate)
    });
    let best = ranked.min_by(|(a, _), (b, _)| a.cmp(b));
    best.map(|(_, candidate)| candidate)
}

/// Sort key of a candidate, the most important field first.
struct Rank {
    is_degraded: bool,
    is_occupied: bool,
    is_unproven: bool,
    cost: f64,
}

impl Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let flags = |it: &Self| (it.is_degraded, it.is_occupied, it.is_unproven);
        let by_cost = || self.cost.partial_cmp(&other.cost);
        flags(self)
            .cmp(&flags(other))
            .then_with(|| by_cost().unwrap_or(Ordering::Equal))
    }
}

/// Whether other work runs on an engine for a prompt that prefers isolation.
fn is_occupied(candidate: &Candidate<'_>, need: Need<'_>) -> bool {
    match need {
        Need::Prompt {
            prefers_isolation, ..
        } => prefers_isolation && candidate.work.running > 0,
        Need::Call { .. } | Need::Copy { .. } => false,
    }
}

/// Whether a prompt that failed elsewhere may fail here as well: no stream runs on this engine that would
/// show that it works.
fn is_unproven(candidate: &Candidate<'_>, need: Need<'_>) -> bool {
    match need {
        Need::Prompt { has_failed, .. } => has_failed && candidate.work.running == 0,
        Need::Call { .. } | Need::Copy { .. } => false,
    }
}

/// Whether an upstream with this work and number of slots has room for a request.
#[must_use]
pub fn has_room(work: Work, slots: u32, need: Need<'_>) -> bool {
    match need {
        Need::Call { hosts } => work.running < host_share(slots, hosts),
        Need::Prompt {
            memory_tokens,
            engine_memory_tokens,
            ..
        } => {
            let is_idle = work.running == 0;
            is_idle || fits(work, memory_tokens, engine_memory_tokens, MEMORY_FRACTION)
        }
        Need::Copy {
            memory_tokens,
            engine_memory_tokens,
            ..
        } => fits(
            work,
            memory_tokens,
            engine_memory_tokens,
            COPY_MEMORY_FRACTION,
        ),
    }
}

/// Whether an engine can hold these tokens in addition within a fraction of its memory. An engine size of 0
/// means that it is unknown.
fn fits(work: Work, tokens: u64, engine_tokens: u64, fraction: f64) -> bool {
    let held = to_f64(work.memory_tokens + tokens);
    engine_tokens == 0 || held <= to_f64(engine_tokens) * fraction
}

/// Number of calls that one host may have at an upstream at once: its share of the slots and of a short
/// queue. Calls beyond that wait here, where they can still go to another upstream. Upstreams reset excess
/// connections, and a call that is lost that way may have run.
fn host_share(slots: u32, hosts: usize) -> u32 {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    let queued = slots.saturating_mul(QUEUE_PERCENT) / 100;
    queued.div_ceil(hosts).max(MIN_HOST_SHARE)
}

fn cost(candidate: &Candidate<'_>, need: Need<'_>, own_hall: &HallId, topology: &Topology) -> f64 {
    let distance = topology.distance(own_hall, candidate.hall);
    let running = f64::from(candidate.work.running);
    let failures = candidate.failure_score * FAILURE_COST;
    match need {
        Need::Call { .. } => {
            let busy = running / f64::from(candidate.slots.max(1));
            let distance_cost = match distance {
                Distance::SameHall => 0.0,
                Distance::SameRegion => OTHER_HALL_COST,
                Distance::OtherRegion => OTHER_REGION_COST,
            };
            busy + distance_cost + failures + candidate.draw * JITTER
        }
        Need::Prompt { .. } => {
            let distance_cost = match distance {
                Distance::SameHall => 0.0,
                Distance::SameRegion => OTHER_HALL_COST_TOKENS,
                Distance::OtherRegion => OTHER_REGION_COST_TOKENS,
            };
            let busy = to_f64(candidate.work.unread_tokens) + running * STREAM_COST_TOKENS;
            let preference = candidate.draw * AFFINITY_COST_TOKENS;
            busy + distance_cost + failures * STREAM_COST_TOKENS + preference
        }
        Need::Copy {
            away_from, kind, ..
        } => {
            let hall_cost = colocation_cost(candidate, away_from, kind);
            let region_cost = match topology.distance(away_from, candidate.hall) {
                Distance::SameHall | Distance::SameRegion => SAME_REGION_COPY_COST_TOKENS,
                Distance::OtherRegion => 0.0,
            };
            let held = to_f64(candidate.work.memory_tokens) + candidate.draw * COPY_JITTER_TOKENS;
            hall_cost + (held + region_cost) / 1e6
        }
    }
}

/// Cost for a copy of the risk that its holder is lost at the same time as the run's engine; it outweighs any
/// difference in memory. Preemptible engines of a hall are withdrawn together; others may be lost together.
fn colocation_cost(candidate: &Candidate<'_>, hall: &HallId, kind: EngineKind) -> f64 {
    let is_preemptible = |kind| kind == EngineKind::Preemptible;
    if candidate.hall != hall {
        0.0
    } else if is_preemptible(kind) && is_preemptible(candidate.kind) {
        2.0
    } else {
        1.0
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
