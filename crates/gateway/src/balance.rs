//! Which upstream takes a request, from what all hosts are known to have there.

use {
    crate::{
        run_trace::Fingerprint,
        topology::{Distance, Topology},
        view::Work,
    },
    std::cmp::Ordering,
    tealshore_capacity::EngineKind,
    tealshore_core::ids::{EngineId, EngineVersion, HallId},
};

/// What a running stream costs a new prompt beside it, in prompt tokens to read.
const STREAM_COST_TOKENS: f64 = 1_500.0;
/// How far a request goes out of its distance_cost to the engine that it would choose again, in prompt
/// tokens to read: that engine may still keep its prompt when its caller comes back.
const AFFINITY_COST_TOKENS: f64 = 1_500.0;
/// What another hall costs, in prompt tokens to read: what its hosts send to its engines is known
/// here up to 0.2 s late, so that more prompts meet there at one engine. Much more would leave the
/// engines of other halls idle while those of a busy one queue.
const OTHER_HALL_COST_TOKENS: f64 = 1_600.0;
/// What another region costs, in prompt tokens to read: the distance_cost is longer, a stream's bytes cross it
/// for its whole life, and load there is known up to 0.5 s late.
const OTHER_REGION_COST_TOKENS: f64 = 4_000.0;
/// What a share of failed calls of 1 costs, in busy slots.
const FAILURE_COST: f64 = 3.0;
/// What another hall costs a plain call, in busy shares of an upstream.
const OTHER_HALL_COST: f64 = 0.1;
/// What another region costs a plain call, in busy shares of an upstream.
const OTHER_REGION_COST: f64 = 0.2;
/// What the run's own region costs a copy, in tokens that its holder has in memory: a region that dies takes the
/// copies that lie in it along with its runs, and their prompts are read again by engines that are full just then.
const SAME_REGION_COPY_COST_TOKENS: f64 = 8_000.0;
/// Calls that all hosts together have at an upstream, in percent of its slots.
const QUEUE_PERCENT: u32 = 200;
/// The least fraction of an upstream that a host takes.
const MIN_HOST_SHARE: u32 = 2;
/// How much costs vary by chance, so that hosts do not all choose alike.
const JITTER: f64 = 0.05;
/// How much the memory of copies' holders varies by chance in their choice, in tokens.
const COPY_JITTER_TOKENS: f64 = 20_000.0;
/// The fraction of an engine's memory that work is sent to.
const MEMORY_FRACTION: f64 = 0.9;
/// The fraction of an engine's memory up to which copies are sent to it: they must not push out
/// what runs there.
const COPY_MEMORY_FRACTION: f64 = 0.6;

/// What is known of an upstream when a choice is made.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub id: &'a str,
    /// Its hall.
    pub hall: &'a str,
    /// Whether it may be taken away, together with all others of its kind in its hall.
    pub kind: EngineKind,
    /// What all hosts have there.
    pub work: Work,
    /// How many requests it works on at once.
    pub slots: u32,
    /// The share of recent calls that failed.
    pub failure_score: f64,
    /// Whether it seemed dead a short time ago, or failed what another upstream did.
    pub degraded: bool,
    /// A number from 0 to 1 drawn for this choice, or for this request.
    pub draw: f64,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub enum Need<'a> {
    /// A place for a plain call.
    Call {
        /// How many hosts share the upstreams.
        hosts: usize,
    },
    /// A place for a prompt.
    Prompt {
        /// The request's digest: the same request prefers the same engine on all hosts.
        fingerprint: Fingerprint,
        /// Tokens that it will hold in memory.
        memory_tokens: u64,
        /// Tokens that an engine's memory holds.
        engine_memory_tokens: u64,
        /// An engine answered it with a failure. One that fails all at once is always idle, so engines
        /// at which streams run then go before idle ones.
        has_failed: bool,
        /// Engines ended under it, or under one beside it. Alone at the next one, it shows which of both it
        /// is, and harms no other.
        prefers_isolation: bool,
    },
    /// A place for a copy of a run's memory, in another hall than the run if there is one, and rather in another
    /// region.
    Copy {
        /// The run's hall.
        away_from: &'a HallId,
        /// The kind of the engine that runs it.
        kind: EngineKind,
        /// The version of the engine that runs it.
        version: &'a EngineVersion,
        /// Tokens that it will hold.
        memory_tokens: u64,
        /// Tokens that an engine's memory holds.
        engine_memory_tokens: u64,
    },
}

/// The cheapest candidate that is not in `avoid`; degraded ones only where there is no
/// other. None where nothing has room.
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
        .filter(|candidate| has_room(candidate, need));
    // One cost a candidate: there may be many thousand.
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

/// What decides between candidates, the most important first.
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

/// Whether other work is where a prompt would rather be alone.
fn is_occupied(candidate: &Candidate<'_>, need: Need<'_>) -> bool {
    match need {
        Need::Prompt {
            prefers_isolation, ..
        } => prefers_isolation && candidate.work.running > 0,
        Need::Call { .. } | Need::Copy { .. } => false,
    }
}

/// Whether a candidate may fail a prompt that failed elsewhere: nothing runs there.
fn is_unproven(candidate: &Candidate<'_>, need: Need<'_>) -> bool {
    match need {
        Need::Prompt { has_failed, .. } => has_failed && candidate.work.running == 0,
        Need::Call { .. } | Need::Copy { .. } => false,
    }
}

fn has_room(candidate: &Candidate<'_>, need: Need<'_>) -> bool {
    match need {
        Need::Call { hosts } => candidate.work.running < host_share(candidate.slots, hosts),
        Need::Prompt {
            memory_tokens,
            engine_memory_tokens,
            ..
        } => {
            let is_idle = candidate.work.running == 0;
            is_idle
                || fits(
                    candidate,
                    memory_tokens,
                    engine_memory_tokens,
                    MEMORY_FRACTION,
                )
        }
        Need::Copy {
            memory_tokens,
            engine_memory_tokens,
            ..
        } => fits(
            candidate,
            memory_tokens,
            engine_memory_tokens,
            COPY_MEMORY_FRACTION,
        ),
    }
}

/// Whether an engine holds more tokens within a fraction of its memory; 0 tells that its size is
/// not known.
fn fits(candidate: &Candidate<'_>, tokens: u64, engine_tokens: u64, fraction: f64) -> bool {
    let held = to_f64(candidate.work.memory_tokens + tokens);
    engine_tokens == 0 || held <= to_f64(engine_tokens) * fraction
}

/// How many calls one host has at an upstream at once: its fraction of the slots and of a short
/// queue. Past it a call waits here, where it can still go to another upstream; upstreams
/// reset connections that are too many, and a call lost so may have run.
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

/// What it costs a copy that its holder may be lost in the instant in which the run's engine is: more
/// than any difference in memory. Preemptible engines of a hall go together, others only may.
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
