//! What the caller gets: events with their tickets, the end, or a failure.

use {
    super::admitted::AdmittedRequest,
    crate::state::RouterState,
    bytes::Bytes,
    std::{collections::VecDeque, time::SystemTime},
    tealshore_callers::{
        events::EventWriter,
        ticket::{EventSealer, expiry_s},
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
pub struct OutputQueue {
    queue: VecDeque<Output>,
    writer: EventWriter,
    sealer: Option<(AttemptNo, EventSealer)>,
}

impl OutputQueue {
    /// Nothing yet.
    pub fn new(request: &RequestId) -> Self {
        Self {
            queue: VecDeque::new(),
            writer: EventWriter::new(request),
            sealer: None,
        }
    }

    /// The next one.
    pub fn pop(&mut self) -> Option<Output> {
        self.queue.pop_front()
    }

    /// Makes the tickets of the next tokens those of an attempt.
    pub fn set_attempt(
        &mut self,
        state: &RouterState,
        admitted: &AdmittedRequest,
        attempt: &Attempt,
    ) {
        let is_same = |(known, _): &(AttemptNo, EventSealer)| *known == attempt.no;
        if self.sealer.as_ref().is_some_and(is_same) {
            return;
        }
        let expires_s = expiry_s(SystemTime::now(), state.options.resume.ticket_lifetime);
        let place = admitted.ticket_place(&state.options.host.site, attempt, expires_s);
        self.sealer = Some((attempt.no, state.signer.sealer(&place)));
    }

    /// Adds a token; `chain` is the hash up to and with it.
    pub fn token(&mut self, position: Position, chain: TokenChain, token: TokenId, text: &str) {
        if let Some((_, sealer)) = &self.sealer {
            let event = self.writer.token(sealer, position, chain, token, text);
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
