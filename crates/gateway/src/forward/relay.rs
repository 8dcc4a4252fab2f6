//! Carries the events of a stream to its caller, each once, over as many engines as it
//! takes.
//!
//! While an engine runs a stream, the run's memory is copied to another engine. When the
//! first one dies, the stream goes on from the copy; without one, the prompt is read again.

use {
    super::{
        call::{Call, strip_connection_headers},
        connect::{self, Answer, Connection, SendFailure},
        probe::{Patience, wait_while_alive},
        recopy::Recopy,
        reservation::Reservation,
    },
    crate::{
        balance::Need,
        edge::{MemoryCopy, Order, Urgency},
        events::{Event, EventSplitter, Progress},
        runs::RunTrace,
        state::GatewayState,
        stop::InFlight,
        view::{Engines, Upstream, UpstreamRecord, UpstreamState, Work},
    },
    bytes::Bytes,
    http::{Response, StatusCode, response},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::{Frame, Incoming},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure},
        http::{Body, BodyError, full, read_limited},
        ids::EngineId,
    },
    tokio::{
        sync::mpsc,
        time::{sleep, timeout_at},
    },
    tokio_stream::wrappers::ReceiverStream,
};

/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 8;
/// The largest answer that is no stream, in bytes.
const ANSWER_BOUND_BYTES: usize = 1024 * 1024;
/// Silence before the first event of an engine: it queues and reads the prompt.
const BEFORE_FIRST_EVENT: Patience = Patience {
    probe_after: Duration::from_millis(500),
    longest: Duration::from_millis(6_000),
};
/// Silence between events, when the objective for pauses is not known.
const BETWEEN_EVENTS: Patience = Patience {
    probe_after: Duration::from_millis(260),
    longest: Duration::from_millis(4_000),
};
/// The pause before all engines are asked again after all turned a stream away.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// A stream waits for room for one part in this many of its objective.
const ROOM_PART: u32 = 4;

/// What opening a stream gave.
pub enum Opened {
    /// The head of a stream; its events follow.
    Stream(response::Parts),
    /// A whole answer that is no stream.
    Whole(Response<Body>),
}

/// One engine's part of a stream. Dropping it ends the run there.
struct Attempt {
    upstream: Arc<Upstream>,
    body: Incoming,
    _connection: Connection,
    events: EventSplitter,
    has_sent: bool,
    reservation: Reservation,
    _copy_reservation: Option<Reservation>,
}

/// What an attempt gives next.
enum Step {
    Event(Event),
    End,
    Lost(&'static str),
}

/// Why a try to place the stream gave no attempt.
enum PlaceEnd {
    /// It did not run there; try another one.
    TryNext,
    /// A whole answer that is no stream.
    Whole(Box<Response<Body>>),
    /// It may have run and may not be repeated.
    Unknown,
}

/// One caller's stream.
pub struct Relay {
    state: Arc<GatewayState>,
    call: Arc<Call>,
    progress: Progress,
    avoid: Vec<EngineId>,
    runs: u32,
    sends: u32,
    copy: Option<MemoryCopy>,
    attempt: Option<Attempt>,
    lost_at: Option<Instant>,
    /// The engine that may still keep the prompt from an earlier attempt of the caller.
    prompt_kept_at: Option<EngineId>,
    /// Makes a new copy of the run's memory when the holder of the first one is lost.
    recopy: Recopy,
}

impl Relay {
    /// A stream that no engine has yet.
    pub fn new(state: Arc<GatewayState>, call: Arc<Call>) -> Self {
        let earlier = state.runs.find(call.fingerprint, Instant::now());
        let goes_on = call.facts.last_event.is_some();
        Self {
            progress: Progress::after(call.facts.last_event),
            copy: earlier
                .as_ref()
                .filter(|_| goes_on)
                .and_then(RunTrace::memory_copy),
            prompt_kept_at: earlier.map(|trace| trace.engine),
            state,
            call,
            avoid: Vec::new(),
            runs: 0,
            sends: 0,
            attempt: None,
            lost_at: None,
            recopy: Recopy::default(),
        }
    }

    /// Places the stream at its first engine.
    ///
    /// # Errors
    /// No engine gave an answer that may be passed on.
    pub async fn open(&mut self) -> Result<Opened, Failure> {
        let ends = self.call.ends.into();
        match timeout_at(ends, self.place()).await {
            Ok(placed) => placed,
            Err(_) if self.runs == 0 => Err(out_of_time(ErrorKind::DeadlineUntried)),
            Err(_) => Err(out_of_time(ErrorKind::DeadlineReached)),
        }
    }

    /// The body of the answer; a task of its own fills it until the caller goes.
    pub fn into_body(mut self) -> Body {
        let (sender, receiver) = mpsc::channel(WAITING_EVENTS);
        let in_flight = InFlight::begin(&self.state);
        tokio::spawn(async move {
            let ends = self.call.ends.into();
            let end = tokio::select! {
                biased;
                () = sender.closed() => "caller-gone",
                end = timeout_at(ends, self.carry(&sender)) => end.unwrap_or("deadline-reached"),
            };
            self.finish(end, &sender).await;
            drop(in_flight);
        });
        StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync()
    }

    async fn finish(
        &mut self,
        end: &'static str,
        sender: &mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) {
        let is_whole = end == "complete";
        if !is_whole && end != "caller-gone" {
            // An answer that ends early must look cut.
            let _ = sender.send(Err(end.into())).await;
        }
        let request = self.call.request();
        self.state
            .runs
            .end(self.call.fingerprint, &request, is_whole, Instant::now());
        // The run at the engine ends before anything else.
        let upstream = self
            .attempt
            .take()
            .map(|attempt| attempt.upstream.record.id.clone());
        let level = if is_whole {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        self.state.metrics.outcomes.with_label_values(&[end]).inc();
        log::log!(
            level,
            "stream: end request={} outcome={end} upstream={} runs={} events={} last={:?} \
             age_ms={} configuration={}",
            self.call.id(),
            upstream.as_deref().unwrap_or("-"),
            self.runs,
            self.progress.passed(),
            self.progress.last(),
            self.call.age_ms(),
            self.call.configuration.version
        );
    }

    /// Carries events until the stream is complete, or can't go on.
    async fn carry(
        &mut self,
        sender: &mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
    ) -> &'static str {
        loop {
            match self.next_step().await {
                Step::Event(event) => {
                    if let Some(lost) = self.lost_at.take() {
                        let waited = lost.elapsed();
                        self.state
                            .metrics
                            .resume_seconds
                            .observe(waited.as_secs_f64());
                    }
                    if sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                        return "caller-gone";
                    }
                    self.tend_copy();
                }
                Step::End => return "complete",
                Step::Lost(cause) => {
                    self.lose(cause);
                    if let Some(end) = self.go_on().await {
                        return end;
                    }
                }
            }
        }
    }

    /// Sees to it that a copy of the run's memory lies at an engine that lives.
    fn tend_copy(&mut self) {
        let engines = self.engines();
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !engines.copies || !self.call.route.may_repeat() {
            return;
        }
        if let Some(copy) = self.recopy.take_made() {
            self.copy = Some(copy);
        }
        let now = Instant::now();
        let holder = self.copy.as_ref().map(|copy| &copy.upstream);
        let is_held = holder
            .and_then(|holder| self.state.view.upstreams.get(holder))
            .is_some_and(|holder| !holder.is_suspected(now));
        if !self.recopy.is_due(is_held, now) {
            return;
        }
        let runs_at = attempt.upstream.clone();
        if let Some(target) = self.choose_copy(&runs_at.record) {
            let run = self.call.request();
            self.recopy.begin(&self.state, runs_at, run, target, now);
        }
    }

    /// Places the stream at another engine; how it ends where that can't be done.
    async fn go_on(&mut self) -> Option<&'static str> {
        if !self.call.route.may_repeat() {
            return Some("upstream-lost");
        }
        if self.progress.passed() > 0 && self.progress.last().is_none() {
            return Some("no-position");
        }
        match self.place().await {
            Ok(Opened::Stream(_)) => None,
            Ok(Opened::Whole(_)) => Some("resume-refused"),
            Err(failure) => Some(failure.kind.name()),
        }
    }

    /// Ends the current attempt and notes why.
    fn lose(&mut self, cause: &'static str) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        attempt.upstream.note_outcome(true);
        if let Some(copy) = self.recopy.take_made() {
            self.copy = Some(copy);
        }
        self.recopy = Recopy::default();
        self.lost_at = Some(Instant::now());
        self.avoid.push(attempt.upstream.record.id.clone());
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: lost request={} upstream={} cause={cause} last={:?} copy={} run={} age_ms={}",
            self.call.id(),
            attempt.upstream.record.id,
            self.progress.last(),
            self.copy
                .as_ref()
                .map_or("-", |copy| copy.upstream.as_str()),
            self.runs,
            self.call.age_ms()
        );
    }

    async fn next_step(&mut self) -> Step {
        let Some(attempt) = self.attempt.as_mut() else {
            return Step::Lost("no-attempt");
        };
        loop {
            match attempt.events.next_event() {
                Ok(Some(event)) => {
                    if !attempt.has_sent {
                        attempt.has_sent = true;
                        attempt.reservation.prompt_read();
                        let kind = if self.sends > 1 {
                            "resumed-stream"
                        } else {
                            "stream"
                        };
                        let waited = self.call.received.elapsed();
                        self.state.metrics.note_first_byte(kind, waited);
                        log::info!(
                            "stream: first event request={} upstream={} id={:?} age_ms={}",
                            self.call.id(),
                            attempt.upstream.record.id,
                            event.id,
                            waited.as_millis()
                        );
                    }
                    return match self.progress.accept(&event) {
                        Ok(()) => Step::Event(event),
                        Err(fault) => Step::Lost(fault.name()),
                    };
                }
                Ok(None) => {}
                Err(fault) => return Step::Lost(fault.name()),
            }
            let patience = if attempt.has_sent {
                BETWEEN_EVENTS
            } else {
                BEFORE_FIRST_EVENT
            };
            let frame = attempt.body.frame();
            match wait_while_alive(&self.state, &attempt.upstream, patience, frame).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        attempt.events.push(&bytes);
                    }
                }
                Ok(None) if attempt.events.is_within_event() => return Step::Lost("cut-event"),
                Ok(None) => return Step::End,
                Ok(Some(Err(_))) => return Step::Lost("broken-off"),
                Err(silence) => return Step::Lost(silence.name()),
            }
        }
    }

    /// Places the stream at the engine with the copy, or else at the best one.
    async fn place(&mut self) -> Result<Opened, Failure> {
        let began = Instant::now();
        loop {
            if self.runs >= self.call.route.max_attempts.max(1) {
                let detail = "the stream ran at as many engines as its route allows";
                return Err(Failure::new(ErrorKind::RetriesSpent, detail));
            }
            let Some((upstream, copy)) = self.choose() else {
                if began.elapsed() > self.call.route.objective / ROOM_PART {
                    let detail = "no engine has room for the stream";
                    return Err(Failure::new(ErrorKind::NoEngine, detail));
                }
                sleep(FULL_PAUSE).await;
                self.avoid.clear();
                continue;
            };
            self.call.check_before_send(&self.state)?;
            if self.sends > 0 && !self.state.take_retry(&self.call.service) {
                let detail = "the budget of repeated sends is spent";
                return Err(Failure::new(ErrorKind::UpstreamsBusy, detail));
            }
            self.sends += 1;
            match self.try_place(upstream, copy).await {
                Ok(head) => return Ok(Opened::Stream(head)),
                Err(PlaceEnd::TryNext) => {}
                Err(PlaceEnd::Whole(response)) => return Ok(Opened::Whole(*response)),
                Err(PlaceEnd::Unknown) if self.call.route.may_repeat() => {}
                Err(PlaceEnd::Unknown) => {
                    let detail = "the engine gave no answer";
                    return Err(Failure::new(ErrorKind::UpstreamUnconfirmed, detail));
                }
            }
        }
    }

    fn choose(&mut self) -> Option<(Arc<Upstream>, Option<MemoryCopy>)> {
        let now = Instant::now();
        if let Some(copy) = self.copy.take() {
            let holder = self.state.view.upstreams.get(&copy.upstream);
            let usable = holder.filter(|holder| {
                !holder.is_suspected(now) && self.state.view.upstreams.takes_work(&copy.upstream)
            });
            if let Some(holder) = usable {
                return Some((holder, Some(copy)));
            }
        }
        if let Some(kept_at) = self.prompt_kept_at.take()
            && let Some(upstream) = self.state.view.upstreams.get(&kept_at)
            && upstream.record.state == UpstreamState::Ready
            && !upstream.is_suspected(now)
            && !self.avoid.contains(&kept_at)
        {
            return Some((upstream, None));
        }
        let need = Need::Prompt {
            fingerprint: self.call.fingerprint,
            memory_tokens: self.memory_tokens(),
            engine_memory_tokens: self.engines().memory_tokens,
        };
        let service = &self.call.service;
        let chosen = self.state.choose_upstream(service, need, &self.avoid)?;
        Some((chosen, None))
    }

    async fn try_place(
        &mut self,
        upstream: Arc<Upstream>,
        go_on_from: Option<MemoryCopy>,
    ) -> Result<response::Parts, PlaceEnd> {
        let unread = if go_on_from.is_some() {
            0
        } else {
            self.input_tokens()
        };
        let work = Work {
            running: 1,
            unread_tokens: unread,
            memory_tokens: self.memory_tokens(),
        };
        let reservation = Reservation::begin(&self.state, &upstream, work);
        let copy_to = self.choose_copy(&upstream.record);
        let copy_reservation = copy_to.as_ref().map(|holder| {
            let work = Work {
                memory_tokens: self.memory_tokens(),
                ..Work::default()
            };
            Reservation::begin(&self.state, holder, work)
        });
        self.log_placed(&upstream, copy_to.as_deref(), go_on_from.is_some());
        let answer = self
            .order(&upstream, copy_to.as_deref(), go_on_from.as_ref())
            .await?;
        let head = self.check_head(&upstream, &answer)?;
        let Some(head) = head else {
            return Err(self.whole(answer).await);
        };
        self.copy = copy_to.map(|holder| MemoryCopy {
            upstream: holder.record.id.clone(),
            address: holder.record.address,
            name: self.call.request(),
        });
        self.state.runs.begin(RunTrace {
            fingerprint: self.call.fingerprint,
            request: self.call.request(),
            engine: upstream.record.id.clone(),
            copy: self
                .copy
                .as_ref()
                .map(|copy| (copy.upstream.clone(), copy.address)),
        });
        self.attempt = Some(Attempt {
            upstream,
            body: answer.body,
            _connection: answer.connection,
            events: EventSplitter::default(),
            has_sent: false,
            reservation,
            _copy_reservation: copy_reservation,
        });
        Ok(head)
    }

    fn log_placed(&self, upstream: &Upstream, copy_to: Option<&Upstream>, from_copy: bool) {
        let work = upstream.own_work();
        log::info!(
            "stream: placed request={} upstream={} hall={} try={} from_copy={from_copy} \
             copy_to={} after={:?} own_running={} own_unread={} configuration={} age_ms={}",
            self.call.id(),
            upstream.record.id,
            upstream.record.hall,
            self.sends,
            copy_to.map_or("-", |holder| holder.record.id.as_str()),
            self.progress.last(),
            work.running,
            work.unread_tokens,
            self.state.view.version(),
            self.call.age_ms()
        );
    }

    /// Sends the order and waits for the head of the answer.
    async fn order(
        &mut self,
        upstream: &Arc<Upstream>,
        copy_to: Option<&Upstream>,
        go_on_from: Option<&MemoryCopy>,
    ) -> Result<Answer, PlaceEnd> {
        let urgency = if self.progress.passed() > 0 {
            Urgency::Resume
        } else {
            Urgency::New(self.call.priority)
        };
        let order = Order {
            upstream: &upstream.record.id,
            customer: self.call.customer.as_ref(),
            deadline: self.call.left(Instant::now()),
            last_event: self.progress.last(),
            urgency: Some(urgency),
            copy_to: copy_to.map(|holder| holder.record.address),
            go_on_from,
        };
        let request = self.call.request_for(&self.state, upstream, &order);
        let id = self.call.id();
        self.runs += 1;
        let sending = connect::send(&self.state, upstream, request, id);
        let waited = wait_while_alive(&self.state, upstream, BEFORE_FIRST_EVENT, sending).await;
        match waited {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(failure)) => Err(self.send_failed(upstream, failure)),
            Err(silence) => Err(self.note_try(upstream, silence.name(), PlaceEnd::Unknown)),
        }
    }

    fn send_failed(&mut self, upstream: &Arc<Upstream>, failure: SendFailure) -> PlaceEnd {
        if failure == SendFailure::Unreachable {
            self.state.suspect(upstream, "unreachable");
        }
        if failure.may_have_run() {
            return self.note_try(upstream, failure.name(), PlaceEnd::Unknown);
        }
        self.runs -= 1;
        self.note_try(upstream, failure.name(), PlaceEnd::TryNext)
    }

    fn note_try(&mut self, upstream: &Upstream, cause: &'static str, end: PlaceEnd) -> PlaceEnd {
        self.avoid.push(upstream.record.id.clone());
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: try ended request={} upstream={} try={} cause={cause} age_ms={}",
            self.call.id(),
            upstream.record.id,
            self.sends,
            self.call.age_ms()
        );
        end
    }

    /// The head, where it is one of a stream; none where the answer is to be read whole.
    fn check_head(
        &mut self,
        upstream: &Arc<Upstream>,
        answer: &Answer,
    ) -> Result<Option<response::Parts>, PlaceEnd> {
        let status = answer.head.status;
        if answer.facts.not_run {
            self.runs -= 1;
            if status == StatusCode::MISDIRECTED_REQUEST {
                // Another incarnation has the address: this one is gone.
                self.state.note_replaced(upstream);
            }
            return Err(self.note_try(upstream, "turned-away", PlaceEnd::TryNext));
        }
        let is_encoded = answer
            .head
            .headers
            .contains_key(http::header::CONTENT_ENCODING);
        if !answer.facts.signed || is_encoded {
            return Err(self.note_try(upstream, "unsigned", PlaceEnd::Unknown));
        }
        if status.is_success() {
            return Ok(Some(answer.head.clone()));
        }
        if status.is_server_error() && self.call.route.may_repeat() {
            return Err(self.note_try(upstream, "server-error", PlaceEnd::TryNext));
        }
        Ok(None)
    }

    /// An answer that is no stream, whole.
    async fn whole(&self, answer: Answer) -> PlaceEnd {
        let mut head = answer.head;
        match read_limited(answer.body, ANSWER_BOUND_BYTES).await {
            Ok(body) => {
                strip_connection_headers(&mut head.headers);
                head.extensions.clear();
                PlaceEnd::Whole(Box::new(Response::from_parts(head, full(body))))
            }
            Err(_) => PlaceEnd::Unknown,
        }
    }

    /// The engine that is to hold a copy of the run's memory.
    fn choose_copy(&self, runs_at: &UpstreamRecord) -> Option<Arc<Upstream>> {
        let engines = self.engines();
        if !engines.copies || !self.call.route.may_repeat() {
            return None;
        }
        let need = Need::Copy {
            away_from: &runs_at.hall,
            memory_tokens: self.memory_tokens(),
            engine_memory_tokens: engines.memory_tokens,
        };
        let mut avoid = self.avoid.clone();
        avoid.push(runs_at.id.clone());
        self.state.choose_upstream(&self.call.service, need, &avoid)
    }

    fn engines(&self) -> Engines {
        let service = self.call.configuration.services.get(&self.call.service);
        service
            .and_then(|service| service.engines)
            .unwrap_or_default()
    }

    fn input_tokens(&self) -> u64 {
        let prompt = self.call.facts.prompt.as_ref();
        prompt.map_or(0, |prompt| u64::from(prompt.input_tokens))
    }

    fn memory_tokens(&self) -> u64 {
        let prompt = self.call.facts.prompt.as_ref();
        let output = prompt.map_or(0, |prompt| u64::from(prompt.output_tokens));
        (self.input_tokens() + output).max(1)
    }
}

fn out_of_time(kind: ErrorKind) -> Failure {
    Failure::new(kind, "the time for the stream is over")
}
