//! What hosts tell each other of crashes, and keep in the store. Moments are told as ages, since each host has a
//! clock of its own.

use {
    crate::crash::Crash,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, Fingerprint, RequestId},
};

/// A crash, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The try of the request's caller that ran there.
    pub attempt: RequestId,
    /// The upstream that ended.
    pub upstream: EngineId,
    /// The last event of the request that had come by then; 0 where none had.
    pub position: u64,
    /// How many events had come of the run.
    pub run_events: u64,
    /// How long the run had been there, in milliseconds.
    pub ran_ms: u32,
    /// How long ago the upstream ended, in milliseconds.
    pub age_ms: u32,
}

impl CrashReport {
    pub(crate) fn of(crash: &Crash, now: Instant) -> Self {
        Self {
            attempt: crash.attempt.clone(),
            upstream: crash.upstream.clone(),
            position: crash.position,
            run_events: crash.run_events,
            ran_ms: to_millis(crash.ended.saturating_duration_since(crash.began)),
            age_ms: to_millis(now.saturating_duration_since(crash.ended)),
        }
    }

    pub(crate) fn at(&self, now: Instant) -> Crash {
        let ended = ago(now, self.age_ms);
        Crash {
            attempt: self.attempt.clone(),
            upstream: self.upstream.clone(),
            position: self.position,
            run_events: self.run_events,
            began: ago(ended, self.ran_ms),
            ended,
        }
    }
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The request's digest.
    pub request: Fingerprint,
    /// The upstreams that ended under it since its last whole answer.
    pub crashes: Vec<CrashReport>,
    /// How long ago it got a whole answer after crashes, in milliseconds; none where it did not.
    pub cleared_age_ms: Option<u32>,
    /// Whether the host that tells it saw the last of it, and did not only learn it; not sent.
    #[serde(skip)]
    pub is_observed_locally: bool,
}

/// How much is known of one request, to tell whether there is more.
pub type UpdateSize = (usize, bool);

impl CrashUpdate {
    /// How much it tells.
    #[must_use]
    pub fn size(&self) -> UpdateSize {
        (self.crashes.len(), self.cleared_age_ms.is_some())
    }

    /// The same, as of a later moment.
    #[must_use]
    pub fn aged(mut self, age: Duration) -> Self {
        let age_ms = to_millis(age);
        for crash in &mut self.crashes {
            crash.age_ms = crash.age_ms.saturating_add(age_ms);
        }
        self.cleared_age_ms = self
            .cleared_age_ms
            .map(|cleared_ms| cleared_ms.saturating_add(age_ms));
        self
    }
}

pub(crate) fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// A moment before another one; that one itself where the clock does not reach so far back.
pub(crate) fn ago(moment: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    moment.checked_sub(age).unwrap_or(moment)
}
