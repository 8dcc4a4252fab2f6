//! Reports requests whose connection ended before this host answered them.

use {
    crate::{edge::RequestFacts, state::GatewayState, stop::StopEnd},
    std::{sync::Arc, time::Instant},
    tealshore_core::{clock, ids::RequestId},
};

/// Reports a request as abandoned if it is dropped before the request is answered.
pub struct UnansweredGuard {
    state: Arc<GatewayState>,
    request: Option<RequestId>,
    received: Instant,
    is_answered: bool,
}

impl UnansweredGuard {
    /// Watches a request that was received at `received`.
    pub fn begin(state: &Arc<GatewayState>, facts: &RequestFacts, received: Instant) -> Self {
        Self {
            state: state.clone(),
            request: facts.request.clone(),
            received,
            is_answered: false,
        }
    }

    /// Records that the request has an answer.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        // What the exit of the process cuts off is reported by the stop.
        if self.is_answered || self.state.stop.is_exiting() {
            return;
        }
        let outcome = if std::thread::panicking() {
            "panicked"
        } else {
            "connection-ended"
        };
        self.state
            .metrics
            .outcomes
            .with_label_values(&[outcome])
            .inc();
        self.state.count_stop_end(StopEnd::CallerGone);
        log::warn!(
            target: self.state.stop.log_target(module_path!()),
            "call: ended without an answer request={} outcome={outcome} age_ms={} in_force={}{}",
            self.request.as_deref().unwrap_or("-"),
            clock::elapsed(self.received).as_millis(),
            self.state.view.version(),
            self.state.stop.age_field()
        );
    }
}
