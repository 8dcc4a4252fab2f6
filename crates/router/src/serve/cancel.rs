//! Answers `DELETE /v1/completions/ID`: stops a running generation of the customer.

use {
    super::caller,
    crate::state::RouterState,
    http::{Request, Response},
    hyper::body::Incoming,
    tealshore_callers::wire::{COMPLETIONS_PATH, CancelledResponse, check_request_id},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        http::{Body, json_body},
        ids::{FIRST_ATTEMPT, stream_id},
    },
    tealshore_engines::{CancelOutcome, CancelWhen, Engine},
    tealshore_peers::PlaceKey,
};

/// Answers a request to cancel. The one who reads the answer is told by its engine, and
/// learns from the request's home that it was the customer.
pub async fn answer(
    state: &RouterState,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let running = caller::running(state)?;
    let customer = caller::customer(&running, request.headers())?;
    let id = request
        .uri()
        .path()
        .strip_prefix(COMPLETIONS_PATH)
        .unwrap_or_default();
    let id = check_request_id(id.trim_start_matches('/'))?;
    let key = PlaceKey {
        customer: customer.id.clone(),
        request: id.clone(),
    };
    let unknown = || {
        Failure::new(
            ErrorKind::UnknownRequest,
            format!("no request {id} is known to run"),
        )
    };
    let place = state.cancel_place(&key).await.ok_or_else(unknown)?;
    let engine = place.engine.ok_or_else(unknown)?;
    let address = state
        .engine_address(&place.pin[0], &engine)
        .ok_or_else(unknown)?;
    let stream = stream_id(place.generation, place.attempt);
    let ran = match state
        .engine(address)
        .cancel(&stream, CancelWhen::Always)
        .await
    {
        CancelOutcome::NeverStarted if place.attempt == FIRST_ATTEMPT => Ran::No,
        // An earlier attempt of the request was placed at another engine, and may have run there.
        CancelOutcome::NeverStarted => Ran::Unknown,
        CancelOutcome::Stopped => Ran::Yes,
        CancelOutcome::Unknown => {
            return Err(Failure::new(
                ErrorKind::UpstreamUnconfirmed,
                format!("engine {engine} did not confirm"),
            ));
        }
    };
    Ok(Response::new(json_body(&CancelledResponse { id, ran })))
}
