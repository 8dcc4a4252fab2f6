//! Serves one caller's stream over as many engines as it takes.
//!
//! While an engine runs a stream, the run's memory is copied to another engine. When the
//! first one dies, the stream goes on from the copy; without one, the prompt is read again.

mod attempt;
mod copy_holder;
mod engines_tried;
mod order;
mod place;
mod recopy;
mod relay;
mod stagger;

use {
    super::{
        call::{Call, strip_connection_headers},
        ending::{Examination, LostRun, UpstreamKind},
    },
    crate::{
        events::Progress,
        pace::RemainingWork,
        run_trace::{MemoryCopy, RunTrace},
        state::GatewayState,
        view::{Engines, Upstream},
    },
    attempt::Attempt,
    engines_tried::EnginesTried,
    http::Response,
    place::Opened,
    recopy::Recopy,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        http::Body,
        ids::EngineId,
    },
    tokio::time::timeout_at,
};

/// How long a stream that goes on waits, at a host that has just started, until that host knows
/// where streams ran: without the copy its whole prompt is read again, a second or more.
const RESTORE_PATIENCE: Duration = Duration::from_millis(1_000);

/// One caller's stream.
struct StreamRun {
    state: Arc<GatewayState>,
    call: Arc<Call>,
    progress: Progress,
    /// Engines that are not tried again.
    avoid: Vec<EngineId>,
    /// Engines at which it may have run.
    tried: EnginesTried,
    /// Engines that answered it with a failure.
    failed_at: Vec<Arc<Upstream>>,
    /// Times that it was sent.
    sends: u32,
    /// Times that it reached an engine; each but the first draws on the retry budget.
    arrivals: u32,
    /// The send that is under way has drawn on the retry budget.
    has_drawn: bool,
    /// Whether an earlier attempt of the caller ran this stream, as far as is known here.
    ran_before: Ran,
    copy: Option<MemoryCopy>,
    attempt: Option<Attempt>,
    lost_at: Option<Instant>,
    /// It was counted for its customer.
    is_counted: bool,
    /// When the first event left for the caller.
    first_passed_at: Option<Instant>,
    /// When the last event left for the caller.
    passed_at: Option<Instant>,
    /// The engine that may still keep the prompt from an earlier attempt of the caller.
    prompt_kept_at: Option<EngineId>,
    /// The stream went back to an engine that had lost its answer.
    went_back: bool,
    /// Whether the engine that was lost last has ended.
    examination: Examination,
    /// Makes a new copy of the run's memory when the holder of the first one is lost.
    recopy: Recopy,
}

/// Opens a stream: the head of the first engine's answer, and the events of as many engines
/// as it takes.
///
/// # Errors
/// No engine gave an answer that may be passed on.
pub async fn run(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Response<Body>, Failure> {
    if call.facts.last_event.is_some() {
        state.runs.wait_restored(RESTORE_PATIENCE).await;
    }
    let mut run = StreamRun::new(state.clone(), call);
    let opened = run.open().await;
    match opened.map_err(|failure| failure.after_earlier_attempt(run.ran_before))? {
        Opened::Stream(mut head) => {
            strip_connection_headers(&mut head.headers);
            head.extensions.clear();
            Ok(Response::from_parts(head, run.into_body()))
        }
        Opened::Whole(response) => Ok(response),
    }
}

impl StreamRun {
    /// A stream that no engine has yet.
    fn new(state: Arc<GatewayState>, call: Arc<Call>) -> Self {
        let earlier = state.runs.find(call.fingerprint, Instant::now());
        let goes_on = call.facts.last_event.is_some();
        let ran_before = if goes_on || earlier.is_some() {
            Ran::Yes
        } else {
            Ran::No
        };
        Self {
            ran_before,
            progress: Progress::after(call.facts.last_event),
            copy: earlier
                .as_ref()
                .filter(|_| goes_on)
                .and_then(RunTrace::memory_copy),
            prompt_kept_at: earlier.map(|trace| trace.engine),
            went_back: false,
            state,
            call,
            avoid: Vec::new(),
            tried: EnginesTried::default(),
            failed_at: Vec::new(),
            sends: 0,
            arrivals: 0,
            has_drawn: false,
            attempt: None,
            lost_at: None,
            is_counted: false,
            first_passed_at: None,
            passed_at: None,
            examination: Examination::default(),
            recopy: Recopy::default(),
        }
    }

    /// Places the stream at its first engine.
    async fn open(&mut self) -> Result<Opened, Failure> {
        let ends = self.call.ends.into();
        match timeout_at(ends, self.place()).await {
            Ok(placed) => placed,
            Err(_) if self.tried.count() == 0 => Err(out_of_time(ErrorKind::DeadlineUntried)),
            Err(_) => Err(out_of_time(ErrorKind::DeadlineReached)),
        }
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

    fn output_tokens(&self) -> u64 {
        let prompt = self.call.facts.prompt.as_ref();
        prompt.map_or(0, |prompt| u64::from(prompt.output_tokens))
    }

    fn memory_tokens(&self) -> u64 {
        (self.input_tokens() + self.output_tokens()).max(1)
    }

    /// Finds out, aside, whether an engine ended that the stream lost.
    fn examine(
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
            lost: Instant::now(),
            cause,
        };
        self.examination
            .begin(&self.state, &self.call, UpstreamKind::Engine, run);
    }

    /// Checks that the stream can still end in time, by what was seen of others.
    fn check_time_left(&self) -> Result<(), Failure> {
        let is_read = self.copy.is_some() || self.prompt_kept_at.is_some();
        let work = RemainingWork {
            unread_tokens: if is_read { 0 } else { self.input_tokens() },
            output_tokens: self.output_tokens(),
            events_had: self.progress.last().unwrap_or_default(),
        };
        let left = self.call.left(Instant::now());
        match self.state.least_time(&self.call.service, work) {
            Some(least) if least > left => {
                let detail = format!(
                    "the stream needs {} ms at least and has {} ms left; {work:?}",
                    least.as_millis(),
                    left.as_millis()
                );
                Err(Failure::new(ErrorKind::DeadlineTooNear, detail))
            }
            Some(_) | None => Ok(()),
        }
    }
}

fn out_of_time(kind: ErrorKind) -> Failure {
    Failure::new(kind, "the time for the stream is over")
}
