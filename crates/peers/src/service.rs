//! What entry hosts ask of one another.

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

/// What one host tells another of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The host.
    pub host: HostId,
    /// The version of the declarations that it runs.
    pub version: ConfigVersion,
    /// Whether it stops.
    pub leaving: bool,
}

/// The declarations that a host runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDeclarations {
    /// Their version.
    pub version: ConfigVersion,
    /// The row's content, as the table has it.
    pub stored: String,
}

/// The service between entry hosts.
#[tarpc::service]
pub trait Peer {
    /// Notes the location of a request unless it has one.
    async fn reserve(key: RequestKey, location: Location) -> Reservation;
    /// Asks for the location of a request.
    async fn find(key: RequestKey) -> Option<Location>;
    /// Notes that the customer cancelled a request; its location.
    async fn cancel(key: RequestKey) -> Option<Location>;
    /// Tells where a request runs now.
    async fn update(key: RequestKey, location: Location);
    /// Tells what the asking host runs; the answer is what the asked one runs.
    async fn hint(hint: Hint) -> Hint;
    /// Asks for the declarations that a host runs; none where it runs none.
    async fn declarations() -> Option<PeerDeclarations>;
}

/// What a host does with what its peers tell it.
pub trait PeerHandler: Send + Sync + 'static {
    /// What this host tells of itself.
    fn own_hint(&self) -> Hint;
    /// Takes in what a peer tells of itself.
    fn handle_hint(&self, hint: Hint);
    /// The declarations that this host runs.
    fn active_declarations(&self) -> Option<PeerDeclarations>;
}

/// The receiving side.
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
    /// A receiver that keeps locations in `locations` and passes all else on to `handler`.
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

/// How many connections of peers are open at once.
const MAX_CONNECTIONS: usize = 4096;
/// The largest message, in bytes.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Opens the port for peers and serves it in the background; the address that it got.
///
/// # Errors
/// The address can't be used.
pub async fn serve<E: PeerHandler>(
    address: SocketAddr,
    server: PeerServer<E>,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let bound = incoming.local_addr();
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
    Ok(bound)
}
