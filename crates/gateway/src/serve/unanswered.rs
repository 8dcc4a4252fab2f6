//! Reports requests whose connection ended before this host answered them.

use {
    crate::{edge::RequestFacts, state::GatewayState},
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
        if self.is_answered {
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
        log::warn!(
            "call: ended without an answer request={} outcome={outcome} age_ms={} in_force={}",
            self.request.as_deref().unwrap_or("-"),
            clock::elapsed(self.received).as_millis(),
            self.state.view.version()
        );
    }
}
