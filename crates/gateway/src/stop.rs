//! State of a graceful stop, and the number of requests in flight.

use {
    std::{
        fmt,
        future::{Future, pending},
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock::{self, TimedOut},
        logs::URGENT_TARGET,
        protection::{Protection, enabled},
    },
    tokio::sync::watch,
};

/// The longest time for which all requests are still served after the signal: callers may still connect to a withdrawn
/// address for this long. A shorter stop period takes precedence.
const SERVING_TIME: Duration = Duration::from_millis(3_500);
/// Time before the end of the stop period at which the process exits regardless of requests
/// in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The time that is left to write the last answers before the process exits.
const WRITING_TIME: Duration = Duration::from_millis(200);

/// The phases of a graceful stop, as times since the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From here on, each answer asks its caller to close the connection. Callers have learned by then that the address
    /// is withdrawn, so they do not come back.
    pub last_answers: Duration,
    /// From here on, no connection is accepted, and no further request is read but those that had arrived. What was read is
    /// still answered.
    pub close: Duration,
    /// Requests that have no answer yet are refused.
    pub refuse: Duration,
    /// The process exits regardless of requests in flight.
    pub exit: Duration,
}

impl StopSchedule {
    /// Divides a stop period.
    #[must_use]
    pub fn new(stop: Duration) -> Self {
        let exit = stop.saturating_sub(EXIT_MARGIN);
        // The other half is left to requests that were read in the last moment.
        let close = SERVING_TIME.min(exit / 2);
        Self {
            last_answers: close * 3 / 5,
            close,
            refuse: exit.saturating_sub(WRITING_TIME),
            exit,
        }
    }
}

/// State of a graceful stop, and the number of requests in flight.
pub struct Stop {
    /// When the phases of the stop begin.
    pub schedule: StopSchedule,
    requested_at: watch::Sender<Option<Instant>>,
    in_flight: AtomicUsize,
    /// Whether all connections of callers have ended.
    has_closed: AtomicBool,
    /// Whether the process exits.
    is_exiting: AtomicBool,
}

/// How a request ended during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// It has a whole answer.
    Answered,
    /// It was refused and has not run.
    RefusedNotRun,
    /// It was refused and may have run.
    RefusedUnknown,
    /// Its stream was broken off.
    BrokenOff,
    /// Its connection ended before its answer.
    CallerGone,
    /// The exit of the process cut it off.
    Cut,
}

impl StopEnd {
    /// The end's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::RefusedNotRun => "refused-not-run",
            Self::RefusedUnknown => "refused-unknown",
            Self::BrokenOff => "broken-off",
            Self::CallerGone => "caller-gone",
            Self::Cut => "cut",
        }
    }
}

/// The age of a stop as a field of a log line; nothing while no stop was requested.
pub struct StopAgeField(Option<Duration>);

impl fmt::Display for StopAgeField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, " stop_age_ms={}", age.as_millis()),
            None => Ok(()),
        }
    }
}

impl Stop {
    /// Creates the state of a host that takes this long for a stop at the most.
    #[must_use]
    pub fn new(stop: Duration) -> Self {
        Self {
            schedule: StopSchedule::new(stop),
            requested_at: watch::Sender::new(None),
            in_flight: AtomicUsize::new(0),
            has_closed: AtomicBool::new(false),
            is_exiting: AtomicBool::new(false),
        }
    }

    /// Records that a stop was requested.
    pub fn initiate(&self, now: Instant) {
        self.requested_at.send_replace(Some(now));
    }

    /// Adds a request to the number in flight.
    pub fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a request from the number in flight.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a stop was requested. Always false while `Protection::Withdrawal` is switched off.
    pub fn is_requested(&self) -> bool {
        self.requested_at.borrow().is_some() && enabled(Protection::Withdrawal)
    }

    /// Time since a stop was requested; `None` if none was.
    pub fn age(&self) -> Option<Duration> {
        self.requested_at.borrow().map(clock::elapsed)
    }

    /// The age of the stop for a log line.
    pub fn age_field(&self) -> StopAgeField {
        StopAgeField(self.age())
    }

    /// The target of log lines about ends of requests. From the close of connections on, few remain, and a request
    /// that gets no answer must be found in the log.
    pub fn log_target(&self, module: &'static str) -> &'static str {
        match self.age() {
            Some(age) if age >= self.schedule.close => URGENT_TARGET,
            Some(_) | None => module,
        }
    }

    /// Whether answers ask their callers to close the connection.
    pub fn closes_answered_connections(&self) -> bool {
        self.age()
            .is_some_and(|age| age >= self.schedule.last_answers)
    }

    /// Waits until a stop was requested and no further request is to be read.
    pub async fn wait_for_close(&self) {
        self.wait_for(self.schedule.close).await;
    }

    /// How long a request may still wait for its answer; `None` if no stop was requested.
    pub fn time_to_answer(&self) -> Option<Duration> {
        let age = self.age()?;
        Some(self.schedule.refuse.saturating_sub(age))
    }

    /// Runs a part of a request until it completes, or until requests without an answer are refused.
    ///
    /// # Errors
    /// The request has to be refused.
    pub async fn in_time<F: Future>(&self, part: F) -> Result<F::Output, TimedOut> {
        tokio::select! {
            biased;
            output = part => Ok(output),
            () = self.wait_for(self.schedule.refuse) => Err(TimedOut),
        }
    }

    /// Waits until a stop was requested and has lasted for some time.
    async fn wait_for(&self, age: Duration) {
        let mut requested_at = self.requested_at.subscribe();
        let requested_at = requested_at.wait_for(Option::is_some).await;
        // The sender is dropped only with the whole state.
        let Some(requested_at) = requested_at.ok().and_then(|at| *at) else {
            return pending().await;
        };
        clock::sleep_until(requested_at + age).await;
    }

    /// Records that all connections of callers have ended, so that every answer is written.
    pub fn record_closed(&self) {
        self.has_closed.store(true, Ordering::Relaxed);
    }

    /// Whether all connections of callers have ended.
    pub fn has_closed(&self) -> bool {
        self.has_closed.load(Ordering::Relaxed)
    }

    /// Records that the process exits, whatever is in flight.
    pub fn record_exit(&self) {
        self.is_exiting.store(true, Ordering::Relaxed);
    }

    /// Whether the process exits.
    pub fn is_exiting(&self) -> bool {
        self.is_exiting.load(Ordering::Relaxed)
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}
