//! Splits an upstream's bytes into complete events and accepts each position exactly once.

use {
    bytes::{Bytes, BytesMut},
    tealshore_core::protection::{Protection, enabled},
    tealshore_runs::EventId,
};

/// The largest event, in bytes. If more bytes arrive without the end of an event, the stream is
/// broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's position in the stream.
    pub id: Option<EventId>,
    /// The event's bytes, unchanged.
    pub bytes: Bytes,
}

/// Why bytes are not a stream of events, or not the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event exceeds the size limit without an end.
    TooLarge,
    /// An event does not follow the previous one.
    WrongPosition,
    /// An event has neither a position nor data.
    Empty,
    /// The bytes do not form a body.
    Malformed,
}

impl StreamFault {
    /// Whether the bytes are an event, though not the expected one.
    #[must_use]
    pub fn is_event(self) -> bool {
        match self {
            Self::WrongPosition => true,
            Self::TooLarge | Self::Empty | Self::Malformed => false,
        }
    }

    /// The fault's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "event-too-large",
            Self::WrongPosition => "wrong-position",
            Self::Empty => "empty-event",
            Self::Malformed => "malformed-body",
        }
    }
}

/// Collects bytes until an event is complete.
#[derive(Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// How many of the pending bytes were searched for the end of an event, however small the pieces they came in.
    searched: usize,
    /// Where the line begins at which the search stopped.
    line_start: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` until it is complete.
    ///
    /// # Errors
    /// The event being collected exceeds the size limit, or the next event is empty.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamFault> {
        let Some(end) = self.find_event_end() else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(StreamFault::TooLarge)
            } else {
                Ok(None)
            };
        };
        let bytes = self.pending.split_to(end).freeze();
        let id = parse_event_id(&bytes);
        if id.is_none() && !has_data(&bytes) {
            return Err(StreamFault::Empty);
        }
        Ok(Some(Event { id, bytes }))
    }

    /// Returns the length of the first event, including the empty line that ends it.
    fn find_event_end(&mut self) -> Option<usize> {
        let unsearched = &self.pending[self.searched..];
        for (index, byte) in (self.searched..).zip(unsearched) {
            if *byte != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                (self.searched, self.line_start) = (0, 0);
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = self.pending.len();
        None
    }

    /// Whether part of an event has arrived.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn parse_event_id(bytes: &[u8]) -> Option<EventId> {
    bytes
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}

fn has_data(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}

/// The position that a caller of a stream has reached, and so the event that must come next.
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

    /// The position of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// How many events this host has delivered to the caller.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Accepts an event for delivery.
    ///
    /// # Errors
    /// It is not the next event in order.
    pub fn accept(&mut self, event: &Event) -> Result<(), StreamFault> {
        if !enabled(Protection::EventPosition) {
            self.last = event.id.or(self.last);
            self.delivered += 1;
            return Ok(());
        }
        match (self.last, event.id) {
            (Some(last), Some(id)) if id != last + 1 => return Err(StreamFault::WrongPosition),
            // Without positions, the events cannot be joined to those that the caller has.
            (Some(_), None) => return Err(StreamFault::WrongPosition),
            (Some(_) | None, Some(id)) => self.last = Some(id),
            (None, None) => {}
        }
        self.delivered += 1;
        Ok(())
    }
}
