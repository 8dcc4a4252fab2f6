//! State shared by all modules of an entry host.

use {
    crate::{
        claims::Claims, fleet::Fleet, in_flight::InFlight, in_force::InForce,
        options::RouterOptions, show::metrics::RouterMetrics, stop::StopState,
    },
    std::{net::SocketAddr, sync::Arc},
    tealshore_callers::ticket::TicketSigner,
    tealshore_core::{
        http::{ClientOptions, HttpClient},
        ids::{ConfigVersion, ServiceId},
    },
    tealshore_engines::HttpEngine,
    tealshore_hosts::ListedHost,
    tealshore_peers::{
        Hint, Location, LocationDirectory, LocationDirectoryOptions, PeerClients, PeerDeclarations,
        PeerHandler, RequestKey, Reservation, home_of,
    },
    tealshore_plain::PlainClient,
    tealshore_table::TableClient,
    tokio::sync::watch,
};

/// State shared by all modules of an entry host.
pub struct RouterState {
    /// Settings of the host.
    pub options: RouterOptions,
    /// Known engines, plain services and entry hosts.
    pub fleet: Fleet,
    /// Declarations in force.
    pub in_force: InForce,
    /// Highest version of declarations that a peer announced.
    pub highest_hinted_version: watch::Sender<ConfigVersion>,
    /// Client of the platform's table.
    pub table: TableClient,
    /// Claims of requests that must not be repeated.
    pub claims: Claims,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Signs and verifies tickets.
    pub signer: TicketSigner,
    /// HTTP client for engines.
    pub engine_client: HttpClient,
    /// Client of plain services.
    pub plain: PlainClient,
    /// Connections to other entry hosts.
    pub peers: PeerClients,
    /// Locations of the requests for which this host is the home.
    pub locations: Arc<LocationDirectory>,
    /// Metrics of the host.
    pub metrics: RouterMetrics,
    /// State of the planned stop.
    pub stop: StopState,
}

impl RouterState {
    /// Creates the state of a host that has not collected anything yet.
    ///
    /// # Errors
    /// Returns an error if the settings have no ticket key or a metric cannot be registered.
    pub fn new(options: RouterOptions) -> eyre::Result<Self> {
        let signer = TicketSigner::new(options.resume.keys.clone())
            .ok_or_else(|| eyre::eyre!("[resume] keys: at least one ticket key is required"))?;
        let table = TableClient::new(options.table.clone());
        Ok(Self {
            fleet: Fleet::new(
                options.host.id.clone(),
                options.host.hall.clone(),
                options.host.engine_subset,
            ),
            in_force: InForce::default(),
            highest_hinted_version: watch::Sender::new(0),
            claims: Claims::start(options.host.id.clone(), table.clone()),
            table,
            in_flight: InFlight::default(),
            signer,
            engine_client: HttpClient::new(&ClientOptions::default()),
            plain: PlainClient::new(options.callers.plain_timeout),
            peers: PeerClients::default(),
            locations: Arc::new(LocationDirectory::new(LocationDirectoryOptions::default())),
            metrics: RouterMetrics::new()?,
            stop: StopState::default(),
            options,
        })
    }

    /// Client of the engine at an address.
    pub fn engine(&self, address: SocketAddr) -> HttpEngine {
        HttpEngine::new(address, self.engine_client.clone())
    }

    /// Address of an engine on the host list.
    pub fn engine_address(&self, service: &ServiceId, engine: &str) -> Option<SocketAddr> {
        self.fleet.engine_address(service, &engine.to_owned())
    }

    /// Reserves a request at its home host, unless it has a location there. If the home host does
    /// not answer, the request counts as reserved.
    pub async fn reserve_location(&self, key: &RequestKey, location: Location) -> Reservation {
        match self.remote_home(key) {
            None => self.locations.reserve(key.clone(), location),
            Some(home) => {
                let answer = self.peers.reserve(home, key.clone(), location).await;
                answer.unwrap_or(Reservation::Reserved)
            }
        }
    }

    /// Looks up the location of a request at its home host.
    pub async fn find_location(&self, key: &RequestKey) -> Option<Location> {
        match self.remote_home(key) {
            None => self.locations.find(key),
            Some(home) => self.peers.find(home, key.clone()).await,
        }
    }

    /// Marks a request as cancelled by the customer at its home host and returns its location.
    pub async fn cancel_request(&self, key: &RequestKey) -> Option<Location> {
        match self.remote_home(key) {
            None => self.locations.cancel(key),
            Some(home) => self.peers.cancel(home, key.clone()).await,
        }
    }

    /// Updates the location of a request at its home host.
    pub async fn update_location(&self, key: RequestKey, location: Location) {
        match self.remote_home(&key) {
            None => self.locations.update(key, location),
            Some(home) => self.peers.update(home, key, location).await,
        }
    }

    /// Peer address of the home host of a request; `None` if it is this host.
    fn remote_home(&self, key: &RequestKey) -> Option<SocketAddr> {
        let peers = self.fleet.peers();
        let own = &self.options.host.id;
        let home = home_of(key, peers.iter().map(|host| &host.id).chain([own]))?;
        let host: &ListedHost = peers.iter().find(|host| host.id == *home)?;
        host.peer_address
    }
}

impl PeerHandler for RouterState {
    fn own_hint(&self) -> Hint {
        Hint {
            host: self.options.host.id.clone(),
            version: self.in_force.version(),
            leaving: self.stop.is_leaving(),
        }
    }

    fn handle_hint(&self, hint: Hint) {
        self.fleet.record_entry_state(&hint.host, hint.leaving);
        self.highest_hinted_version.send_if_modified(|highest| {
            let is_news = hint.version > *highest;
            *highest = (*highest).max(hint.version);
            is_news
        });
    }

    fn active_declarations(&self) -> Option<PeerDeclarations> {
        let active = self.in_force.now()?;
        let stored = serde_json::to_string(&active.stored).ok()?;
        Some(PeerDeclarations {
            version: active.version,
            stored,
        })
    }
}
