//! Leads roll-outs: the host that feeds the others judges each one and writes its phases to the
//! store.
//!
//! Several hosts may take themselves for the leader. Each write holds only while the row is as it
//! was read, so one of them decides; the others read what it wrote.

pub(super) mod review;

use {
    super::{
        CallFailure, Follower,
        apply::{LogRows, apply_rollout_record},
    },
    crate::{
        edge::{Revision, Written, number_of},
        feed::FeederChoice,
        rollout::{
            BadAnswers, Evidence, Judged, Phase, RolloutFacts, RolloutOrder, RolloutRecord,
            Verdict, judge, next_record,
        },
        state::GatewayState,
        view::are_in_use,
    },
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineVersion, ServiceId},
    tokio::time::sleep,
};

/// How often the leader looks at what answers told.
const LEAD_INTERVAL: Duration = Duration::from_millis(150);
/// How often a host that nobody feeds reads how far roll-outs are while one is open: another leader
/// may have decided. It stays far below the time within which a roll-back is in force.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Answers of a target below which it is not trusted without a verdict,
const LEAST_ANSWERS: u32 = 5;
/// where the version that serves gave so many.
const SERVED_ANSWERS: u32 = 50;

impl Follower {
    /// Leads roll-outs for as long as the process lives, whenever this host feeds the others, or
    /// follows them in the store where nobody feeds it.
    pub(super) async fn lead_rollouts(&mut self) {
        let mut read_at: Option<Instant> = None;
        loop {
            sleep(LEAD_INTERVAL).await;
            let now = Instant::now();
            self.apply_held_orders(now);
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
            let is_due = self.state.rollouts.is_any_open()
                && read_at.is_none_or(|read| now.saturating_duration_since(read) >= READ_INTERVAL);
            if read_at.is_none() || is_due {
                if let Err(failure) = self.read_rollouts().await {
                    self.pause_after(&failure).await;
                    continue;
                }
                read_at = Some(now);
            }
            for (order, order_age) in orders {
                if let Err(failure) = self.lead(&order, order_age).await {
                    // What the write did is read before anything else is decided.
                    read_at = None;
                    self.pause_after(&failure).await;
                }
            }
        }
    }

    /// Applies orders that were held since the store was restored, once its grace period is over.
    fn apply_held_orders(&self, now: Instant) {
        if self.state.feed.is_in_restore_grace(now) {
            return;
        }
        for service in self.state.rollouts.end_grace(now) {
            log::warn!("rollout: restored order applied service={service}");
        }
    }

    /// Reads how far all roll-outs are.
    async fn read_rollouts(&mut self) -> Result<(), CallFailure> {
        let (page, _) = self.list(None).await?;
        self.apply_rows(page.changes, LogRows::Each);
        self.record_recovery();
        Ok(())
    }

    /// Writes what is due of one roll-out.
    async fn lead(&mut self, order: &RolloutOrder, order_age: Duration) -> Result<(), CallFailure> {
        let era = self.state.feed.era();
        if let Some((expected, record)) = self.state.rollouts.unwritten(&order.service, era) {
            log::info!(
                "rollout: written again service={} order={} phase={} era={era} expected={expected}",
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
        let Some((facts, judged)) = observe_rollout(&self.state, order, order_age, record) else {
            return Ok(());
        };
        let Some(serving) = self.serving(order) else {
            return Ok(());
        };
        let Some(next) = next_record(record, order, &serving, &facts) else {
            return Ok(());
        };
        log_decision(&next, &facts, &judged);
        self.write_record(&next, revision).await
    }

    /// The version that serves the service of an order now.
    fn serving(&self, order: &RolloutOrder) -> Option<EngineVersion> {
        let ready = self.state.view.upstreams.ready(&order.service);
        let bounds = self.state.options.bounds.rollouts;
        self.state.rollouts.serving(&order.service, &ready, bounds)
    }

    async fn write_record(
        &mut self,
        record: &RolloutRecord,
        expected: Revision,
    ) -> Result<(), CallFailure> {
        let era = self.state.feed.era();
        let protocol = &self.state.protocol;
        let request = protocol.write_rollout_call(record, number_of(expected));
        let bound = self.state.options.store.timeout;
        let answer = self.call(request, bound).await?;
        if answer.era != era {
            // Versions of two eras may match by accident.
            return Err(CallFailure::NewEra);
        }
        let protocol = &self.state.protocol;
        match protocol.read_written(answer.era, answer.status, &answer.body) {
            Written::Done(revision) => {
                if apply_rollout_record(&self.state, revision, record) {
                    self.state.peers.wake_sender();
                }
                Ok(())
            }
            Written::Changed => {
                log::info!(
                    "rollout: another host decided service={} order={} phase={}",
                    record.service,
                    record.order,
                    record.phase.name()
                );
                self.read_rollouts().await
            }
            Written::Unknown => Err(CallFailure::Silent),
        }
    }
}

/// What the leader sees of a roll-out; none before the store's time is known.
fn observe_rollout(
    state: &GatewayState,
    order: &RolloutOrder,
    order_age: Duration,
    record: Option<&RolloutRecord>,
) -> Option<(RolloutFacts, Judged)> {
    let now = Instant::now();
    let bounds = state.options.bounds.rollouts;
    let evidence = all_evidence(state, &order.service, order.revision);
    let targets = ready_targets(state, &order.service, &order.target);
    let judged = judge(&evidence, targets);
    let is_unseen = judged.target.answers < LEAST_ANSWERS && judged.from.answers >= SERVED_ANSWERS;
    let known_bad = most_bad_answers(state, &order.service, &evidence);
    let ends_trial = judged.ends_trial(known_bad, bounds.most_bad_answers)
        || state
            .rollouts
            .is_trial_stopped(&order.service, order.revision);
    let facts = RolloutFacts {
        now: state.feed.store_time(now)?,
        order_age,
        verdict: if ends_trial {
            Verdict::Bad
        } else {
            judged.verdict
        },
        is_doubted: judged.log_ratio > 0.0 || is_unseen,
        is_isolated: !state.peers.hears_most(now),
        is_target_ready: targets > 0,
        runs_on_old: record.is_some_and(|record| {
            let is_shared = record.from != record.target;
            // The old version serves to the end; a moment in which it is idle says nothing.
            (bounds.is_shift_bounded && is_shared) || runs_on(state, record)
        }),
        longest_answer: state.longest_answer(&order.service),
    };
    Some((facts, judged))
}

/// How many upstreams of a version take work.
fn ready_targets(state: &GatewayState, service: &ServiceId, target: &EngineVersion) -> usize {
    let ready = state.view.upstreams.ready(service);
    let targets = ready.iter().filter(|it| it.record.version == *target);
    targets.count()
}

/// What answers told all hosts that were heard since an order.
fn all_evidence(state: &GatewayState, service: &ServiceId, order: Revision) -> Evidence {
    let mut evidence = state.rollouts.evidence(service, order);
    evidence.add(&state.peers.rollout_evidence(service, order));
    evidence
}

/// The bad answers of a version that is tried, as the best informed host knows.
fn most_bad_answers(state: &GatewayState, service: &ServiceId, evidence: &Evidence) -> u32 {
    state.rollouts.record_bad_answers(&BadAnswers {
        service: service.clone(),
        order: evidence.order,
        count: evidence.bad_answers(),
    })
}

/// Whether requests run on upstreams of another version than the target, as far as hosts tell.
fn runs_on(state: &GatewayState, record: &RolloutRecord) -> bool {
    let mut old = state.view.upstreams.all();
    old.retain(|upstream| {
        upstream.record.service == record.service && upstream.record.version != record.target
    });
    are_in_use(&old, &state.peers.work(Instant::now()))
}

fn log_decision(next: &RolloutRecord, facts: &RolloutFacts, judged: &Judged) {
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
        facts.verdict,
        judged.log_ratio,
        judged.worst_route_log_ratio,
        judged.from.answers,
        judged.from.bad,
        judged.from_losses.answers,
        judged.from_losses.bad,
        judged.target.answers,
        judged.target.bad,
        judged.target_losses.answers,
        judged.target_losses.bad,
        facts.is_target_ready,
        facts.runs_on_old,
        facts.longest_answer.as_millis(),
        next.deadline.saturating_sub(facts.now).as_millis()
    );
}
