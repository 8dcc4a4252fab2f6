//! Splits an upstream's bytes into whole events and lets each position through once.

use {
    crate::edge::EventId,
    bytes::{Bytes, BytesMut},
    tealshore_core::protection::{Protection, enabled},
};

/// The largest event, in bytes; more without an end is a broken stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event, its end included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its position.
    pub id: Option<EventId>,
    /// Its bytes, unchanged.
    pub bytes: Bytes,
}

/// Why bytes are no stream of events, or not the one that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event does not end.
    TooLarge,
    /// An event does not follow the last one.
    WrongPosition,
}

impl StreamFault {
    /// The fault's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "event-too-large",
            Self::WrongPosition => "wrong-position",
        }
    }
}

/// Collects bytes until an event is whole.
#[derive(Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    ///
    /// # Errors
    /// The event that is being collected exceeds its bound.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamFault> {
        let Some(end) = find_event_end(&self.pending) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(StreamFault::TooLarge)
            } else {
                Ok(None)
            };
        };
        let bytes = self.pending.split_to(end).freeze();
        let id = parse_event_id(&bytes);
        Ok(Some(Event { id, bytes }))
    }

    /// Whether an event has begun and not ended.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The length of the first event with the empty line that ends it.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn parse_event_id(bytes: &[u8]) -> Option<EventId> {
    bytes
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}

/// What a caller of a stream has, and so which event is due.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    last: Option<EventId>,
    delivered: u64,
}

impl Progress {
    /// The progress of a caller that has all events up to `last`.
    #[must_use]
    pub fn after(last: Option<EventId>) -> Self {
        Self { last, delivered: 0 }
    }

    /// The last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// How many events passed here.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Lets an event through.
    ///
    /// # Errors
    /// It is not the event that is due.
    pub fn accept(&mut self, event: &Event) -> Result<(), StreamFault> {
        if !enabled(Protection::EventPosition) {
            self.last = event.id.or(self.last);
            self.delivered += 1;
            return Ok(());
        }
        match (self.last, event.id) {
            (Some(last), Some(id)) if id != last + 1 => return Err(StreamFault::WrongPosition),
            // Without positions a stream can't be joined to what the caller has.
            (Some(_), None) => return Err(StreamFault::WrongPosition),
            (Some(_) | None, Some(id)) => self.last = Some(id),
            (None, None) => {}
        }
        self.delivered += 1;
        Ok(())
    }
}
