//! Handles requests of callers.

mod addresses;
mod caller;
mod cancel;
mod completions;
mod plain;
mod problem;

use {
    crate::state::RouterState,
    http::{Method, Request, Response},
    hyper::body::Incoming,
    std::sync::Arc,
    tealshore_callers::wire::{ADDRESSES_PATH, COMPLETIONS_PATH, SERVICES_PATH},
    tealshore_core::{
        answer::{ErrorKind, Failure},
        http::Body,
    },
};

/// Handles one request of a caller.
pub async fn handle(state: Arc<RouterState>, request: Request<Incoming>) -> Response<Body> {
    let outcome = route(&state, request).await;
    outcome.unwrap_or_else(|failure| problem::response(&state, &failure))
}

async fn route(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, ADDRESSES_PATH) => addresses::handle(state, &request),
        (&Method::POST, COMPLETIONS_PATH) => completions::handle(state, request).await,
        (_, ADDRESSES_PATH | COMPLETIONS_PATH) => Err(Failure::new(
            ErrorKind::MethodNotAllowed,
            format!("{} {path}", request.method()),
        )),
        (&Method::DELETE, path) if path.starts_with(COMPLETIONS_PATH) => {
            cancel::handle(state, &request).await
        }
        (_, path) if path.starts_with(SERVICES_PATH) => plain::handle(state, request).await,
        (_, path) => Err(Failure::new(ErrorKind::UnknownPath, path.to_owned())),
    }
}
