//! Executes the actions of the generation state machine.

use {
    super::{Driver, OpenOutcome, PendingResult},
    crate::fleet::ChosenEngine,
    rand::RngExt,
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        ids::{AttemptNo, EngineId, Position, TokenId, stream_id},
        protection::{Protection, enabled},
    },
    tealshore_decide::{
        generation::{Action, Event},
        routing::Urgency,
    },
    tealshore_engines::{CancelWhen, Engine, wire::ModelPin},
};

impl Driver {
    pub(super) fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { attempt } => self.dispatch(attempt),
                Action::Cancel { attempt, engine } => self.cancel(attempt, &engine),
                Action::Emit { position, token } => self.emit(position, token),
                Action::Finish { reason } => self
                    .outputs
                    .finish(self.generation.received().len() as Position, reason),
                Action::Fail { kind } => self.fail(kind),
            }
        }
    }

    fn dispatch(&mut self, attempt: AttemptNo) {
        let has_tokens = !self.generation.received().is_empty();
        let urgency = if has_tokens {
            Urgency::Resume
        } else {
            Urgency::New
        };
        let service = &self.admitted.service;
        let random = rand::rng().random();
        let chosen = self.state.fleet.choose_engine(
            service,
            self.generation.failed_engines(),
            urgency,
            random,
        );
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
            "generation: request {} attempt {attempt} dispatched to {engine}",
            self.admitted.id
        );
        self.handle(Event::Dispatched {
            attempt,
            engine: engine.clone(),
        });
        self.report_location(attempt, &engine);
        let order = self
            .admitted
            .order(attempt, self.pin(), self.generation.received());
        let upstream = self.state.engine(address);
        self.pending.push(Box::pin(async move {
            let result = upstream.generate(&order).await;
            PendingResult::Opened(Box::new(OpenOutcome {
                attempt,
                engine,
                result,
            }))
        }));
    }

    /// Model, adapter and version of the next attempt, which are those of the first attempt.
    fn pin(&self) -> ModelPin {
        if enabled(Protection::PinnedVersion) {
            return self.admitted.pin.clone();
        }
        let active = self.state.in_force.now();
        let grant = active.as_ref().and_then(|active| {
            let customer = active.declarations.customer(&self.admitted.customer)?;
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

    pub(super) fn attach(
        &mut self,
        attempt: AttemptNo,
        engine: EngineId,
        address: std::net::SocketAddr,
    ) {
        let stream = stream_id(self.admitted.generation, attempt);
        let from = self.generation.received().len() as Position;
        let upstream = self.state.engine(address);
        self.pending.push(Box::pin(async move {
            let result = upstream.attach(&stream, from).await;
            PendingResult::Opened(Box::new(OpenOutcome {
                attempt,
                engine,
                result,
            }))
        }));
    }

    pub(super) fn report_location(&self, attempt: AttemptNo, engine: &EngineId) {
        let location = self.admitted.location_at(attempt, engine);
        let state = self.state.clone();
        let key = self.admitted.key();
        tokio::spawn(async move { state.update_location(key, location).await });
    }

    pub(super) fn cancel(&mut self, attempt: AttemptNo, engine: &EngineId) {
        self.streams.remove(&attempt);
        if self.generation.failed_engines().contains(engine) {
            self.state
                .fleet
                .mark_engine_failed(&self.admitted.service, engine);
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
            self.outputs
                .set_attempt(&self.state, &self.admitted, current);
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
                "generation: request {} resumed after {} ms",
                self.admitted.id,
                lost_at.elapsed().as_millis()
            );
        }
    }

    pub(super) fn fail(&mut self, kind: ErrorKind) {
        let tokens = self.generation.received().len();
        let failure = Failure::new(
            kind,
            format!("request {} after {tokens} tokens", self.admitted.id),
        );
        let failure = match self.admitted.start.earlier_try() {
            Some(earlier) => failure.after_earlier_attempt(earlier),
            None => failure,
        };
        if failure.ran() == Ran::No
            && let Some(claim) = self.admitted.claim.take()
        {
            self.state.claims.release(claim);
        }
        self.outputs.fail(failure);
    }
}
