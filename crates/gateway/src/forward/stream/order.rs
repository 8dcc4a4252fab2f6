//! One try of a stream at one engine: the order is sent, and the head of the answer is read.

use {
    super::StreamRun,
    crate::{
        edge::{Order, Urgency},
        forward::{
            call::strip_connection_headers,
            connect::{self, Answer, SendFailure},
            probe::{Awaited, Patience, wait_while_alive},
        },
        rollout::Outcome,
        run_trace::MemoryCopy,
        view::Upstream,
    },
    http::{Response, StatusCode, response},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::implies_not_executed,
        http::{Body, full, read_limited},
    },
};

/// The largest answer that is no stream, in bytes.
const ANSWER_BOUND_BYTES: usize = 1024 * 1024;
/// The shortest time in which an engine reads any prompt to speak of: one that was lost sooner
/// is read anew wherever it fits best.
const SHORTEST_READ: Duration = Duration::from_millis(100);

/// Why a try to place the stream gave no attempt.
pub enum TryEnd {
    /// It did not run there; try another one.
    TryNext,
    /// A whole answer that is no stream.
    Whole(Box<Response<Body>>),
    /// It may have run.
    Unknown,
}

/// What a try needs at its engine.
pub struct Try {
    /// How long the engine may be silent before its first event.
    pub patience: Patience,
    /// The engine to which the run's memory is copied.
    pub copy_to: Option<Arc<Upstream>>,
    /// The copy to go on from.
    pub go_on_from: Option<MemoryCopy>,
}

impl StreamRun {
    /// Sends the order and waits for the head of the answer.
    pub async fn order(
        &mut self,
        upstream: &Arc<Upstream>,
        try_here: &Try,
    ) -> Result<Answer, TryEnd> {
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
            copy_to: try_here
                .copy_to
                .as_ref()
                .map(|holder| holder.record.address),
            go_on_from: try_here.go_on_from.as_ref(),
        };
        let request = self.call.request_for(&self.state, upstream, &order);
        let id = self.call.id();
        self.tried.begin(&upstream.record.id);
        self.arrivals += 1;
        let sending = connect::send(&self.state, upstream, request, id);
        let awaited = Awaited {
            request: &self.call.request(),
            patience: try_here.patience,
            events_had: 0,
        };
        let asked = Instant::now();
        let waited = wait_while_alive(&self.state, upstream, awaited, sending).await;
        match waited {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(failure)) => {
                if failure == SendFailure::Unanswered {
                    self.examine_if_alone(upstream, asked, failure.name());
                    self.go_back_to(upstream, asked.elapsed());
                }
                Err(self.send_failed(upstream, failure))
            }
            Err(silence) => {
                if silence.leaves_prompt_read() {
                    self.go_back_to(upstream, asked.elapsed());
                }
                Err(self.note_unknown(upstream, silence.name(), silence.outcome()))
            }
        }
    }

    /// Finds out, aside, whether the engine ended under a stream whose answer had not begun, where it had
    /// nothing but this stream: of several, none is known to have been begun. One that closes at once had
    /// ended before; without that a stream was refused that had come to three engines which others
    /// had ended a moment ago, behind proxies that still took connections.
    fn examine_if_alone(&mut self, upstream: &Arc<Upstream>, asked: Instant, cause: &'static str) {
        let had_work = asked.elapsed() >= SHORTEST_READ;
        if had_work && self.state.work_at(upstream).running <= 1 {
            self.examine(upstream.clone(), asked, 0, cause);
        }
    }

    /// Lets the stream go back, once, to an engine that lost its answer after it has probably
    /// read the prompt: it keeps what it has read, if it lives.
    fn go_back_to(&mut self, upstream: &Upstream, waited: Duration) {
        if self.went_back || waited < SHORTEST_READ {
            return;
        }
        self.went_back = true;
        self.prompt_kept_at = Some(upstream.record.id.clone());
    }

    /// Notes that a send reached no engine.
    fn reached_nobody(&mut self, upstream: &Upstream) {
        self.tried.undo(&upstream.record.id);
        self.arrivals -= 1;
        if self.has_drawn {
            self.state.give_back_retry(&self.call.service);
        }
    }

    fn send_failed(&mut self, upstream: &Arc<Upstream>, failure: SendFailure) -> TryEnd {
        if failure == SendFailure::Unreachable {
            self.state.suspect(upstream, "unreachable");
        }
        if let Some(outcome) = failure.outcome() {
            return self.note_unknown(upstream, failure.name(), outcome);
        }
        self.reached_nobody(upstream);
        self.note_try(upstream, failure.name(), TryEnd::TryNext)
    }

    /// Notes a try that may have run, with what its end says of the engine's version.
    fn note_unknown(
        &mut self,
        upstream: &Upstream,
        cause: &'static str,
        outcome: Outcome,
    ) -> TryEnd {
        self.note_outcome(&upstream.record, outcome);
        self.note_try(upstream, cause, TryEnd::Unknown)
    }

    fn note_try(&mut self, upstream: &Upstream, cause: &'static str, end: TryEnd) -> TryEnd {
        if self.prompt_kept_at.as_ref() != Some(&upstream.record.id) {
            self.avoid.push(upstream.record.id.clone());
        }
        self.state.metrics.losses.with_label_values(&[cause]).inc();
        log::warn!(
            "stream: try ended request={} digest={} upstream={} try={} cause={cause} age_ms={}",
            self.call.id(),
            self.call.digest(),
            upstream.record.id,
            self.sends,
            self.call.age_ms()
        );
        end
    }

    /// The head, where it is one of a stream; none where the answer is to be read whole.
    pub fn check_head(
        &mut self,
        upstream: &Arc<Upstream>,
        answer: &Answer,
        from_copy: bool,
    ) -> Result<Option<response::Parts>, TryEnd> {
        let status = answer.head.status;
        if answer.facts.not_run {
            self.tried.undo(&upstream.record.id);
            let cause = if status == StatusCode::MISDIRECTED_REQUEST {
                // Another incarnation has the address: this one is gone.
                self.state.note_replaced(upstream);
                "another-incarnation"
            } else if from_copy {
                "copy-refused"
            } else {
                "turned-away"
            };
            return Err(self.note_try(upstream, cause, TryEnd::TryNext));
        }
        let is_encoded = answer
            .head
            .headers
            .contains_key(http::header::CONTENT_ENCODING);
        if !answer.facts.signed || is_encoded {
            return Err(self.note_unknown(upstream, "unsigned", Outcome::Failed));
        }
        // Passed on, the status would promise that the stream did not run.
        if implies_not_executed(status) {
            return Err(self.note_unknown(upstream, "unconfirmed-refusal", Outcome::Failed));
        }
        if status.is_success() {
            return Ok(Some(answer.head.clone()));
        }
        if status.is_server_error() && self.call.route.may_repeat() {
            self.note_outcome(&upstream.record, Outcome::Failed);
            self.failed_at.push(upstream.clone());
            return Err(self.note_try(upstream, "server-error", TryEnd::TryNext));
        }
        Ok(None)
    }

    /// An answer that is no stream, whole.
    pub async fn read_whole(&self, answer: Answer) -> TryEnd {
        let mut head = answer.head;
        match read_limited(answer.body, ANSWER_BOUND_BYTES).await {
            Ok(body) => {
                strip_connection_headers(&mut head.headers);
                head.extensions.clear();
                TryEnd::Whole(Box::new(Response::from_parts(head, full(body))))
            }
            Err(_) => TryEnd::Unknown,
        }
    }
}
