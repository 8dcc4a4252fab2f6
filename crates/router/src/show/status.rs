//! The operators' port.

use {
    crate::state::RouterState,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::Serialize,
    std::sync::Arc,
    tealshore_core::{
        http::{Body, empty, full, json_body},
        ids::{ConfigVersion, HallId, HostId, SiteId},
    },
};

/// What this host runs, for `GET /status`.
#[derive(Serialize)]
struct HostStatus<'a> {
    host: &'a HostId,
    hall: &'a HallId,
    site: &'a SiteId,
    config_version: ConfigVersion,
    phase: &'static str,
    in_flight: u64,
    engines_known: usize,
    places_kept: usize,
}

/// Answers one request of an operator.
pub async fn handle(state: Arc<RouterState>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/metrics" => {
            state
                .metrics
                .in_flight
                .set(i64::try_from(state.in_flight.total()).unwrap_or(i64::MAX));
            Response::new(full(state.metrics.text()))
        }
        "/healthz" => Response::new(full("alive\n")),
        "/readyz" => readiness(&state),
        "/status" => Response::new(json_body(&status_of(&state))),
        _ => with_status(StatusCode::NOT_FOUND, empty()),
    }
}

/// A host is ready once it has declarations and until it refuses work.
fn readiness(state: &RouterState) -> Response<Body> {
    if state.in_force.now().is_none() {
        return with_status(
            StatusCode::SERVICE_UNAVAILABLE,
            full("no declarations yet\n"),
        );
    }
    if state.stop.refuses_work() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, full("stopping\n"));
    }
    Response::new(full("ready\n"))
}

fn status_of(state: &RouterState) -> HostStatus<'_> {
    let host = &state.options.host;
    HostStatus {
        host: &host.id,
        hall: &host.hall,
        site: &host.site,
        config_version: state.in_force.version(),
        phase: state.stop.phase().name(),
        in_flight: state.in_flight.total(),
        engines_known: state.fleet.engines().len(),
        places_kept: state.places.len(),
    }
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}
