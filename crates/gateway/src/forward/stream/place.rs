//! Places a stream at an engine: the one that holds a copy of its memory, or the one that has its
//! prompt cached, or else the best choice for the whole prompt.

use {
    super::{
        StreamRun,
        attempt::Attempt,
        choose::Chosen,
        order::{AttemptPlan, PlaceFailure},
        stagger::stagger,
    },
    crate::{
        events::EventSplitter,
        forward::{probe::SilenceLimits, reservation::Reservation, stall::Stall},
        rollout::{Outcome, SendKind},
        room,
        view::{Upstream, UpstreamRecord, Work},
    },
    http::{Response, response},
    std::time::{Duration, Instant},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        clock,
        http::Body,
    },
    tealshore_runs::{KnownRun, MemoryCopy, RunOrigin, RunTrace},
    tokio::time::sleep,
};

/// Silence after which an engine is probed that queues the stream or reads its prompt.
const PROBE_AFTER_WHILE_READING: Duration = Duration::from_millis(500);
/// Silence limits of an engine that resumes from a copy. They are short, as it has no prompt to
/// read.
const RESUME_SILENCE_LIMITS: SilenceLimits = SilenceLimits {
    probe_after: Duration::from_millis(260),
    max: Duration::from_millis(1_000),
};
/// The pause before all engines are tried again after all of them turned the stream away.
const ALL_FULL_PAUSE: Duration = Duration::from_millis(40);
/// The pause before the stream tries again to take from the retry budget. Hosts exchange their use
/// of the budget several times a second.
const BUDGET_PAUSE: Duration = Duration::from_millis(60);

/// How long a stream waits for a permit of the engine that has its memory. This is shorter than
/// reading the prompt elsewhere.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of placing a stream.
pub enum Placed {
    /// The head of a stream; its events follow.
    Stream(response::Parts),
    /// A complete answer that is not a stream.
    NonStream(Response<Body>),
}

fn engine_limit_reached() -> Failure {
    let detail = "the stream ran at as many engines as its route allows";
    Failure::new(ErrorKind::RetriesSpent, detail)
}

impl StreamRun {
    /// Places the stream at the engine that holds its copy, or else at the best one, and retries
    /// until an engine accepts it or it has to be refused.
    pub async fn place(&mut self) -> Result<Placed, Failure> {
        let began = clock::now();
        loop {
            let checked = self.crash_check.check_before_send(&self.state, &self.call);
            if let Err(failure) = checked.await {
                return Err(failure.after_earlier_attempt(self.ran_so_far()));
            }
            if let Err(failure) = self.check_time_left() {
                return Err(self.refusal(failure.kind, &failure.detail));
            }
            if self.ran_so_far() == Ran::No && self.ran_before == Ran::No {
                self.state.check_in_reach(&self.call.service)?;
            }
            self.back_off().await;
            self.await_permit().await;
            let Some(chosen) = self.choose() else {
                self.check_may_wait(began)?;
                sleep(ALL_FULL_PAUSE).await;
                self.avoid.clear();
                continue;
            };
            if self.stop_reported_run(&chosen.upstream).await {
                continue;
            }
            if self.is_better_refused() && self.tried.contains(&chosen.upstream.record.id) {
                return Err(self.refusal(ErrorKind::NoEngine, "the engines are silent"));
            }
            if let Err(failure) = self.check_send() {
                if failure.kind == ErrorKind::Quarantined
                    && self.state.crashes.is_settling(&self.call)
                {
                    self.restore_preference(chosen);
                    continue;
                }
                return Err(self.refusal(failure.kind, &failure.detail));
            }
            if !self.take_from_retry_budget() {
                let max_wait = room::budget_wait(self.call.route.objective);
                if clock::elapsed(began) > max_wait && self.may_break_off() {
                    let detail = "the budget of repeated sends is spent";
                    return Err(self.refusal(ErrorKind::UpstreamsBusy, detail));
                }
                self.restore_preference(chosen);
                sleep(BUDGET_PAUSE).await;
                continue;
            }
            if self.sends == 0 {
                let waited = clock::elapsed(self.call.received);
                self.state.metrics.observe_queue_time("stream", waited);
                let tokens = self.input_tokens();
                self.state
                    .capacity
                    .record_prompt(&self.call.service, tokens);
            }
            self.state
                .record_send(&chosen.upstream.record, SendKind::after(self.sends));
            self.sends += 1;
            match self.try_place(chosen).await {
                Ok(head) => return Ok(Placed::Stream(head)),
                Err(PlaceFailure::TryNext) => {}
                Err(PlaceFailure::NonStream(response)) => return Ok(Placed::NonStream(*response)),
                Err(PlaceFailure::Unknown) if self.call.route.may_repeat() => {}
                Err(PlaceFailure::Unknown) => {
                    let detail = "the engine gave no answer";
                    return Err(Failure::new(ErrorKind::UpstreamUnconfirmed, detail));
                }
            }
        }
    }

    /// Checks whether the stream may keep waiting although no engine can be chosen. If all engines
    /// rest or have no permit left, the time until the first one is open again is known: the stream
    /// is refused at once if that time exceeds its limit, and otherwise waits. A stream that has
    /// run waits as long as it would for the retry budget, since its caller prefers a late
    /// remainder to none. So does one that may only return to engines that were silent.
    fn check_may_wait(&self, began: Instant) -> Result<(), Failure> {
        let has_room = self.tried.has_room(self.call.route.max_attempts);
        if !has_room && self.tried.silent().is_empty() {
            return Err(engine_limit_reached());
        }
        if !self.may_break_off() {
            return Ok(());
        }
        let objective = self.call.route.objective;
        if !has_room {
            let may_wait = clock::elapsed(began) <= room::budget_wait(objective);
            return may_wait.then_some(()).ok_or_else(engine_limit_reached);
        }
        let closed = self.state.first_to_open(&self.call.service, clock::now());
        let Some(closed) = closed else {
            if clock::elapsed(began) <= room::room_wait(objective) {
                return Ok(());
            }
            if self.state.is_limited(&self.call.service, clock::now()) {
                return Err(self.failure_after_attempts(room::limited_failure(Duration::ZERO)));
            }
            let service = &self.call.service;
            let counts = self
                .state
                .count_upstreams(service, self.need(), &self.avoid);
            let detail = format!("no engine has room for the stream: {counts}");
            return Err(self.refusal(ErrorKind::NoEngine, &detail));
        };
        let max_wait = match self.ran_so_far() {
            Ran::No => room::room_wait(objective),
            Ran::Yes | Ran::Unknown => room::budget_wait(objective),
        };
        if clock::elapsed(began) + closed.left() <= max_wait {
            return Ok(());
        }
        Err(self.failure_after_attempts(room::closed_failure(closed)))
    }

    /// Waits for a moment before a stream that lost its engine is placed again, unless it resumes
    /// from a copy. When a hall fails, all hosts lose streams at the same instant; without the
    /// pause, they would all send them to the engines that are idle just then.
    async fn back_off(&self) {
        if self.sends == 0 || self.copy.is_some() {
            return;
        }
        sleep(stagger(self.state.peers.max_known_hosts())).await;
    }

    /// Waits for a moment for a permit of the engine that has the stream's memory, if that engine
    /// sets a limit: any other engine would have to read the whole prompt again.
    async fn await_permit(&self) {
        let copy_at = self.copy.as_ref().map(|copy| &copy.upstream);
        if let Some(engine) = copy_at.or(self.prompt_cached_at.as_ref()) {
            self.state.await_permit(engine, PERMIT_TIMEOUT).await;
        }
    }

    /// Checks what may have changed since the stream was admitted. An answer that has begun is continued also if its key
    /// was taken away since.
    fn check_send(&self) -> Result<(), Failure> {
        if self.deliveries == 0 {
            self.call.check_before_send(&self.state)
        } else if self.has_begun() {
            self.state.check_quarantine(&self.call)
        } else {
            self.call.check_before_resend(&self.state)
        }
    }

    /// Takes from the retry budget, unless this is the first send to reach an engine. Returns
    /// whether the send is allowed.
    fn take_from_retry_budget(&mut self) -> bool {
        self.draws_on_budget = self.deliveries > 0;
        let has_reserved = std::mem::take(&mut self.has_reserved_retry);
        !self.draws_on_budget || has_reserved || self.state.take_retry(&self.call.service)
    }

    /// Restores the copy or the cached prompt that led to a choice, for the next attempt, if nothing
    /// was sent to the chosen engine.
    fn restore_preference(&mut self, chosen: Chosen) {
        match chosen.resume_from {
            Some(copy) => self.copy = Some(copy),
            None if chosen.has_prompt_cached => {
                self.prompt_cached_at = Some(chosen.upstream.record.id.clone());
            }
            None => {}
        }
    }

    /// Whether the stream ran during this attempt of its caller.
    fn ran_so_far(&self) -> Ran {
        if self.tried.count() == 0 {
            Ran::No
        } else {
            Ran::Yes
        }
    }

    /// Builds a refusal. If the stream may have run at an earlier engine, the refusal does not
    /// promise that it did not run.
    fn refusal(&self, kind: ErrorKind, detail: &str) -> Failure {
        self.failure_after_attempts(Failure::new(kind, detail))
    }

    /// Like [`Self::refusal`], for a failure that carries more than its kind and detail.
    fn failure_after_attempts(&self, failure: Failure) -> Failure {
        if self.tried.count() == 0 {
            return failure;
        }
        Failure::new(ErrorKind::RetriesSpent, failure.to_string())
    }

    async fn try_place(&mut self, chosen: Chosen) -> Result<response::Parts, PlaceFailure> {
        let Chosen {
            upstream,
            resume_from,
            has_prompt_cached,
        } = chosen;
        let unread_tokens = if has_prompt_cached {
            0
        } else {
            self.input_tokens()
        };
        let work = Work {
            running: 1,
            unread_tokens,
            memory_tokens: self.memory_tokens(),
        };
        let reservation = Reservation::begin(&self.state, &upstream, work);
        let to_read = self.state.work_at(&upstream).unread_tokens;
        let copy_to = self.choose_copy_holder(&upstream.record);
        let copy_reservation = copy_to
            .as_ref()
            .map(|holder| self.reserve_copy_memory(holder));
        self.count_sends(&upstream, copy_to.as_deref());
        self.log_placed(
            &upstream,
            copy_to.as_deref(),
            resume_from.is_some(),
            to_read,
        );
        let plan = AttemptPlan {
            silence_limits: self.silence_limits(to_read, resume_from.is_some()),
            copy_to,
            resume_from,
        };
        self.end_earlier_runs(&upstream);
        let sent_at = clock::now();
        self.sending_to = Some(upstream.clone());
        let answer = self.send_request(&upstream, &plan).await;
        self.sending_to = None;
        let answer = answer?;
        let Some(head) = self.check_head(&upstream, &answer, plan.resume_from.is_some())? else {
            return Err(self.read_whole(&upstream, answer).await);
        };
        if plan.resume_from.is_none() {
            self.record_outcome(&upstream.record, Outcome::Answered(clock::elapsed(sent_at)));
            let service = &self.call.service;
            self.state
                .observe_prompt_rate(service, to_read, clock::elapsed(sent_at));
        }
        self.record_run_location(&upstream, plan.copy_to.as_deref());
        self.check_earlier_runs(&upstream.record.id);
        self.attempt = Some(Attempt {
            upstream,
            request: self.call.request(),
            silence_limits: plan.silence_limits,
            body: answer.body,
            body_end: answer.body_end,
            through: answer.through,
            _connection: answer.connection,
            events: EventSplitter::default(),
            began: clock::now(),
            delivered_before: self.progress.delivered(),
            has_received_event: false,
            has_begun: false,
            events_delivered: self.progress.last().unwrap_or_default(),
            has_no_alternative: false,
            stall: Stall::default(),
            reservation,
            _copy_reservation: copy_reservation,
        });
        Ok(head)
    }

    /// Records the outcome of a send for the version of its engine.
    pub fn record_outcome(&self, upstream: &UpstreamRecord, outcome: Outcome) {
        let route = &self.call.route.name;
        self.state.record_outcome(upstream, route, outcome);
    }

    /// How long an engine may be silent before its first event.
    fn silence_limits(&self, to_read: u64, from_copy: bool) -> SilenceLimits {
        if from_copy {
            return RESUME_SILENCE_LIMITS;
        }
        SilenceLimits {
            probe_after: PROBE_AFTER_WHILE_READING,
            max: self
                .state
                .read_rate(&self.call.service)
                .first_event_timeout(to_read),
        }
    }

    /// Records where the stream runs and where its copy lies, so that the caller can resume it.
    fn record_run_location(&mut self, upstream: &Upstream, copy_to: Option<&Upstream>) {
        self.copy = copy_to.map(|holder| MemoryCopy {
            upstream: holder.record.id.clone(),
            address: holder.record.address,
            name: self.call.request(),
        });
        let copy = self.copy.as_ref();
        let trace = RunTrace {
            fingerprint: self.call.fingerprint,
            request: self.call.request(),
            engine: upstream.record.id.clone(),
            copy: copy.map(|copy| (copy.upstream.clone(), copy.address)),
        };
        let origin = RunOrigin {
            process: self.state.peers.process(),
            address: self.state.options.peers.address,
            content: self.call.content,
            continues: self.continues.clone(),
            waits_ms: self.call.caller_waits_ms(clock::now()),
        };
        self.state.begin_run(KnownRun {
            trace,
            origin: Some(origin),
        });
        self.is_logged = true;
    }

    fn count_sends(&self, upstream: &Upstream, copy_to: Option<&Upstream>) {
        let (state, hall) = (&self.state, &upstream.record.hall);
        state.metrics.count_send("prompt", state.distance_to(hall));
        if let Some(holder) = copy_to {
            let topology = &state.options.topology;
            let distance = topology.distance(hall, &holder.record.hall);
            state.metrics.count_send("copy", distance);
        }
    }

    fn log_placed(
        &self,
        upstream: &Upstream,
        copy_to: Option<&Upstream>,
        from_copy: bool,
        to_read: u64,
    ) {
        let work = upstream.own_work();
        log::info!(
            "stream: placed request={} digest={} upstream={} hall={} distance={} try={} from_copy={from_copy} \
             copy_to={} after={:?} own_running={} to_read={to_read} configuration={} age_ms={}",
            self.call.id(),
            self.call.fingerprint_hex(),
            upstream.record.id,
            upstream.record.hall,
            self.state.distance_to(&upstream.record.hall).name(),
            self.sends,
            copy_to.map_or("-", |holder| holder.record.id.as_str()),
            self.progress.last(),
            work.running,
            self.state.view.version(),
            self.call.age_ms()
        );
    }
}
