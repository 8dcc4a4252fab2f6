//! The RPC service between entry hosts.

use {
    crate::{
        place::{Location, RequestKey, Reservation},
        places::LocationDirectory,
    },
    futures::StreamExt,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    tarpc::{
        context::Context,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
    },
    tealshore_core::ids::{ConfigVersion, HostId},
};

/// State that a host announces to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// Host id.
    pub host: HostId,
    /// Version of the declarations in force at the host.
    pub version: ConfigVersion,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// The declarations in force at a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDeclarations {
    /// Version of the declarations.
    pub version: ConfigVersion,
    /// The declarations as JSON, as stored in the table's row.
    pub stored: String,
}

/// The RPC service between entry hosts.
#[tarpc::service]
pub trait Peer {
    /// Stores the location of a request unless it has one.
    async fn reserve(key: RequestKey, location: Location) -> Reservation;
    /// Returns the location of a request.
    async fn find(key: RequestKey) -> Option<Location>;
    /// Marks a request as cancelled by the customer and returns its location.
    async fn cancel(key: RequestKey) -> Option<Location>;
    /// Updates the location of a request.
    async fn update(key: RequestKey, location: Location);
    /// Receives the hint of the calling host and returns the hint of this host.
    async fn hint(hint: Hint) -> Hint;
    /// Returns the declarations in force at this host; `None` before the first are applied.
    async fn declarations() -> Option<PeerDeclarations>;
}

/// Supplies this host's state to peers and handles their hints.
pub trait PeerHandler: Send + Sync + 'static {
    /// The hint of this host.
    fn own_hint(&self) -> Hint;
    /// Handles the hint of a peer.
    fn handle_hint(&self, hint: Hint);
    /// The declarations in force at this host.
    fn active_declarations(&self) -> Option<PeerDeclarations>;
}

/// Server side of the service.
pub struct PeerServer<E> {
    locations: Arc<LocationDirectory>,
    handler: Arc<E>,
}

impl<E> Clone for PeerServer<E> {
    fn clone(&self) -> Self {
        Self {
            locations: self.locations.clone(),
            handler: self.handler.clone(),
        }
    }
}

impl<E: PeerHandler> PeerServer<E> {
    /// Creates a server that keeps locations in `locations` and passes all other calls to `handler`.
    #[must_use]
    pub fn new(locations: Arc<LocationDirectory>, handler: Arc<E>) -> Self {
        Self { locations, handler }
    }
}

impl<E: PeerHandler> Peer for PeerServer<E> {
    async fn reserve(self, _: Context, key: RequestKey, location: Location) -> Reservation {
        self.locations.reserve(key, location)
    }

    async fn find(self, _: Context, key: RequestKey) -> Option<Location> {
        self.locations.find(&key)
    }

    async fn cancel(self, _: Context, key: RequestKey) -> Option<Location> {
        self.locations.cancel(&key)
    }

    async fn update(self, _: Context, key: RequestKey, location: Location) {
        self.locations.update(key, location);
    }

    async fn hint(self, _: Context, hint: Hint) -> Hint {
        self.handler.handle_hint(hint);
        self.handler.own_hint()
    }

    async fn declarations(self, _: Context) -> Option<PeerDeclarations> {
        self.handler.active_declarations()
    }
}

/// Maximum number of connections from peers that are served at once.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum size of a message, in bytes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Binds the port for peers, serves it in the background and returns the bound address.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn serve<E: PeerHandler>(
    address: SocketAddr,
    server: PeerServer<E>,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let local_address = incoming.local_addr();
    let channels = incoming
        .filter_map(|connection| futures::future::ready(connection.ok()))
        .map(BaseChannel::with_defaults);
    tokio::spawn(
        channels.for_each_concurrent(MAX_CONNECTIONS, move |channel| {
            let answers = channel.execute(server.clone().serve());
            answers.for_each(|answer| async {
                tokio::spawn(answer);
            })
        }),
    );
    Ok(local_address)
}
