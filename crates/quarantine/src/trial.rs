//! Schedules who tries again after a quarantine, so that not all hosts do so at the same moment.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::Fingerprint,
};

/// How long hosts wait, one after the other, before they try what was quarantined. The result of a trial reaches all
/// hosts in less.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// How long a host that has started waits before its first trial: it does not know the other hosts yet.
const SETTLING_TIME: Duration = Duration::from_secs(30);
/// How long a host waits for the result of a trial before its next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(120);
/// The maximum number of remembered trials.
const MAX_TRIALS: usize = 256;

/// A request that this host sent as a trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    request: Fingerprint,
    began: Instant,
}

/// This host's trials by what they try: a request or a part of prompts.
#[derive(Debug)]
pub struct Trials {
    host_started: Instant,
    began: HashMap<u64, Trial>,
}

impl Trials {
    /// Returns the trials of a host that started at this moment.
    #[must_use]
    pub fn new(host_started: Instant) -> Self {
        Self {
            host_started,
            began: HashMap::new(),
        }
    }

    /// Returns whether this host may now send a request whose quarantine, for `key`, ended at `due`, and records that
    /// it does. `rank` is the host's position in the order in which hosts try.
    pub fn admit(
        &mut self,
        key: u64,
        request: Fingerprint,
        due: Instant,
        rank: usize,
        now: Instant,
    ) -> bool {
        if let Some(trial) = self.began.get(&key)
            && trial.began >= due
            && now.saturating_duration_since(trial.began) < TRIAL_TIMEOUT
        {
            return trial.request == request;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let first = due.max(self.host_started + SETTLING_TIME);
        if now < first + TRIAL_INTERVAL.saturating_mul(rank) {
            return false;
        }
        self.make_room(now);
        if self.began.len() >= MAX_TRIALS {
            return false;
        }
        self.began.insert(
            key,
            Trial {
                request,
                began: now,
            },
        );
        true
    }

    fn make_room(&mut self, now: Instant) {
        if self.began.len() < MAX_TRIALS {
            return;
        }
        let is_recent = |trial: &Trial| now.saturating_duration_since(trial.began) < TRIAL_TIMEOUT;
        self.began.retain(|_, trial| is_recent(trial));
    }
}
