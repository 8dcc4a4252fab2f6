//! Opens connections to upstreams: directly, or through a tunnel of another host if that fails or takes long.

mod tunnel;

use {
    crate::{
        peers::TunnelHost,
        state::GatewayState,
        view::{Upstream, UpstreamRecord},
    },
    futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tealshore_core::{clock, ids::HostId},
    tealshore_paths::{DialOrder, TunnelId},
    tokio::{
        net::{TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
    tunnel::{TunnelFailure, open_tunnel},
};

/// How long opening a connection may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a direct connection may take before another host is asked for a tunnel as well, and how long that host may
/// take before the next one is asked.
const TUNNEL_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of hosts that are asked for a tunnel for one connection.
const MAX_TUNNEL_HOSTS: usize = 3;

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialFailure {
    /// Nothing listens at the upstream's address.
    Refused,
    /// No answer in time, or the address can't be reached.
    Unanswered,
}

impl DialFailure {
    /// Returns the failure that an error of a direct connection shows.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unanswered,
        }
    }
}

/// A tunnel that another host opened for this one.
#[derive(Clone, Debug)]
pub struct Tunnel {
    /// The host.
    pub host: HostId,
    /// The address at which it opens tunnels.
    pub address: SocketAddr,
    /// The id that this host gave to the tunnel.
    pub id: TunnelId,
}

/// An open connection to an upstream.
pub struct Dialed {
    /// The connection.
    pub stream: TcpStream,
    /// The tunnel through which it passes; `None` if it is direct.
    pub through: Option<Tunnel>,
}

/// Opens a connection to an upstream.
///
/// # Errors
/// The upstream can't be reached, neither directly nor through the hosts that were asked.
pub async fn dial(state: &GatewayState, upstream: &Upstream) -> Result<Dialed, DialFailure> {
    let record = &upstream.record;
    let order = state
        .paths
        .lock()
        .dial_order(&record.service, &record.id, clock::now());
    let dialing = Dialing {
        state,
        record,
        attempts: FuturesUnordered::new(),
        has_tried_directly: false,
        hosts: None,
        failure: DialFailure::Unanswered,
    };
    let dialed = timeout(DIAL_TIMEOUT, dialing.run(order)).await;
    let dialed = dialed.unwrap_or(Err(DialFailure::Unanswered));
    if dialed.is_err() {
        state.record_dial_failure(record);
    }
    dialed
}

/// Opens a direct connection to an upstream, from the configured source address if there is one.
///
/// # Errors
/// The upstream can't be reached or refuses the connection.
pub async fn dial_directly(state: &GatewayState, record: &UpstreamRecord) -> io::Result<TcpStream> {
    let stream = match state.options.host.source_address {
        None => TcpStream::connect(record.address).await?,
        Some(source) => {
            let socket = match source {
                IpAddr::V4(_) => TcpSocket::new_v4()?,
                IpAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(record.address).await?
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The end of one way to connect.
enum Ended {
    Direct(io::Result<TcpStream>),
    Tunnel(Tunnel, Result<TcpStream, TunnelFailure>),
}

/// The ways to connect to one upstream that are tried at the same time.
struct Dialing<'a> {
    state: &'a GatewayState,
    record: &'a UpstreamRecord,
    attempts: FuturesUnordered<BoxFuture<'a, Ended>>,
    has_tried_directly: bool,
    /// The hosts that are still to be asked for a tunnel; `None` before the first one is needed.
    hosts: Option<std::vec::IntoIter<TunnelHost>>,
    /// The failure of the direct connection.
    failure: DialFailure,
}

impl Dialing<'_> {
    async fn run(mut self, order: DialOrder) -> Result<Dialed, DialFailure> {
        match order {
            DialOrder::DirectFirst => self.start_directly(),
            DialOrder::TunnelFirst => self.start_tunnel(),
            DialOrder::Both => {
                self.start_directly();
                self.start_tunnel();
            }
        }
        loop {
            if self.attempts.is_empty() {
                if self.has_tried_directly {
                    return Err(self.failure);
                }
                self.start_directly();
            }
            let may_ask = self.hosts.as_ref().is_none_or(|hosts| hosts.len() > 0);
            tokio::select! {
                Some(ended) = self.attempts.next() => {
                    if let Some(result) = self.handle_end(ended) {
                        return result;
                    }
                    self.start_tunnel();
                }
                () = sleep(TUNNEL_DELAY), if may_ask => self.start_tunnel(),
            }
        }
    }

    fn start_directly(&mut self) {
        self.has_tried_directly = true;
        let opening = dial_directly(self.state, self.record);
        self.attempts.push(opening.map(Ended::Direct).boxed());
    }

    /// Asks the next host for a tunnel, if there is one.
    fn start_tunnel(&mut self) {
        if self.hosts.is_none() {
            self.hosts = Some(self.find_hosts().into_iter());
        }
        let Some(host) = self.hosts.as_mut().and_then(Iterator::next) else {
            return;
        };
        let record = self.record;
        let tunnel = Tunnel {
            host: host.host,
            address: host.address,
            id: rand::random(),
        };
        let asking = async move {
            let opened = open_tunnel(tunnel.address, tunnel.id, record).await;
            Ended::Tunnel(tunnel, opened)
        };
        self.attempts.push(asking.boxed());
    }

    fn log_not_opened(&self, host: &HostId, cause: &str) {
        log::info!(
            "path: tunnel not opened upstream={} host={host} cause={cause:?}",
            self.record.id
        );
    }

    fn find_hosts(&self) -> Vec<TunnelHost> {
        let now = clock::now();
        let (state, record) = (self.state, self.record);
        // A host without live peers has nobody who could confirm what it finds.
        if !state.peers.is_alone(now) {
            state.paths.lock().record_unreachable(&record.id, now);
        }
        state.tunnel_hosts(record, MAX_TUNNEL_HOSTS, now)
    }

    /// Records how a way to connect ended. Returns the result if it decides the whole attempt.
    fn handle_end(&mut self, ended: Ended) -> Option<Result<Dialed, DialFailure>> {
        match ended {
            Ended::Direct(Ok(stream)) => {
                self.state.record_direct_connection(self.record);
                Some(Ok(Dialed {
                    stream,
                    through: None,
                }))
            }
            Ended::Direct(Err(error)) => {
                self.failure = DialFailure::of(&error);
                None
            }
            Ended::Tunnel(tunnel, Ok(stream)) => {
                self.state.record_tunnel(self.record, &tunnel.host);
                Some(Ok(Dialed {
                    stream,
                    through: Some(tunnel),
                }))
            }
            Ended::Tunnel(_, Err(TunnelFailure::Unreachable(failure))) => {
                let mut paths = self.state.paths.lock();
                paths.record_confirmed_unreachable(&self.record.id);
                Some(Err(failure))
            }
            Ended::Tunnel(tunnel, Err(TunnelFailure::UnknownUpstream)) => {
                self.log_not_opened(&tunnel.host, "unknown-upstream");
                let mut paths = self.state.paths.lock();
                paths.record_unknown_upstream(&self.record.id, &tunnel.host, clock::now());
                None
            }
            Ended::Tunnel(tunnel, Err(TunnelFailure::Unavailable(cause))) => {
                self.log_not_opened(&tunnel.host, &cause);
                let mut paths = self.state.paths.lock();
                paths.record_refused_tunnel(&self.record.service, &tunnel.host, clock::now());
                None
            }
        }
    }
}
