//! Sends a stream to one engine and reads the head of its answer.

use {
    super::StreamRun,
    crate::{
        edge::{UpstreamOrder, Urgency},
        forward::{
            call::strip_connection_headers,
            connect::{self, Answer, SendFailure},
            probe::{PendingRequest, SilenceLimits, WaitFailure, wait_while_alive},
            stall::Stall,
            whole_answer::read_whole_answer,
        },
        rollout::Outcome,
        view::Upstream,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, response},
    http_body_util::Full,
    std::{
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::implies_not_executed,
        clock,
        http::{Body, full},
    },
    tealshore_runs::MemoryCopy,
};

/// The largest answer, in bytes, that is read whole because it is not a stream.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// The shortest time in which an engine reads a prompt of any notable size. If an answer is lost
/// sooner, the stream does not return to that engine but goes to the best choice for the whole
/// prompt.
const MIN_PROMPT_READ: Duration = Duration::from_millis(100);

/// Why a send led to no attempt.
pub enum PlaceFailure {
    /// The stream did not run there, or may be repeated: try another engine.
    TryNext,
    /// A complete answer that is not a stream.
    NonStream(Box<Response<Body>>),
    /// The stream may have run there.
    Unknown,
}

/// How to run a stream at one engine.
pub struct AttemptPlan {
    /// How long the engine may be silent before its first event.
    pub silence_limits: SilenceLimits,
    /// The engine to which the run's memory is copied.
    pub copy_to: Option<Arc<Upstream>>,
    /// The copy to resume from, if the engine holds one.
    pub resume_from: Option<MemoryCopy>,
}

impl StreamRun {
    /// Sends the request and waits for the head of the answer.
    pub async fn send_request(
        &mut self,
        upstream: &Arc<Upstream>,
        plan: &AttemptPlan,
    ) -> Result<Answer, PlaceFailure> {
        let urgency = if self.progress.delivered() > 0 {
            Urgency::Resume
        } else {
            Urgency::New(self.call.priority)
        };
        let order = UpstreamOrder {
            upstream: &upstream.record.id,
            customer: self.call.customer.as_ref(),
            deadline: self.call.left(clock::now()),
            last_event: self.progress.last(),
            urgency: Some(urgency),
            copy_to: plan.copy_to.as_ref().map(|holder| holder.record.address),
            resume_from: plan.resume_from.as_ref(),
        };
        let request = self.call.request_for(&self.state, upstream, &order);
        self.tried.begin(&upstream.record.id);
        self.deliveries += 1;
        let sent_at = clock::now();
        let waited = self.send_and_wait(upstream, plan, request).await;
        match waited {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(failure)) => {
                if failure == SendFailure::Unanswered {
                    self.check_for_crash_if_alone(upstream, sent_at, failure.name());
                    self.allow_retry_at(upstream, clock::elapsed(sent_at));
                }
                Err(self.send_failed(upstream, failure))
            }
            Err(wait_failure) => {
                if wait_failure.has_read_prompt() {
                    self.allow_retry_at(upstream, clock::elapsed(sent_at));
                }
                let (cause, outcome) = (wait_failure.name(), wait_failure.outcome());
                if wait_failure.is_run_reported() {
                    self.reported_at = Some(upstream.clone());
                }
                if !wait_failure.is_silence() {
                    return Err(self.record_unknown_outcome(upstream, cause, outcome));
                }
                self.leave_silent(&upstream.record.id);
                self.record_earlier_run(upstream.clone(), cause);
                self.record_outcome(&upstream.record, outcome);
                Err(self.record_failed_attempt(upstream, cause, PlaceFailure::Unknown))
            }
        }
    }

    /// Sends the request and waits for the head of the answer. Gives up a silent engine only if the stream can go
    /// elsewhere.
    async fn send_and_wait(
        &mut self,
        upstream: &Upstream,
        plan: &AttemptPlan,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Answer, SendFailure>, WaitFailure> {
        let (state, call) = (self.state.clone(), self.call.clone());
        let (id, stall) = (call.request(), Stall::default());
        let mut pending_request = PendingRequest {
            request: &id,
            silence_limits: plan.silence_limits,
            events_delivered: 0,
            has_no_alternative: false,
            stall: &stall,
        };
        let mut sending = pin!(connect::send(&state, &call, upstream, request));
        loop {
            let waited = wait_while_alive(&state, upstream, pending_request, sending.as_mut());
            match waited.await {
                Err(failure) if failure.is_silence() && self.must_wait_for(upstream) => {
                    pending_request.has_no_alternative = true;
                }
                waited => return waited,
            }
        }
    }

    /// Starts a background check whether the engine ended before the answer began, but only if it
    /// had no other work: with several requests, it is unknown which of them it had begun. A
    /// connection that closes within [`MIN_PROMPT_READ`] shows that the engine had ended before.
    /// Without this rule, a stream was refused as the cause of three crashes, though other requests
    /// had just ended those engines and proxies in front of them still accepted connections.
    fn check_for_crash_if_alone(
        &mut self,
        upstream: &Arc<Upstream>,
        sent_at: Instant,
        cause: &'static str,
    ) {
        let had_work = clock::elapsed(sent_at) >= MIN_PROMPT_READ;
        if had_work && self.state.work_at(upstream).running <= 1 {
            self.check_for_crash(upstream.clone(), sent_at, 0, cause);
        }
    }

    /// Lets the stream return, once, to an engine that lost its answer after probably reading the
    /// prompt. If the engine lives, it still has the prompt cached.
    fn allow_retry_at(&mut self, upstream: &Upstream, waited: Duration) {
        if self.retried_same_engine || waited < MIN_PROMPT_READ {
            return;
        }
        self.retried_same_engine = true;
        self.prompt_cached_at = Some(upstream.record.id.clone());
    }

    /// Reverts the counters of a send that reached no engine.
    fn undo_send(&mut self, upstream: &Upstream) {
        self.tried.undo(&upstream.record.id);
        self.deliveries -= 1;
        if self.draws_on_budget {
            self.state.refund_retry(&self.call.service);
        }
    }

    fn send_failed(&mut self, upstream: &Arc<Upstream>, failure: SendFailure) -> PlaceFailure {
        if failure == SendFailure::Unreachable {
            self.state.suspect(upstream, "unreachable");
        }
        if failure == SendFailure::InvalidAnswer {
            self.failed_at.push(upstream.clone());
        }
        if let Some(outcome) = failure.outcome() {
            return self.record_unknown_outcome(upstream, failure.name(), outcome);
        }
        self.undo_send(upstream);
        self.record_failed_attempt(upstream, failure.name(), PlaceFailure::TryNext)
    }

    /// Records a send that may have run, with its outcome for the engine's version.
    fn record_unknown_outcome(
        &mut self,
        upstream: &Arc<Upstream>,
        cause: &'static str,
        outcome: Outcome,
    ) -> PlaceFailure {
        self.record_outcome(&upstream.record, outcome);
        self.record_earlier_run(upstream.clone(), cause);
        let engine = &upstream.record.id;
        self.tried.record_end(engine);
        self.tried.record_failure(engine, clock::now());
        self.record_failed_attempt(upstream, cause, PlaceFailure::Unknown)
    }

    fn record_failed_attempt(
        &mut self,
        upstream: &Upstream,
        cause: &'static str,
        end: PlaceFailure,
    ) -> PlaceFailure {
        if self.prompt_cached_at.as_ref() != Some(&upstream.record.id) {
            self.avoid.push(upstream.record.id.clone());
        }
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: attempt failed request={} digest={} upstream={} try={} cause={cause} age_ms={} left_ms={}",
            self.call.id(),
            self.call.fingerprint_hex(),
            upstream.record.id,
            self.sends,
            self.call.age_ms(),
            self.call.left(clock::now()).as_millis()
        );
        end
    }

    /// Returns the head if the answer is a stream, or `None` if the answer must be read whole.
    pub fn check_head(
        &mut self,
        upstream: &Arc<Upstream>,
        answer: &Answer,
        from_copy: bool,
    ) -> Result<Option<response::Parts>, PlaceFailure> {
        let status = answer.head.status;
        if answer.facts.not_run {
            self.tried.undo(&upstream.record.id);
            let cause = if status == StatusCode::MISDIRECTED_REQUEST {
                // Another incarnation now has this address; this one is gone.
                self.state.record_replaced(upstream);
                "another-incarnation"
            } else if from_copy {
                "copy-refused"
            } else {
                "turned-away"
            };
            return Err(self.record_failed_attempt(upstream, cause, PlaceFailure::TryNext));
        }
        let is_encoded = answer
            .head
            .headers
            .contains_key(http::header::CONTENT_ENCODING);
        if !answer.facts.signed || is_encoded {
            return Err(self.record_unknown_outcome(upstream, "unsigned", Outcome::Failed));
        }
        // If passed on, the status would promise the caller that the stream did not run.
        if implies_not_executed(status) {
            return Err(self.record_unknown_outcome(
                upstream,
                "unconfirmed-refusal",
                Outcome::Failed,
            ));
        }
        if status.is_success() {
            return Ok(Some(answer.head.clone()));
        }
        if status.is_server_error() && self.call.route.may_repeat() {
            self.record_outcome(&upstream.record, Outcome::Failed);
            self.tried.record_failure(&upstream.record.id, clock::now());
            self.failed_at.push(upstream.clone());
            return Err(self.record_failed_attempt(
                upstream,
                "server-error",
                PlaceFailure::TryNext,
            ));
        }
        // Only a stream continues an answer that has begun. Another engine may still send one.
        if self.has_begun() {
            return Err(self.record_unknown_outcome(upstream, "resume-refused", Outcome::Failed));
        }
        Ok(None)
    }

    /// Reads an answer that is not a stream.
    pub async fn read_whole(&mut self, upstream: &Arc<Upstream>, answer: Answer) -> PlaceFailure {
        let mut head = answer.head;
        let memory = &self.state.answer_memory;
        match read_whole_answer(answer.body, MAX_ANSWER_BYTES, memory).await {
            Ok(body) => {
                strip_connection_headers(&mut head.headers);
                head.extensions.clear();
                PlaceFailure::NonStream(Box::new(Response::from_parts(head, full(body))))
            }
            Err(fault) => self.record_unknown_outcome(upstream, fault.name(), Outcome::Lost),
        }
    }
}
