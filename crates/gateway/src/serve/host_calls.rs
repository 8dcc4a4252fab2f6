//! Answers requests about this host: readiness, addresses for callers, metrics.

use {
    crate::{edge::HostCall, state::GatewayState},
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    rand::seq::SliceRandom,
    std::{sync::Arc, time::Duration},
    tealshore_core::{
        clock,
        http::{Body, empty, full},
        ids::HallId,
    },
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// How long callers are told to keep addresses, unless the configured bound is shorter.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Answers one request about this host.
pub async fn answer_host_call(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, _) = request.into_parts();
    if head.uri.path() == METRICS_PATH {
        return Response::new(full(state.metrics.text()));
    }
    match state.protocol.read_host_call(&head) {
        HostCall::Readiness => answer_readiness(&state),
        HostCall::Addresses { hall } => answer_addresses(&state, hall.as_ref()),
        HostCall::Unknown => with_status(StatusCode::NOT_FOUND),
    }
}

fn answer_readiness(state: &GatewayState) -> Response<Body> {
    let is_ready = state.view.configuration().is_some() && !state.stop.is_requested();
    with_status(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn answer_addresses(state: &GatewayState, caller_hall: Option<&HallId>) -> Response<Body> {
    let now = clock::now();
    let phase = state.phase(now);
    let mut addresses = state.peers.callers_addresses(caller_hall, phase, now);
    if addresses.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    let ttl = ADDRESS_TTL.min(state.options.bounds.keep_addresses);
    let response = state.protocol.write_addresses(&addresses, ttl);
    response.map(|bytes| {
        let body = http_body_util::Full::new(bytes);
        body.map_err(|never| match never {}).boxed_unsync()
    })
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
