//! Sends what hosts tell each other of limits: news of them, asks for permits, and loans.

use {
    super::{
        Audience, COALESCE, Peers,
        extension::LIMITS_BOUND,
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
    tealshore_core::ids::EngineId,
    tealshore_rates::LimitUpdate,
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        time::sleep,
    },
};

/// The most asks that wait to be sent; what is more is lost, as a datagram may be.
const ASKS_BOUND: usize = 256;
/// How often buckets and accounts that nobody needs are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(2);

/// Asks that wait to be sent.
pub(super) struct Asks {
    sender: Sender<(SocketAddr, PermitAsk)>,
    receiver: Mutex<Option<Receiver<(SocketAddr, PermitAsk)>>>,
}

impl Default for Asks {
    fn default() -> Self {
        let (sender, receiver) = channel(ASKS_BOUND);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

impl Peers {
    /// Asks the lender of an upstream for permits, without waiting for it.
    pub fn ask_lender(&self, lender: SocketAddr, ask: PermitAsk) {
        // One that is lost is asked again.
        let _ = self.asks.sender.try_send((lender, ask));
    }

    /// Tells all hosts that an upstream's limit changed.
    pub fn tell_limit(&self, upstream: &EngineId) {
        self.let_limit_leave(upstream, Audience::Fleet);
    }

    /// Tells the own group what another one told.
    pub(super) fn tell_limit_to_group(&self, upstream: &EngineId) {
        self.let_limit_leave(upstream, Audience::Group);
    }

    fn let_limit_leave(&self, upstream: &EngineId, audience: Audience) {
        let mut waiting = self.waiting_limits.lock();
        let told = waiting.entry(upstream.clone()).or_insert(audience);
        if audience == Audience::Fleet {
            // What the whole fleet is to hear waits for no other group's word.
            *told = audience;
        }
        drop(waiting);
        self.limits_changed.notify_one();
    }

    fn take_waiting_limits(&self) -> HashMap<EngineId, Audience> {
        std::mem::take(&mut *self.waiting_limits.lock())
    }

    /// Where the hosts of the group take datagrams that read what is said of limits.
    fn lending_addresses(&self) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let lending = known
            .values()
            .filter(|peer| peer.lends && self.is_in_group(&peer.state.hall));
        lending.map(|peer| peer.state.peers_address).collect()
    }

    fn lending_relays(&self, now: Instant) -> Vec<SocketAddr> {
        let groups = self.groups.lock();
        groups.lending_relays(self.options.silence, now)
    }
}

/// Sends asks for as long as the process lives.
pub(super) async fn send_asks(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let Some(mut asks) = state.peers.asks.receiver.lock().take() else {
        return;
    };
    while let Some((lender, ask)) = asks.recv().await {
        let datagram = Datagram::PermitAsk(ask);
        socket.send_to_all(&datagram, &[lender]).await;
    }
}

/// Tells other hosts of limits that changed, for as long as the process lives.
pub(super) async fn tell_limits(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let peers = &state.peers;
    loop {
        peers.limits_changed.notified().await;
        // What changes within this leaves together, so that an upstream that names another limit in each
        // answer costs few datagrams.
        sleep(COALESCE).await;
        let changed = peers.take_waiting_limits();
        let now = Instant::now();
        let of_fleet = changed
            .iter()
            .filter(|(_, audience)| **audience == Audience::Fleet);
        let for_relays = of_fleet.map(|(id, _)| id);
        let for_relays = state.limits.news_of(for_relays, now);
        let for_group = state.limits.news_of(changed.keys(), now);
        tell(&socket, for_group, &peers.lending_addresses(), false).await;
        tell(&socket, for_relays, &peers.lending_relays(now), true).await;
    }
}

async fn tell(
    socket: &PeerSocket,
    news: Vec<LimitUpdate>,
    receivers: &[SocketAddr],
    is_for_group: bool,
) {
    for part in news.chunks(LIMITS_BOUND) {
        let datagram = Datagram::Limits {
            news: part.to_vec(),
            is_for_group,
        };
        socket.send_to_all(&datagram, receivers).await;
    }
}

/// Drops now and then what nobody needs any more.
pub(super) async fn forget_limits(state: Arc<GatewayState>) {
    loop {
        sleep(FORGET_INTERVAL).await;
        let is_listed = |id: &EngineId| state.view.upstreams.get(id).is_some();
        state.limits.forget(is_listed, Instant::now());
        state.log_limits();
    }
}

/// Takes in news of limits; those that another group told go on to the own one.
pub(super) fn apply_limit_news(state: &GatewayState, news: &[LimitUpdate], is_for_group: bool) {
    let now = Instant::now();
    for entry in news {
        let is_news = state.limits.hear(entry, now);
        if is_news {
            log::info!(
                "upstream: limit told upstream={} per_s={:?} age_ms={}",
                entry.upstream,
                entry.per_s,
                entry.age_ms
            );
        }
        if is_news && is_for_group {
            state.peers.tell_limit_to_group(&entry.upstream);
        }
    }
}

/// Answers a host that asks for permits.
pub(super) async fn answer_ask(
    state: &GatewayState,
    socket: &PeerSocket,
    ask: &PermitAsk,
    asker: SocketAddr,
) {
    let loan: PermitLoan = state.lend(ask);
    socket
        .send_to_all(&Datagram::PermitLoan(loan), &[asker])
        .await;
}
