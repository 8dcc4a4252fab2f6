//! Client side: one connection per peer, opened on first use.

use {
    crate::{
        place::{Location, RequestKey, Reservation},
        service::{Hint, PeerClient, PeerDeclarations},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::{client, client::RpcError, context, tokio_serde::formats::Bincode},
    tealshore_core::clock,
    tokio::time::timeout,
};

/// Timeout of connecting to a peer and of a call. What peers know is only a hint, so callers should
/// not wait long for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// How long no connection is attempted to a peer that failed.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

enum Connection {
    Open(PeerClient),
    Failed(Instant),
}

/// Connections to peers, keyed by address.
#[derive(Default)]
pub struct PeerClients {
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerClients {
    /// Reserves a request at its home host, unless it has a location there; `None` if the host does
    /// not answer.
    pub async fn reserve(
        &self,
        peer: SocketAddr,
        key: RequestKey,
        location: Location,
    ) -> Option<Reservation> {
        self.call_peer(peer, |client| async move {
            client.reserve(call_context(), key, location).await
        })
        .await
    }

    /// Looks up the location of a request at its home host.
    pub async fn find(&self, peer: SocketAddr, key: RequestKey) -> Option<Location> {
        self.call_peer(peer, |client| async move {
            client.find(call_context(), key).await
        })
        .await
        .flatten()
    }

    /// Marks a request as cancelled by the customer at its home host and returns its location.
    pub async fn cancel(&self, peer: SocketAddr, key: RequestKey) -> Option<Location> {
        self.call_peer(peer, |client| async move {
            client.cancel(call_context(), key).await
        })
        .await
        .flatten()
    }

    /// Updates the location of a request at its home host.
    pub async fn update(&self, peer: SocketAddr, key: RequestKey, location: Location) {
        self.call_peer(peer, |client| async move {
            client.update(call_context(), key, location).await
        })
        .await;
    }

    /// Sends this host's hint to a peer and returns the peer's hint; `None` if it does not answer.
    pub async fn hint(&self, peer: SocketAddr, hint: Hint) -> Option<Hint> {
        self.call_peer(peer, |client| async move {
            client.hint(call_context(), hint).await
        })
        .await
    }

    /// Fetches the declarations that are in force at a peer.
    pub async fn declarations(&self, peer: SocketAddr) -> Option<PeerDeclarations> {
        self.call_peer(peer, |client| async move {
            client.declarations(call_context()).await
        })
        .await
        .flatten()
    }

    /// Drops the connections to all peers but `peers`.
    pub fn retain_peers(&self, peers: &[SocketAddr]) {
        self.connections
            .lock()
            .retain(|address, _| peers.contains(address));
    }

    async fn call_peer<A, F>(
        &self,
        peer: SocketAddr,
        call: impl FnOnce(PeerClient) -> F,
    ) -> Option<A>
    where
        F: Future<Output = Result<A, RpcError>>,
    {
        let client = self.connection(peer).await?;
        match timeout(CALL_TIMEOUT, call(client)).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => {
                self.connections
                    .lock()
                    .insert(peer, Connection::Failed(clock::now()));
                None
            }
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Option<PeerClient> {
        match self.connections.lock().get(&peer) {
            Some(Connection::Open(client)) => return Some(client.clone()),
            Some(Connection::Failed(at)) if clock::elapsed(*at) < RECONNECT_DELAY => return None,
            Some(Connection::Failed(_)) | None => {}
        }
        let connecting = tarpc::serde_transport::tcp::connect(peer, Bincode::default);
        let connection = match timeout(CALL_TIMEOUT, connecting).await {
            Ok(Ok(transport)) => {
                let client = PeerClient::new(client::Config::default(), transport).spawn();
                Connection::Open(client)
            }
            Ok(Err(_)) | Err(_) => Connection::Failed(clock::now()),
        };
        let mut connections = self.connections.lock();
        let client = match &connection {
            Connection::Open(client) => Some(client.clone()),
            Connection::Failed(_) => None,
        };
        connections.insert(peer, connection);
        client
    }
}

fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = clock::steady_now() + CALL_TIMEOUT;
    context
}
