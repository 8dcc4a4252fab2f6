//! Evaluates open roll-outs on each host with the evidence known to it, and stops sending to a target version
//! once the evidence against it suffices. Only the leader can end a roll-out, by a write to the store. Stopping
//! requires neither the leader, nor the store, nor other hosts.

use {
    super::{REVIEW_INTERVAL, count_ready_targets, max_bad_answers, merged_evidence},
    crate::{
        edge::Revision,
        rollout::{Evaluation, RolloutRecord, evaluate},
        state::GatewayState,
    },
    std::{collections::HashMap, sync::Arc},
    tealshore_core::{
        clock,
        ids::ServiceId,
        protection::{Protection, enabled},
    },
    tokio::time::sleep,
};

/// State of the reviews of a service's roll-out.
#[derive(Clone, Copy, Debug, Default)]
struct ReviewState {
    order: Revision,
    /// The number of the target's bad answers when it was last logged.
    logged_bad: u32,
}

/// Reviews roll-outs until the process ends. It awaits no calls, so that it continues while the store is
/// unavailable.
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
    // Without bad answers there is no evidence against a version.
    if known_bad == 0 {
        return;
    }
    let targets = count_ready_targets(state, &record.service, &record.target);
    let evaluation = evaluate(&evidence, targets);
    // Logging only when the count has more than doubled bounds the number of lines.
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
        "rollout: trial stopped service={} order={} phase={} target={} known_bad={known_bad} verdict={:?} \
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
        "rollout: bad answers increased service={} order={} phase={} known_bad={known_bad} own_bad={} \
         hosts_heard={} verdict={:?} log_ratio={:.2} from_answers={} from_bad={} \
         target_answers={} target_bad={} from_lost={} target_lost={}",
        record.service,
        record.order,
        record.phase.name(),
        own.target_sum().bad,
        state.peers.live_peers(clock::now()),
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
