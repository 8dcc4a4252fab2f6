//! Silence detection for the engines of a generation: suspicion, standby attempts and death.

use {
    super::{
        Generation,
        attempt::{Attempt, Loss},
        cancel,
        types::Action,
    },
    crate::policy::{Repeat, ResumePolicy},
    std::time::{Duration, Instant},
    tealshore_core::ids::Position,
};

/// The first token of a later attempt may take this many times as long as the first token of the
/// generation took.
const FIRST_TOKEN_WAIT_FACTOR: u32 = 3;
/// With fewer remaining attempts than this, none is spent on replacing an engine that may merely be
/// slow.
const RESERVED_ATTEMPTS: u32 = 2;

impl Generation {
    /// Returns when [`Event::Tick`](super::Event::Tick) is due if no other event arrives before.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let attempts = self.current.iter().chain(&self.standby);
        attempts
            .filter(|attempt| attempt.engine.is_some())
            .map(|attempt| self.suspicion_deadline(attempt))
            .min()
    }

    pub(super) fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(standby) = self
            .standby
            .clone()
            .filter(|standby| self.is_silent(standby, now))
        {
            cancel(&standby, actions);
            self.on_lost(standby.no, Loss::Silent, now, actions);
        }
        let Some(current) = self
            .current
            .clone()
            .filter(|current| self.is_silent(current, now))
        else {
            return;
        };
        if self.may_start_standby() && !self.is_dead(&current, now) {
            self.counts.suspicions += 1;
            self.start_standby(now, actions);
        } else {
            self.on_lost(current.no, Loss::Silent, now, actions);
        }
    }

    fn may_start_standby(&self) -> bool {
        self.spec.policy == ResumePolicy::Latency
            && self.spec.repeat == Repeat::Allowed
            && self.spec.max_attempts > 0
            && self.received.len() as Position >= self.emit_from
    }

    /// Starts another standby while the suspected engine stays silent. The last attempts are
    /// reserved for the case that the suspected engine counts as dead.
    pub(super) fn replace_standby(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_suspected = self
            .current
            .as_ref()
            .is_some_and(|current| current.suspected);
        if is_suspected && self.may_start_standby() && self.spec.max_attempts >= RESERVED_ATTEMPTS {
            self.start_standby(now, actions);
        }
    }

    fn start_standby(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(current) = self.current.as_mut() {
            current.suspected = true;
        }
        if self.standby.is_some() {
            return;
        }
        let attempt = self.next_attempt_no();
        self.standby = Some(Attempt::placing(attempt, now));
        actions.push(Action::Place { attempt });
    }

    fn suspicion_deadline(&self, attempt: &Attempt) -> Instant {
        let timeout = match (attempt.has_sent_token, attempt.suspected) {
            (false, _) => self.first_token_bound(),
            (true, true) => self.bounds.dead_after,
            (true, false) => self.gaps.suspicion_timeout(&self.bounds),
        };
        attempt.last_activity + timeout
    }

    /// Returns how long the first token of an attempt may take. A resume computes about as much as
    /// the first attempt did, so a small multiple of the first attempt's wait is enough. The last
    /// attempts get the full bound of the policy.
    fn first_token_bound(&self) -> Duration {
        match self.first_token_wait {
            Some(wait) if self.spec.max_attempts >= RESERVED_ATTEMPTS => (wait
                * FIRST_TOKEN_WAIT_FACTOR)
                .clamp(self.bounds.floor * 2, self.bounds.first_token),
            _ => self.bounds.first_token,
        }
    }

    fn is_silent(&self, attempt: &Attempt, now: Instant) -> bool {
        attempt.engine.is_some() && now >= self.suspicion_deadline(attempt)
    }

    fn is_dead(&self, attempt: &Attempt, now: Instant) -> bool {
        now.saturating_duration_since(attempt.last_activity) >= self.bounds.dead_after
    }
}
