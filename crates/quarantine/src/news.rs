//! Updates about crashes that hosts exchange and keep in the store. Times are sent as ages, because each host
//! has its own clock.

use {
    crate::crash::Crash,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, Fingerprint, RequestId},
};

/// A crash as it is sent and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The caller's attempt at the request that the run belonged to.
    pub attempt: RequestId,
    /// The id of the upstream that crashed.
    pub upstream: EngineId,
    /// The position of the last event of the request before the crash; 0 if there was none.
    pub position: u64,
    /// How many events the run had sent.
    pub run_events: u64,
    /// How long the run lasted, in milliseconds.
    pub ran_ms: u32,
    /// How long ago the upstream crashed, in milliseconds.
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

/// What a host knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The request's fingerprint.
    pub request: Fingerprint,
    /// The crashes under the request that have not been cleared.
    pub crashes: Vec<CrashReport>,
    /// The age, in milliseconds, of the moment up to which crashes were cleared, because the request was
    /// completed or a crash was retracted; none if no crashes were cleared.
    pub cleared_age_ms: Option<u32>,
    /// Whether the sending host observed the latest change itself rather than learning it from another host;
    /// not sent.
    #[serde(skip)]
    pub is_observed_locally: bool,
}

/// The amount of information in an update, to detect whether there is more: the number of crashes, and whether
/// the request was cleared.
pub type UpdateSize = (usize, bool);

impl CrashUpdate {
    /// Returns the amount of information in the update.
    #[must_use]
    pub fn size(&self) -> UpdateSize {
        (self.crashes.len(), self.cleared_age_ms.is_some())
    }

    /// Returns the update with all ages increased.
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

/// Returns the moment this long before another one, or that one itself if the clock does not reach back that
/// far.
pub(crate) fn ago(moment: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    moment.checked_sub(age).unwrap_or(moment)
}
