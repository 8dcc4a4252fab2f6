//! Reviews on each host what all hosts told of the roll-outs that are under way, and stops sending to a version
//! once enough speaks against it. Only the leader ends a roll-out, by a write to the store; not to send needs no
//! leader, no store and no other host.

use {
    super::{REVIEW_INTERVAL, count_ready_targets, max_bad_answers, merged_evidence},
    crate::{
        edge::Revision,
        rollout::{Evaluation, RolloutRecord, evaluate},
        state::GatewayState,
    },
    std::{collections::HashMap, sync::Arc, time::Instant},
    tealshore_core::{
        ids::ServiceId,
        protection::{Protection, enabled},
    },
    tokio::time::sleep,
};

/// What the last reviews of a service's roll-out saw.
#[derive(Clone, Copy, Debug, Default)]
struct ReviewState {
    order: Revision,
    /// The bad answers of the target that were last logged.
    logged_bad: u32,
}

/// Reviews roll-outs for as long as the process lives. It waits for no call, so that it goes on
/// while the store is away.
pub async fn review_rollouts(state: Arc<GatewayState>) {
    let mut reviewed: HashMap<ServiceId, ReviewState> = HashMap::new();
    loop {
        sleep(REVIEW_INTERVAL).await;
        for record in state.rollouts.open_trials() {
            let last = reviewed.entry(record.service.clone()).or_default();
            review(&state, &record, last);
        }
    }
}

fn review(state: &GatewayState, record: &RolloutRecord, last: &mut ReviewState) {
    let evidence = merged_evidence(state, &record.service, record.order);
    let known_bad = max_bad_answers(state, &record.service, &evidence);
    if last.order != record.order {
        *last = ReviewState {
            order: record.order,
            ..ReviewState::default()
        };
    }
    // Only bad answers speak against a version.
    if known_bad == 0 {
        return;
    }
    let targets = count_ready_targets(state, &record.service, &record.target);
    let evaluation = evaluate(&evidence, targets);
    // A line each time that the count has doubled bounds their number.
    if known_bad > last.logged_bad.saturating_mul(2) {
        last.logged_bad = known_bad;
        log_evidence(state, record, &evaluation, known_bad);
    }
    let max_bad = state.options.bounds.rollouts.most_bad_answers;
    if evaluation.should_stop_trial(known_bad, max_bad) && enabled(Protection::TrialStop) {
        stop(state, record, &evaluation, known_bad);
    }
}

fn stop(state: &GatewayState, record: &RolloutRecord, evaluation: &Evaluation, known_bad: u32) {
    if !state.rollouts.stop_trial(record) {
        return;
    }
    state.metrics.stopped_trials.inc();
    log::warn!(
        "rollout: stopped sending service={} order={} phase={} target={} known_bad={known_bad} verdict={:?} \
         log_ratio={:.2}",
        record.service,
        record.order,
        record.phase.name(),
        record.target,
        evaluation.verdict,
        evaluation.log_ratio
    );
}

fn log_evidence(
    state: &GatewayState,
    record: &RolloutRecord,
    evaluation: &Evaluation,
    known_bad: u32,
) {
    let own = state.rollouts.evidence(&record.service, record.order);
    log::info!(
        "rollout: bad answers service={} order={} phase={} known_bad={known_bad} own_bad={} \
         hosts_heard={} verdict={:?} log_ratio={:.2} from_answers={} from_bad={} \
         target_answers={} target_bad={} from_lost={} target_lost={}",
        record.service,
        record.order,
        record.phase.name(),
        own.target_sum().bad,
        state.peers.hosts_heard(Instant::now()),
        evaluation.verdict,
        evaluation.log_ratio,
        evaluation.from.answers,
        evaluation.from.bad,
        evaluation.target.answers,
        evaluation.target.bad,
        evaluation.from_losses.bad,
        evaluation.target_losses.bad,
    );
}
