//! The operators' port.

use {
    crate::state::RouterState,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    tealshore_core::{
        http::{Body, empty, full, json_body},
        ids::{ConfigVersion, HallId, HostId, SiteId},
    },
};

/// What an entry host runs, for `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Its hall.
    pub hall: HallId,
    /// Its site.
    pub site: SiteId,
    /// The version of the declarations in force.
    pub config_version: ConfigVersion,
    /// How far its planned stop is; `serving` while none was asked for.
    pub phase: String,
    /// Requests in flight.
    pub in_flight: u64,
    /// Engines that it may send work to.
    pub engines_known: usize,
    /// Engines of these that have reported their load.
    pub engines_reported: usize,
    /// Hosts of plain services that it may send calls to.
    pub plain_known: usize,
    /// Other entry hosts on the host list.
    pub peers_known: usize,
    /// Places of requests for which it is the home.
    pub places_kept: usize,
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

fn status_of(state: &RouterState) -> HostStatus {
    let host = &state.options.host;
    HostStatus {
        host: host.id.clone(),
        hall: host.hall.clone(),
        site: host.site.clone(),
        config_version: state.in_force.version(),
        phase: state.stop.phase().name().to_owned(),
        in_flight: state.in_flight.total(),
        engines_known: state.fleet.engines().len(),
        engines_reported: state.fleet.reported_count(),
        plain_known: state.fleet.plain_count(),
        peers_known: state.fleet.peers().len(),
        places_kept: state.locations.len(),
    }
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}
