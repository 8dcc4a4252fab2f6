//! Drives one generation. It is polled by the answer's body, so a token takes no detour
//! through another task, and it stops when the caller goes away.

use {
    super::{
        admitted::{Admitted, Start},
        output::{AnswerOutputs, Output},
    },
    crate::{
        fleet::{ChosenEngine, EngineSlot},
        state::RouterState,
    },
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    rand::RngExt,
    std::{collections::HashMap, pin::Pin, sync::Arc, time::Instant},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        ids::{AttemptNo, EngineId, Position, TokenId, stream_id},
        protection::{Protection, enabled},
    },
    tealshore_decide::{
        generation::{Action, Event, FinishReason, Generation, GenerationSpec, Loss},
        routing::Urgency,
    },
    tealshore_engines::{
        CancelWhen, DispatchError, Engine, StreamEnd, StreamItem, TokenStream, wire::ModelPin,
    },
    tokio::time::{Sleep, sleep_until},
    tokio_stream::StreamMap,
};

struct Opened {
    attempt: AttemptNo,
    engine: EngineId,
    result: Result<TokenStream, DispatchError>,
}

/// What the driver waited for, beside streams.
enum Answer {
    /// An engine answered an order, or an attach.
    Opened(Box<Opened>),
    /// The request's home told who cancelled an attempt.
    AbortChecked {
        attempt: AttemptNo,
        by_customer: bool,
    },
}

/// Drives one generation.
pub struct Driver {
    state: Arc<RouterState>,
    admitted: Admitted,
    generation: Generation,
    streams: StreamMap<AttemptNo, TokenStream>,
    slots: HashMap<AttemptNo, EngineSlot>,
    answers: FuturesUnordered<BoxFuture<'static, Answer>>,
    outputs: AnswerOutputs,
    text: String,
    timer: Pin<Box<Sleep>>,
    lost_at: Option<Instant>,
}

impl Driver {
    /// Starts a generation.
    pub fn start(state: Arc<RouterState>, admitted: Admitted) -> Self {
        let now = Instant::now();
        let spec = GenerationSpec {
            repeat: admitted.repeat,
            policy: admitted.policy,
            max_tokens: admitted.max_tokens(),
            max_attempts: state.options.resume.max_attempts,
            next_attempt: 1,
        };
        let generation = match &admitted.start {
            Start::New => Generation::new(spec),
            Start::FromTokens { received, .. } => Generation::with_tokens(spec, received.clone()),
            Start::Attach { held, .. } => Generation::held_by_caller(spec, *held),
        };
        let mut driver = Self {
            outputs: AnswerOutputs::new(&admitted.id),
            state,
            admitted,
            generation,
            streams: StreamMap::new(),
            slots: HashMap::new(),
            answers: FuturesUnordered::new(),
            text: String::new(),
            timer: Box::pin(sleep_until(now.into())),
            lost_at: None,
        };
        driver.first_attempt(now);
        driver
    }

    /// What the caller gets next; nothing after the end.
    pub async fn next(&mut self) -> Option<Output> {
        loop {
            if let Some(output) = self.outputs.pop() {
                return Some(output);
            }
            if self.generation.is_over() {
                return None;
            }
            self.wait().await;
        }
    }

    fn first_attempt(&mut self, now: Instant) {
        let running = match &self.admitted.start {
            Start::New => None,
            Start::FromTokens { running, .. } | Start::Attach { running, .. } => {
                Some(running.clone())
            }
        };
        let Some((attempt, engine)) = running else {
            let actions = self.generation.start(now);
            return self.execute(actions);
        };
        self.generation.adopt(attempt, engine.clone(), now);
        match self.state.engine_address(&self.admitted.service, &engine) {
            Some(address) => self.attach(attempt, engine, address),
            None => self.handle(Event::Lost {
                attempt,
                loss: Loss::Broken,
            }),
        }
    }

    async fn wait(&mut self) {
        let now = Instant::now();
        if let Some(due) = self.generation.next_tick() {
            self.arm_timer(due.into(), now.into());
        }
        let state = self.state.clone();
        // What has arrived goes before the clock: a driver that was held up must not take
        // its own pause for an engine's silence.
        tokio::select! {
            biased;
            Some((attempt, item)) = self.streams.next() => self.take_item(attempt, item),
            Some(answer) = self.answers.next() => self.take_answer(answer),
            () = state.stop.handover() => self.hand_over(),
            () = &mut self.timer, if self.generation.next_tick().is_some() => self.tick(),
        }
    }

    /// Moves the timer only when it must: a tick that comes too early does nothing, and
    /// most tokens push the due time back.
    fn arm_timer(&mut self, due: tokio::time::Instant, now: tokio::time::Instant) {
        let deadline = self.timer.deadline();
        if deadline <= now || due < deadline {
            self.timer.as_mut().reset(due);
        }
    }

    fn take_item(&mut self, attempt: AttemptNo, item: StreamItem) {
        match item {
            StreamItem::Token {
                position,
                token,
                text,
            } => {
                self.text = text;
                self.handle(Event::Token {
                    attempt,
                    position,
                    token,
                });
            }
            StreamItem::End { position, reason } => self.handle(match reason {
                StreamEnd::Stop => Event::End {
                    attempt,
                    position,
                    reason: FinishReason::Stop,
                },
                StreamEnd::Length => Event::End {
                    attempt,
                    position,
                    reason: FinishReason::Length,
                },
                StreamEnd::Abort => return self.check_abort(attempt),
            }),
            StreamItem::Broken => {
                self.streams.remove(&attempt);
                self.note_failure(attempt);
                self.handle(Event::Lost {
                    attempt,
                    loss: Loss::Broken,
                });
            }
        }
    }

    /// An engine tells that a stream was cancelled, not by whom: the customer, or an entry
    /// host that froze and woke after this one had taken over.
    fn check_abort(&mut self, attempt: AttemptNo) {
        let state = self.state.clone();
        let key = self.admitted.key();
        self.answers.push(Box::pin(async move {
            let place = state.find_place(&key).await;
            let by_customer = place.is_some_and(|place| place.cancelled);
            Answer::AbortChecked {
                attempt,
                by_customer,
            }
        }));
    }

    fn take_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Opened(opened) => self.take_opened(*opened),
            Answer::AbortChecked {
                attempt,
                by_customer: true,
            } => self.handle(Event::Aborted { attempt }),
            Answer::AbortChecked {
                attempt,
                by_customer: false,
            } => {
                self.handle(Event::Lost {
                    attempt,
                    loss: Loss::Broken,
                });
            }
        }
    }

    fn take_opened(&mut self, opened: Opened) {
        let Opened {
            attempt,
            engine,
            result,
        } = opened;
        let is_wanted = self
            .generation
            .running()
            .any(|running| running.no == attempt);
        let loss = match result {
            Ok(stream) if is_wanted => {
                self.streams.insert(attempt, stream);
                return;
            }
            Ok(_) => return,
            Err(DispatchError::NotSent) => Loss::NotSent,
            Err(DispatchError::Refused) => Loss::NeverStarted,
            Err(DispatchError::NotFound | DispatchError::Unknown) => Loss::Broken,
        };
        self.state
            .fleet
            .engine_failed(&self.admitted.service, &engine);
        self.handle(Event::Lost { attempt, loss });
    }

    fn hand_over(&mut self) {
        let detail = "the entry host stops; go on elsewhere with the last event's id";
        let failure = Failure::new(ErrorKind::HandedOver, detail);
        self.outputs.fail(failure);
        // The stream stays at its engine for the host that the caller goes to.
        self.streams.clear();
        self.generation.abandon();
    }

    fn tick(&mut self) {
        let running: Vec<(AttemptNo, EngineId)> = self
            .generation
            .running()
            .filter_map(|attempt| Some((attempt.no, attempt.engine.clone()?)))
            .collect();
        for (attempt, engine) in running {
            if let Some(reported_at) = self
                .state
                .fleet
                .last_report(&self.admitted.service, &engine)
            {
                self.generation.alive(attempt, reported_at);
            }
        }
        let suspicions = self.generation.counts().suspicions;
        self.handle(Event::Tick);
        if self.generation.counts().suspicions > suspicions {
            self.note_suspicion();
        }
    }

    /// A suspected engine gets no new work for a while, so that the generations beside this
    /// one do not choose it for their resume.
    fn note_suspicion(&mut self) {
        self.state.metrics.suspicions.inc();
        if let Some(current) = self.generation.current() {
            self.note_failure(current.no);
        }
    }

    fn note_failure(&mut self, attempt: AttemptNo) {
        let engine = self
            .generation
            .running()
            .find(|running| running.no == attempt)
            .and_then(|running| running.engine.clone());
        if let Some(engine) = engine {
            self.state
                .fleet
                .engine_failed(&self.admitted.service, &engine);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::now();
        let is_token = matches!(event, Event::Token { .. });
        if matches!(event, Event::Lost { .. }) {
            self.lost_at.get_or_insert(now);
        }
        let actions = self.generation.handle(event, now);
        self.execute(actions);
        if !is_token {
            self.free_slots();
        }
    }

    /// Attempts that are over no longer count at their engines.
    fn free_slots(&mut self) {
        let generation = &self.generation;
        self.slots
            .retain(|attempt, _| generation.running().any(|running| running.no == *attempt));
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { attempt } => self.place(attempt),
                Action::Cancel { attempt, engine } => self.cancel(attempt, &engine),
                Action::Emit { position, token } => self.emit(position, token),
                Action::Finish { reason } => self
                    .outputs
                    .finish(self.generation.received().len() as Position, reason),
                Action::Fail { kind } => self.fail(kind),
            }
        }
    }

    fn place(&mut self, attempt: AttemptNo) {
        let has_tokens = !self.generation.received().is_empty();
        let urgency = if has_tokens {
            Urgency::Resume
        } else {
            Urgency::New
        };
        let service = &self.admitted.service;
        let random = rand::rng().random();
        let chosen =
            self.state
                .fleet
                .choose_engine(service, self.generation.avoid(), urgency, random);
        let Some(ChosenEngine {
            id: engine,
            address,
            slot,
        }) = chosen
        else {
            return self.handle(Event::NoEngine { attempt });
        };
        self.slots.insert(attempt, slot);
        log::debug!(
            "generation: request {} attempt {attempt} goes to {engine}",
            self.admitted.id
        );
        self.handle(Event::Dispatched {
            attempt,
            engine: engine.clone(),
        });
        self.tell_home(attempt, &engine);
        let order = self
            .admitted
            .order(attempt, self.pin(), self.generation.received());
        let upstream = self.state.engine(address);
        self.answers.push(Box::pin(async move {
            let result = upstream.generate(&order).await;
            Answer::Opened(Box::new(Opened {
                attempt,
                engine,
                result,
            }))
        }));
    }

    /// What this attempt is pinned to: always what the first one was.
    fn pin(&self) -> ModelPin {
        if enabled(Protection::PinnedVersion) {
            return self.admitted.pin.clone();
        }
        let running = self.state.in_force.now();
        let grant = running.as_ref().and_then(|running| {
            let customer = running.declarations.customer(&self.admitted.customer)?;
            customer.grants.get(&self.admitted.request.model)
        });
        grant.map_or_else(
            || self.admitted.pin.clone(),
            |grant| ModelPin {
                model: grant.service.clone(),
                adapter: grant.adapter.clone(),
                version: grant.version.clone(),
            },
        )
    }

    fn attach(&mut self, attempt: AttemptNo, engine: EngineId, address: std::net::SocketAddr) {
        let stream = stream_id(self.admitted.generation, attempt);
        let from = self.generation.received().len() as Position;
        let upstream = self.state.engine(address);
        self.answers.push(Box::pin(async move {
            let result = upstream.attach(&stream, from).await;
            Answer::Opened(Box::new(Opened {
                attempt,
                engine,
                result,
            }))
        }));
    }

    fn tell_home(&self, attempt: AttemptNo, engine: &EngineId) {
        let place = self.admitted.place_at(attempt, engine);
        let state = self.state.clone();
        let key = self.admitted.key();
        tokio::spawn(async move { state.move_place(key, place).await });
    }

    fn cancel(&mut self, attempt: AttemptNo, engine: &EngineId) {
        self.streams.remove(&attempt);
        if self.generation.avoid().contains(engine) {
            self.state
                .fleet
                .engine_failed(&self.admitted.service, engine);
        }
        let Some(address) = self.state.engine_address(&self.admitted.service, engine) else {
            return;
        };
        let upstream = self.state.engine(address);
        let stream = stream_id(self.admitted.generation, attempt);
        tokio::spawn(async move { upstream.cancel(&stream, CancelWhen::Always).await });
    }

    fn emit(&mut self, position: Position, token: TokenId) {
        self.count_token();
        if let Some(current) = self.generation.current() {
            self.outputs.seal_for(&self.state, &self.admitted, current);
        }
        self.outputs
            .token(position, self.generation.chain(), token, &self.text);
    }

    fn count_token(&mut self) {
        self.state.metrics.tokens.inc();
        if let Some(lost_at) = self.lost_at.take() {
            let metrics = &self.state.metrics;
            metrics.resumes.inc();
            metrics
                .resume_seconds
                .observe(lost_at.elapsed().as_secs_f64());
            log::info!(
                "generation: request {} goes on after {} ms",
                self.admitted.id,
                lost_at.elapsed().as_millis()
            );
        }
    }

    fn fail(&mut self, kind: ErrorKind) {
        let tokens = self.generation.received().len();
        let failure = Failure::new(
            kind,
            format!("request {} after {tokens} tokens", self.admitted.id),
        );
        let failure = match self.admitted.start.earlier_try() {
            Some(earlier) => failure.after_earlier_try(earlier),
            None => failure,
        };
        if failure.ran == Ran::No
            && let Some(claim) = self.admitted.claim.take()
        {
            self.state.claims.release(claim);
        }
        self.outputs.fail(failure);
    }
}

impl Drop for Driver {
    /// The caller went away: give it time to come back, here or at another host, then stop
    /// what nobody reads.
    fn drop(&mut self) {
        if self.generation.is_over() {
            return;
        }
        let running: Vec<(AttemptNo, EngineId)> = self
            .generation
            .running()
            .filter_map(|attempt| Some((attempt.no, attempt.engine.clone()?)))
            .collect();
        let state = self.state.clone();
        let generation = self.admitted.generation;
        let service = self.admitted.service.clone();
        log::info!(
            "generation: the caller of request {} went away",
            self.admitted.id
        );
        tokio::spawn(async move {
            tokio::time::sleep(state.options.callers.return_grace).await;
            for (attempt, engine) in running {
                let Some(address) = state.engine_address(&service, &engine) else {
                    continue;
                };
                state
                    .engine(address)
                    .cancel(&stream_id(generation, attempt), CancelWhen::Unread)
                    .await;
            }
        });
    }
}
