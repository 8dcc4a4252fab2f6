//! Carries the events of a stream to its caller, each once, over as many engines as it
//! takes.

use {
    super::{
        StreamRun,
        attempt::{Loss, Step},
        place::Opened,
        recopy::Recopy,
    },
    crate::{
        events::Event,
        lifecycle::InFlightGuard,
        read_ahead::{ReadAheadSender, read_ahead},
        rollout::Outcome,
    },
    futures::TryStreamExt,
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Frame,
    std::time::Instant,
    tealshore_core::http::{Body, BodyError},
    tokio::time::timeout_at,
};

/// How much of a stream waits for a slow caller, in bytes.
const READ_AHEAD_BYTES: u32 = 32 * 1024;

type EventSender = ReadAheadSender<BodyError>;

/// How a caller's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerGone,
    /// It broke off, for this cause.
    BrokenOff(&'static str),
}

impl RelayEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerGone => "caller-gone",
            Self::BrokenOff(cause) => cause,
        }
    }
}

impl StreamRun {
    /// The body of the answer; a task of its own fills it until the caller goes.
    pub fn into_body(mut self) -> Body {
        let (sender, receiver) = read_ahead(READ_AHEAD_BYTES);
        let in_flight = InFlightGuard::begin(&self.state);
        tokio::spawn(async move {
            let ends = self.call.ends.into();
            let end = tokio::select! {
                biased;
                () = sender.closed() => RelayEnd::CallerGone,
                end = timeout_at(ends, self.carry(&sender)) => {
                    end.unwrap_or(RelayEnd::BrokenOff("deadline-reached"))
                }
            };
            self.finish(end, &sender);
        });
        let frames = receiver.map_ok(move |bytes| {
            // What waits for a slow caller is in flight: a planned stop waits until it is written.
            let _ = &in_flight;
            Frame::data(bytes)
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Carries events until the stream is complete, or can't go on.
    async fn carry(&mut self, sender: &EventSender) -> RelayEnd {
        loop {
            match self.next_step().await {
                Step::Event(event) => {
                    self.observe_resume();
                    self.observe_pause();
                    if sender.send(event.bytes).await.is_err() {
                        return RelayEnd::CallerGone;
                    }
                    self.tend_copy();
                }
                Step::End => return RelayEnd::Complete,
                Step::Lost(loss) => {
                    self.examine_attempt(loss.cause);
                    self.lose(loss);
                    if let Some(cause) = self.go_on().await {
                        return RelayEnd::BrokenOff(cause);
                    }
                }
                // No end is looked for: whatever answers there later, this engine still sent.
                Step::Spoilt(fault) => {
                    self.lose(Loss {
                        cause: fault.name(),
                        outcome: Outcome::Failed,
                    });
                    if let Some(cause) = self.go_on().await {
                        return RelayEnd::BrokenOff(cause);
                    }
                }
            }
        }
    }

    /// The next event that is due, or how the attempt ends.
    async fn next_step(&mut self) -> Step {
        let Some(attempt) = self.attempt.as_mut() else {
            return Step::Lost(Loss::of_connection("no-attempt"));
        };
        let step = attempt.next_step(&self.state).await;
        let Step::Event(event) = step else {
            return step;
        };
        self.note_first_event(&event);
        if let Err(fault) = self.progress.accept(&event) {
            return Step::Spoilt(fault);
        }
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.events_had = self.progress.last().unwrap_or(self.progress.passed());
        }
        Step::Event(event)
    }

    fn note_first_event(&mut self, event: &Event) {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| !attempt.has_sent) else {
            return;
        };
        attempt.has_sent = true;
        if !self.is_counted {
            // Once, at how many engines it runs.
            self.is_counted = true;
            self.state.count_begun(self.call.customer.as_ref());
        }
        attempt.reservation.prompt_read();
        for failed in self.failed_at.drain(..) {
            self.state.note_failing(&failed, &attempt.upstream);
        }
        let waited = self.call.received.elapsed();
        let kind = if self.sends > 1 {
            "resumed-stream"
        } else {
            "stream"
        };
        self.state.metrics.observe_first_byte(kind, waited);
        log::info!(
            "stream: first event request={} upstream={} id={:?} age_ms={}",
            self.call.id(),
            attempt.upstream.record.id,
            event.id,
            waited.as_millis()
        );
    }

    /// Records how fast the stream went, unless it began in the middle.
    fn record_pace(&self) {
        let began_whole = self.call.facts.last_event.is_none();
        if let (true, Some(first), Some(last)) = (began_whole, self.first_passed_at, self.passed_at)
        {
            let took = last.saturating_duration_since(first);
            let events = self.progress.passed();
            let service = &self.call.service;
            self.state
                .record_stream(service, events, took, self.output_tokens());
        }
    }

    /// Notes how long the caller waited since the event before.
    fn observe_pause(&mut self) {
        let now = Instant::now();
        self.first_passed_at.get_or_insert(now);
        if let Some(before) = self.passed_at.replace(now) {
            let pause = now.saturating_duration_since(before);
            self.state
                .metrics
                .pause_seconds
                .observe(pause.as_secs_f64());
        }
    }

    fn observe_resume(&mut self) {
        if let Some(lost) = self.lost_at.take() {
            let waited = lost.elapsed().as_secs_f64();
            self.state.metrics.resume_seconds.observe(waited);
        }
    }

    /// Places the stream at another engine; why it ends, where that can't be done.
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

    /// Finds out, aside, whether the engine of the current attempt has ended.
    fn examine_attempt(&mut self, cause: &'static str) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let run_events = self.progress.passed() - attempt.passed_before;
        let (upstream, began) = (attempt.upstream.clone(), attempt.began);
        self.examine(upstream, began, run_events, cause);
    }

    /// Ends the current attempt and notes why.
    fn lose(&mut self, loss: Loss) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        attempt.upstream.note_outcome(true);
        let (record, route) = (&attempt.upstream.record, &self.call.route.name);
        self.state.note_outcome(record, route, loss.outcome);
        if let Some(copy) = self.recopy.take_made() {
            self.copy = Some(copy);
        }
        self.recopy = Recopy::default();
        self.lost_at = Some(Instant::now());
        self.avoid.push(attempt.upstream.record.id.clone());
        let cause = loss.cause;
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: lost request={} digest={} upstream={} cause={cause} last={:?} copy={} run={} age_ms={}",
            self.call.id(),
            self.call.digest(),
            attempt.upstream.record.id,
            self.progress.last(),
            self.copy
                .as_ref()
                .map_or("-", |copy| copy.upstream.as_str()),
            self.tried.count(),
            self.call.age_ms()
        );
    }

    /// Sees to it that a copy of the run's memory lies at an engine that lives.
    fn tend_copy(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !self.engines().copies || !self.call.route.may_repeat() {
            return;
        }
        if let Some(copy) = self.recopy.take_made() {
            self.copy = Some(copy);
        }
        let now = Instant::now();
        // Where no engine had room for the first copy, there is none to be made anew.
        let Some(copy) = &self.copy else {
            return;
        };
        let holder = self.state.view.upstreams.get(&copy.upstream);
        let is_held =
            holder.is_some_and(|holder| !holder.is_suspected(now) && !holder.goes_with_its_hall());
        if !self.recopy.is_due(is_held, now) {
            return;
        }
        let runs_at = attempt.upstream.clone();
        if let Some(target) = self.choose_copy(&runs_at.record) {
            let run = self.call.request();
            self.recopy.begin(&self.state, runs_at, run, target, now);
        }
    }

    fn finish(&mut self, end: RelayEnd, sender: &EventSender) {
        if let RelayEnd::BrokenOff(cause) = end {
            // An answer that ends early must look cut.
            let _ = sender.break_off(cause.into());
        }
        let is_whole = end == RelayEnd::Complete;
        let request = self.call.request();
        self.state
            .runs
            .end(self.call.fingerprint, &request, is_whole, Instant::now());
        // Dropping the attempt ends the run at the engine.
        let attempt = self.attempt.take();
        let upstream = attempt.map(|attempt| attempt.upstream.record.id.clone());
        let outcome = end.name();
        if is_whole {
            self.state.note_completed(&request, self.call.fingerprint);
            let took = self.call.received.elapsed();
            self.state.metrics.observe_duration("stream", took);
            self.state.note_whole_answer(&self.call.service, took);
            self.record_pace();
        }
        self.state
            .metrics
            .outcomes
            .with_label_values(&[outcome])
            .inc();
        let level = if is_whole {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            level,
            "stream: end request={} digest={} outcome={outcome} upstream={} runs={} events={} last={:?} \
             age_ms={} configuration={}",
            self.call.id(),
            self.call.digest(),
            upstream.as_deref().unwrap_or("-"),
            self.tried.count(),
            self.progress.passed(),
            self.progress.last(),
            self.call.age_ms(),
            self.call.configuration.version
        );
    }
}
