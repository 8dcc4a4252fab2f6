//! Exchange of upstream limits between hosts: changed limits, requests for permits, and loans.

use {
    super::{
        Audience, COALESCE_DELAY, Peers,
        extension::MAX_DATAGRAM_LIMITS,
        message::{Datagram, PermitAsk, PermitLoan},
        outgoing::PeerSocket,
    },
    crate::state::GatewayState,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::EngineId},
    tealshore_rates::LimitUpdate,
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        time::sleep,
    },
};

/// Maximum number of queued permit requests. Any more are dropped; like a lost datagram, they are sent again.
const MAX_QUEUED_ASKS: usize = 256;
/// Interval at which unused limit state is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// Queue of permit requests to be sent.
pub(super) struct PermitAskQueue {
    sender: Sender<(SocketAddr, PermitAsk)>,
    receiver: Mutex<Option<Receiver<(SocketAddr, PermitAsk)>>>,
}

impl Default for PermitAskQueue {
    fn default() -> Self {
        let (sender, receiver) = channel(MAX_QUEUED_ASKS);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

impl Peers {
    /// Queues a request to an upstream's lender for permits, without waiting for the response.
    pub fn ask_lender(&self, lender: SocketAddr, ask: PermitAsk) {
        // A dropped request is sent again later.
        let _ = self.asks.sender.try_send((lender, ask));
    }

    /// Queues the changed limit of an upstream for all hosts.
    pub fn queue_limit_for_fleet(&self, upstream: &EngineId) {
        self.queue_limit(upstream, Audience::Fleet);
    }

    /// Queues a limit that another group sent for the hosts of the own group.
    pub(super) fn queue_limit_for_group(&self, upstream: &EngineId) {
        self.queue_limit(upstream, Audience::Group);
    }

    fn queue_limit(&self, upstream: &EngineId, audience: Audience) {
        let mut pending = self.pending_limits.lock();
        let queued = pending.entry(upstream.clone()).or_insert(audience);
        if audience == Audience::Fleet {
            // Also widens an entry that is queued for the group only. An entry for the fleet is never narrowed, even if
            // another group sends the same limit meanwhile.
            *queued = audience;
        }
        drop(pending);
        self.limits_changed.notify_one();
    }

    fn take_pending_limits(&self) -> HashMap<EngineId, Audience> {
        std::mem::take(&mut *self.pending_limits.lock())
    }

    /// Returns the addresses of the hosts of the group whose build reads limit datagrams.
    pub(super) fn lending_addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let lending = known
            .values()
            .filter(|peer| peer.lends && self.is_in_group(&peer.state.hall));
        lending.map(|peer| peer.state.peers_address).collect()
    }

    pub(super) fn lending_relays(&self, now: Instant) -> Vec<SocketAddr> {
        let groups = self.groups.lock();
        groups.lending_relays(self.options.silence, now)
    }
}

/// Sends queued permit requests for as long as the process lives.
pub(super) async fn send_permit_asks(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let Some(mut asks) = state.peers.asks.receiver.lock().take() else {
        return;
    };
    while let Some((lender, ask)) = asks.recv().await {
        let datagram = Datagram::PermitAsk(ask);
        socket.send_to_all(&datagram, &[lender]).await;
    }
}

/// Sends changed limits to other hosts for as long as the process lives.
pub(super) async fn send_changed_limits(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let peers = &state.peers;
    loop {
        peers.limits_changed.notified().await;
        // Changes within this time are sent together, so that an upstream that names a different limit in each answer
        // causes few datagrams.
        sleep(COALESCE_DELAY).await;
        let changed = peers.take_pending_limits();
        let now = clock::now();
        let of_fleet = changed
            .iter()
            .filter(|(_, audience)| **audience == Audience::Fleet);
        let for_relays = of_fleet.map(|(id, _)| id);
        let for_relays = state.limits.updates_for(for_relays, now);
        let for_group = state.limits.updates_for(changed.keys(), now);
        send_limits(&socket, for_group, &peers.lending_addresses(), false).await;
        send_limits(&socket, for_relays, &peers.lending_relays(now), true).await;
    }
}

async fn send_limits(
    socket: &PeerSocket,
    updates: Vec<LimitUpdate>,
    receivers: &[SocketAddr],
    is_for_group: bool,
) {
    for part in updates.chunks(MAX_DATAGRAM_LIMITS) {
        let datagram = Datagram::Limits {
            updates: part.to_vec(),
            is_for_group,
        };
        socket.send_to_all(&datagram, receivers).await;
    }
}

/// Periodically removes limits and permit buckets that are no longer needed.
pub(super) async fn remove_unused_limits(state: Arc<GatewayState>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let is_listed = |id: &EngineId| state.view.upstreams.get(id).is_some();
        state.limits.remove_unused(is_listed, clock::now());
        state.log_limits();
    }
}

/// Applies limits that another host sent. Those from another group are passed on to the own group.
pub(super) fn apply_limit_updates(
    state: &GatewayState,
    updates: &[LimitUpdate],
    is_for_group: bool,
) {
    let now = clock::now();
    for update in updates {
        let is_new = state.limits.merge(update, now);
        if is_new {
            log::info!(
                "upstream: limit received from peer upstream={} per_s={:?} age_ms={}",
                update.upstream,
                update.per_s,
                update.age_ms
            );
        }
        if is_new && is_for_group {
            state.peers.queue_limit_for_group(&update.upstream);
        }
    }
}

/// Answers a host that requests permits.
pub(super) async fn answer_permit_ask(
    state: &GatewayState,
    socket: &PeerSocket,
    ask: &PermitAsk,
    requester: SocketAddr,
) {
    let loan: PermitLoan = state.lend(ask);
    socket
        .send_to_all(&Datagram::PermitLoan(loan), &[requester])
        .await;
}
