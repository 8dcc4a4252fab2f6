//! State machine of one generation and its attempts.
//!
//! The machine decides what the caller sees: it emits a token only from the current attempt and
//! only at the next position. The driver executes the returned actions and reports the results as
//! events.

mod attempt;
mod recovery;
mod types;
mod watch;

use {
    crate::{policy::SilenceBounds, silence::GapEstimate},
    std::time::{Duration, Instant},
    tealshore_core::{
        answer::ErrorKind,
        chain::TokenChain,
        ids::{AttemptNo, EngineId, Position, TokenId},
        protection::{Protection, enabled},
    },
};
pub use {
    attempt::{Attempt, Loss},
    types::{Action, Event, FinishReason, GenerationCounts, GenerationSpec, ResumePoint},
};

/// State of one generation.
#[derive(Clone, Debug)]
pub struct Generation {
    spec: GenerationSpec,
    bounds: SilenceBounds,
    received: Vec<TokenId>,
    chain: TokenChain,
    held: Option<ResumePoint>,
    emit_from: Position,
    current: Option<Attempt>,
    standby: Option<Attempt>,
    gaps: GapEstimate,
    first_token_wait: Option<Duration>,
    failed_engines: Vec<EngineId>,
    ended: bool,
    counts: GenerationCounts,
}

impl Generation {
    /// Creates a generation whose caller holds no tokens yet.
    #[must_use]
    pub fn new(spec: GenerationSpec) -> Self {
        Self::with_tokens(spec, Vec::new())
    }

    /// Creates a generation whose caller sent back the tokens that it holds.
    #[must_use]
    pub fn with_tokens(spec: GenerationSpec, received: Vec<TokenId>) -> Self {
        Self {
            bounds: spec.policy.bounds(),
            chain: TokenChain::of(&received),
            emit_from: received.len() as Position,
            spec,
            received,
            held: None,
            current: None,
            standby: None,
            gaps: GapEstimate::default(),
            first_token_wait: None,
            failed_engines: Vec::new(),
            ended: false,
            counts: GenerationCounts::default(),
        }
    }

    /// Creates a generation that is replayed from the start of its engine's stream, for a caller
    /// that holds some of the tokens but did not send them back.
    #[must_use]
    pub fn replaying_for(spec: GenerationSpec, held: ResumePoint) -> Self {
        let mut generation = Self::new(spec);
        generation.emit_from = held.position;
        generation.held = Some(held);
        generation
    }

    /// Starts the first attempt.
    pub fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.is_complete() {
            return self.finish(FinishReason::Length);
        }
        let mut actions = Vec::new();
        self.place_attempt(now, &mut actions);
        actions
    }

    /// Takes over an attempt that another entry host started.
    pub fn adopt(&mut self, attempt: AttemptNo, engine: EngineId, now: Instant) {
        self.spec.next_attempt = self.spec.next_attempt.max(attempt + 1);
        self.current = Some(Attempt::adopted(attempt, engine, now));
    }

    /// Records when the engine of an attempt last reported its load. An engine sends nothing while
    /// a request is queued or in prefill, so a load report counts as activity until the first
    /// token.
    pub fn note_load_report(&mut self, attempt: AttemptNo, reported_at: Instant) {
        let attempts = self.current.iter_mut().chain(&mut self.standby);
        for known in attempts.filter(|known| known.no == attempt && !known.has_sent_token) {
            known.last_activity = known.last_activity.max(reported_at);
        }
    }

    /// Ends the generation on this host; another host may continue it.
    pub fn abandon(&mut self) {
        self.ended = true;
    }

    /// Returns all tokens of the answer so far.
    #[must_use]
    pub fn received(&self) -> &[TokenId] {
        &self.received
    }

    /// Returns the running hash of [`Generation::received`].
    #[must_use]
    pub fn chain(&self) -> TokenChain {
        self.chain
    }

    /// Returns the engines on which an attempt of this generation failed.
    #[must_use]
    pub fn failed_engines(&self) -> &[EngineId] {
        &self.failed_engines
    }

    /// Returns whether the generation has ended on this host; further events are ignored.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.ended
    }

    /// Returns the resumes and suspicions so far.
    #[must_use]
    pub fn counts(&self) -> GenerationCounts {
        self.counts
    }

    /// Returns the attempt whose tokens are emitted.
    #[must_use]
    pub fn current(&self) -> Option<&Attempt> {
        self.current.as_ref()
    }

    /// Returns the attempts that still occupy an engine.
    pub fn running(&self) -> impl Iterator<Item = &Attempt> {
        self.current
            .iter()
            .chain(&self.standby)
            .filter(|attempt| attempt.engine.is_some())
    }

    /// Processes an event and returns the actions to execute.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        let mut actions = Vec::new();
        match event {
            Event::Dispatched { attempt, engine } => self.on_dispatched(attempt, engine, now),
            Event::NoEngine { attempt } => self.on_no_engine(attempt, &mut actions),
            Event::Token {
                attempt,
                position,
                token,
            } => self.on_token(attempt, position, token, now, &mut actions),
            Event::End {
                attempt,
                position,
                reason,
            } => self.on_end(attempt, position, reason, now, &mut actions),
            Event::Lost { attempt, loss } => self.on_lost(attempt, loss, now, &mut actions),
            Event::Aborted { attempt } => self.on_aborted(attempt, &mut actions),
            Event::Tick => self.on_tick(now, &mut actions),
        }
        actions
    }

    fn on_dispatched(&mut self, attempt: AttemptNo, engine: EngineId, now: Instant) {
        let attempts = self.current.iter_mut().chain(&mut self.standby);
        for known in attempts.filter(|known| known.no == attempt) {
            *known = Attempt::running(attempt, engine.clone(), now);
        }
    }

    fn on_no_engine(&mut self, attempt: AttemptNo, actions: &mut Vec<Action>) {
        if self.is_standby(attempt) {
            // No other engine is available: keep the suspected one until it counts as dead.
            self.standby = None;
            return;
        }
        if self.is_current(attempt) {
            let kind = if self.has_run() {
                ErrorKind::RetriesSpent
            } else {
                ErrorKind::NoEngine
            };
            self.fail(kind, actions);
        }
    }

    fn on_token(
        &mut self,
        attempt: AttemptNo,
        position: Position,
        token: TokenId,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.admits_output(attempt, position, now, actions) {
            self.record_token_time(now);
            self.append_token(token, actions);
        }
    }

    /// Returns whether output of an attempt at a position is accepted. If so, that attempt becomes
    /// or stays the current one, and the other attempt, if any, is cancelled.
    fn admits_output(
        &mut self,
        attempt: AttemptNo,
        position: Position,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.is_known(attempt) {
            return false;
        }
        let expected = self.received.len() as Position;
        if position != expected && enabled(Protection::PositionCheck) {
            self.on_lost(attempt, Loss::Broken, now, actions);
            return false;
        }
        if self.is_standby(attempt) {
            self.promote_standby(actions);
        } else if let Some(standby) = self.standby.take() {
            self.counts.false_suspicions += 1;
            cancel(&standby, actions);
        }
        true
    }

    fn record_token_time(&mut self, now: Instant) {
        let Some(current) = self.current.as_mut() else {
            return;
        };
        match current.record_token(now) {
            Some(gap) => self.gaps.observe(gap),
            // An adopted attempt was dispatched by another host at a time that is not known here.
            None if current.adopted => {}
            None => {
                let wait = now.saturating_duration_since(current.dispatched_at);
                self.first_token_wait.get_or_insert(wait);
            }
        }
    }

    fn append_token(&mut self, token: TokenId, actions: &mut Vec<Action>) {
        let position = self.received.len() as Position;
        self.received.push(token);
        self.chain = self.chain.push(token);
        if self.mismatches_resume_point() {
            return self.fail_mismatch(actions);
        }
        if position >= self.emit_from {
            actions.push(Action::Emit { position, token });
        }
    }

    /// Returns whether the tokens up to the caller's position differ from those that the caller
    /// holds.
    fn mismatches_resume_point(&self) -> bool {
        let Some(held) = self.held else { return false };
        let reached = self.received.len() as Position == held.position;
        reached && held.chain != self.chain && enabled(Protection::ChainCheck)
    }

    fn fail_mismatch(&mut self, actions: &mut Vec<Action>) {
        self.cancel_all(actions);
        self.fail(ErrorKind::ResumeMismatch, actions);
    }

    fn on_end(
        &mut self,
        attempt: AttemptNo,
        position: Position,
        reason: FinishReason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.admits_output(attempt, position, now, actions) {
            actions.extend(self.finish(reason));
        }
    }

    fn on_aborted(&mut self, attempt: AttemptNo, actions: &mut Vec<Action>) {
        if self.is_known(attempt) {
            self.cancel_all(actions);
            self.fail(ErrorKind::Cancelled, actions);
        }
    }

    fn place_attempt(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let attempt = self.next_attempt_no();
        self.current = Some(Attempt::placing(attempt, now));
        actions.push(Action::Place { attempt });
    }

    fn next_attempt_no(&mut self) -> AttemptNo {
        let attempt = self.spec.next_attempt;
        self.spec.next_attempt += 1;
        self.spec.max_attempts = self.spec.max_attempts.saturating_sub(1);
        attempt
    }

    fn promote_standby(&mut self, actions: &mut Vec<Action>) {
        if let Some(suspected) = self.current.take() {
            cancel(&suspected, actions);
            self.exclude_engine_of(Some(&suspected));
        }
        self.counts.resumes += 1;
        self.current = self.standby.take();
    }

    fn is_complete(&self) -> bool {
        self.received.len() as Position >= self.spec.max_tokens
    }

    fn is_current(&self, attempt: AttemptNo) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.no == attempt)
    }

    fn is_standby(&self, attempt: AttemptNo) -> bool {
        self.standby
            .as_ref()
            .is_some_and(|standby| standby.no == attempt)
    }

    fn is_known(&self, attempt: AttemptNo) -> bool {
        self.is_current(attempt) || self.is_standby(attempt) || !enabled(Protection::AttemptCheck)
    }

    fn has_run(&self) -> bool {
        !self.received.is_empty() || self.counts.resumes > 0
    }

    fn exclude_engine_of(&mut self, attempt: Option<&Attempt>) {
        if let Some(engine) = attempt.and_then(|attempt| attempt.engine.clone()) {
            self.failed_engines.push(engine);
        }
    }

    fn cancel_all(&mut self, actions: &mut Vec<Action>) {
        for attempt in [self.current.take(), self.standby.take()].iter().flatten() {
            cancel(attempt, actions);
        }
    }

    fn finish(&mut self, reason: FinishReason) -> Vec<Action> {
        self.ended = true;
        vec![Action::Finish { reason }]
    }

    fn fail(&mut self, kind: ErrorKind, actions: &mut Vec<Action>) {
        self.ended = true;
        actions.push(Action::Fail { kind });
    }
}

fn cancel(attempt: &Attempt, actions: &mut Vec<Action>) {
    if let Some(engine) = &attempt.engine {
        actions.push(Action::Cancel {
            attempt: attempt.no,
            engine: engine.clone(),
        });
    }
}
