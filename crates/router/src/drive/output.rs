//! Output for the caller: events with their tickets, the end, or a failure.

use {
    super::admitted::AdmittedRequest,
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

/// One output for the caller.
pub enum Output {
    /// Bytes of an event within the answer.
    Event(Bytes),
    /// Bytes of the event that ends a complete answer.
    End(Bytes),
    /// The answer ends with a failure.
    Failed(Failure),
}

/// Queue of outputs that the caller has not read yet.
pub struct OutputQueue {
    queue: VecDeque<Output>,
    writer: EventWriter,
    id_writer: Option<(AttemptNo, EventIdWriter)>,
}

impl OutputQueue {
    /// Creates an empty queue.
    pub fn new(request: &RequestId) -> Self {
        Self {
            queue: VecDeque::new(),
            writer: EventWriter::new(request),
            id_writer: None,
        }
    }

    /// Removes the next output.
    pub fn pop(&mut self) -> Option<Output> {
        self.queue.pop_front()
    }

    /// Sets the attempt that the tickets of the next tokens refer to.
    pub fn set_attempt(
        &mut self,
        state: &RouterState,
        admitted: &AdmittedRequest,
        attempt: &Attempt,
    ) {
        let is_same = |(known, _): &(AttemptNo, EventIdWriter)| *known == attempt.no;
        if self.id_writer.as_ref().is_some_and(is_same) {
            return;
        }
        let expires_s = expiry_s(SystemTime::now(), state.options.resume.ticket_lifetime);
        let place = admitted.ticket_place(&state.options.host.site, attempt, expires_s);
        self.id_writer = Some((attempt.no, state.signer.id_writer(&place)));
    }

    /// Adds a token; `chain` is the hash of all tokens up to and including it.
    pub fn token(&mut self, position: Position, chain: TokenChain, token: TokenId, text: &str) {
        if let Some((_, id_writer)) = &self.id_writer {
            let event = self.writer.token(id_writer, position, chain, token, text);
            self.queue.push_back(Output::Event(event));
        }
    }

    /// Adds the event that ends a complete answer.
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
