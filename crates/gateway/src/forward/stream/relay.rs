//! Relays the events of a stream to its caller, each exactly once, moving to another engine
//! whenever the current one is lost.

use {
    super::{
        StreamRun,
        attempt::{Loss, Step},
        place::Placed,
        recopy::Recopy,
    },
    crate::{
        events::Event,
        in_flight::Stage,
        lifecycle::InFlightGuard,
        read_ahead::{ReadAheadSender, read_ahead},
        rollout::Outcome,
        stop::StopEnd,
    },
    futures::TryStreamExt,
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    tealshore_core::clock,
    tealshore_core::http::{Body, BodyError},
    tealshore_quarantine::crash::is_at_start,
    tokio::task::yield_now,
};

/// How many bytes of a stream may be queued for a slow caller.
const MAX_READ_AHEAD_BYTES: u32 = 32 * 1024;

/// The next step of a stream.
pub enum NextStep {
    /// An event in order.
    Event(Event),
    /// The stream is complete.
    End,
    /// The engine was lost. The stream has no engine now.
    Lost,
}

type EventSender = ReadAheadSender<BodyError>;

/// How a caller's answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerGone,
    /// Ended early.
    BrokenOff(BreakOff),
}

/// Why an answer ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BreakOff {
    /// The cause, as logs and metrics name it.
    cause: &'static str,
    /// What led to it, for logs.
    detail: String,
}

impl BreakOff {
    fn new(cause: &'static str) -> Self {
        Self {
            cause,
            detail: String::new(),
        }
    }
}

impl RelayEnd {
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerGone => "caller-gone",
            Self::BrokenOff(break_off) => break_off.cause,
        }
    }

    fn detail(&self) -> &str {
        match self {
            Self::Complete | Self::CallerGone => "",
            Self::BrokenOff(break_off) => &break_off.detail,
        }
    }
}

impl StreamRun {
    /// Returns the body of the answer. A separate task fills it until the stream ends or the caller
    /// disconnects.
    pub fn into_body(mut self, first: Option<Event>) -> Body {
        let (sender, receiver) = read_ahead(MAX_READ_AHEAD_BYTES);
        let in_flight = InFlightGuard::begin(&self.state);
        self.call.tracked.record_stage(Stage::Answering);
        tokio::spawn(async move {
            let ends = self.call.deadline;
            let end = tokio::select! {
                biased;
                () = sender.closed() => RelayEnd::CallerGone,
                end = clock::timeout_at(ends, self.relay_events(first, &sender)) => {
                    end.unwrap_or_else(|_| RelayEnd::BrokenOff(BreakOff::new("deadline-reached")))
                }
            };
            self.finish(end, &sender);
        });
        let frames = receiver.map_ok(move |bytes| {
            // Events queued for a slow caller count as in flight, so that a planned stop waits
            // until they are written.
            let _ = &in_flight;
            Frame::data(bytes)
        });
        // An error closes the connection without writing what it has buffered. While the body is pending, the buffer
        // is written.
        let frames = frames.or_else(|error| async move {
            yield_now().await;
            Err(error)
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Relays events, from the first one on, until the stream is complete or cannot continue.
    async fn relay_events(&mut self, first: Option<Event>, sender: &EventSender) -> RelayEnd {
        let mut next = first.map_or(NextStep::End, NextStep::Event);
        loop {
            match next {
                NextStep::Event(event) => {
                    self.observe_resume();
                    self.observe_pause();
                    if sender.send(event.bytes).await.is_err() {
                        return RelayEnd::CallerGone;
                    }
                    self.maintain_copy();
                }
                NextStep::End => return RelayEnd::Complete,
                NextStep::Lost => {
                    if let Some(break_off) = self.resume().await {
                        return RelayEnd::BrokenOff(break_off);
                    }
                }
            }
            next = self.next_step_or_loss().await;
        }
    }

    /// Returns the next event, or the end of the stream or of the attempt. Waits on for a silent engine if the stream
    /// can't go on elsewhere.
    pub async fn next_step_or_loss(&mut self) -> NextStep {
        loop {
            match self.next_step().await {
                Step::Event(event) => return NextStep::Event(event),
                Step::End => return NextStep::End,
                Step::Lost(loss) if self.must_wait_out(loss) => {}
                Step::Lost(loss) => {
                    self.check_attempt_for_crash(loss.cause);
                    self.end_attempt(loss);
                    return NextStep::Lost;
                }
                // No crash check: the engine sent this data, so it had not ended, whatever answers
                // at its address later.
                Step::Invalid(fault) => {
                    let attempt = self.attempt.as_ref().filter(|_| !fault.is_event());
                    self.failed_at
                        .extend(attempt.map(|attempt| attempt.upstream.clone()));
                    self.end_attempt(Loss {
                        cause: fault.name(),
                        outcome: Outcome::Failed,
                        is_silence: false,
                        is_run_reported: false,
                    });
                    return NextStep::Lost;
                }
            }
        }
    }

    /// Whether to go on waiting after a loss.
    fn must_wait_out(&mut self, loss: Loss) -> bool {
        let Some(attempt) = self.attempt.as_ref().filter(|_| loss.is_silence) else {
            return false;
        };
        let upstream = attempt.upstream.clone();
        let must_wait = self.must_wait_for(&upstream);
        if let Some(attempt) = &mut self.attempt {
            attempt.has_no_alternative = must_wait;
        }
        must_wait
    }

    /// Returns the next event in order, or how the attempt ended.
    async fn next_step(&mut self) -> Step {
        let Some(attempt) = self.attempt.as_mut() else {
            return Step::Lost(Loss::connection_failed("no-attempt"));
        };
        let step = attempt.next_step(&self.state).await;
        let Step::Event(event) = step else {
            return step;
        };
        self.record_first_event(&event);
        if let Err(fault) = self.progress.accept(&event) {
            return Step::Invalid(fault);
        }
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.events_delivered = self.progress.last().unwrap_or(self.progress.delivered());
            attempt.has_no_alternative = false;
        }
        self.silent_since = None;
        self.record_begin();
        Step::Event(event)
    }

    fn record_first_event(&mut self, event: &Event) {
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| !attempt.has_received_event)
        else {
            return;
        };
        attempt.has_received_event = true;
        if !self.is_counted {
            // Counted once, however many engines run the stream.
            self.is_counted = true;
            self.state.count_started(self.call.customer.as_ref());
        }
        attempt.reservation.release_unread_tokens();
        for failed in self.failed_at.drain(..) {
            self.state.record_failing(&failed, &attempt.upstream);
        }
        let waited = clock::elapsed(self.call.received);
        let kind = if self.sends > 1 {
            "resumed-stream"
        } else {
            "stream"
        };
        self.state.metrics.observe_first_byte(kind, waited);
        log::info!(
            "stream: first event received request={} parts={} upstream={} id={:?} age_ms={}",
            self.call.id(),
            self.call.parts_hex(),
            attempt.upstream.record.id,
            event.id,
            waited.as_millis()
        );
    }

    /// Records that the engine began to answer, once a crash would no longer count as one at the start of the run.
    fn record_begin(&mut self) {
        let delivered = self.progress.delivered();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let run_events = delivered - attempt.delivered_before;
        if !attempt.has_begun && !is_at_start(run_events) {
            attempt.has_begun = true;
            let lost = self.call.lost_request(&attempt.upstream.record);
            self.state.record_begin(&lost);
        }
    }

    /// Records the pace of the stream, unless it was resumed by its caller and so began in the
    /// middle.
    fn record_pace(&self) {
        let began_at_start = self.call.facts.last_event.is_none();
        if let (true, Some(first), Some(last)) = (
            began_at_start,
            self.first_event_sent_at,
            self.last_event_sent_at,
        ) {
            let took = last.saturating_duration_since(first);
            let events = self.progress.delivered();
            let service = &self.call.service;
            self.state
                .record_stream(service, events, took, self.output_tokens());
        }
    }

    /// Records how long the caller waited since the previous event.
    fn observe_pause(&mut self) {
        let now = clock::now();
        self.first_event_sent_at.get_or_insert(now);
        if let Some(before) = self.last_event_sent_at.replace(now) {
            let pause = now.saturating_duration_since(before);
            self.state
                .metrics
                .pause_seconds
                .observe(pause.as_secs_f64());
        }
    }

    fn observe_resume(&mut self) {
        if let Some(lost) = self.lost_at.take() {
            let waited = clock::elapsed(lost).as_secs_f64();
            self.state.metrics.resume_seconds.observe(waited);
        }
    }

    /// Places the stream at another engine. Returns the cause if that is not possible.
    async fn resume(&mut self) -> Option<BreakOff> {
        if !self.call.route.may_repeat() {
            return Some(BreakOff::new("upstream-lost"));
        }
        if !self.has_position() {
            return Some(BreakOff::new("no-position"));
        }
        match self.place().await {
            Ok(Placed::Stream(_)) => None,
            Ok(Placed::NonStream(_)) => Some(BreakOff::new("resume-refused")),
            Err(failure) => Some(BreakOff {
                cause: failure.kind.name(),
                detail: failure.detail,
            }),
        }
    }

    /// Starts a background check whether the engine of the current attempt has ended.
    fn check_attempt_for_crash(&mut self, cause: &'static str) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let run_events = self.progress.delivered() - attempt.delivered_before;
        let (upstream, began) = (attempt.upstream.clone(), attempt.began);
        self.check_for_crash(upstream, began, run_events, cause);
    }

    /// Ends the current attempt and records why.
    fn end_attempt(&mut self, loss: Loss) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        attempt.upstream.record_outcome(true);
        let (record, route) = (&attempt.upstream.record, &self.call.route.name);
        self.state.record_outcome(record, route, loss.outcome);
        if let Some(copy) = self.recopy.take_finished() {
            self.copy = Some(copy);
        }
        self.recopy = Recopy::default();
        self.lost_at = Some(clock::now());
        let engine = &attempt.upstream.record.id;
        if loss.is_silence {
            self.leave_silent(engine);
        } else {
            self.tried.record_end(engine);
            if self.progress.delivered() == attempt.delivered_before {
                self.tried.record_failure(engine, clock::now());
            }
        }
        self.avoid.push(engine.clone());
        let cause = loss.cause;
        self.record_earlier_run(attempt.upstream.clone(), cause);
        if loss.is_run_reported {
            self.reported_at = Some(attempt.upstream.clone());
        }
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: run lost request={} digest={} upstream={} cause={cause} silent={} last={:?} copy={} run={} \
             age_ms={} left_ms={}",
            self.call.id(),
            self.call.fingerprint_hex(),
            attempt.upstream.record.id,
            loss.is_silence,
            self.progress.last(),
            self.copy
                .as_ref()
                .map_or("-", |copy| copy.upstream.as_str()),
            self.tried.count(),
            self.call.age_ms(),
            self.call.left(clock::now()).as_millis()
        );
    }

    /// Keeps a copy of the run's memory at a live engine.
    fn maintain_copy(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !self.engines().copies || !self.call.route.may_repeat() {
            return;
        }
        if let Some(copy) = self.recopy.take_finished() {
            self.copy = Some(copy);
        }
        let now = clock::now();
        // If no engine had room for the first copy, there is nothing to replace.
        let Some(copy) = &self.copy else {
            return;
        };
        let holder = self.state.view.upstreams.get(&copy.upstream);
        let has_live_holder =
            holder.is_some_and(|holder| !holder.is_suspected(now) && !holder.leaves_with_hall());
        if !self.recopy.is_due(has_live_holder, now) {
            return;
        }
        let runs_at = attempt.upstream.clone();
        if let Some(target) = self.choose_copy_holder(&runs_at.record) {
            let run = self.call.request();
            self.recopy.begin(&self.state, runs_at, run, target, now);
        }
    }

    fn finish(&mut self, end: RelayEnd, sender: &EventSender) {
        // If the caller has disconnected, nobody needs to know how the answer ended.
        let _ = match &end {
            RelayEnd::Complete => sender.complete(),
            RelayEnd::CallerGone => Ok(()),
            // The caller must be able to see that the answer is incomplete.
            RelayEnd::BrokenOff(break_off) => sender.abort(break_off.cause.into()),
        };
        let is_complete = end == RelayEnd::Complete;
        self.end_logged_run(is_complete);
        let attempt = self.attempt.as_ref();
        let upstream = attempt.map(|attempt| attempt.upstream.record.id.clone());
        let outcome = end.name();
        if is_complete {
            self.attempt = None;
        } else {
            self.end_all_runs(outcome);
        }
        if is_complete {
            self.state
                .record_completed(&self.call.request(), self.call.fingerprint);
            let took = clock::elapsed(self.call.received);
            self.state.metrics.observe_duration("stream", took);
            self.state.record_answer_time(&self.call.service, took);
            self.record_pace();
        }
        self.state
            .metrics
            .outcomes
            .with_label_values(&[outcome])
            .inc();
        let level = if is_complete {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        self.call.tracked.record_stage(Stage::Answered);
        self.state.count_stop_end(match end {
            RelayEnd::Complete => StopEnd::Answered,
            RelayEnd::CallerGone => StopEnd::CallerGone,
            RelayEnd::BrokenOff(_) => StopEnd::BrokenOff,
        });
        log::log!(
            target: self.state.stop.log_target(module_path!()),
            level,
            "stream: ended request={} digest={} outcome={outcome} upstream={} runs={} events={} last={:?} \
             age_ms={} left_ms={} in_force={} {}{} detail={:?}",
            self.call.id(),
            self.call.fingerprint_hex(),
            upstream.as_deref().unwrap_or("-"),
            self.tried.count(),
            self.progress.delivered(),
            self.progress.last(),
            self.call.age_ms(),
            self.call.left(clock::now()).as_millis(),
            self.state.view.version(),
            self.call.view,
            self.state.stop.age_field(),
            end.detail()
        );
    }
}
