//! One engine's part of a stream: reads its events and detects that it has fallen silent.

use {
    crate::{
        connection::{AnswerBody, Connection},
        events::{Event, EventSplitter, StreamFault},
        forward::{
            connect::BodyEnd,
            dial::Tunnel,
            ending::UpstreamKind,
            probe::{PendingRequest, SilenceLimits, wait_while_alive},
            reservation::Reservation,
            stall::Stall,
            unframed_end::is_tunnel_end_confirmed,
        },
        rollout::Outcome,
        state::GatewayState,
        view::Upstream,
    },
    http_body_util::BodyExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::RequestId},
    tealshore_quarantine::uncertain::ProbeResult,
    tokio::time::sleep,
};

/// Silence between two events after which an engine is probed, and after which it counts as lost
/// even if it answers probes.
const BETWEEN_EVENTS_LIMITS: SilenceLimits = SilenceLimits {
    probe_after: Duration::from_millis(260),
    max: Duration::from_millis(4_000),
};

/// How long a silent engine is asked whether it lives after the end of its connection, and how often.
const MAX_END_CHECK_TIME: Duration = Duration::from_secs(2);
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// One engine's part of a stream. Dropping it closes the connection, by which most engines end the run once they read it.
pub struct Attempt {
    /// The engine that runs the stream.
    pub upstream: Arc<Upstream>,
    /// The id of the request that the engine runs.
    pub request: RequestId,
    /// How long the engine may be silent before its first event.
    pub silence_limits: SilenceLimits,
    /// The body of the engine's answer.
    pub body: AnswerBody,
    /// How the end of the body is recognised.
    pub body_end: BodyEnd,
    /// The tunnel through which the answer comes; `None` if the connection is direct.
    pub through: Option<Tunnel>,
    /// The connection to the engine, held open until the attempt is dropped.
    pub _connection: Connection,
    /// Splits the received bytes into events.
    pub events: EventSplitter,
    /// When the engine's answer began.
    pub began: Instant,
    /// How many events were delivered to the caller before this attempt.
    pub delivered_before: u64,
    /// Whether an event of this attempt has arrived.
    pub has_received_event: bool,
    /// Whether enough events of this attempt have arrived to tell that the engine does not crash under it.
    pub has_begun: bool,
    /// How many events the caller has, including those of earlier engines.
    pub events_delivered: u64,
    /// Whether the stream had nowhere else to go when the engine was found silent.
    pub has_no_alternative: bool,
    /// The stall of the engine, if it is stalled.
    pub stall: Stall,
    /// The work reserved at the engine.
    pub reservation: Reservation,
    /// The memory reserved at the engine that receives the copy of the run's memory.
    pub _copy_reservation: Option<Reservation>,
}

/// The next step of an attempt.
pub enum Step {
    /// A complete event.
    Event(Event),
    /// The engine ended the stream as complete.
    End,
    /// The attempt was lost: no more events will arrive.
    Lost(Loss),
    /// The engine sent something other than the next event. It was alive when it did so.
    Invalid(StreamFault),
}

/// Why an attempt was lost.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// The cause, as logs and metrics name it.
    pub cause: &'static str,
    /// The outcome recorded for the engine's version.
    pub outcome: Outcome,
    /// Whether the engine was only silent, so that it may still go on with the run.
    pub is_silence: bool,
    /// Whether the engine reports that it still works on the run.
    pub is_run_reported: bool,
}

impl Loss {
    /// A loss by which the engine, or only the connection to it, may have ended.
    pub fn connection_failed(cause: &'static str) -> Self {
        Self {
            cause,
            outcome: Outcome::Lost,
            is_silence: false,
            is_run_reported: false,
        }
    }
}

/// What arrives of a body.
enum Arrival {
    /// A complete event.
    Event(Event),
    /// Bytes that are no event.
    Invalid(StreamFault),
    /// The end of the body.
    End,
    /// The end of the connection within the body.
    BrokenOff,
}

/// Reads until an event is complete or the body ends. If it is dropped meanwhile, what was read is kept.
async fn next_arrival(body: &mut AnswerBody, events: &mut EventSplitter) -> Arrival {
    loop {
        match events.next_event() {
            Ok(Some(event)) => return Arrival::Event(event),
            Ok(None) => {}
            Err(fault) => return Arrival::Invalid(fault),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    events.push(&bytes);
                }
            }
            Some(Err(error)) if body.is_invalid(&error) => {
                return Arrival::Invalid(StreamFault::Malformed);
            }
            Some(Err(_)) => return Arrival::BrokenOff,
            None => return Arrival::End,
        }
    }
}

impl Attempt {
    /// Waits for the next complete event, or for the end of the attempt. Bytes that complete no event are silence.
    pub async fn next_step(&mut self, state: &GatewayState) -> Step {
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
            has_no_alternative: self.has_no_alternative,
            stall: &self.stall,
        };
        let arrival = next_arrival(&mut self.body, &mut self.events);
        let waited = wait_while_alive(state, &self.upstream, pending_request, arrival).await;
        if waited.is_ok() {
            self.stall.record_answer(clock::now());
        }
        match waited {
            Ok(Arrival::Event(event)) => Step::Event(event),
            Ok(Arrival::Invalid(fault)) => Step::Invalid(fault),
            Ok(Arrival::BrokenOff) => Step::Lost(Loss::connection_failed("broken-off")),
            Ok(Arrival::End) if self.events.has_partial_event() => {
                Step::Lost(Loss::connection_failed("cut-event"))
            }
            Ok(Arrival::End) => self.end_of_body(state).await,
            Err(wait_failure) => Step::Lost(Loss {
                cause: wait_failure.name(),
                outcome: wait_failure.outcome(),
                is_silence: wait_failure.is_silence(),
                is_run_reported: wait_failure.is_run_reported(),
            }),
        }
    }

    /// Returns what follows from a body that ended after a whole event. Without a marked end, the stream is complete
    /// only if the engine ended it and still lives, and has sent an event if the caller has none.
    async fn end_of_body(&self, state: &GatewayState) -> Step {
        if self.body_end == BodyEnd::Marked {
            return Step::End;
        }
        if self.events_delivered == 0 {
            return Step::Lost(Loss::connection_failed("no-event"));
        }
        if let Some(tunnel) = &self.through
            && !is_tunnel_end_confirmed(state, tunnel, &self.request).await
        {
            return Step::Lost(Loss::connection_failed("ended-with-tunnel"));
        }
        let found = self.state_after_end(state).await;
        let is_same_life = found == ProbeResult::Lives { is_same_life: true };
        if found.evidence().is_some() || (!is_same_life && state.has_just_paused()) {
            return Step::Lost(Loss::connection_failed("ended-with-upstream"));
        }
        Step::End
    }

    /// Returns the state of the engine after the end of its connection. An engine may be silent just then, so one that
    /// is silent is asked again for some time.
    async fn state_after_end(&self, state: &GatewayState) -> ProbeResult {
        let began = clock::now();
        loop {
            let kind = UpstreamKind::Engine;
            let found = kind.find_state(state, &self.upstream, &self.request, self.began);
            let found = found.await;
            if found != ProbeResult::Silent || clock::elapsed(began) >= MAX_END_CHECK_TIME {
                return found;
            }
            sleep(END_CHECK_INTERVAL).await;
        }
    }
}
