//! What the leader of a roll-out writes next. Nothing here reads a clock or the store.

use {
    super::{
        record::{Phase, RolloutOrder, RolloutRecord},
        verdict::Verdict,
    },
    crate::edge::StoreTime,
    std::time::Duration,
    tealshore_core::ids::EngineVersion,
};

/// What is left of the time when the roll-out is to be over: its last write takes some of it, and
/// the order was known a moment after it was given.
const DEADLINE_MARGIN: Duration = Duration::from_millis(600);
/// How long the target gets all new requests at least: calls that began before end in this time,
/// and all hosts hear of the phase.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(2_000);
/// The most of a roll-out's time that is left for the end of what runs on the old version.
const MAX_DRAIN_FRACTION: f64 = 0.5;
/// A target that nothing speaks against is trusted without a verdict this long before the end.
const UNPROVEN_SHIFT_MARGIN: Duration = Duration::from_millis(2_600);

/// What a leader sees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutObservation {
    /// The store's time.
    pub now: StoreTime,
    /// How long the order is known.
    pub order_age: Duration,
    /// What the answers say of the target.
    pub verdict: Verdict,
    /// Whether more speaks against the target than for it.
    pub is_suspect: bool,
    /// Whether this host hears less than half of the hosts that it knows of: what it sees of the target is a small part.
    pub is_isolated: bool,
    /// Whether an upstream of the target takes work.
    pub is_target_ready: bool,
    /// Whether requests run on the old version.
    pub runs_on_old: bool,
    /// How long answers of the service last, at most, as far as was seen.
    pub longest_answer: Duration,
}

/// The record that a leader writes over the one in the store, if any is due.
///
/// It is written under the condition that the row is still the one that `current` was read from,
/// so that the phase of an order never goes back and has one end.
#[must_use]
pub fn next_record(
    current: Option<&RolloutRecord>,
    order: &RolloutOrder,
    serving: &EngineVersion,
    observation: &RolloutObservation,
) -> Option<RolloutRecord> {
    match current {
        Some(record) if record.order == order.revision => {
            let phase = next_phase(record, observation)?;
            Some(record.in_phase(phase, observation.now))
        }
        // An order of which only an older version was heard.
        Some(record) if record.order > order.revision => None,
        Some(_) | None => Some(first_record(order, serving, observation)),
    }
}

fn first_record(
    order: &RolloutOrder,
    serving: &EngineVersion,
    observation: &RolloutObservation,
) -> RolloutRecord {
    let ordered = observation.now.saturating_sub(observation.order_age);
    // Nothing is to be tried of the version that serves: only what is left elsewhere ends.
    let phase = if order.target == *serving {
        Phase::Shifting
    } else {
        Phase::Canary
    };
    RolloutRecord {
        service: order.service.clone(),
        order: order.revision,
        from: serving.clone(),
        target: order.target.clone(),
        phase,
        since: observation.now,
        deadline: ordered + order.duration,
    }
}

fn next_phase(record: &RolloutRecord, observation: &RolloutObservation) -> Option<Phase> {
    let end = record.deadline.saturating_sub(DEADLINE_MARGIN);
    match record.phase {
        Phase::Canary => phase_after_canary(record, observation, end),
        Phase::Shifting => phase_after_shifting(record, observation, end),
        Phase::Completed | Phase::RolledBack => None,
    }
}

/// A target that was trusted may turn bad, or be doubted by the answers that come while it is shifted to. Nothing
/// is doubted of the version that serves, which is shifted to by an order back to it.
fn phase_after_shifting(
    record: &RolloutRecord,
    observation: &RolloutObservation,
    end: StoreTime,
) -> Option<Phase> {
    let is_tried = record.from != record.target;
    let is_due = observation.now >= end;
    if is_tried && (observation.verdict == Verdict::Bad || (observation.is_suspect && is_due)) {
        return Some(Phase::RolledBack);
    }
    if !observation.is_target_ready
        || (is_tried && (observation.is_suspect || observation.is_isolated))
    {
        return None;
    }
    let is_settled = observation.now >= record.since + MIN_SHIFT_TIME;
    let is_drained = is_settled && !observation.runs_on_old;
    (is_drained || is_due).then_some(Phase::Completed)
}

/// The canary lasts as long as it can, since a version may turn bad late: until what runs on the
/// old version has just time to end.
fn phase_after_canary(
    record: &RolloutRecord,
    observation: &RolloutObservation,
    end: StoreTime,
) -> Option<Phase> {
    if observation.verdict == Verdict::Bad || observation.now >= end {
        return Some(Phase::RolledBack);
    }
    if !observation.is_target_ready || observation.is_isolated {
        return None;
    }
    let total = record.deadline.saturating_sub(record.since);
    let drain_time = observation
        .longest_answer
        .max(MIN_SHIFT_TIME)
        .min(total.mul_f64(MAX_DRAIN_FRACTION));
    let is_proven = observation.verdict == Verdict::Good && observation.now + drain_time >= end;
    let is_trusted = !observation.is_suspect && observation.now + UNPROVEN_SHIFT_MARGIN >= end;
    (is_proven || is_trusted).then_some(Phase::Shifting)
}
