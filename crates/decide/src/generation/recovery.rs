//! Recovery after an attempt is lost.

use {
    super::{
        Generation,
        attempt::Loss,
        cancel,
        types::{Action, FinishReason},
    },
    crate::policy::Repeat,
    std::time::Instant,
    tealshore_core::{
        answer::ErrorKind,
        ids::{AttemptNo, Position},
        protection::{Protection, enabled},
    },
};

impl Generation {
    pub(super) fn on_lost(
        &mut self,
        attempt: AttemptNo,
        loss: Loss,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.is_standby(attempt) {
            let lost = self.standby.take();
            self.exclude_engine_of(lost.as_ref());
            self.replace_standby(now, actions);
            return;
        }
        if !self.is_current(attempt) {
            return;
        }
        let lost = self.current.take();
        self.exclude_engine_of(lost.as_ref());
        if let (Some(lost), Loss::Silent | Loss::Broken) = (&lost, loss) {
            cancel(lost, actions);
        }
        if let Some(standby) = self.standby.take() {
            self.current = Some(standby);
            return;
        }
        let never_ran = lost.is_some_and(|lost| lost.never_ran(loss));
        self.recover(never_ran, now, actions);
    }

    fn recover(&mut self, never_ran: bool, now: Instant, actions: &mut Vec<Action>) {
        if self.is_complete() {
            // All tokens have arrived; only the end marker is missing.
            actions.extend(self.finish(FinishReason::Length));
            return;
        }
        if (self.received.len() as Position) < self.emit_from {
            return self.fail(ErrorKind::ResumeNeedsTokens, actions);
        }
        let may_repeat =
            self.spec.repeat == Repeat::Allowed || !enabled(Protection::SingleDispatch);
        if !never_ran && !may_repeat {
            let kind = if self.received.is_empty() {
                ErrorKind::UpstreamUnconfirmed
            } else {
                ErrorKind::UpstreamLost
            };
            return self.fail(kind, actions);
        }
        if self.spec.max_attempts == 0 {
            let kind = if self.has_run() {
                ErrorKind::RetriesSpent
            } else {
                ErrorKind::NoEngine
            };
            return self.fail(kind, actions);
        }
        self.counts.resumes += u32::from(!never_ran);
        self.place_attempt(now, actions);
    }
}
