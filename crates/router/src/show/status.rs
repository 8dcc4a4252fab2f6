//! Endpoints of the operators' port.

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

/// Status of an entry host, the response of `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Host id.
    pub host: HostId,
    /// Hall of the host.
    pub hall: HallId,
    /// Site of the host.
    pub site: SiteId,
    /// Version of the declarations in force.
    pub config_version: ConfigVersion,
    /// Phase of the planned stop; `serving` if none was requested.
    pub phase: String,
    /// Requests in flight.
    pub in_flight: u64,
    /// Known engines, including those that are leaving or have failed.
    pub engines_known: usize,
    /// Known engines that have reported their load.
    pub engines_reported: usize,
    /// Known hosts of plain services.
    pub plain_known: usize,
    /// Other entry hosts on the host list.
    pub peers_known: usize,
    /// Requests whose location this host keeps as their home host.
    pub places_kept: usize,
}

/// Handles one request of an operator.
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
        "/status" => Response::new(json_body(&host_status(&state))),
        _ => response_with_status(StatusCode::NOT_FOUND, empty()),
    }
}

/// A host is ready from its first declarations until it rejects new work.
fn readiness(state: &RouterState) -> Response<Body> {
    if state.in_force.now().is_none() {
        return response_with_status(
            StatusCode::SERVICE_UNAVAILABLE,
            full("no declarations yet\n"),
        );
    }
    if state.stop.refuses_work() {
        return response_with_status(StatusCode::SERVICE_UNAVAILABLE, full("stopping\n"));
    }
    Response::new(full("ready\n"))
}

fn host_status(state: &RouterState) -> HostStatus {
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

fn response_with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
