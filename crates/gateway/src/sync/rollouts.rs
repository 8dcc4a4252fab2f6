//! Leads roll-outs: the host that feeds the others evaluates each roll-out and writes its phases
//! to the store.
//!
//! Several hosts may act as the leader at the same time. Each write is conditional on the row
//! being unchanged since it was read, so only one of them succeeds; the others read its record.

pub(super) mod review;

use {
    super::{
        Follower, StoreCallFailure,
        apply::{ConfigurationSource, LogRows, apply_rollout_record},
    },
    crate::{
        edge::{Revision, WriteOutcome, row_number_of},
        feed::FeederChoice,
        rollout::{
            BadAnswers, Evaluation, Evidence, Phase, RolloutObservation, RolloutOrder,
            RolloutRecord, Verdict, evaluate, next_record,
        },
        state::GatewayState,
        view::are_in_use,
    },
    std::time::{Duration, Instant},
    tealshore_core::clock,
    tealshore_core::ids::{EngineVersion, ServiceId},
    tokio::time::sleep,
};

/// Interval at which evidence is evaluated.
const REVIEW_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which a host without a feeder reads the records while a roll-out is open, since
/// another leader may have written one. It is far below the time within which a roll-back must
/// take effect.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Number of the target's answers below which it is not accepted without a verdict, once the
/// serving version has `MIN_SERVING_ANSWERS`.
const MIN_TARGET_ANSWERS: u32 = 5;
/// Number of the serving version's answers from which `MIN_TARGET_ANSWERS` applies.
const MIN_SERVING_ANSWERS: u32 = 50;

impl Follower {
    /// Leads roll-outs until the process ends, while this host has no feeder and reaches the
    /// store.
    pub(super) async fn lead_rollouts(&mut self) {
        let mut read_at: Option<Instant> = None;
        loop {
            sleep(REVIEW_INTERVAL).await;
            let now = clock::now();
            self.apply_deferred_orders(now);
            let orders = self.state.rollouts.orders();
            let is_fed = matches!(self.state.feeder(now), FeederChoice::Peer(..));
            let is_idle = orders.is_empty() || is_fed || !self.state.feed.reaches_store();
            if is_idle {
                read_at = None;
                continue;
            }
            if self.may_lack_own_rows() {
                read_at = None;
            }
            let is_due = self.state.rollouts.has_open_rollout()
                && read_at.is_none_or(|read| now.saturating_duration_since(read) >= READ_INTERVAL);
            if read_at.is_none() || is_due {
                if let Err(failure) = self.read_rollouts().await {
                    self.pause_after(&failure).await;
                    continue;
                }
                read_at = Some(now);
            }
            for (order, order_age) in orders {
                if let Err(failure) = self.advance(&order, order_age).await {
                    // The write may have succeeded, so the record is read before the next
                    // decision.
                    read_at = None;
                    self.pause_after(&failure).await;
                }
            }
        }
    }

    /// Applies the orders that were deferred after a restore of the store, once the grace period
    /// is over.
    fn apply_deferred_orders(&self, now: Instant) {
        if self.state.feed.is_in_restore_grace(now) {
            return;
        }
        for service in self.state.rollouts.apply_deferred_orders(now) {
            log::warn!("rollout: deferred order applied after store restore service={service}");
        }
    }

    /// Reads the records of all roll-outs.
    async fn read_rollouts(&mut self) -> Result<(), StoreCallFailure> {
        let (page, _) = self.list(None).await?;
        self.apply_rows(page.changes, LogRows::Each, ConfigurationSource::Watch);
        self.record_recovery();
        Ok(())
    }

    /// Writes the next record of a roll-out if one is due.
    async fn advance(
        &mut self,
        order: &RolloutOrder,
        order_age: Duration,
    ) -> Result<(), StoreCallFailure> {
        let era = self.state.feed.era();
        if let Some((expected, record)) = self.state.rollouts.pending_rewrite(&order.service, era) {
            log::info!(
                "rollout: rewriting record service={} order={} phase={} era={era} expected={expected}",
                record.service,
                record.order,
                record.phase.name()
            );
            return self.write_record(&record, expected).await;
        }
        let known = self.state.rollouts.record(&order.service);
        let (revision, record) = match &known {
            Some((revision, record)) => (*revision, Some(record)),
            None => (0, None),
        };
        let Some((observation, evaluation)) =
            observe_rollout(&self.state, order, order_age, record)
        else {
            return Ok(());
        };
        let Some(serving) = self.serving(order) else {
            return Ok(());
        };
        let Some(next) = next_record(record, order, &serving, &observation) else {
            return Ok(());
        };
        log_decision(&next, &observation, &evaluation);
        self.write_record(&next, revision).await
    }

    /// Returns the version that serves the order's service now.
    fn serving(&self, order: &RolloutOrder) -> Option<EngineVersion> {
        let ready = self.state.view.upstreams.ready(&order.service);
        let bounds = self.state.options.bounds.rollouts;
        self.state.rollouts.serving(&order.service, &ready, bounds)
    }

    async fn write_record(
        &mut self,
        record: &RolloutRecord,
        expected: Revision,
    ) -> Result<(), StoreCallFailure> {
        let era = self.state.feed.era();
        let protocol = &self.state.protocol;
        let request = protocol.write_rollout_call(record, row_number_of(expected));
        let call_timeout = self.state.options.store.timeout;
        let answer = self.call(request, call_timeout).await?;
        if answer.era != era {
            // Row versions of two eras may match by coincidence.
            return Err(StoreCallFailure::NewEra);
        }
        let protocol = &self.state.protocol;
        match protocol.read_written(answer.era, answer.status, &answer.body) {
            WriteOutcome::Done(revision) => {
                if apply_rollout_record(&self.state, revision, record) {
                    self.state.peers.wake_sender();
                }
                Ok(())
            }
            WriteOutcome::Changed => {
                log::info!(
                    "rollout: record changed by another host service={} order={} phase={}",
                    record.service,
                    record.order,
                    record.phase.name()
                );
                self.read_rollouts().await
            }
            WriteOutcome::Unknown => Err(StoreCallFailure::Silent),
        }
    }
}

/// Gathers the inputs for the leader's decision. Returns `None` while the store's time is not
/// known.
fn observe_rollout(
    state: &GatewayState,
    order: &RolloutOrder,
    order_age: Duration,
    record: Option<&RolloutRecord>,
) -> Option<(RolloutObservation, Evaluation)> {
    let now = clock::now();
    let bounds = state.options.bounds.rollouts;
    let evidence = merged_evidence(state, &order.service, order.revision);
    let targets = count_ready_targets(state, &order.service, &order.target);
    let evaluation = evaluate(&evidence, targets);
    let lacks_answers = evaluation.target.answers < MIN_TARGET_ANSWERS
        && evaluation.from.answers >= MIN_SERVING_ANSWERS;
    let known_bad = max_bad_answers(state, &order.service, &evidence);
    let should_stop_trial = evaluation.should_stop_trial(known_bad, bounds.most_bad_answers)
        || state
            .rollouts
            .is_trial_stopped(&order.service, order.revision);
    let observation = RolloutObservation {
        now: state.feed.store_time(now)?,
        order_age,
        verdict: if should_stop_trial {
            Verdict::Bad
        } else {
            evaluation.verdict
        },
        is_suspect: evaluation.log_ratio > 0.0 || lacks_answers,
        is_isolated: !state.peers.sees_at_least_half(now),
        is_target_ready: targets > 0,
        runs_on_old: record.is_some_and(|record| {
            let is_shared = record.from != record.target;
            // The old version serves until the end, so having no requests for a moment does not
            // mean it is drained.
            (bounds.is_shift_bounded && is_shared) || has_old_version_work(state, record)
        }),
        longest_answer: state.longest_answer(&order.service),
    };
    Some((observation, evaluation))
}

/// Returns the number of upstreams of a version that accept requests.
fn count_ready_targets(state: &GatewayState, service: &ServiceId, target: &EngineVersion) -> usize {
    let ready = state.view.upstreams.ready(service);
    let targets = ready.iter().filter(|it| it.record.version == *target);
    targets.count()
}

/// Merges the evidence since an order from this host and all hosts it has received reports from.
fn merged_evidence(state: &GatewayState, service: &ServiceId, order: Revision) -> Evidence {
    let mut evidence = state.rollouts.evidence(service, order);
    evidence.add(&state.peers.rollout_evidence(service, order));
    evidence
}

/// Records this host's count of the target's bad answers and returns the largest count known.
fn max_bad_answers(state: &GatewayState, service: &ServiceId, evidence: &Evidence) -> u32 {
    state.rollouts.record_bad_answers(&BadAnswers {
        service: service.clone(),
        order: evidence.order,
        count: evidence.bad_answers(),
    })
}

/// Whether requests are running on upstreams of other versions than the target, according to the
/// reports of hosts.
fn has_old_version_work(state: &GatewayState, record: &RolloutRecord) -> bool {
    let mut old = state.view.upstreams.all();
    old.retain(|upstream| {
        upstream.record.service == record.service && upstream.record.version != record.target
    });
    are_in_use(&old, &state.peers.work(clock::now()))
}

fn log_decision(next: &RolloutRecord, observation: &RolloutObservation, evaluation: &Evaluation) {
    let level = match next.phase {
        Phase::Canary | Phase::Shifting | Phase::Completed => log::Level::Info,
        Phase::RolledBack => log::Level::Warn,
    };
    log::log!(
        level,
        "rollout: decided service={} order={} phase={} verdict={:?} log_ratio={:.2} \
         worst_route_log_ratio={:.2} \
         from_answers={} from_bad={} from_sends={} from_lost={} \
         target_answers={} target_bad={} target_sends={} target_lost={} target_ready={} \
         runs_on_old={} longest_answer_ms={} left_ms={}",
        next.service,
        next.order,
        next.phase.name(),
        observation.verdict,
        evaluation.log_ratio,
        evaluation.worst_route_log_ratio,
        evaluation.from.answers,
        evaluation.from.bad,
        evaluation.from_losses.answers,
        evaluation.from_losses.bad,
        evaluation.target.answers,
        evaluation.target.bad,
        evaluation.target_losses.answers,
        evaluation.target_losses.bad,
        observation.is_target_ready,
        observation.runs_on_old,
        observation.longest_answer.as_millis(),
        next.deadline.saturating_sub(observation.now).as_millis()
    );
}
