//! One engine's part of a stream: reads its events and notices its silence.

use {
    crate::{
        connection::Connection,
        events::{Event, EventSplitter, StreamFault},
        forward::{
            probe::{Awaited, Patience, wait_while_alive},
            reservation::Reservation,
        },
        rollout::Outcome,
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
    /// Nothing more comes.
    Lost(Loss),
    /// What comes is not what is due. The engine that sends it has not ended.
    Spoilt(StreamFault),
}

/// Why nothing more comes of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// The cause, for logs and metrics.
    pub cause: &'static str,
    /// What it says of the engine's version.
    pub outcome: Outcome,
}

impl Loss {
    /// The engine or its link may have ended.
    pub fn of_connection(cause: &'static str) -> Self {
        Self {
            cause,
            outcome: Outcome::Lost,
        }
    }
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
            Ok(Some(Err(_))) => Some(Step::Lost(Loss::of_connection("broken-off"))),
            Ok(None) if self.events.is_within_event() => {
                Some(Step::Lost(Loss::of_connection("cut-event")))
            }
            Ok(None) => Some(Step::End),
            Err(silence) => Some(Step::Lost(Loss {
                cause: silence.name(),
                outcome: silence.outcome(),
            })),
        }
    }
}
