//! Graceful shutdown: the host withdraws its address at once, keeps serving requests for a while, closes its connections
//! in order, and exits when it has drained or the time for the stop is used up.

use {
    crate::{
        in_flight::{RequestKind, Stage, TrackedRequest},
        state::GatewayState,
        stop::{StopAgeField, StopEnd},
    },
    std::{fmt, io, sync::Arc, time::Duration},
    tealshore_core::{clock, logs::URGENT_TARGET},
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        time::sleep,
    },
};

/// How often the requests in flight are checked during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many requests that the exit cuts off have a line of their own, the oldest first.
const MAX_CUT_LINES: usize = 200;
/// The least time between the refusal of what has no answer and the exit. A host that did not run for a moment may come to
/// both at once.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// The least time between two log lines about signals that arrive during a stop.
const REPEATED_SIGNAL_PAUSE: Duration = Duration::from_millis(100);

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<GatewayState>);

impl InFlightGuard {
    /// Adds a request to the count.
    pub fn begin(state: &Arc<GatewayState>) -> Self {
        state.stop.begin_request();
        state.metrics.in_flight.inc();
        Self(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.stop.end_request();
        self.0.metrics.in_flight.dec();
    }
}

/// A signal that a host handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceivedSignal {
    Terminate,
    Interrupt,
    Hangup,
}

impl ReceivedSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        }
    }
}

/// The signals that a host handles. From their installation on none of them kills the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime.
    ///
    /// # Errors
    /// A signal handler can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn receive(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.interrupt.recv() => ReceivedSignal::Interrupt,
            _ = self.hangup.recv() => ReceivedSignal::Hangup,
        }
    }

    /// Waits for a signal that stops the host. No setting can be reloaded without a restart, so the others are logged.
    async fn receive_stop(&mut self) -> ReceivedSignal {
        loop {
            match self.receive().await {
                stop @ (ReceivedSignal::Terminate | ReceivedSignal::Interrupt) => return stop,
                ReceivedSignal::Hangup => {
                    log::info!(
                        "reload: SIGHUP received, settings need a restart outcome=nothing-to-reload"
                    );
                }
            }
        }
    }

    /// Logs the signals that arrive during a stop. None of them changes it.
    async fn log_repeated(mut self, state: Arc<GatewayState>) {
        loop {
            let received = self.receive().await;
            log::info!(
                target: URGENT_TARGET,
                "stop: further signal ignored signal={} stop_age_ms={}",
                received.name(),
                state.stop.age().unwrap_or_default().as_millis()
            );
            sleep(REPEATED_SIGNAL_PAUSE).await;
        }
    }
}

/// Waits for SIGTERM or SIGINT, then drains; returns when the process may exit.
pub async fn wait_for_shutdown(state: Arc<GatewayState>, mut signals: Signals) {
    let received = signals.receive_stop().await;
    let began = clock::now();
    state.stop.initiate(began);
    state.peers.wake_sender();
    log::info!(
        target: URGENT_TARGET,
        "stop: signal received, draining signal={} {}",
        received.name(),
        InFlightCounts::of(&state)
    );
    tokio::spawn(signals.log_repeated(state.clone()));
    state.stop.wait_for_close().await;
    let counts = InFlightCounts::of(&state);
    let idle = counts.idle_connections();
    let idle_count = u64::try_from(idle).unwrap_or_default();
    state.metrics.stop_idle_connections.inc_by(idle_count);
    log::info!(target: URGENT_TARGET, "stop: closing connections {counts} idle={idle}");
    let mut refusing_since = None;
    loop {
        let age = clock::elapsed(began);
        let in_flight = state.stop.in_flight();
        // An answer that is no longer in flight may not be written yet; its connection ends when it is.
        let has_closed = state.stop.has_closed();
        let has_refused =
            refusing_since.is_some_and(|since| clock::elapsed(since) >= MIN_REFUSAL_TIME);
        let is_over = age >= state.stop.schedule.exit && has_refused;
        if is_over || (has_closed && in_flight == 0) {
            state.stop.record_exit();
            log_exit(&state, in_flight, has_closed);
            return;
        }
        if age >= state.stop.schedule.refuse && refusing_since.is_none() {
            refusing_since = Some(clock::now());
            let counts = InFlightCounts::of(&state);
            log::info!(target: URGENT_TARGET, "stop: refusing what has no answer {counts}");
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// What is in flight at a moment of a stop, for logs.
struct InFlightCounts {
    in_flight: usize,
    receiving: usize,
    calls: usize,
    streams: usize,
    connections: usize,
    longest: Option<Arc<TrackedRequest>>,
    stop_age: StopAgeField,
}

impl InFlightCounts {
    fn of(state: &GatewayState) -> Self {
        let mut unanswered = state.in_flight.requests();
        unanswered.retain(|request| request.stage() != Stage::Answered);
        let count = |kind| {
            let kinds = unanswered.iter().map(|request| request.progress().kind);
            kinds.filter(|it| *it == kind).count()
        };
        let (calls, streams) = (count(RequestKind::Call), count(RequestKind::Stream));
        Self {
            in_flight: state.stop.in_flight(),
            receiving: unanswered.len() - calls - streams,
            calls,
            streams,
            connections: state.in_flight.open_connections(),
            longest: unanswered.into_iter().next(),
            stop_age: state.stop.age_field(),
        }
    }

    /// The number of connections without a request.
    fn idle_connections(&self) -> usize {
        let busy = self.receiving + self.calls + self.streams;
        self.connections.saturating_sub(busy)
    }
}

impl fmt::Display for InFlightCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let longest = self.longest.as_ref();
        write!(
            f,
            "in_flight={} receiving={} calls={} streams={} connections={} longest={} longest_ms={}{}",
            self.in_flight,
            self.receiving,
            self.calls,
            self.streams,
            self.connections,
            longest
                .and_then(|request| request.id.as_deref())
                .unwrap_or("-"),
            longest.map_or(0, |request| clock::elapsed(request.received).as_millis()),
            self.stop_age
        )
    }
}

/// Reports what the exit of the process cuts off, and how the other requests of the stop ended.
fn log_exit(state: &GatewayState, in_flight: usize, has_closed: bool) {
    // Once all connections have ended, whatever was answered is written.
    let cut = if has_closed {
        Vec::new()
    } else {
        state.in_flight.requests()
    };
    let cut_count = u64::try_from(cut.len()).unwrap_or_default();
    let ends = &state.metrics.stop_requests;
    ends.with_label_values(&[StopEnd::Cut.name()])
        .inc_by(cut_count);
    let count = |end: StopEnd| {
        let ends = &state.metrics.stop_requests;
        ends.with_label_values(&[end.name()]).get()
    };
    log::info!(
        target: URGENT_TARGET,
        "stop: exiting in_flight={in_flight} closed={has_closed} age_ms={} connections={} idle_closed={} answered={} \
         refused_not_run={} refused_unknown={} broken_off={} caller_gone={} cut={}",
        state.stop.age().unwrap_or_default().as_millis(),
        state.in_flight.open_connections(),
        state.metrics.stop_idle_connections.get(),
        count(StopEnd::Answered),
        count(StopEnd::RefusedNotRun),
        count(StopEnd::RefusedUnknown),
        count(StopEnd::BrokenOff),
        count(StopEnd::CallerGone),
        count(StopEnd::Cut)
    );
    for request in cut.iter().take(MAX_CUT_LINES) {
        let progress = request.progress();
        log::warn!(
            target: URGENT_TARGET,
            "stop: request cut request={} kind={} route={} stage={} upstream={} sends={} age_ms={}{} phase=exit",
            request.id.as_deref().unwrap_or("-"),
            progress.kind.name(),
            progress.route.as_deref().unwrap_or("-"),
            progress.stage.name(),
            progress.upstream.as_deref().unwrap_or("-"),
            progress.sends,
            clock::elapsed(request.received).as_millis(),
            state.stop.age_field()
        );
    }
}
