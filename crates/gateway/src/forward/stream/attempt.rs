//! One engine's part of a stream: reads its events and notices its wait_failure.

use {
    crate::{
        connection::Connection,
        events::{Event, EventSplitter, StreamFault},
        forward::{
            probe::{PendingRequest, SilenceLimits, wait_while_alive},
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

/// WaitFailure between events after which an engine is probed, and after which it counts as
/// lost though it lives.
const BETWEEN_EVENTS_LIMITS: SilenceLimits = SilenceLimits {
    probe_after: Duration::from_millis(260),
    max: Duration::from_millis(4_000),
};

/// One engine's part of a stream. Dropping it ends the run there.
pub struct Attempt {
    /// The engine.
    pub upstream: Arc<Upstream>,
    /// The request that it runs.
    pub request: RequestId,
    /// How long it may be silent before its first event.
    pub silence_limits: SilenceLimits,
    /// Its answer's body.
    pub body: Incoming,
    /// The connection to it.
    pub _connection: Connection,
    /// Bytes of the event that is arriving.
    pub events: EventSplitter,
    /// When its answer began.
    pub began: Instant,
    /// How many events had passed to the caller before.
    pub delivered_before: u64,
    /// Whether an event came.
    pub has_received_event: bool,
    /// The events that the caller has by now, those of earlier engines included.
    pub events_delivered: u64,
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
    Invalid(StreamFault),
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
    pub fn connection_failed(cause: &'static str) -> Self {
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
                Err(fault) => return Step::Invalid(fault),
            }
            if let Some(end) = self.read_more(state).await {
                return end;
            }
        }
    }

    /// Reads more bytes; how the attempt ends, where there are none.
    async fn read_more(&mut self, state: &GatewayState) -> Option<Step> {
        let silence_limits = if self.has_received_event {
            BETWEEN_EVENTS_LIMITS
        } else {
            self.silence_limits
        };
        let pending_request = PendingRequest {
            request: &self.request,
            silence_limits,
            events_delivered: if self.has_received_event {
                self.events_delivered
            } else {
                0
            },
        };
        let frame = self.body.frame();
        match wait_while_alive(state, &self.upstream, pending_request, frame).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.events.push(&bytes);
                }
                None
            }
            Ok(Some(Err(_))) => Some(Step::Lost(Loss::connection_failed("broken-off"))),
            Ok(None) if self.events.has_partial_event() => {
                Some(Step::Lost(Loss::connection_failed("cut-event")))
            }
            Ok(None) => Some(Step::End),
            Err(wait_failure) => Some(Step::Lost(Loss {
                cause: wait_failure.name(),
                outcome: wait_failure.outcome(),
            })),
        }
    }
}
