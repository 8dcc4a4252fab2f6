//! Runs a plain call: at most once if it must not be repeated, otherwise with retries and a hedge.

mod attempt;

use {
    super::{
        call::{Call, strip_connection_headers},
        ending::{CrashCheck, LostRun, UpstreamKind},
    },
    crate::{
        balance::Need,
        rollout::{Outcome, SendKind},
        room,
        state::GatewayState,
    },
    attempt::{AttemptEnd, FinishedAttempt, run_attempt},
    bytes::Bytes,
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    http::{Response, response},
    std::{sync::Arc, time::Duration},
    tealshore_core::{
        answer::{ErrorKind, Failure},
        clock,
        http::{Body, full},
        ids::EngineId,
        protection::{Protection, enabled},
    },
    tokio::time::sleep,
};

/// A second upstream is asked after the objective divided by this.
const HEDGE_DIVISOR: u32 = 2;
/// The shortest time after which a call is hedged, and between two attempts to do so. A route without an objective has no
/// hedges.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Pause before upstreams are asked again after all of them turned a call away.
const ALL_BUSY_PAUSE: Duration = Duration::from_millis(5);

struct PlainRun<'a> {
    state: &'a Arc<GatewayState>,
    call: &'a Call,
    avoid: Vec<EngineId>,
    /// Number of attempts that may have run.
    runs: u32,
    /// Number of attempts that were sent.
    sends: u32,
    /// Number of attempts that reached an upstream, as far as is known. Each one after the first draws on the
    /// retry budget.
    deliveries: u32,
    /// Upstreams that have not answered yet.
    pending: Vec<EngineId>,
    fallback: Option<(response::Parts, Bytes)>,
    /// Whether the call's key still allows a send.
    may_send: bool,
    /// Whether the call was counted for its customer.
    is_counted: bool,
    /// Finds out whether the upstream whose answer was lost last has ended.
    crash_check: CrashCheck,
}

/// Runs a plain call until it is answered.
///
/// # Errors
/// No upstream gave an answer that may be passed on.
pub async fn run(state: &Arc<GatewayState>, call: &Call) -> Result<Response<Body>, Failure> {
    let mut run = PlainRun {
        state,
        call,
        avoid: Vec::new(),
        runs: 0,
        sends: 0,
        deliveries: 0,
        pending: Vec::new(),
        fallback: None,
        may_send: true,
        is_counted: false,
        crash_check: CrashCheck::default(),
    };
    run.drive().await
}

impl<'a> PlainRun<'a> {
    async fn drive(&mut self) -> Result<Response<Body>, Failure> {
        let mut attempts: FuturesUnordered<BoxFuture<'a, FinishedAttempt>> =
            FuturesUnordered::new();
        let first = self.next_attempt().await?;
        attempts.push(first);
        let objective = self.call.route.objective;
        let hedge_after = (objective / HEDGE_DIVISOR).max(MIN_HEDGE_DELAY);
        let mut hedge_at = clock::now() + hedge_after;
        let deadline = self.call.deadline;
        loop {
            let may_hedge = !objective.is_zero() && self.may_run_again() && !attempts.is_empty();
            tokio::select! {
                Some(attempt) = attempts.next() => {
                    if let Some(answer) = self.handle_end(attempt)? {
                        return Ok(answer);
                    }
                }
                () = clock::sleep_until(hedge_at), if may_hedge => {
                    // If no upstream has room for the hedge, it is tried again after the same interval.
                    hedge_at = clock::now() + hedge_after;
                    // The configuration may have changed during the wait.
                    if self.may_run_again()
                        && let Ok(hedge) = self.next_attempt().await
                    {
                        attempts.push(hedge);
                    }
                    continue;
                }
                () = clock::sleep_until(deadline) => return self.out_of_time(attempts.is_empty()),
            }
            if attempts.is_empty() {
                if !self.may_run_again() {
                    return self.give_up();
                }
                match self.next_attempt().await {
                    Ok(next) => attempts.push(next),
                    Err(failure) if self.runs == 0 => return Err(failure),
                    Err(_) => return self.give_up(),
                }
            }
        }
    }

    /// Whether the call may run on one more upstream, in addition to those on which it may have run.
    fn may_run_again(&self) -> bool {
        if !self.may_send {
            return false;
        }
        if self.may_repeat() || !enabled(Protection::SingleDispatch) {
            self.runs < self.call.route.max_attempts.max(1)
        } else {
            self.runs == 0
        }
    }

    /// Whether the call may run more than once. The configuration in force may forbid what that of the admission allowed;
    /// a call whose route is gone goes on by its admission.
    fn may_repeat(&self) -> bool {
        let admitted = &self.call.route;
        let is_forbidden_now = || {
            let configuration = self.state.view.configuration()?;
            let route = configuration.route(&admitted.host, self.call.uri.path())?;
            Some(!route.may_repeat())
        };
        admitted.may_repeat() && !is_forbidden_now().unwrap_or_default()
    }

    /// Records how an attempt ended. Returns the answer if there is one to pass on.
    fn handle_end(&mut self, attempt: FinishedAttempt) -> Result<Option<Response<Body>>, Failure> {
        let upstream = &attempt.upstream;
        self.pending.retain(|id| *id != upstream.record.id);
        self.avoid.push(upstream.record.id.clone());
        let failed = match &attempt.end {
            AttemptEnd::Answered(head, _) => head.status.is_server_error(),
            AttemptEnd::NotRun | AttemptEnd::Declined | AttemptEnd::Forbidden(_) => false,
            AttemptEnd::Unreachable | AttemptEnd::Unknown(_) => true,
        };
        upstream.record_outcome(failed);
        self.record_outcome(&attempt);
        self.count_started(&attempt.end);
        if failed || !matches!(attempt.end, AttemptEnd::Answered(..)) {
            self.log_loss(&attempt);
        }
        match &attempt.end {
            AttemptEnd::Unknown(_) => self.examine(&attempt),
            AttemptEnd::Answered(..) => {
                let (request, fingerprint) = (self.call.request(), self.call.fingerprint);
                self.state.record_completed(&request, fingerprint);
            }
            AttemptEnd::NotRun
            | AttemptEnd::Unreachable
            | AttemptEnd::Declined
            | AttemptEnd::Forbidden(_) => {}
        }
        match attempt.end {
            AttemptEnd::Answered(head, body) if !failed => Ok(Some(into_response(head, body))),
            AttemptEnd::Answered(head, body) => {
                self.fallback = Some((head, body));
                Ok(None)
            }
            AttemptEnd::NotRun => {
                self.runs -= 1;
                Ok(None)
            }
            AttemptEnd::Unreachable => {
                self.undo_send(attempt.draws_on_budget);
                self.state.suspect(upstream, "unreachable");
                Ok(None)
            }
            AttemptEnd::Declined => {
                self.undo_send(attempt.draws_on_budget);
                Ok(None)
            }
            AttemptEnd::Unknown(_) => Ok(None),
            AttemptEnd::Forbidden(failure) => {
                self.undo_send(attempt.draws_on_budget);
                // An earlier attempt may have run, and may still answer.
                self.may_send = false;
                if self.runs == 0 {
                    Err(failure)
                } else {
                    Ok(None)
                }
            }
        }
    }

    /// Takes back the counts of an attempt that reached no upstream.
    fn undo_send(&mut self, draws_on_budget: bool) {
        self.runs -= 1;
        self.deliveries -= 1;
        if draws_on_budget {
            self.state.refund_retry(&self.call.service);
        }
    }

    /// Counts the call for its customer, once however often it is sent. A call whose answer was lost has most
    /// likely run and counts as well.
    fn count_started(&mut self, end: &AttemptEnd) {
        let has_begun = match end {
            AttemptEnd::Answered(..) | AttemptEnd::Unknown(_) => true,
            AttemptEnd::NotRun
            | AttemptEnd::Unreachable
            | AttemptEnd::Declined
            | AttemptEnd::Forbidden(_) => false,
        };
        if has_begun && !self.is_counted {
            self.is_counted = true;
            self.state.count_started(self.call.customer.as_ref());
        }
    }

    /// Records what an attempt shows of its upstream's version, and how long it took. An attempt that did not run
    /// at an upstream shows nothing.
    fn record_outcome(&self, attempt: &FinishedAttempt) {
        let outcome = match &attempt.end {
            AttemptEnd::Answered(head, _) if head.status.is_server_error() => Outcome::Failed,
            AttemptEnd::Answered(..) => Outcome::Answered(attempt.took),
            AttemptEnd::Unknown(outcome) => *outcome,
            AttemptEnd::NotRun
            | AttemptEnd::Unreachable
            | AttemptEnd::Declined
            | AttemptEnd::Forbidden(_) => {
                return;
            }
        };
        let record = &attempt.upstream.record;
        let route = &self.call.route.name;
        self.state.record_outcome(record, route, outcome);
        self.state.record_answer_time(&record.service, attempt.took);
    }

    /// Finds out whether the upstream whose answer was lost has ended.
    fn examine(&mut self, attempt: &FinishedAttempt) {
        let run = LostRun {
            upstream: attempt.upstream.clone(),
            position: 0,
            run_events: 0,
            began: attempt.sent,
            lost: attempt.sent + attempt.took,
            cause: attempt.cause,
        };
        self.crash_check
            .begin(self.state, self.call, UpstreamKind::PlainService, run);
    }

    fn log_loss(&self, attempt: &FinishedAttempt) {
        self.state
            .metrics
            .losses
            .with_label_values(&[attempt.cause])
            .inc();
        log::info!(
            "call: attempt failed request={} digest={} upstream={} try={} cause={} age_ms={} left_ms={}",
            self.call.id(),
            self.call.fingerprint_hex(),
            attempt.upstream.record.id,
            self.sends,
            attempt.cause,
            self.call.age_ms(),
            self.call.left(clock::now()).as_millis()
        );
    }

    fn give_up(&mut self) -> Result<Response<Body>, Failure> {
        if let Some((head, body)) = self.fallback.take() {
            return Ok(into_response(head, body));
        }
        let detail = "the upstream gave no whole answer";
        Err(Failure::new(ErrorKind::UpstreamUnconfirmed, detail))
    }

    fn out_of_time(&mut self, is_nothing_pending: bool) -> Result<Response<Body>, Failure> {
        if self.fallback.is_some() {
            return self.give_up();
        }
        let kind = if self.runs == 0 && is_nothing_pending {
            ErrorKind::DeadlineUntried
        } else {
            ErrorKind::DeadlineReached
        };
        let detail = format!(
            "route {} and its caller hold the call for {} ms; no answer yet of {}",
            self.call.route.name,
            self.call
                .deadline
                .duration_since(self.call.received)
                .as_millis(),
            if self.pending.is_empty() {
                "any upstream".to_owned()
            } else {
                self.pending.join(", ")
            }
        );
        Err(Failure::new(kind, detail))
    }

    /// Prepares the next attempt. Waits for a short time if all upstreams turned the call away.
    async fn next_attempt(&mut self) -> Result<BoxFuture<'a, FinishedAttempt>, Failure> {
        let checked = self.crash_check.check_before_send(self.state, self.call);
        checked.await?;
        if self.runs == 0 {
            self.state.check_in_reach(&self.call.service)?;
        }
        let upstream = loop {
            let service = &self.call.service;
            let need = Need::Call {
                hosts: self.state.peers.max_known_hosts(),
            };
            // An attempt beside one that is still pending goes to another upstream.
            let avoid: Vec<EngineId> = self.avoid.iter().chain(&self.pending).cloned().collect();
            if let Some(found) = self.state.choose_upstream(service, need, &avoid) {
                break found;
            }
            self.check_not_all_closed()?;
            if !self.may_wait_for_room() {
                if self.state.is_limited(&self.call.service, clock::now()) {
                    return Err(room::limited_failure(Duration::ZERO));
                }
                let counts = self.state.count_upstreams(service, need, &avoid);
                let detail = format!("all upstreams of the service turned the call away: {counts}");
                return Err(Failure::new(ErrorKind::UpstreamsBusy, detail));
            }
            sleep(ALL_BUSY_PAUSE).await;
            self.avoid.clear();
        };
        let draws_on_budget = self.deliveries > 0;
        if draws_on_budget && !self.state.take_retry(&self.call.service) {
            let detail = "the budget of repeated sends is spent";
            return Err(Failure::new(ErrorKind::UpstreamsBusy, detail));
        }
        if self.sends == 0 {
            let waited = clock::elapsed(self.call.received);
            self.state.metrics.observe_queue_time("call", waited);
        }
        self.state
            .record_send(&upstream.record, SendKind::after(self.sends));
        self.sends += 1;
        self.deliveries += 1;
        self.runs += 1;
        self.pending.push(upstream.record.id.clone());
        Ok(Box::pin(run_attempt(
            self.state,
            self.call,
            upstream,
            draws_on_budget,
        )))
    }

    /// Refuses the call at once if all upstreams are resting or have no permit for longer than the call may
    /// wait, as none of them could take it in that time.
    fn check_not_all_closed(&self) -> Result<(), Failure> {
        let closed = self.state.first_to_open(&self.call.service, clock::now());
        match closed {
            Some(closed) if closed.left() > self.room_wait_left() => {
                Err(room::closed_failure(closed))
            }
            Some(_) | None => Ok(()),
        }
    }

    fn room_wait_left(&self) -> Duration {
        let max_wait = room::room_wait(self.call.route.objective);
        max_wait.saturating_sub(clock::elapsed(self.call.received))
    }

    fn may_wait_for_room(&self) -> bool {
        !self.room_wait_left().is_zero() && self.runs == 0
    }
}

fn into_response(mut head: response::Parts, body: Bytes) -> Response<Body> {
    strip_connection_headers(&mut head.headers);
    head.extensions.clear();
    Response::from_parts(head, full(body))
}
