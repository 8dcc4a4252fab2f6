//! What the caller gets: events with their tickets, the end, or a failure.

use {
    super::admitted::Admitted,
    crate::state::RouterState,
    bytes::Bytes,
    std::{collections::VecDeque, time::SystemTime},
    tealshore_callers::{
        events::EventWriter,
        ticket::{EventIdWriter, expiry_s},
    },
    tealshore_core::{
        answer::Failure,
        chain::TokenChain,
        ids::{AttemptNo, Position, RequestId, TokenId},
    },
    tealshore_decide::generation::{Attempt, FinishReason},
};

/// What the caller gets next.
pub enum Output {
    /// Bytes of the answer.
    Event(Bytes),
    /// The last bytes of a whole answer.
    End(Bytes),
    /// The answer can't go on.
    Failed(Failure),
}

/// The outputs of one answer that wait for the caller.
pub struct AnswerOutputs {
    queue: VecDeque<Output>,
    writer: EventWriter,
    id_writer: Option<(AttemptNo, EventIdWriter)>,
}

impl AnswerOutputs {
    /// Nothing yet.
    pub fn new(request: &RequestId) -> Self {
        Self {
            queue: VecDeque::new(),
            writer: EventWriter::new(request),
            id_writer: None,
        }
    }

    /// The next one.
    pub fn pop(&mut self) -> Option<Output> {
        self.queue.pop_front()
    }

    /// Makes the tickets of the next tokens those of an attempt.
    pub fn seal_for(&mut self, state: &RouterState, admitted: &Admitted, attempt: &Attempt) {
        let is_same = |(known, _): &(AttemptNo, EventIdWriter)| *known == attempt.no;
        if self.id_writer.as_ref().is_some_and(is_same) {
            return;
        }
        let expires_s = expiry_s(SystemTime::now(), state.options.resume.ticket_lifetime);
        let place = admitted.ticket_place(&state.options.host.site, attempt, expires_s);
        self.id_writer = Some((attempt.no, state.signer.id_writer(&place)));
    }

    /// Adds a token; `chain` is the hash up to and with it.
    pub fn token(&mut self, position: Position, chain: TokenChain, token: TokenId, text: &str) {
        if let Some((_, id_writer)) = &self.id_writer {
            let event = self.writer.token(id_writer, position, chain, token, text);
            self.queue.push_back(Output::Event(event));
        }
    }

    /// Adds the end of a whole answer.
    pub fn finish(&mut self, length: Position, reason: FinishReason) {
        let reason = match reason {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        };
        self.queue
            .push_back(Output::End(self.writer.end(length, reason)));
    }

    /// Adds the failure that ends an answer.
    pub fn fail(&mut self, failure: Failure) {
        self.queue.push_back(Output::Failed(failure));
    }
}
