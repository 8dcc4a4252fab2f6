//! Drives one generation. The response body polls the driver directly, so tokens pass through
//! no other task, and the driver is dropped when the caller disconnects.

mod actions;

use {
    super::{
        admitted::{AdmittedRequest, GenerationStart},
        output::{Output, OutputQueue},
    },
    crate::{fleet::EngineSlot, state::RouterState},
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    std::{collections::HashMap, pin::Pin, sync::Arc, time::Instant},
    tealshore_core::{
        answer::{ErrorKind, Failure},
        ids::{AttemptNo, EngineId, FIRST_ATTEMPT, stream_id},
    },
    tealshore_decide::generation::{Event, FinishReason, Generation, GenerationSpec, Loss},
    tealshore_engines::{CancelWhen, DispatchError, Engine, StreamEnd, StreamItem, TokenStream},
    tokio::time::{Sleep, sleep_until},
    tokio_stream::StreamMap,
};

struct OpenOutcome {
    attempt: AttemptNo,
    engine: EngineId,
    result: Result<TokenStream, DispatchError>,
}

/// Result of an asynchronous call that the driver awaits next to the token streams.
enum PendingResult {
    /// An engine answered a generation request or an attach request.
    Opened(Box<OpenOutcome>),
    /// The home host of the request was asked whether the customer cancelled an attempt.
    AbortChecked {
        attempt: AttemptNo,
        by_customer: bool,
    },
}

/// Drives one generation and produces the output for its caller.
pub struct Driver {
    state: Arc<RouterState>,
    admitted: AdmittedRequest,
    generation: Generation,
    streams: StreamMap<AttemptNo, TokenStream>,
    slots: HashMap<AttemptNo, EngineSlot>,
    pending: FuturesUnordered<BoxFuture<'static, PendingResult>>,
    outputs: OutputQueue,
    text: String,
    timer: Pin<Box<Sleep>>,
    lost_at: Option<Instant>,
}

impl Driver {
    /// Starts the first attempt of the generation.
    pub fn start(state: Arc<RouterState>, admitted: AdmittedRequest) -> Self {
        let now = Instant::now();
        let spec = GenerationSpec {
            repeat: admitted.repeat,
            policy: admitted.policy,
            max_tokens: admitted.max_tokens(),
            max_attempts: state.options.resume.max_attempts,
            next_attempt: FIRST_ATTEMPT,
        };
        let generation = match &admitted.start {
            GenerationStart::New => Generation::new(spec),
            GenerationStart::FromTokens { received, .. } => {
                Generation::with_tokens(spec, received.clone())
            }
            GenerationStart::Attach { held, .. } => Generation::replaying_for(spec, *held),
        };
        let mut driver = Self {
            outputs: OutputQueue::new(&admitted.id),
            state,
            admitted,
            generation,
            streams: StreamMap::new(),
            slots: HashMap::new(),
            pending: FuturesUnordered::new(),
            text: String::new(),
            timer: Box::pin(sleep_until(now.into())),
            lost_at: None,
        };
        driver.start_first_attempt(now);
        driver
    }

    /// Waits for the next output for the caller; `None` after the end.
    pub async fn next(&mut self) -> Option<Output> {
        loop {
            if let Some(output) = self.outputs.pop() {
                return Some(output);
            }
            if self.generation.is_over() {
                return None;
            }
            self.wait_for_event().await;
        }
    }

    fn start_first_attempt(&mut self, now: Instant) {
        let running = match &self.admitted.start {
            GenerationStart::New => None,
            GenerationStart::FromTokens { running, .. }
            | GenerationStart::Attach { running, .. } => Some(running.clone()),
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

    async fn wait_for_event(&mut self) {
        let now = Instant::now();
        if let Some(due) = self.generation.next_tick() {
            self.arm_timer(due.into(), now.into());
        }
        let state = self.state.clone();
        // Items that have arrived are handled before the timer, so that a driver that was not
        // polled for a while does not mistake its own delay for an engine's silence.
        tokio::select! {
            biased;
            Some((attempt, item)) = self.streams.next() => self.handle_item(attempt, item),
            Some(answer) = self.pending.next() => self.handle_result(answer),
            () = state.stop.handover_started() => self.hand_over(),
            () = &mut self.timer, if self.generation.next_tick().is_some() => self.tick(),
        }
    }

    /// Resets the timer only if it has fired or is set too late: an early tick does nothing, and
    /// most tokens only move the due time back.
    fn arm_timer(&mut self, due: tokio::time::Instant, now: tokio::time::Instant) {
        let deadline = self.timer.deadline();
        if deadline <= now || due < deadline {
            self.timer.as_mut().reset(due);
        }
    }

    fn handle_item(&mut self, attempt: AttemptNo, item: StreamItem) {
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
                self.mark_attempt_failed(attempt);
                self.handle(Event::Lost {
                    attempt,
                    loss: Loss::Broken,
                });
            }
        }
    }

    /// Asks the home host whether the customer cancelled the request. An engine does not report
    /// who cancelled a stream: it may also have been an entry host that froze and resumed after
    /// this host had taken over.
    fn check_abort(&mut self, attempt: AttemptNo) {
        let state = self.state.clone();
        let key = self.admitted.key();
        self.pending.push(Box::pin(async move {
            let location = state.find_location(&key).await;
            let by_customer = location.is_some_and(|location| location.cancelled);
            PendingResult::AbortChecked {
                attempt,
                by_customer,
            }
        }));
    }

    fn handle_result(&mut self, answer: PendingResult) {
        match answer {
            PendingResult::Opened(opened) => self.handle_opened(*opened),
            PendingResult::AbortChecked {
                attempt,
                by_customer: true,
            } => self.handle(Event::Aborted { attempt }),
            PendingResult::AbortChecked {
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

    fn handle_opened(&mut self, opened: OpenOutcome) {
        let OpenOutcome {
            attempt,
            engine,
            result,
        } = opened;
        let is_running = self
            .generation
            .running()
            .any(|running| running.no == attempt);
        let loss = match result {
            Ok(stream) if is_running => {
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
            .mark_engine_failed(&self.admitted.service, &engine);
        self.handle(Event::Lost { attempt, loss });
    }

    fn hand_over(&mut self) {
        let detail = "the entry host stops; go on elsewhere with the last event's id";
        let failure = Failure::new(ErrorKind::HandedOver, detail);
        self.outputs.fail(failure);
        // The stream stays at its engine, so that the caller can resume it at another host.
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
                self.generation.note_load_report(attempt, reported_at);
            }
        }
        let suspicions = self.generation.counts().suspicions;
        self.handle(Event::Tick);
        if self.generation.counts().suspicions > suspicions {
            self.record_suspicion();
        }
    }

    /// Counts the suspicion and marks the engine as failed for a while, so that other generations
    /// do not choose it to resume on.
    fn record_suspicion(&mut self) {
        self.state.metrics.suspicions.inc();
        if let Some(current) = self.generation.current() {
            self.mark_attempt_failed(current.no);
        }
    }

    fn mark_attempt_failed(&mut self, attempt: AttemptNo) {
        let engine = self
            .generation
            .running()
            .find(|running| running.no == attempt)
            .and_then(|running| running.engine.clone());
        if let Some(engine) = engine {
            self.state
                .fleet
                .mark_engine_failed(&self.admitted.service, &engine);
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
            self.release_slots();
        }
    }

    /// Releases the slots of attempts that are no longer running.
    fn release_slots(&mut self) {
        let generation = &self.generation;
        self.slots
            .retain(|attempt, _| generation.running().any(|running| running.no == *attempt));
    }
}

impl Drop for Driver {
    /// Handles a caller that disconnected: waits for the grace period, in which it may come back
    /// to this host or another one, then cancels the streams that nobody reads.
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
            "generation: caller of request {} disconnected",
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
