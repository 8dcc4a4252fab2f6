//! Accounts for the work that this host has at an upstream while it lasts.

use {
    crate::{
        state::GatewayState,
        view::{Upstream, Work},
    },
    std::sync::Arc,
};

/// Work that counts at an upstream until the reservation is dropped.
pub struct Reservation {
    state: Arc<GatewayState>,
    upstream: Arc<Upstream>,
    work: Work,
}

impl Reservation {
    /// Adds work to an upstream. Work that takes memory is also reported to the peers.
    pub fn begin(state: &Arc<GatewayState>, upstream: &Arc<Upstream>, work: Work) -> Self {
        upstream.begin(work);
        let reservation = Self {
            state: state.clone(),
            upstream: upstream.clone(),
            work,
        };
        reservation.wake_peers();
        reservation
    }

    /// Removes the prompt's unread tokens, once the engine has read them.
    pub fn release_unread_tokens(&mut self) {
        let unread = Work {
            unread_tokens: self.work.unread_tokens,
            ..Work::default()
        };
        self.upstream.end(unread);
        self.work.unread_tokens = 0;
        self.wake_peers();
    }

    fn wake_peers(&self) {
        if self.work.memory_tokens > 0 {
            self.state.peers.wake_sender();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.upstream.end(self.work);
        self.wake_peers();
    }
}
