//! Reviews on each host what all hosts told of the roll-outs that are under way.

use {
    super::{LEAD_INTERVAL, all_evidence, ready_targets},
    crate::{
        edge::Revision,
        rollout::{Judged, RolloutRecord, judge},
        state::GatewayState,
    },
    std::{collections::HashMap, sync::Arc, time::Instant},
    tealshore_core::ids::ServiceId,
    tokio::time::sleep,
};

/// How many bad answers of a target were last logged, for which order.
#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    order: Revision,
    bad: u32,
}

/// Reviews roll-outs for as long as the process lives. It waits for no call, so that it goes on
/// while the store is away.
pub async fn review_rollouts(state: Arc<GatewayState>) {
    let mut logged: HashMap<ServiceId, Logged> = HashMap::new();
    loop {
        sleep(LEAD_INTERVAL).await;
        for record in state.rollouts.open_records() {
            let last = logged.entry(record.service.clone()).or_default();
            review(&state, &record, last);
        }
    }
}

fn review(state: &GatewayState, record: &RolloutRecord, last: &mut Logged) {
    let now = Instant::now();
    let evidence = all_evidence(state, &record.service, record.order, now);
    let known_bad = evidence.target_sum().bad;
    if last.order != record.order {
        *last = Logged {
            order: record.order,
            bad: 0,
        };
    }
    // A line each time that the count has doubled bounds their number.
    if known_bad > last.bad.saturating_mul(2) {
        last.bad = known_bad;
        let judged = judge(
            &evidence,
            ready_targets(state, &record.service, &record.target),
        );
        log_evidence(state, record, &judged, known_bad, now);
    }
}

fn log_evidence(
    state: &GatewayState,
    record: &RolloutRecord,
    judged: &Judged,
    known_bad: u32,
    now: Instant,
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
        state.peers.hosts_heard(now),
        judged.verdict,
        judged.log_ratio,
        judged.from.answers,
        judged.from.bad,
        judged.target.answers,
        judged.target.bad,
        judged.from_losses.bad,
        judged.target_losses.bad,
    );
}
