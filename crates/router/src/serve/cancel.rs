//! Handles `DELETE /v1/completions/ID`: cancels a running generation of the customer.

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
    tealshore_peers::RequestKey,
};

/// Handles a request to cancel. The host that streams the generation sees the stream aborted by
/// its engine, and learns from the home host of the request that the customer cancelled it.
pub async fn handle(
    state: &RouterState,
    request: &Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let active = caller::active_declarations(state)?;
    let customer = caller::customer(&active, request.headers())?;
    let id = request
        .uri()
        .path()
        .strip_prefix(COMPLETIONS_PATH)
        .unwrap_or_default();
    let id = check_request_id(id.trim_start_matches('/'))?;
    let key = RequestKey {
        customer: customer.id.clone(),
        request: id.clone(),
    };
    let unknown = || {
        Failure::new(
            ErrorKind::UnknownRequest,
            format!("no request {id} is known to run"),
        )
    };
    let location = state.cancel_request(&key).await.ok_or_else(unknown)?;
    let engine = location.engine.ok_or_else(unknown)?;
    let address = state
        .engine_address(&location.pin[0], &engine)
        .ok_or_else(unknown)?;
    let stream = stream_id(location.generation, location.attempt);
    let ran = match state
        .engine(address)
        .cancel(&stream, CancelWhen::Always)
        .await
    {
        CancelOutcome::NeverStarted if location.attempt == FIRST_ATTEMPT => Ran::No,
        // An earlier attempt was dispatched to another engine and may have run there.
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
