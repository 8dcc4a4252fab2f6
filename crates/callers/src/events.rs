//! Writes the events of a streamed response.
//!
//! This runs once per token, so each event is written into a single buffer to keep allocations few.

use {
    crate::{ticket::EventIdWriter, wire::DONE},
    bytes::{BufMut, Bytes, BytesMut},
    std::fmt::Write,
    tealshore_core::{
        answer::Problem,
        chain::TokenChain,
        ids::{Position, RequestId, TokenId},
    },
};

/// The initial capacity of an event buffer, in bytes; a larger event makes it grow.
const EVENT_CAPACITY_BYTES: usize = 512;

/// Writes the events of one response.
pub struct EventWriter {
    head: String,
}

impl EventWriter {
    /// Creates a writer for the response to a request.
    #[must_use]
    pub fn new(request: &RequestId) -> Self {
        let id = serde_json::to_string(request).unwrap_or_default();
        Self {
            head: format!("data: {{\"id\":{id},\"object\":\"text_completion\",\"position\":"),
        }
    }

    /// Formats the event of one token; `chain` is the hash up to and including this token.
    #[must_use]
    pub fn token(
        &self,
        id_writer: &EventIdWriter,
        position: Position,
        chain: TokenChain,
        token: TokenId,
        text: &str,
    ) -> Bytes {
        let mut event = BytesMut::with_capacity(EVENT_CAPACITY_BYTES);
        event.put_slice(b"id: ");
        id_writer.write(&mut event, position + 1, chain);
        // Writing to a growable buffer can't fail.
        let _ = write!(
            event,
            "\n{}{position},\"choices\":[{{\"index\":0,\"text\":",
            self.head
        );
        write_json_string(&mut event, text);
        let _ = write!(
            event,
            ",\"token_ids\":[{token}],\"finish_reason\":null}}]}}\n\n"
        );
        event.freeze()
    }

    /// Formats the events that end a complete response of `length` tokens.
    #[must_use]
    pub fn end(&self, length: Position, reason: &str) -> Bytes {
        let head = &self.head;
        let choice = format!(
            "{{\"index\":0,\"text\":\"\",\"token_ids\":[],\"finish_reason\":\"{reason}\"}}"
        );
        Bytes::from(format!(
            "{head}{length},\"choices\":[{choice}]}}\n\ndata: {DONE}\n\n"
        ))
    }

    /// Formats the event that ends a response with an error.
    #[must_use]
    pub fn error(problem: &Problem) -> Bytes {
        let data = serde_json::to_string(problem).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {data}\n\n"))
    }
}

fn write_json_string(event: &mut BytesMut, text: &str) {
    // Writing to a growable buffer can't fail.
    let _ = serde_json::to_writer(event.writer(), text);
}
