//! What entry hosts ask of one another.

use {
    crate::{
        place::{Place, PlaceKey, Reservation},
        places::PlaceBook,
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
pub struct RunDeclarations {
    /// Their version.
    pub version: ConfigVersion,
    /// The row's content, as the table has it.
    pub stored: String,
}

/// The service between entry hosts.
#[tarpc::service]
pub trait Peer {
    /// Notes the place of a request unless it has one.
    async fn reserve(key: PlaceKey, place: Place) -> Reservation;
    /// Asks for the place of a request.
    async fn find(key: PlaceKey) -> Option<Place>;
    /// Notes that the customer cancelled a request; its place.
    async fn cancel(key: PlaceKey) -> Option<Place>;
    /// Tells where a request runs now.
    async fn moved(key: PlaceKey, place: Place);
    /// Tells what the asking host runs; the answer is what the asked one runs.
    async fn hint(hint: Hint) -> Hint;
    /// Asks for the declarations that a host runs; none where it runs none.
    async fn declarations() -> Option<RunDeclarations>;
}

/// What a host does with what its peers tell it.
pub trait PeerEvents: Send + Sync + 'static {
    /// What this host tells of itself.
    fn own_hint(&self) -> Hint;
    /// Takes in what a peer tells of itself.
    fn take_hint(&self, hint: Hint);
    /// The declarations that this host runs.
    fn run_declarations(&self) -> Option<RunDeclarations>;
}

/// The receiving side.
pub struct PeerServer<E> {
    places: Arc<PlaceBook>,
    events: Arc<E>,
}

impl<E> Clone for PeerServer<E> {
    fn clone(&self) -> Self {
        Self {
            places: self.places.clone(),
            events: self.events.clone(),
        }
    }
}

impl<E: PeerEvents> PeerServer<E> {
    /// A receiver that keeps places in `places` and passes all else on to `events`.
    #[must_use]
    pub fn new(places: Arc<PlaceBook>, events: Arc<E>) -> Self {
        Self { places, events }
    }
}

impl<E: PeerEvents> Peer for PeerServer<E> {
    async fn reserve(self, _: Context, key: PlaceKey, place: Place) -> Reservation {
        self.places.reserve(key, place)
    }

    async fn find(self, _: Context, key: PlaceKey) -> Option<Place> {
        self.places.find(&key)
    }

    async fn cancel(self, _: Context, key: PlaceKey) -> Option<Place> {
        self.places.cancel(&key)
    }

    async fn moved(self, _: Context, key: PlaceKey, place: Place) {
        self.places.moved(key, place);
    }

    async fn hint(self, _: Context, hint: Hint) -> Hint {
        self.events.take_hint(hint);
        self.events.own_hint()
    }

    async fn declarations(self, _: Context) -> Option<RunDeclarations> {
        self.events.run_declarations()
    }
}

/// How many connections of peers are open at once.
const MAX_CONNECTIONS: usize = 4096;
/// The largest message, in bytes.
const FRAME_BOUND_BYTES: usize = 4 * 1024 * 1024;

/// Opens the port for peers and serves it in the background; the address that it got.
///
/// # Errors
/// The address can't be used.
pub async fn serve<E: PeerEvents>(
    address: SocketAddr,
    server: PeerServer<E>,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(FRAME_BOUND_BYTES);
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
