//! The asking side: one connection a peer, opened when first needed.

use {
    crate::{
        place::{Place, PlaceKey, Reservation},
        service::{Hint, PeerClient, RunDeclarations},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::{client, client::RpcError, context, tokio_serde::formats::Bincode},
    tokio::time::timeout,
};

/// How long a peer may take. What it knows is a hint, so a caller does not wait for it long.
const PATIENCE: Duration = Duration::from_millis(250);
/// How long a peer that failed is left alone.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(1);

enum Connection {
    Open(PeerClient),
    Failed(Instant),
}

/// Connections to peers, by address.
#[derive(Default)]
pub struct PeerClients {
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerClients {
    /// Notes the place of a request at its home; none where the home does not answer.
    pub async fn reserve(
        &self,
        peer: SocketAddr,
        key: PlaceKey,
        place: Place,
    ) -> Option<Reservation> {
        self.ask(peer, |client| async move {
            client.reserve(within_patience(), key, place).await
        })
        .await
    }

    /// Asks the home of a request for its place.
    pub async fn find(&self, peer: SocketAddr, key: PlaceKey) -> Option<Place> {
        self.ask(peer, |client| async move {
            client.find(within_patience(), key).await
        })
        .await
        .flatten()
    }

    /// Tells the home of a request that the customer cancelled it; its place.
    pub async fn cancel(&self, peer: SocketAddr, key: PlaceKey) -> Option<Place> {
        self.ask(peer, |client| async move {
            client.cancel(within_patience(), key).await
        })
        .await
        .flatten()
    }

    /// Tells the home of a request where it runs now.
    pub async fn moved(&self, peer: SocketAddr, key: PlaceKey, place: Place) {
        self.ask(peer, |client| async move {
            client.moved(within_patience(), key, place).await
        })
        .await;
    }

    /// Tells a peer what this host runs; what the peer runs, where it answers.
    pub async fn hint(&self, peer: SocketAddr, hint: Hint) -> Option<Hint> {
        self.ask(peer, |client| async move {
            client.hint(within_patience(), hint).await
        })
        .await
    }

    /// Asks a peer for the declarations that it runs.
    pub async fn declarations(&self, peer: SocketAddr) -> Option<RunDeclarations> {
        self.ask(peer, |client| async move {
            client.declarations(within_patience()).await
        })
        .await
        .flatten()
    }

    /// Forgets peers that are gone.
    pub fn keep_only(&self, peers: &[SocketAddr]) {
        self.connections
            .lock()
            .retain(|address, _| peers.contains(address));
    }

    async fn ask<A, F>(&self, peer: SocketAddr, call: impl FnOnce(PeerClient) -> F) -> Option<A>
    where
        F: Future<Output = Result<A, RpcError>>,
    {
        let client = self.connection(peer).await?;
        match timeout(PATIENCE, call(client)).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => {
                self.connections
                    .lock()
                    .insert(peer, Connection::Failed(Instant::now()));
                None
            }
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Option<PeerClient> {
        match self.connections.lock().get(&peer) {
            Some(Connection::Open(client)) => return Some(client.clone()),
            Some(Connection::Failed(at)) if at.elapsed() < PAUSE_AFTER_FAILURE => return None,
            Some(Connection::Failed(_)) | None => {}
        }
        let connecting = tarpc::serde_transport::tcp::connect(peer, Bincode::default);
        let connection = match timeout(PATIENCE, connecting).await {
            Ok(Ok(transport)) => {
                let client = PeerClient::new(client::Config::default(), transport).spawn();
                Connection::Open(client)
            }
            Ok(Err(_)) | Err(_) => Connection::Failed(Instant::now()),
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

fn within_patience() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + PATIENCE;
    context
}
