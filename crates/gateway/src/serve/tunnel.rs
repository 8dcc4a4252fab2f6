//! Opens tunnels for other hosts: passes the bytes of a connection between another host and an upstream.

use {
    crate::{
        forward::{DialFailure, dial_directly},
        lifecycle::InFlightGuard,
        peers::{
            FOUND_HEADER, FOUND_REFUSED, FOUND_UNANSWERED, FOUND_UNKNOWN, TUNNEL_ID_HEADER,
            UPSTREAM_HEADER, parse_tunnel_end_path, parse_tunnel_id,
        },
        state::GatewayState,
        view::Upstream,
    },
    futures::{FutureExt, future::select_ok},
    http::{HeaderValue, Method, Request, Response, StatusCode},
    hyper::{body::Incoming, upgrade},
    hyper_util::{rt::TokioIo, server::conn::auto::upgrade::downcast},
    rand::seq::SliceRandom,
    socket2::{SockRef, TcpKeepalive},
    std::{future::pending, io, sync::Arc, time::Duration},
    tealshore_core::{
        clock,
        http::{AcceptedStream, Body, ServerOptions, empty, serve},
    },
    tealshore_paths::TunnelId,
    tokio::{
        io::{AsyncWriteExt, copy},
        net::{TcpListener, TcpStream},
        sync::OwnedSemaphorePermit,
        time::{sleep, timeout},
    },
};

/// How long connecting to an upstream may take. The host that asked waits for an answer, while it may ask others.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum number of other upstreams of a service that are tried after one could not be reached.
const MAX_CHECKED_UPSTREAMS: usize = 3;
/// Idle time after which it is probed whether the other side of a connection still exists, the interval between the
/// probes, and how many must fail. A silent upstream may still be working, so silence ends no tunnel.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRIES: u32 = 3;

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// This host reaches other upstreams of the service, but not this one.
    Unreachable(DialFailure),
    /// The request is no request for a tunnel to an upstream that this host knows.
    UnknownUpstream,
    /// This host is stopping.
    Stopping,
    /// This host has too many tunnels.
    AtCapacity,
    /// This host reaches no upstream of the service.
    CutOff,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Self::Unreachable(DialFailure::Refused) => "refused",
            Self::Unreachable(DialFailure::Unanswered) => "unanswered",
            Self::UnknownUpstream => "unknown-upstream",
            Self::Stopping => "stopping",
            Self::AtCapacity => "at-capacity",
            Self::CutOff => "cut-off",
        }
    }

    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(empty());
        let (status, found) = match self {
            Self::Unreachable(DialFailure::Refused) => {
                (StatusCode::BAD_GATEWAY, Some(FOUND_REFUSED))
            }
            Self::Unreachable(DialFailure::Unanswered) => {
                (StatusCode::BAD_GATEWAY, Some(FOUND_UNANSWERED))
            }
            Self::UnknownUpstream => (StatusCode::SERVICE_UNAVAILABLE, Some(FOUND_UNKNOWN)),
            Self::Stopping | Self::AtCapacity | Self::CutOff => {
                (StatusCode::SERVICE_UNAVAILABLE, None)
            }
        };
        *response.status_mut() = status;
        if let Some(found) = found {
            let found = HeaderValue::from_static(found);
            response.headers_mut().insert(FOUND_HEADER, found);
        }
        response
    }
}

/// Serves requests for tunnels for as long as the process lives.
pub async fn serve_tunnels(state: Arc<GatewayState>, listener: TcpListener) {
    let options = ServerOptions {
        max_connections: state.options.host.max_tunnels,
        ..ServerOptions::default()
    };
    let handler = move |request| answer(state.clone(), request);
    serve(listener, options, handler, pending()).await;
}

async fn answer(state: Arc<GatewayState>, request: Request<Incoming>) -> Response<Body> {
    if let Some(tunnel) = parse_tunnel_end_path(request.uri().path()) {
        return answer_end(&state, tunnel);
    }
    let opened = open(&state, &request).await;
    let result = match &opened {
        Ok(_) => "opened",
        Err(refusal) => refusal.name(),
    };
    state.metrics.count_tunnel("lent", result);
    match opened {
        Ok((upstream, permit)) => {
            tokio::spawn(run_tunnel(state, request, upstream, permit));
            Response::new(empty())
        }
        Err(refusal) => {
            log::info!(
                "path: tunnel refused upstream={:?} cause={}",
                request.headers().get(UPSTREAM_HEADER),
                refusal.name()
            );
            refusal.into_response()
        }
    }
}

/// Answers whether the upstream ended a tunnel.
fn answer_end(state: &GatewayState, tunnel: TunnelId) -> Response<Body> {
    let mut response = Response::new(empty());
    let ends = state.tunnel_ends.lock();
    if !ends.was_ended_by_upstream(tunnel, clock::now()) {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

/// Returns the id that the requesting host gave to its tunnel. Hosts of an earlier build give none.
fn tunnel_id(request: &Request<Incoming>) -> Option<TunnelId> {
    let id = request.headers().get(TUNNEL_ID_HEADER)?;
    parse_tunnel_id(id.to_str().ok()?)
}

/// Connects to the upstream of a request for a tunnel. The permit counts the tunnel until it is dropped.
async fn open(
    state: &Arc<GatewayState>,
    request: &Request<Incoming>,
) -> Result<(TcpStream, OwnedSemaphorePermit), Refusal> {
    let permits = state.tunnel_permits.clone();
    let permit = permits.try_acquire_owned();
    let permit = permit.map_err(|_| Refusal::AtCapacity)?;
    let upstream = find_upstream(state, request).ok_or(Refusal::UnknownUpstream)?;
    let record = &upstream.record;
    if state.stop.is_requested() {
        return Err(Refusal::Stopping);
    }
    if state.paths.lock().is_cut_off(&record.service, clock::now()) {
        return Err(Refusal::CutOff);
    }
    let connected = timeout(CONNECT_TIMEOUT, dial_directly(state, record)).await;
    let failure = match connected {
        Ok(Ok(stream)) => {
            state.record_direct_connection(record);
            return Ok((stream, permit));
        }
        Ok(Err(error)) => DialFailure::of(&error),
        Err(_) => DialFailure::Unanswered,
    };
    if reaches_another(state, &upstream).await {
        Err(Refusal::Unreachable(failure))
    } else {
        Err(Refusal::CutOff)
    }
}

/// Returns the upstream that a request names, if it is listed with the requested address.
fn find_upstream(state: &GatewayState, request: &Request<Incoming>) -> Option<Arc<Upstream>> {
    if request.method() != Method::CONNECT {
        return None;
    }
    let id = request.headers().get(UPSTREAM_HEADER)?.to_str().ok()?;
    let upstream = state.view.upstreams.get(&id.to_owned())?;
    let is_at_address = request.uri().authority()?.as_str() == upstream.record.address.to_string();
    is_at_address.then_some(upstream)
}

/// Whether this host reaches another upstream of the service at this moment.
async fn reaches_another(state: &GatewayState, unreachable: &Upstream) -> bool {
    let now = clock::now();
    let mut others = state.view.upstreams.ready(&unreachable.record.service);
    others.retain(|other| other.record.id != unreachable.record.id);
    others.shuffle(&mut rand::rng());
    others.sort_by_key(|other| other.is_suspected(now));
    let connecting = others.iter().take(MAX_CHECKED_UPSTREAMS).map(|other| {
        async {
            let stream = dial_directly(state, &other.record).await?;
            drop(stream);
            io::Result::Ok(&other.record)
        }
        .boxed()
    });
    let connecting: Vec<_> = connecting.collect();
    if connecting.is_empty() {
        return false;
    }
    match timeout(CONNECT_TIMEOUT, select_ok(connecting)).await {
        Ok(Ok((reached, _))) => {
            state.record_direct_connection(reached);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn run_tunnel(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    mut upstream: TcpStream,
    permit: OwnedSemaphorePermit,
) {
    // A planned stop waits for tunnels as for requests.
    let _in_flight = InFlightGuard::begin(&state);
    let id = tunnel_id(&request);
    let upgraded = match upgrade::on(request).await {
        Ok(upgraded) => upgraded,
        Err(error) => {
            log::info!("path: tunnel ended before it was used cause={error:?}");
            return;
        }
    };
    let Ok(parts) = downcast::<TokioIo<AcceptedStream>>(upgraded) else {
        log::error!("path: tunnel ended before it was used cause=unexpected-connection-type");
        return;
    };
    let mut peer = match parts.io.into_inner().into_inner() {
        Ok(peer) => peer,
        Err(error) => {
            log::error!("path: tunnel ended before it was used cause={error:?}");
            return;
        }
    };
    for stream in [&peer, &upstream] {
        if let Err(error) = probe_when_idle(stream) {
            log::warn!("path: no keepalive probes for tunnel error={error}");
        }
    }
    if upstream.write_all(&parts.read_buf).await.is_err() {
        return;
    }
    let end = pass(&mut peer, &mut upstream).await;
    drop(permit);
    match (end, id) {
        // After a pause of this process, the other host can't find out any more whether the upstream ended.
        (TunnelEnd::ByUpstream, Some(_)) if state.has_just_paused() => {}
        (TunnelEnd::ByUpstream, Some(id)) => {
            state.tunnel_ends.lock().record(id, clock::now());
            drop(peer);
            // A planned stop waits until the other host has asked how the tunnel ended.
            sleep(state.options.peers.tunnel_end).await;
        }
        // An answer without a length ends with its connection, so an orderly close would make a broken one look whole.
        (TunnelEnd::Reset, _) => {
            if let Err(error) = peer.set_zero_linger() {
                log::error!("path: tunnel not reset error={error}");
            }
        }
        (TunnelEnd::ByUpstream, None) | (TunnelEnd::ByPeer, _) => {}
    }
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelEnd {
    /// The upstream closed its connection, and all that it sent was passed on.
    ByUpstream,
    /// The other host closed its connection.
    ByPeer,
    /// A connection broke.
    Reset,
}

/// Passes bytes until one side ends.
async fn pass(peer: &mut TcpStream, upstream: &mut TcpStream) -> TunnelEnd {
    let (mut from_peer, mut to_peer) = peer.split();
    let (mut from_upstream, mut to_upstream) = upstream.split();
    tokio::select! {
        // The peer never closes only its sending side, so its end ends both directions.
        _ = copy(&mut from_peer, &mut to_upstream) => TunnelEnd::ByPeer,
        copied = copy(&mut from_upstream, &mut to_peer) => match copied {
            Ok(_) => TunnelEnd::ByUpstream,
            Err(_) => TunnelEnd::Reset,
        },
    }
}

fn probe_when_idle(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
