//! Decides which record the leader of a roll-out writes next. The functions here read neither a
//! clock nor the store.

use {
    super::{
        record::{Phase, RolloutOrder, RolloutRecord},
        verdict::Verdict,
    },
    crate::edge::StoreTime,
    std::time::Duration,
    tealshore_core::ids::EngineVersion,
};

/// Time reserved before the deadline: the last write takes part of it, and hosts learn of the
/// order slightly after it was given.
const DEADLINE_MARGIN: Duration = Duration::from_millis(600);
/// Minimum time for which the target receives all new requests. Calls that began earlier end
/// within it, and all hosts learn of the phase.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(2_000);
/// Largest fraction of the roll-out's time reserved for draining the old version.
const MAX_DRAIN_FRACTION: f64 = 0.5;
/// Time before the end at which a target without a verdict is accepted if no evidence is against
/// it.
const UNPROVEN_SHIFT_MARGIN: Duration = Duration::from_millis(2_600);

/// Inputs of the leader's decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutObservation {
    /// The store's time.
    pub now: StoreTime,
    /// Time since the order was received.
    pub order_age: Duration,
    /// Verdict on the target.
    pub verdict: Verdict,
    /// Whether the evidence is against the target, or too thin to accept it without a verdict.
    pub is_suspect: bool,
    /// Whether this host receives messages from less than half of the hosts it knows, and so sees
    /// only a small part of the evidence.
    pub is_isolated: bool,
    /// Whether an upstream of the target accepts requests.
    pub is_target_ready: bool,
    /// Whether requests are running on the old version.
    pub runs_on_old: bool,
    /// The longest observed duration of the service's answers.
    pub longest_answer: Duration,
}

/// Returns the record that the leader has to write, or `None` if nothing is due.
///
/// The write is conditional on the row that `current` was read from, so that the phase of an order
/// never goes back, and an order ends only once.
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
        // Only an older order is known than the one the record belongs to.
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
    // There is nothing to try if the target already serves. Requests on other versions only need
    // to drain.
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

/// Decides whether to end the shift. A target that was accepted may still turn out bad, or collect
/// evidence against it during the shift. An order back to the serving version is exempt, as that
/// version is not under trial.
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

/// Decides whether to end the canary phase. It lasts as long as possible, since a version may turn
/// bad late: only the time needed to drain the old version is left.
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
