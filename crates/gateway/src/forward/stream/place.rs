//! Places a stream at an engine: where its memory was copied, where its prompt was read, or
//! else where it fits best.

use {
    super::{
        StreamRun,
        attempt::Attempt,
        order::{Try, TryEnd},
        stagger::stagger,
    },
    crate::{
        balance::Need,
        events::EventSplitter,
        forward::{probe::Patience, reservation::Reservation},
        rollout::{Outcome, SendKind},
        room,
        run_trace::{MemoryCopy, RunTrace},
        view::{Upstream, UpstreamRecord, Work},
    },
    http::{Response, response},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        http::Body,
    },
    tokio::time::sleep,
};

/// Silence after which an engine is probed that queues and reads a prompt.
const PROBE_WHILE_READING: Duration = Duration::from_millis(500);
/// Silence of an engine that goes on from a copy: nothing is to be read.
const FROM_COPY: Patience = Patience {
    probe_after: Duration::from_millis(260),
    longest: Duration::from_millis(1_000),
};
/// The pause before all engines are asked again after all turned a stream away.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// The pause before a stream draws on the retry budget again: hosts hear of each other's use
/// of it some times in a second.
const BUDGET_PAUSE: Duration = Duration::from_millis(60);

/// How long a stream waits for a permit of the engine that has its memory: less than a prompt takes to read.
const PERMIT_PATIENCE: Duration = Duration::from_millis(250);

/// What opening a stream gave.
pub enum Opened {
    /// The head of a stream; its events follow.
    Stream(response::Parts),
    /// A whole answer that is no stream.
    Whole(Response<Body>),
}

/// An engine that was chosen, with the copy to go on from, if it holds one.
struct Chosen {
    upstream: Arc<Upstream>,
    go_on_from: Option<MemoryCopy>,
    /// It has probably read the prompt before and keeps it.
    keeps_prompt: bool,
}

fn attempts_spent() -> Failure {
    let detail = "the stream ran at as many engines as its route allows";
    Failure::new(ErrorKind::RetriesSpent, detail)
}

impl StreamRun {
    /// Places the stream at the engine with the copy, or else at the best one.
    pub async fn place(&mut self) -> Result<Opened, Failure> {
        let began = Instant::now();
        loop {
            if !self.may_try_another() {
                return Err(attempts_spent());
            }
            let checked = self.examination.check_before_send(&self.state, &self.call);
            if let Err(failure) = checked.await {
                return Err(failure.after_earlier_try(self.ran_so_far()));
            }
            if let Err(failure) = self.check_time_left() {
                return Err(self.refusal(failure.kind, &failure.detail));
            }
            self.back_off().await;
            self.await_permit().await;
            let Some(chosen) = self.choose() else {
                self.check_wait(began)?;
                sleep(FULL_PAUSE).await;
                self.avoid.clear();
                continue;
            };
            let engine = &chosen.upstream.record.id;
            if !self.tried.allows(engine, self.call.route.max_attempts) {
                return Err(attempts_spent());
            }
            let checked = if self.arrivals == 0 {
                self.call.check_before_send(&self.state)
            } else {
                self.call.check_before_resend(&self.state)
            };
            if let Err(failure) = checked {
                return Err(self.refusal(failure.kind, &failure.detail));
            }
            if !self.draw_on_budget() {
                if began.elapsed() > room::budget_patience(self.call.route.objective) {
                    let detail = "the budget of repeated sends is spent";
                    return Err(self.refusal(ErrorKind::UpstreamsBusy, detail));
                }
                self.restore_preference(chosen);
                sleep(BUDGET_PAUSE).await;
                continue;
            }
            if self.sends == 0 {
                let waited = self.call.received.elapsed();
                self.state.metrics.observe_queue_time("stream", waited);
                let tokens = self.input_tokens();
                self.state.capacity.note_prompt(&self.call.service, tokens);
            }
            self.state
                .note_send(&chosen.upstream.record, SendKind::after(self.sends));
            self.sends += 1;
            match self.try_place(chosen).await {
                Ok(head) => return Ok(Opened::Stream(head)),
                Err(TryEnd::TryNext) => {}
                Err(TryEnd::Whole(response)) => return Ok(Opened::Whole(*response)),
                Err(TryEnd::Unknown) if self.call.route.may_repeat() => {}
                Err(TryEnd::Unknown) => {
                    let detail = "the engine gave no answer";
                    return Err(Failure::new(ErrorKind::UpstreamUnconfirmed, detail));
                }
            }
        }
    }

    /// Refuses a stream for which no engine is there, where it is not worth a wait. Where all engines rest, or
    /// have no permit, the time to the first that is back is known, so that it is refused at once or not at all; one that goes on
    /// waits as long as it would for the retry budget, as its caller would rather have the rest late.
    fn check_wait(&self, began: Instant) -> Result<(), Failure> {
        let objective = self.call.route.objective;
        let closed = self.state.all_closed(&self.call.service, Instant::now());
        let Some(closed) = closed else {
            if began.elapsed() <= room::patience(objective) {
                return Ok(());
            }
            if self.state.is_limited(&self.call.service, Instant::now()) {
                return Err(self.end_with(room::all_limited(Duration::ZERO)));
            }
            let detail = "no engine has room for the stream";
            return Err(self.refusal(ErrorKind::NoEngine, detail));
        };
        let patience = match self.ran_so_far() {
            Ran::No => room::patience(objective),
            Ran::Yes | Ran::Unknown => room::budget_patience(objective),
        };
        if began.elapsed() + closed.left() <= patience {
            return Ok(());
        }
        Err(self.end_with(room::all_closed(closed)))
    }

    /// Waits a moment before a stream that lost its engine is placed anew, unless it goes on
    /// from a copy. All hosts lose streams in the instant in which a hall dies; without the
    /// pause they would all send them to the engines that are idle just then.
    async fn back_off(&self) {
        if self.sends == 0 || self.copy.is_some() {
            return;
        }
        sleep(stagger(self.state.peers.most_hosts())).await;
    }

    /// Waits a moment for a permit of the engine that has the stream's memory, where that names a limit:
    /// elsewhere the prompt would be read anew.
    async fn await_permit(&self) {
        let copy_at = self.copy.as_ref().map(|copy| &copy.upstream);
        if let Some(engine) = copy_at.or(self.prompt_kept_at.as_ref()) {
            self.state.await_permit(engine, PERMIT_PATIENCE).await;
        }
    }

    /// Whether a further engine, or one that it goes back to, may have the stream.
    fn may_try_another(&self) -> bool {
        let back_to = self.prompt_kept_at.as_ref();
        let goes_back = back_to.is_some_and(|engine| self.tried.contains(engine));
        let most = self.call.route.max_attempts.max(1);
        goes_back || self.tried.count() < usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Draws on the retry budget for a send, unless it is the first that reaches an engine;
    /// whether the send is allowed.
    fn draw_on_budget(&mut self) -> bool {
        self.has_drawn = self.arrivals > 0;
        !self.has_drawn || self.state.take_retry(&self.call.service)
    }

    /// Keeps for the next try what speaks for an engine that was chosen and not asked.
    fn restore_preference(&mut self, chosen: Chosen) {
        match chosen.go_on_from {
            Some(copy) => self.copy = Some(copy),
            None if chosen.keeps_prompt => {
                self.prompt_kept_at = Some(chosen.upstream.record.id.clone());
            }
            None => {}
        }
    }

    /// Whether the stream ran in this try of its caller.
    fn ran_so_far(&self) -> Ran {
        if self.tried.count() == 0 {
            Ran::No
        } else {
            Ran::Yes
        }
    }

    /// A refusal. Of a stream that may have run at an earlier engine, it does not promise that
    /// it has not.
    fn refusal(&self, kind: ErrorKind, detail: &str) -> Failure {
        self.end_with(Failure::new(kind, detail))
    }

    /// The same for a failure that knows more than its kind.
    fn end_with(&self, failure: Failure) -> Failure {
        if self.tried.count() == 0 {
            return failure;
        }
        Failure::new(ErrorKind::RetriesSpent, failure.to_string())
    }

    fn choose(&mut self) -> Option<Chosen> {
        let now = Instant::now();
        let wants_alone = self.state.crashes.is_doubtful(self.call.fingerprint);
        if wants_alone {
            // Where its copy lies, the copies of those beside it may lie as well.
            self.copy = None;
            self.prompt_kept_at = None;
        }
        if let Some(copy) = self.copy.take() {
            let holder = self.state.view.upstreams.get(&copy.upstream);
            let usable = holder.filter(|holder| {
                !holder.is_suspected(now)
                    && self.state.takes_work(&copy.upstream)
                    && self.state.may_get(holder)
            });
            if let Some(holder) = usable {
                return Some(Chosen {
                    upstream: holder,
                    go_on_from: Some(copy),
                    keeps_prompt: true,
                });
            }
        }
        if let Some(kept_at) = self.prompt_kept_at.take()
            && let Some(upstream) = self.state.view.upstreams.get(&kept_at)
            && self.state.takes_work(&kept_at)
            && !upstream.is_suspected(now)
            && !self.avoid.contains(&kept_at)
            && self.state.may_get(&upstream)
        {
            return Some(Chosen {
                upstream,
                go_on_from: None,
                keeps_prompt: true,
            });
        }
        let need = Need::Prompt {
            fingerprint: self.call.fingerprint,
            memory_tokens: self.memory_tokens(),
            engine_memory_tokens: self.engines().memory_tokens,
            has_failed: !self.failed_at.is_empty(),
            wants_alone,
        };
        let service = &self.call.service;
        let chosen = self.state.choose_upstream(service, need, &self.avoid)?;
        Some(Chosen {
            upstream: chosen,
            go_on_from: None,
            keeps_prompt: false,
        })
    }

    async fn try_place(&mut self, chosen: Chosen) -> Result<response::Parts, TryEnd> {
        let Chosen {
            upstream,
            go_on_from,
            keeps_prompt,
        } = chosen;
        let unread_tokens = if keeps_prompt { 0 } else { self.input_tokens() };
        let work = Work {
            running: 1,
            unread_tokens,
            memory_tokens: self.memory_tokens(),
        };
        let reservation = Reservation::begin(&self.state, &upstream, work);
        let to_read = self.state.work_at(&upstream).unread_tokens;
        let copy_to = self.choose_copy(&upstream.record);
        let copy_reservation = copy_to.as_ref().map(|holder| self.reserve_copy(holder));
        self.count_sends(&upstream, copy_to.as_deref());
        self.log_placed(&upstream, copy_to.as_deref(), go_on_from.is_some(), to_read);
        let try_here = Try {
            patience: self.patience(to_read, go_on_from.is_some()),
            copy_to,
            go_on_from,
        };
        let asked = Instant::now();
        let answer = self.order(&upstream, &try_here).await?;
        let Some(head) = self.check_head(&upstream, &answer, try_here.go_on_from.is_some())? else {
            return Err(self.read_whole(answer).await);
        };
        if try_here.go_on_from.is_none() {
            self.note_outcome(&upstream.record, Outcome::Answered(asked.elapsed()));
            let service = &self.call.service;
            self.state.observe_read(service, to_read, asked.elapsed());
        }
        self.note_running(&upstream, try_here.copy_to.as_deref());
        self.attempt = Some(Attempt {
            upstream,
            request: self.call.request(),
            patience: try_here.patience,
            body: answer.body,
            _connection: answer.connection,
            events: EventSplitter::default(),
            began: Instant::now(),
            passed_before: self.progress.passed(),
            has_sent: false,
            events_had: 0,
            reservation,
            _copy_reservation: copy_reservation,
        });
        Ok(head)
    }

    /// Notes what a send said of its engine's version.
    pub fn note_outcome(&self, upstream: &UpstreamRecord, outcome: Outcome) {
        let route = &self.call.route.name;
        self.state.note_outcome(upstream, route, outcome);
    }

    /// How long an engine may be silent before its first event.
    fn patience(&self, to_read: u64, from_copy: bool) -> Patience {
        if from_copy {
            return FROM_COPY;
        }
        Patience {
            probe_after: PROBE_WHILE_READING,
            longest: self.state.read_rate(&self.call.service).patience(to_read),
        }
    }

    /// Notes for a caller that comes back where its stream runs and where its copy lies.
    fn note_running(&mut self, upstream: &Upstream, copy_to: Option<&Upstream>) {
        self.copy = copy_to.map(|holder| MemoryCopy {
            upstream: holder.record.id.clone(),
            address: holder.record.address,
            name: self.call.request(),
        });
        let copy = self.copy.as_ref();
        self.state.runs.begin(RunTrace {
            fingerprint: self.call.fingerprint,
            request: self.call.request(),
            engine: upstream.record.id.clone(),
            copy: copy.map(|copy| (copy.upstream.clone(), copy.address)),
        });
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
            self.call.digest(),
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
