//! Work that this host has at an upstream, noted for as long as it lasts.

use {
    crate::{
        state::GatewayState,
        view::{Upstream, Work},
    },
    std::sync::Arc,
};

/// Work that is noted at an upstream until this is dropped.
pub struct Reservation {
    state: Arc<GatewayState>,
    upstream: Arc<Upstream>,
    work: Work,
}

impl Reservation {
    /// Notes work at an upstream. Peers are told of work that holds memory.
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

    /// Notes that the prompt has been read.
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
