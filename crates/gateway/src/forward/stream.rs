//! Serves one caller's stream, moving it to another engine whenever the current one is lost.
//!
//! While an engine runs a stream, it copies the run's memory to another engine. If the first engine
//! dies, the stream resumes from the copy; without a copy, another engine reads the whole prompt
//! again.

mod attempt;
mod choose;
mod copy_holder;
mod earlier_run;
mod end_run;
mod engines_tried;
mod order;
mod own_run;
mod place;
mod recopy;
mod relay;
mod stagger;
mod stop_run;

use {
    super::{
        call::{Call, strip_connection_headers},
        ending::{CrashCheck, LostRun, UpstreamKind},
    },
    crate::{
        events::{Event, Progress},
        pace::RemainingWork,
        state::GatewayState,
        view::{Engines, Upstream},
    },
    attempt::Attempt,
    earlier_run::EarlierRun,
    end_run::RunEndings,
    engines_tried::EnginesTried,
    http::{Response, StatusCode, response},
    own_run::find_own_run,
    place::Placed,
    recopy::Recopy,
    relay::NextStep,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        clock,
        http::Body,
        ids::{EngineId, RequestId},
        protection::{Protection, enabled},
    },
    tealshore_runs::{KnownRun, MemoryCopy},
};

/// How long a resumed stream waits, at a host that has just started, until the host has restored
/// where streams ran. Without that it does not find the copy, and reading the whole prompt again
/// takes a second or more.
const RESTORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The fraction of a caller's time for which an answer that has begun is continued by all means.
const CONTINUATION_FRACTION: f64 = 0.7;

/// The result of opening a stream.
enum Opened {
    /// The head of a stream and its first event; `None` if the engine ended it without one.
    Stream {
        head: response::Parts,
        first: Option<Event>,
    },
    /// A complete answer that is not a stream.
    NonStream(Response<Body>),
}

/// The state of one caller's stream.
struct StreamRun {
    state: Arc<GatewayState>,
    call: Arc<Call>,
    progress: Progress,
    /// Engines excluded from the next choice.
    avoid: Vec<EngineId>,
    /// Engines at which the stream may have run.
    tried: EnginesTried,
    /// The engine that still works on a run of the stream whose events do not arrive.
    reported_at: Option<Arc<Upstream>>,
    /// Runs that the stream left since it last went on.
    earlier_runs: Vec<EarlierRun>,
    /// The run that the caller left before it resumed the stream here, until the stream goes on at an engine.
    left_by_caller: Option<KnownRun>,
    /// The engine whose answer to the current send has not begun.
    sending_to: Option<Arc<Upstream>>,
    /// Orders to end runs.
    endings: RunEndings,
    /// Engines that answered the stream with a server error, or with bytes that are no answer.
    failed_at: Vec<Arc<Upstream>>,
    /// How often the stream was sent, including sends that reached no engine.
    sends: u32,
    /// How many sends reached an engine. Each one after the first takes from the retry budget.
    deliveries: u32,
    /// Whether the current send has taken from the retry budget.
    draws_on_budget: bool,
    /// Whether an earlier attempt of the caller ran this stream, as far as this host knows.
    ran_before: Ran,
    copy: Option<MemoryCopy>,
    /// The attempt of the same caller whose run this stream continues.
    continues: Option<RequestId>,
    attempt: Option<Attempt>,
    /// When an engine was first found silent since the last event.
    silent_since: Option<Instant>,
    lost_at: Option<Instant>,
    /// Whether the stream has been counted for its customer.
    is_counted: bool,
    /// When the first event was sent to the caller.
    first_event_sent_at: Option<Instant>,
    /// When the last event was sent to the caller.
    last_event_sent_at: Option<Instant>,
    /// The engine that may still have the prompt cached, from an earlier attempt of the caller or
    /// from a send whose answer was lost.
    prompt_cached_at: Option<EngineId>,
    /// Whether the stream was already allowed to return to an engine that had lost its answer.
    retried_same_engine: bool,
    /// Checks whether the engine that was lost last has ended.
    crash_check: CrashCheck,
    /// Replaces the copy of the run's memory when the engine that holds it is lost.
    recopy: Recopy,
    /// Whether the run log says that this stream is being answered.
    is_logged: bool,
    /// Whether a retry was taken from the budget for the next send.
    has_reserved_retry: bool,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        self.end_logged_run(false);
        self.end_all_runs("not-continued");
        if self.has_reserved_retry {
            self.state.refund_retry(&self.call.service);
        }
    }
}

/// Opens a stream. Returns the head of the engine that sent the first event; the body carries the events of
/// all engines that run the stream in turn.
///
/// # Errors
/// No engine gave an answer that may be passed on.
pub async fn run(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Response<Body>, Failure> {
    let own_run = match call.facts.last_event {
        Some(last_event) => {
            state.runs.wait_restored(RESTORE_TIMEOUT).await;
            find_own_run(state, &call, last_event).await
        }
        None => None,
    };
    let mut run = StreamRun::new(state.clone(), call, own_run);
    let opened = run.open().await;
    match opened.map_err(|failure| failure.after_earlier_attempt(run.ran_before))? {
        Opened::Stream { mut head, first } => {
            strip_connection_headers(&mut head.headers);
            head.extensions.clear();
            Ok(Response::from_parts(head, run.into_body(first)))
        }
        Opened::NonStream(response) => {
            run.log_non_stream(response.status());
            Ok(response)
        }
    }
}

impl StreamRun {
    /// Creates a stream that has not been sent to any engine. `own_run` is the run that its caller left, if one is
    /// proven to be the caller's.
    fn new(state: Arc<GatewayState>, call: Arc<Call>, own_run: Option<KnownRun>) -> Self {
        let (wanted, now) = (call.content_match(), clock::now());
        let last_engine = state.runs.log.lock().last_engine(wanted, now);
        let is_resumed = call.facts.last_event.is_some();
        let ran_before = if is_resumed || last_engine.is_some() {
            Ran::Yes
        } else {
            Ran::No
        };
        Self {
            ran_before,
            progress: Progress::after(call.facts.last_event),
            copy: own_run.as_ref().and_then(|run| run.trace.memory_copy()),
            prompt_cached_at: match &own_run {
                Some(run) => Some(run.trace.engine.clone()),
                None => last_engine,
            },
            continues: own_run.as_ref().map(|run| run.trace.request.clone()),
            left_by_caller: own_run,
            sending_to: None,
            endings: RunEndings::default(),
            retried_same_engine: false,
            state,
            call,
            avoid: Vec::new(),
            tried: EnginesTried::default(),
            reported_at: None,
            earlier_runs: Vec::new(),
            failed_at: Vec::new(),
            sends: 0,
            deliveries: 0,
            draws_on_budget: false,
            attempt: None,
            silent_since: None,
            lost_at: None,
            is_counted: false,
            first_event_sent_at: None,
            last_event_sent_at: None,
            crash_check: CrashCheck::default(),
            recopy: Recopy::default(),
            is_logged: false,
            has_reserved_retry: false,
        }
    }

    /// Records in the run log that this stream is no longer answered, if the log says that it is.
    fn end_logged_run(&mut self, is_complete: bool) {
        if std::mem::take(&mut self.is_logged) {
            self.state.runs.log.lock().end(
                self.call.fingerprint,
                &self.call.request(),
                self.progress.last(),
                is_complete,
                clock::now(),
            );
        }
    }

    /// Places the stream and waits for its first event, within its deadline. Without the event a head is not passed on:
    /// after it, the stream could no longer be refused.
    async fn open(&mut self) -> Result<Opened, Failure> {
        let ends = self.call.deadline;
        match clock::timeout_at(ends, self.place_until_event()).await {
            Ok(opened) => opened,
            Err(_) if self.tried.count() == 0 => Err(deadline_failure(ErrorKind::DeadlineUntried)),
            Err(_) => Err(deadline_failure(ErrorKind::DeadlineReached)),
        }
    }

    async fn place_until_event(&mut self) -> Result<Opened, Failure> {
        loop {
            let head = match self.place().await? {
                Placed::Stream(head) => head,
                Placed::NonStream(response) => return Ok(Opened::NonStream(response)),
            };
            let first = match self.next_step_or_loss().await {
                NextStep::Event(event) => {
                    self.await_stored_if_ambiguous().await;
                    Some(event)
                }
                NextStep::End => None,
                NextStep::Lost if self.call.route.may_repeat() => continue,
                NextStep::Lost => {
                    let detail = "the engine sent no event";
                    return Err(Failure::new(ErrorKind::UpstreamLost, detail));
                }
            };
            return Ok(Opened::Stream { head, first });
        }
    }

    /// Waits until the runs of callers who asked for the same are stored, so that they are told apart after a loss of all
    /// hosts.
    async fn await_stored_if_ambiguous(&self) {
        let (state, wanted) = (&self.state, self.call.content_match());
        if self.call.route.may_repeat() && enabled(Protection::OwnRun) {
            let attempt = self.call.request();
            state.await_stored_if_ambiguous(wanted, &attempt).await;
        }
    }

    /// Reports an engine's answer that is no stream and is passed on. It is never a success.
    fn log_non_stream(&self, status: StatusCode) {
        let outcome = "upstream-failed";
        self.state
            .metrics
            .outcomes
            .with_label_values(&[outcome])
            .inc();
        log::info!(
            target: self.state.stop.log_target(module_path!()),
            "stream: ended request={} digest={} outcome={outcome} status={} runs={} age_ms={} left_ms={} {}{}",
            self.call.id(),
            self.call.fingerprint_hex(),
            status.as_u16(),
            self.tried.count(),
            self.call.age_ms(),
            self.call.left(clock::now()).as_millis(),
            self.call.view,
            self.state.stop.age_field()
        );
    }

    fn engines(&self) -> Engines {
        let service = self.call.configuration.services.get(&self.call.service);
        service
            .and_then(|service| service.engines)
            .unwrap_or_default()
    }

    /// Whether the caller's answer has begun.
    fn has_begun(&self) -> bool {
        self.progress.delivered() > 0
    }

    /// Whether it is known after which event another engine has to continue.
    fn has_position(&self) -> bool {
        !self.has_begun() || self.progress.last().is_some()
    }

    fn input_tokens(&self) -> u64 {
        let prompt = self.call.facts.prompt.as_ref();
        prompt.map_or(0, |prompt| u64::from(prompt.input_tokens))
    }

    fn output_tokens(&self) -> u64 {
        let prompt = self.call.facts.prompt.as_ref();
        prompt.map_or(0, |prompt| u64::from(prompt.output_tokens))
    }

    fn memory_tokens(&self) -> u64 {
        (self.input_tokens() + self.output_tokens()).max(1)
    }

    /// Starts a background check whether the engine that the stream lost has ended.
    fn check_for_crash(
        &mut self,
        upstream: Arc<Upstream>,
        began: Instant,
        run_events: u64,
        cause: &'static str,
    ) {
        let run = LostRun {
            upstream,
            position: self.progress.last().unwrap_or_default(),
            run_events,
            began,
            lost: clock::now(),
            cause,
        };
        self.crash_check
            .begin(&self.state, &self.call, UpstreamKind::Engine, run);
    }

    /// Whether the stream may be ended although its caller still waits. An answer that has begun can't be refused any
    /// more, so it is continued for most of its time; the rest is left to its caller for resuming it elsewhere.
    fn may_break_off(&self) -> bool {
        let time = self
            .call
            .deadline
            .saturating_duration_since(self.call.received);
        !self.has_begun()
            || clock::elapsed(self.call.received) >= time.mul_f64(CONTINUATION_FRACTION)
    }

    /// Checks that the stream can still finish before its deadline, judged by the pace of earlier
    /// streams.
    fn check_time_left(&self) -> Result<(), Failure> {
        let is_read = self.copy.is_some() || self.prompt_cached_at.is_some();
        let work = RemainingWork {
            unread_tokens: if is_read { 0 } else { self.input_tokens() },
            output_tokens: self.output_tokens(),
            events_delivered: self.progress.last().unwrap_or_default(),
        };
        let left = self.call.left(clock::now());
        match self.state.min_duration(&self.call.service, work) {
            Some(required) if required > left && self.may_break_off() => {
                let detail = format!(
                    "the stream needs {} ms at least and has {} ms left; {work:?}",
                    required.as_millis(),
                    left.as_millis()
                );
                Err(Failure::new(ErrorKind::DeadlineTooNear, detail))
            }
            Some(_) | None => Ok(()),
        }
    }
}

fn deadline_failure(kind: ErrorKind) -> Failure {
    Failure::new(kind, "the time for the stream is over")
}
