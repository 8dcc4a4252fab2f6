//! One engine's part of a stream: reads its events and notices its silence.

use {
    crate::{
        connection::Connection,
        events::{Event, EventSplitter, StreamFault},
        forward::{
            probe::{Awaited, Patience, wait_while_alive},
            reservation::Reservation,
        },
        state::GatewayState,
        view::Upstream,
    },
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
};

/// Silence between events after which an engine is probed, and after which it counts as
/// lost though it lives.
const BETWEEN_EVENTS: Patience = Patience {
    probe_after: Duration::from_millis(260),
    longest: Duration::from_millis(4_000),
};

/// One engine's part of a stream. Dropping it ends the run there.
pub struct Attempt {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The request that it runs.
    pub request: RequestId,
    /// How long it may be silent before its first event.
    pub patience: Patience,
    /// Its answer's body.
    pub body: Incoming,
    /// The connection to it.
    pub _connection: Connection,
    /// Bytes of the event that is arriving.
    pub events: EventSplitter,
    /// When its answer began.
    pub began: Instant,
    /// How many events had passed to the caller before.
    pub passed_before: u64,
    /// Whether an event came.
    pub has_sent: bool,
    /// The events that the caller has by now, those of earlier engines included.
    pub events_had: u64,
    /// The work that is noted there.
    pub reservation: Reservation,
    /// The memory that is noted where the run's memory is copied to.
    pub _copy_reservation: Option<Reservation>,
}

/// What an attempt gives next.
pub enum Step {
    /// A whole event.
    Event(Event),
    /// The engine ended the stream as complete.
    End,
    /// Nothing more comes, for this cause.
    Lost(&'static str),
    /// What comes is not what is due. The engine that sends it has not ended.
    Spoilt(StreamFault),
}

impl Attempt {
    /// The next whole event, or how the attempt ends.
    pub async fn next_step(&mut self, state: &GatewayState) -> Step {
        loop {
            match self.events.next_event() {
                Ok(Some(event)) => return Step::Event(event),
                Ok(None) => {}
                Err(fault) => return Step::Spoilt(fault),
            }
            if let Some(end) = self.read_more(state).await {
                return end;
            }
        }
    }

    /// Reads more bytes; how the attempt ends, where there are none.
    async fn read_more(&mut self, state: &GatewayState) -> Option<Step> {
        let patience = if self.has_sent {
            BETWEEN_EVENTS
        } else {
            self.patience
        };
        let awaited = Awaited {
            request: &self.request,
            patience,
            events_had: if self.has_sent { self.events_had } else { 0 },
        };
        let frame = self.body.frame();
        match wait_while_alive(state, &self.upstream, awaited, frame).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.events.push(&bytes);
                }
                None
            }
            Ok(Some(Err(_))) => Some(Step::Lost("broken-off")),
            Ok(None) if self.events.is_within_event() => Some(Step::Lost("cut-event")),
            Ok(None) => Some(Step::End),
            Err(silence) => Some(Step::Lost(silence.name())),
        }
    }
}
