//! Runs a plain call: at most once where it may not be repeated; with repeats and a hedge
//! where it may.

mod attempt;

use {
    super::{
        call::{Call, strip_connection_headers},
        ending::{Examination, LostRun, UpstreamKind},
    },
    crate::{
        balance::Need,
        rollout::{Outcome, SendKind},
        room,
        state::GatewayState,
    },
    attempt::{Tried, TryEnd, try_once},
    bytes::Bytes,
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    http::{Response, response},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure},
        http::{Body, full},
        ids::EngineId,
        protection::{Protection, enabled},
    },
    tokio::time::{sleep, sleep_until},
};

/// A second upstream is asked after this part of the objective.
const HEDGE_PART: u32 = 2;
/// The pause before all upstreams are asked again after all turned a call away.
const FULL_PAUSE: Duration = Duration::from_millis(5);

struct PlainRun<'a> {
    state: &'a Arc<GatewayState>,
    call: &'a Call,
    avoid: Vec<EngineId>,
    /// Tries that may have run.
    runs: u32,
    /// Tries that were sent.
    sends: u32,
    /// Tries that reached an upstream, as far as is known; each but the first draws on the
    /// retry budget.
    arrivals: u32,
    /// Upstreams whose answer is still to come.
    open: Vec<EngineId>,
    fallback: Option<(response::Parts, Bytes)>,
    /// The call's key still allows a send.
    may_send: bool,
    /// It was counted for its customer.
    is_counted: bool,
    /// Whether the upstream whose answer was lost last has ended.
    examination: Examination,
}

/// Runs a plain call to its answer.
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
        arrivals: 0,
        open: Vec::new(),
        fallback: None,
        may_send: true,
        is_counted: false,
        examination: Examination::default(),
    };
    run.drive().await
}

impl<'a> PlainRun<'a> {
    async fn drive(&mut self) -> Result<Response<Body>, Failure> {
        let mut tries: FuturesUnordered<BoxFuture<'a, Tried>> = FuturesUnordered::new();
        let first = self.next_try().await?;
        tries.push(first);
        let hedge_after = self.call.route.objective / HEDGE_PART;
        let mut hedge_at = Instant::now() + hedge_after;
        let ends = self.call.ends;
        loop {
            let may_hedge = self.may_run_again() && !tries.is_empty();
            tokio::select! {
                Some(tried) = tries.next() => {
                    if let Some(answer) = self.handle_end(tried)? {
                        return Ok(answer);
                    }
                }
                () = sleep_until(hedge_at.into()), if may_hedge => {
                    // A hedge that finds no upstream with room is tried again a little later.
                    hedge_at = Instant::now() + hedge_after;
                    if let Ok(hedge) = self.next_try().await {
                        tries.push(hedge);
                    }
                    continue;
                }
                () = sleep_until(ends.into()) => return self.out_of_time(tries.is_empty()),
            }
            if tries.is_empty() {
                if !self.may_run_again() {
                    return self.give_up();
                }
                match self.next_try().await {
                    Ok(next) => tries.push(next),
                    Err(failure) if self.runs == 0 => return Err(failure),
                    Err(_) => return self.give_up(),
                }
            }
        }
    }

    /// Whether the call may run at one more upstream than it may have run at.
    fn may_run_again(&self) -> bool {
        if !self.may_send {
            return false;
        }
        if self.call.route.may_repeat() || !enabled(Protection::SingleDispatch) {
            self.runs < self.call.route.max_attempts.max(1)
        } else {
            self.runs == 0
        }
    }

    /// Takes in how a try ended; the answer, where it is one.
    fn handle_end(&mut self, tried: Tried) -> Result<Option<Response<Body>>, Failure> {
        let upstream = &tried.upstream;
        self.open.retain(|id| *id != upstream.record.id);
        self.avoid.push(upstream.record.id.clone());
        let failed = match &tried.end {
            TryEnd::Answered(head, _) => head.status.is_server_error(),
            TryEnd::NotRun | TryEnd::NotWanted | TryEnd::Forbidden(_) => false,
            TryEnd::Unreachable | TryEnd::Unknown(_) => true,
        };
        upstream.note_outcome(failed);
        self.note_outcome(&tried);
        self.count_begun(&tried.end);
        if failed || !matches!(tried.end, TryEnd::Answered(..)) {
            self.log_loss(&tried);
        }
        match &tried.end {
            TryEnd::Unknown(_) => self.examine(&tried),
            TryEnd::Answered(..) => {
                let (request, digest) = (self.call.request(), self.call.fingerprint);
                self.state.note_completed(&request, digest);
            }
            TryEnd::NotRun | TryEnd::Unreachable | TryEnd::NotWanted | TryEnd::Forbidden(_) => {}
        }
        match tried.end {
            TryEnd::Answered(head, body) if !failed => Ok(Some(passed_on(head, body))),
            TryEnd::Answered(head, body) => {
                self.fallback = Some((head, body));
                Ok(None)
            }
            TryEnd::NotRun => {
                self.runs -= 1;
                Ok(None)
            }
            TryEnd::Unreachable => {
                self.reached_nobody(tried.draws_on_budget);
                self.state.suspect(upstream, "unreachable");
                Ok(None)
            }
            TryEnd::NotWanted => {
                self.reached_nobody(tried.draws_on_budget);
                Ok(None)
            }
            TryEnd::Unknown(_) => Ok(None),
            TryEnd::Forbidden(failure) => {
                self.reached_nobody(tried.draws_on_budget);
                // An earlier try may have run, and may still answer.
                self.may_send = false;
                if self.runs == 0 {
                    Err(failure)
                } else {
                    Ok(None)
                }
            }
        }
    }

    /// Notes that a try reached no upstream.
    fn reached_nobody(&mut self, has_drawn: bool) {
        self.runs -= 1;
        self.arrivals -= 1;
        if has_drawn {
            self.state.give_back_retry(&self.call.service);
        }
    }

    /// Counts the call for its customer, once however often it is sent: one whose answer was lost has
    /// most likely run.
    fn count_begun(&mut self, end: &TryEnd) {
        let has_begun = match end {
            TryEnd::Answered(..) | TryEnd::Unknown(_) => true,
            TryEnd::NotRun | TryEnd::Unreachable | TryEnd::NotWanted | TryEnd::Forbidden(_) => {
                false
            }
        };
        if has_begun && !self.is_counted {
            self.is_counted = true;
            self.state.count_begun(self.call.customer.as_ref());
        }
    }

    /// Notes what a try said of its upstream's version; one that reached nobody says nothing.
    fn note_outcome(&self, tried: &Tried) {
        let outcome = match &tried.end {
            TryEnd::Answered(head, _) if head.status.is_server_error() => Outcome::Failed,
            TryEnd::Answered(..) => Outcome::Answered(tried.took),
            TryEnd::Unknown(outcome) => *outcome,
            TryEnd::NotRun | TryEnd::Unreachable | TryEnd::NotWanted | TryEnd::Forbidden(_) => {
                return;
            }
        };
        let record = &tried.upstream.record;
        let route = &self.call.route.name;
        self.state.note_outcome(record, route, outcome);
        self.state.note_whole_answer(&record.service, tried.took);
    }

    /// Finds out whether the upstream of a lost answer ended with it.
    fn examine(&mut self, tried: &Tried) {
        let run = LostRun {
            upstream: tried.upstream.clone(),
            position: 0,
            run_events: 0,
            began: tried.sent,
            lost: tried.sent + tried.took,
            cause: tried.cause,
        };
        self.examination
            .begin(self.state, self.call, UpstreamKind::PlainService, run);
    }

    fn log_loss(&self, tried: &Tried) {
        self.state
            .metrics
            .losses
            .with_label_values(&[tried.cause])
            .inc();
        log::info!(
            "call: try ended request={} digest={} upstream={} try={} cause={} age_ms={} left_ms={}",
            self.call.id(),
            self.call.digest(),
            tried.upstream.record.id,
            self.sends,
            tried.cause,
            self.call.age_ms(),
            self.call.left(Instant::now()).as_millis()
        );
    }

    fn give_up(&mut self) -> Result<Response<Body>, Failure> {
        if let Some((head, body)) = self.fallback.take() {
            return Ok(passed_on(head, body));
        }
        let detail = "the upstream gave no whole answer";
        Err(Failure::new(ErrorKind::UpstreamUnconfirmed, detail))
    }

    fn out_of_time(&mut self, nothing_open: bool) -> Result<Response<Body>, Failure> {
        if self.fallback.is_some() {
            return self.give_up();
        }
        let kind = if self.runs == 0 && nothing_open {
            ErrorKind::DeadlineUntried
        } else {
            ErrorKind::DeadlineReached
        };
        let detail = format!(
            "route {} and its caller hold the call for {} ms; no answer yet of {}",
            self.call.route.name,
            self.call
                .ends
                .duration_since(self.call.received)
                .as_millis(),
            if self.open.is_empty() {
                "any upstream".to_owned()
            } else {
                self.open.join(", ")
            }
        );
        Err(Failure::new(kind, detail))
    }

    /// Prepares the next try. Waits a short time where all upstreams turned the call away.
    async fn next_try(&mut self) -> Result<BoxFuture<'a, Tried>, Failure> {
        let checked = self.examination.check_before_send(self.state, self.call);
        checked.await?;
        let upstream = loop {
            let service = &self.call.service;
            let need = Need::Call {
                hosts: self.state.peers.most_hosts(),
            };
            // A second try beside an open one goes to another upstream.
            let avoid: Vec<EngineId> = self.avoid.iter().chain(&self.open).cloned().collect();
            if let Some(found) = self.state.choose_upstream(service, need, &avoid) {
                break found;
            }
            self.check_open()?;
            if !self.may_wait_for_room() {
                if self.state.is_limited(&self.call.service, Instant::now()) {
                    return Err(room::all_limited(Duration::ZERO));
                }
                let detail = "all upstreams of the service turned the call away";
                return Err(Failure::new(ErrorKind::UpstreamsBusy, detail));
            }
            sleep(FULL_PAUSE).await;
            self.avoid.clear();
        };
        let draws_on_budget = self.arrivals > 0;
        if draws_on_budget && !self.state.take_retry(&self.call.service) {
            let detail = "the budget of repeated sends is spent";
            return Err(Failure::new(ErrorKind::UpstreamsBusy, detail));
        }
        if self.sends == 0 {
            let waited = self.call.received.elapsed();
            self.state.metrics.observe_queue_time("call", waited);
        }
        self.state
            .note_send(&upstream.record, SendKind::after(self.sends));
        self.sends += 1;
        self.arrivals += 1;
        self.runs += 1;
        self.open.push(upstream.record.id.clone());
        Ok(Box::pin(try_once(
            self.state,
            self.call,
            upstream,
            draws_on_budget,
        )))
    }

    /// Refuses the call at once where all upstreams rest, or have no permit, for longer than it may wait: nothing that is waited
    /// for could take it.
    fn check_open(&self) -> Result<(), Failure> {
        let closed = self.state.all_closed(&self.call.service, Instant::now());
        match closed {
            Some(closed) if closed.left() > self.patience_left() => Err(room::all_closed(closed)),
            Some(_) | None => Ok(()),
        }
    }

    fn patience_left(&self) -> Duration {
        let patience = room::patience(self.call.route.objective);
        patience.saturating_sub(self.call.received.elapsed())
    }

    fn may_wait_for_room(&self) -> bool {
        !self.patience_left().is_zero() && self.runs == 0
    }
}

fn passed_on(mut head: response::Parts, body: Bytes) -> Response<Body> {
    strip_connection_headers(&mut head.headers);
    head.extensions.clear();
    Response::from_parts(head, full(body))
}
