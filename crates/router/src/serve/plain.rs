//! Forwards calls to plain services.
//!
//! A call that may be repeated is attempted up to three times. A call that must not be repeated
//! is retried only while no byte of it can have been sent.

use {
    super::caller::{self, EarlierCalls},
    crate::{
        claims::{Claim, ClaimOutcome},
        state::RouterState,
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE, request::Parts},
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc},
    tealshore_callers::wire::SERVICES_PATH,
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        http::{Body, SendError, full},
        ids::CustomerId,
    },
    tealshore_decide::policy::Repeat,
    tealshore_peers::RequestKey,
    tealshore_plain::PlainCall,
};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 3;
/// Handles a call to a plain service.
pub async fn handle(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    let earlier_calls = EarlierCalls::of(&parts.headers);
    let qualify = |failure| earlier_calls.qualify(failure);
    caller::refuse_if_stopping(state).map_err(qualify)?;
    let active = caller::active_declarations(state).map_err(qualify)?;
    let customer = caller::customer(&active, &parts.headers)?;
    let (service, path) = split_path(&parts)?;
    let hosts = state
        .fleet
        .plain_hosts(service)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownService, service.to_owned()))?;
    let limit = state.options.callers.max_in_flight;
    let _in_flight = state
        .in_flight
        .admit(&customer.id, service, limit, limit)
        .map_err(qualify)?;
    let repeat = caller::repeat(&parts.headers)?.unwrap_or_else(|| default_repeat(&parts.method));
    let id = caller::request_id(&parts.headers)?;
    let body = caller::body(state, Request::from_parts(parts.clone(), body))
        .await
        .map_err(qualify)?;
    let call = PlainCall {
        method: parts.method.clone(),
        path,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body,
        repeat,
    };
    let claim = match (call.repeat, id) {
        (Repeat::Forbidden, Some(id)) => {
            Some(claim(state, &customer.id, service, &id, &call).await?)
        }
        (Repeat::Allowed, _) | (Repeat::Forbidden, None) => None,
    };
    let outcome = forward(state, &hosts, &call).await;
    if let (Err(failure), Some(claim)) = (&outcome, claim)
        && failure.ran() == Ran::No
    {
        state.claims.release(claim);
    }
    let (status, content) = outcome?;
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    Ok(response)
}

fn split_path(parts: &Parts) -> Result<(&str, String), Failure> {
    let unknown = || Failure::new(ErrorKind::UnknownPath, parts.uri.path().to_owned());
    let rest = parts
        .uri
        .path()
        .strip_prefix(SERVICES_PATH)
        .ok_or_else(unknown)?;
    let (service, path) = rest.split_once('/').ok_or_else(unknown)?;
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    Ok((service, format!("/{path}{query}")))
}

/// Allows repeats for the methods that HTTP defines as idempotent (RFC 9110, 9.2.2).
fn default_repeat(method: &Method) -> Repeat {
    if method.is_idempotent() {
        Repeat::Allowed
    } else {
        Repeat::Forbidden
    }
}

/// Claims a call that must not be repeated and has an id, so that it reaches the service at most
/// once, whichever entry hosts receive it.
async fn claim(
    state: &RouterState,
    customer: &CustomerId,
    service: &str,
    id: &str,
    call: &PlainCall,
) -> Result<Claim, Failure> {
    let parts = [
        call.method.as_str().as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    let digest = blake3::hash(&parts.join(&b'\n')).to_hex().to_string();
    // Request ids contain no ':', so the claims of calls and generations never collide.
    let key = RequestKey {
        customer: customer.clone(),
        request: format!("{service}:{id}"),
    };
    match state.claims.claim(&key, &digest).await {
        ClaimOutcome::Acquired(claim) => Ok(claim),
        ClaimOutcome::Taken { digest: other } if other != digest => Err(Failure::new(
            ErrorKind::RequestConflict,
            format!("call {id} was used with another body"),
        )),
        ClaimOutcome::Taken { .. } => Err(Failure::new(
            ErrorKind::AlreadyClaimed,
            format!("call {id} was claimed before"),
        )),
        // An earlier call with the same id may have been claimed and sent.
        ClaimOutcome::Unavailable => Err(Failure::new(
            ErrorKind::TableUnavailable,
            "the call could not be claimed, so this time it was not sent",
        )
        .after_earlier_attempt(Ran::Unknown)),
    }
}

async fn forward(
    state: &RouterState,
    hosts: &[SocketAddr],
    call: &PlainCall,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut may_have_run = false;
    let mut last_cause = "no host of the service is live".to_owned();
    for host in hosts.iter().cycle().take(MAX_ATTEMPTS) {
        match state.plain.call(*host, call).await {
            Ok(response) => return Ok(response),
            Err(SendError::NotSent(cause)) => last_cause = cause,
            Err(SendError::Unknown(cause)) => {
                last_cause = cause;
                may_have_run = true;
            }
        }
        if may_have_run && call.repeat == Repeat::Forbidden {
            break;
        }
    }
    // If any attempt may have run, the outcome is unconfirmed.
    let kind = if may_have_run {
        ErrorKind::UpstreamUnconfirmed
    } else {
        ErrorKind::UpstreamUnreachable
    };
    Err(Failure::new(kind, last_cause))
}
