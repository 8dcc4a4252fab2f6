//! The life of one generation and of its attempts, as a pure state machine.
//!
//! The machine owns what the caller must see: a token is let through only from the current
//! attempt and only at the next position. The driver executes the actions and reports back.

mod attempt;

pub use attempt::{Attempt, Loss};
use {
    crate::{
        policy::{Repeat, ResumePolicy, SilenceBounds},
        silence::GapEstimate,
    },
    std::time::{Duration, Instant},
    tealshore_core::{
        answer::ErrorKind,
        chain::TokenChain,
        ids::{AttemptNo, EngineId, Position, TokenId},
        protection::{Protection, enabled},
    },
};

/// How many times the wait for the first token of all a resume may take for its own.
const FIRST_WAITS: u32 = 3;
/// Attempts that are not spent on engines that may merely be slow.
const KEPT_ATTEMPTS: u32 = 2;

/// Why an answer ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached the length that was asked for.
    Length,
}

/// What is fixed about a generation when it starts.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// Whether it may reach a model more than once.
    pub repeat: Repeat,
    /// The customer's choice.
    pub policy: ResumePolicy,
    /// The length that was asked for.
    pub max_tokens: Position,
    /// How many more attempts may be made, the first included.
    pub max_attempts: u32,
    /// The number of the next attempt.
    pub next_attempt: AttemptNo,
}

/// What a caller that comes back has proved to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// How many tokens it has.
    pub position: Position,
    /// Their running hash.
    pub chain: TokenChain,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The order of an attempt went to an engine; bytes may have left.
    Dispatched {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it went.
        engine: EngineId,
    },
    /// No engine could be found for an attempt.
    NoEngine {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An engine sent a token.
    Token {
        /// The attempt that it belongs to.
        attempt: AttemptNo,
        /// Its position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// An engine ended its answer.
    End {
        /// The attempt.
        attempt: AttemptNo,
        /// How many tokens the answer has by the engine's word.
        position: Position,
        /// Why it ended.
        reason: FinishReason,
    },
    /// An attempt is over without an end.
    Lost {
        /// The attempt.
        attempt: AttemptNo,
        /// How it was lost.
        loss: Loss,
    },
    /// An engine says that the customer cancelled an attempt.
    Aborted {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Time went by.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an engine for an attempt and send it the prompt and all received tokens.
    Place {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Stop an attempt, as well as can be done.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it runs.
        engine: EngineId,
    },
    /// Pass the token that was just handled on to the caller.
    Emit {
        /// Its position.
        position: Position,
        /// The token.
        token: TokenId,
    },
    /// Tell the caller that the answer is whole.
    Finish {
        /// Why it ended.
        reason: FinishReason,
    },
    /// Tell the caller that the answer can't go on.
    Fail {
        /// What went wrong.
        kind: ErrorKind,
    },
}

/// What a generation cost beyond a clean run, and what it waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationCounts {
    /// Attempts that were made after the first.
    pub resumes: u32,
    /// Suspicions raised by silence.
    pub suspicions: u32,
    /// Suspicions after which the suspected engine went on.
    pub false_suspicions: u32,
}

/// One generation.
#[derive(Clone, Debug)]
pub struct Generation {
    spec: GenerationSpec,
    bounds: SilenceBounds,
    received: Vec<TokenId>,
    chain: TokenChain,
    held: Option<Held>,
    emit_from: Position,
    current: Option<Attempt>,
    standby: Option<Attempt>,
    gaps: GapEstimate,
    first_wait: Option<Duration>,
    avoid: Vec<EngineId>,
    over: bool,
    counts: GenerationCounts,
}

impl Generation {
    /// A generation whose caller has nothing yet.
    #[must_use]
    pub fn new(spec: GenerationSpec) -> Self {
        Self::with_tokens(spec, Vec::new())
    }

    /// A generation whose caller sent back the tokens that it holds.
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
            first_wait: None,
            avoid: Vec::new(),
            over: false,
            counts: GenerationCounts::default(),
        }
    }

    /// A generation that is read again from its engine's start, for a caller that holds a
    /// part of it and did not send that part back.
    #[must_use]
    pub fn held_by_caller(spec: GenerationSpec, held: Held) -> Self {
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
        self.place_current(now, &mut actions);
        actions
    }

    /// Takes over an attempt that another entry host started.
    pub fn adopt(&mut self, attempt: AttemptNo, engine: EngineId, now: Instant) {
        self.spec.next_attempt = self.spec.next_attempt.max(attempt + 1);
        self.current = Some(Attempt::adopted(attempt, engine, now));
    }

    /// Notes that the engine of an attempt reported its load at this time. Queueing and
    /// prefill are silent, so until the first token a report stands for it.
    pub fn alive(&mut self, attempt: AttemptNo, reported_at: Instant) {
        let attempts = self.current.iter_mut().chain(&mut self.standby);
        for known in attempts.filter(|known| known.no == attempt && !known.has_sent) {
            known.last_heard = known.last_heard.max(reported_at);
        }
    }

    /// Ends the generation on this host; it may go on elsewhere.
    pub fn abandon(&mut self) {
        self.over = true;
    }

    /// All tokens of the answer so far.
    #[must_use]
    pub fn received(&self) -> &[TokenId] {
        &self.received
    }

    /// The running hash of [`Generation::received`].
    #[must_use]
    pub fn chain(&self) -> TokenChain {
        self.chain
    }

    /// Engines that failed this generation.
    #[must_use]
    pub fn avoid(&self) -> &[EngineId] {
        &self.avoid
    }

    /// Whether nothing more will happen.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// What the generation cost.
    #[must_use]
    pub fn counts(&self) -> GenerationCounts {
        self.counts
    }

    /// The attempt whose tokens count, with its engine.
    #[must_use]
    pub fn current(&self) -> Option<&Attempt> {
        self.current.as_ref()
    }

    /// The attempts that still occupy an engine.
    pub fn running(&self) -> impl Iterator<Item = &Attempt> {
        self.current
            .iter()
            .chain(&self.standby)
            .filter(|attempt| attempt.engine.is_some())
    }

    /// When [`Event::Tick`] is due if nothing else happens.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let attempts = self.current.iter().chain(&self.standby);
        attempts
            .filter(|attempt| attempt.engine.is_some())
            .map(|attempt| self.suspect_at(attempt))
            .min()
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        if self.over {
            return Vec::new();
        }
        let mut actions = Vec::new();
        match event {
            Event::Dispatched { attempt, engine } => self.dispatched(attempt, engine, now),
            Event::NoEngine { attempt } => self.no_engine(attempt, &mut actions),
            Event::Token {
                attempt,
                position,
                token,
            } => self.token(attempt, position, token, now, &mut actions),
            Event::End {
                attempt,
                position,
                reason,
            } => self.end(attempt, position, reason, now, &mut actions),
            Event::Lost { attempt, loss } => self.lost(attempt, loss, now, &mut actions),
            Event::Aborted { attempt } => self.aborted(attempt, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn dispatched(&mut self, attempt: AttemptNo, engine: EngineId, now: Instant) {
        let attempts = self.current.iter_mut().chain(&mut self.standby);
        for known in attempts.filter(|known| known.no == attempt) {
            *known = Attempt::running(attempt, engine.clone(), now);
        }
    }

    fn no_engine(&mut self, attempt: AttemptNo, actions: &mut Vec<Action>) {
        if self.is_standby(attempt) {
            // The suspected engine is all there is: keep to it until it counts as dead.
            self.standby = None;
            return;
        }
        if self.is_current(attempt) {
            let kind = if self.ran_before() {
                ErrorKind::RetriesSpent
            } else {
                ErrorKind::NoEngine
            };
            self.fail(kind, actions);
        }
    }

    fn token(
        &mut self,
        attempt: AttemptNo,
        position: Position,
        token: TokenId,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_known(attempt) {
            return;
        }
        let expected = self.received.len() as Position;
        if position != expected && enabled(Protection::PositionCheck) {
            return self.lost(attempt, Loss::Broken, now, actions);
        }
        if self.is_standby(attempt) {
            self.promote_standby(actions);
        } else if let Some(standby) = self.standby.take() {
            self.counts.false_suspicions += 1;
            cancel(&standby, actions);
        }
        self.note_time(now);
        self.accept(token, actions);
    }

    fn note_time(&mut self, now: Instant) {
        let Some(current) = self.current.as_mut() else {
            return;
        };
        match current.heard(now) {
            Some(gap) => self.gaps.observe(gap),
            // An adopted attempt was dispatched elsewhere, at a time that is not known here.
            None if current.adopted => {}
            None => {
                let wait = now.saturating_duration_since(current.dispatched_at);
                self.first_wait.get_or_insert(wait);
            }
        }
    }

    fn accept(&mut self, token: TokenId, actions: &mut Vec<Action>) {
        let position = self.received.len() as Position;
        self.received.push(token);
        self.chain = self.chain.push(token);
        if self.differs_from_held() {
            return self.mixed(actions);
        }
        if position >= self.emit_from {
            actions.push(Action::Emit { position, token });
        }
    }

    /// Whether the tokens up to the caller's position are other ones than the caller has.
    fn differs_from_held(&self) -> bool {
        let Some(held) = self.held else { return false };
        let reached = self.received.len() as Position == held.position;
        reached && held.chain != self.chain && enabled(Protection::ChainCheck)
    }

    fn mixed(&mut self, actions: &mut Vec<Action>) {
        self.cancel_all(actions);
        self.fail(ErrorKind::ResumeMismatch, actions);
    }

    fn end(
        &mut self,
        attempt: AttemptNo,
        position: Position,
        reason: FinishReason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_known(attempt) {
            return;
        }
        let expected = self.received.len() as Position;
        if position != expected && enabled(Protection::PositionCheck) {
            return self.lost(attempt, Loss::Broken, now, actions);
        }
        if self.is_standby(attempt) {
            self.promote_standby(actions);
        } else if let Some(standby) = self.standby.take() {
            cancel(&standby, actions);
        }
        actions.extend(self.finish(reason));
    }

    fn aborted(&mut self, attempt: AttemptNo, actions: &mut Vec<Action>) {
        if self.is_known(attempt) {
            self.cancel_all(actions);
            self.fail(ErrorKind::Cancelled, actions);
        }
    }

    fn lost(&mut self, attempt: AttemptNo, loss: Loss, now: Instant, actions: &mut Vec<Action>) {
        if self.is_standby(attempt) {
            let lost = self.standby.take();
            self.avoid_engine_of(lost.as_ref());
            self.replace_standby(now, actions);
            return;
        }
        if !self.is_current(attempt) {
            return;
        }
        let lost = self.current.take();
        self.avoid_engine_of(lost.as_ref());
        if let (Some(lost), Loss::Silent | Loss::Broken) = (&lost, loss) {
            cancel(lost, actions);
        }
        if let Some(standby) = self.standby.take() {
            self.current = Some(standby);
            return;
        }
        let never_ran = lost.is_some_and(|lost| lost.never_ran(loss));
        self.go_on_after(never_ran, now, actions);
    }

    fn go_on_after(&mut self, never_ran: bool, now: Instant, actions: &mut Vec<Action>) {
        if self.is_complete() {
            // The last token came, only the end marker is missing.
            actions.extend(self.finish(FinishReason::Length));
            return;
        }
        if (self.received.len() as Position) < self.emit_from {
            return self.fail(ErrorKind::ResumeNeedsTokens, actions);
        }
        let may_repeat =
            self.spec.repeat == Repeat::Allowed || !enabled(Protection::SingleDispatch);
        if !never_ran && !may_repeat {
            let kind = if self.received.is_empty() {
                ErrorKind::UpstreamUnconfirmed
            } else {
                ErrorKind::UpstreamLost
            };
            return self.fail(kind, actions);
        }
        if self.spec.max_attempts == 0 {
            let kind = if self.ran_before() {
                ErrorKind::RetriesSpent
            } else {
                ErrorKind::NoEngine
            };
            return self.fail(kind, actions);
        }
        self.counts.resumes += u32::from(!never_ran);
        self.place_current(now, actions);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(standby) = self
            .standby
            .clone()
            .filter(|standby| self.is_silent(standby, now))
        {
            cancel(&standby, actions);
            self.lost(standby.no, Loss::Silent, now, actions);
        }
        let Some(current) = self
            .current
            .clone()
            .filter(|current| self.is_silent(current, now))
        else {
            return;
        };
        if self.may_prepare() && !self.is_dead(&current, now) {
            self.counts.suspicions += 1;
            self.prepare_standby(now, actions);
        } else {
            self.lost(current.no, Loss::Silent, now, actions);
        }
    }

    fn may_prepare(&self) -> bool {
        self.spec.policy == ResumePolicy::Latency
            && self.spec.repeat == Repeat::Allowed
            && self.spec.max_attempts > 0
            && self.received.len() as Position >= self.emit_from
    }

    /// The suspected engine is still silent, so another one is prepared; the last attempts
    /// are kept for when it counts as dead.
    fn replace_standby(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_suspected = self
            .current
            .as_ref()
            .is_some_and(|current| current.suspected);
        if is_suspected && self.may_prepare() && self.spec.max_attempts >= KEPT_ATTEMPTS {
            self.prepare_standby(now, actions);
        }
    }

    fn prepare_standby(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(current) = self.current.as_mut() {
            current.suspected = true;
        }
        if self.standby.is_some() {
            return;
        }
        let attempt = self.take_attempt_no();
        self.standby = Some(Attempt::placing(attempt, now));
        actions.push(Action::Place { attempt });
    }

    fn place_current(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let attempt = self.take_attempt_no();
        self.current = Some(Attempt::placing(attempt, now));
        actions.push(Action::Place { attempt });
    }

    fn take_attempt_no(&mut self) -> AttemptNo {
        let attempt = self.spec.next_attempt;
        self.spec.next_attempt += 1;
        self.spec.max_attempts = self.spec.max_attempts.saturating_sub(1);
        attempt
    }

    fn promote_standby(&mut self, actions: &mut Vec<Action>) {
        if let Some(suspected) = self.current.take() {
            cancel(&suspected, actions);
            self.avoid_engine_of(Some(&suspected));
        }
        self.counts.resumes += 1;
        self.current = self.standby.take();
    }

    fn suspect_at(&self, attempt: &Attempt) -> Instant {
        let bound = match (attempt.has_sent, attempt.suspected) {
            (false, _) => self.first_token_bound(),
            (true, true) => self.bounds.death,
            (true, false) => self.gaps.bound(&self.bounds),
        };
        attempt.last_heard + bound
    }

    /// How long the first token of an attempt may take. A resume computes about what the
    /// first attempt did, so some times its wait is enough; the last attempts wait longest.
    fn first_token_bound(&self) -> Duration {
        match self.first_wait {
            Some(first_wait) if self.spec.max_attempts >= KEPT_ATTEMPTS => {
                (first_wait * FIRST_WAITS).clamp(self.bounds.floor * 2, self.bounds.first_token)
            }
            _ => self.bounds.first_token,
        }
    }

    fn is_silent(&self, attempt: &Attempt, now: Instant) -> bool {
        attempt.engine.is_some() && now >= self.suspect_at(attempt)
    }

    fn is_dead(&self, attempt: &Attempt, now: Instant) -> bool {
        now.saturating_duration_since(attempt.last_heard) >= self.bounds.death
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

    fn ran_before(&self) -> bool {
        !self.received.is_empty() || self.counts.resumes > 0
    }

    fn avoid_engine_of(&mut self, attempt: Option<&Attempt>) {
        if let Some(engine) = attempt.and_then(|attempt| attempt.engine.clone()) {
            self.avoid.push(engine);
        }
    }

    fn cancel_all(&mut self, actions: &mut Vec<Action>) {
        for attempt in [self.current.take(), self.standby.take()].iter().flatten() {
            cancel(attempt, actions);
        }
    }

    fn finish(&mut self, reason: FinishReason) -> Vec<Action> {
        self.over = true;
        vec![Action::Finish { reason }]
    }

    fn fail(&mut self, kind: ErrorKind, actions: &mut Vec<Action>) {
        self.over = true;
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
