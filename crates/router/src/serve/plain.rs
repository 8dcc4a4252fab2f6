//! Passes calls on to plain services.
//!
//! A call that may be repeated is tried at up to three hosts. One that may not is tried
//! again only while no byte of it can have left.

use {
    super::caller,
    crate::{claims::ClaimOutcome, state::RouterState},
    bytes::Bytes,
    http::{
        HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE, request::Parts,
    },
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc},
    tealshore_callers::wire::SERVICES_PATH,
    tealshore_core::{
        answer::{ErrorKind, Failure},
        http::{Body, SendError, full},
        ids::CustomerId,
    },
    tealshore_decide::policy::Repeat,
    tealshore_peers::PlaceKey,
};

/// How many hosts a call is tried at.
const TRIES: usize = 3;
/// The largest answer, in bytes.
const ANSWER_BOUND_BYTES: usize = 16 * 1024 * 1024;

/// A call on its way to a plain service.
struct PlainCall {
    method: Method,
    path: String,
    content_type: Option<HeaderValue>,
    body: Bytes,
    repeat: Repeat,
}

/// Answers a call to a plain service.
pub async fn answer(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    if state.stop.refuses_work() {
        return Err(Failure::new(
            ErrorKind::Stopping,
            "this host stops; ask for addresses again",
        ));
    }
    let running = caller::running(state)?;
    let (parts, body) = request.into_parts();
    let customer = caller::customer(&running, &parts.headers)?;
    let (service, path) = split_path(&parts)?;
    let hosts = state
        .fleet
        .plain_hosts(service)
        .ok_or_else(|| Failure::new(ErrorKind::UnknownService, service.to_owned()))?;
    let bound = state.options.callers.max_in_flight;
    let _in_flight = state.in_flight.enter(&customer.id, service, bound, bound)?;
    let repeat = caller::repeat(&parts.headers)?.unwrap_or_else(|| usual_repeat(&parts.method));
    let id = caller::request_id(&parts.headers)?;
    let body = caller::body(state, Request::from_parts(parts.clone(), body)).await?;
    let call = PlainCall {
        method: parts.method,
        path,
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body,
        repeat,
    };
    if let (Repeat::Forbidden, Some(id)) = (call.repeat, id) {
        claim(state, &customer.id, id, &call).await?;
    }
    let (status, content) = pass_on(state, &hosts, &call).await?;
    let mut answer = Response::new(full(content));
    *answer.status_mut() = status;
    Ok(answer)
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

/// Methods that HTTP defines as idempotent may be repeated (RFC 9110, 9.2.2).
fn usual_repeat(method: &Method) -> Repeat {
    if method.is_idempotent() {
        Repeat::Allowed
    } else {
        Repeat::Forbidden
    }
}

/// A call with an id reaches a service at most once, whichever hosts it comes to.
async fn claim(
    state: &RouterState,
    customer: &CustomerId,
    id: String,
    call: &PlainCall,
) -> Result<(), Failure> {
    let digest = blake3::hash(&call.body).to_hex().to_string();
    let key = PlaceKey {
        customer: customer.clone(),
        request: id,
    };
    match state.claims.claim(&key, &digest).await {
        ClaimOutcome::Won(_) => Ok(()),
        ClaimOutcome::Taken { .. } => Err(Failure::new(
            ErrorKind::AlreadyClaimed,
            format!("call {} was claimed before", key.request),
        )),
        ClaimOutcome::Unavailable => Err(Failure::new(
            ErrorKind::TableUnavailable,
            "the call could not be claimed, so it was not run",
        )),
    }
}

async fn pass_on(
    state: &RouterState,
    hosts: &[SocketAddr],
    call: &PlainCall,
) -> Result<(StatusCode, Bytes), Failure> {
    let mut failure = Failure::new(
        ErrorKind::UpstreamUnreachable,
        "no host of the service is live",
    );
    for host in hosts.iter().cycle().take(TRIES.min(hosts.len() * TRIES)) {
        match try_at(state, *host, call).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::NotSent(cause)) => {
                failure = Failure::new(ErrorKind::UpstreamUnreachable, cause)
            }
            Err(SendError::Unknown(cause)) => {
                failure = Failure::new(ErrorKind::UpstreamUnconfirmed, cause);
                if call.repeat == Repeat::Forbidden {
                    return Err(failure);
                }
            }
        }
    }
    Err(failure)
}

async fn try_at(
    state: &RouterState,
    host: SocketAddr,
    call: &PlainCall,
) -> Result<(StatusCode, Bytes), SendError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{host}{}", call.path));
    if let Some(content_type) = &call.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    let request = request
        .body(full(call.body.clone()))
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    let client = match call.repeat {
        Repeat::Allowed => &state.upstreams,
        // A kept connection may be closed just as the call leaves, and then nobody knows.
        Repeat::Forbidden => &state.fresh_upstreams,
    };
    client
        .fetch(
            request,
            state.options.callers.plain_timeout,
            ANSWER_BOUND_BYTES,
        )
        .await
}
