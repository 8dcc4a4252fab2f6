//! Authentication, headers and body of a caller's request.

use {
    crate::{in_force::ActiveDeclarations, state::RouterState},
    bytes::Bytes,
    http::{HeaderMap, Request, header::AUTHORIZATION},
    hyper::body::Incoming,
    std::sync::Arc,
    tealshore_callers::wire::{
        LAST_EVENT_HEADER, REPEAT_HEADER, REQUEST_ID_HEADER, check_request_id,
    },
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        http::{ReadError, read_draining},
        ids::RequestId,
    },
    tealshore_decide::policy::Repeat,
    tealshore_operators::declarations::Customer,
    tokio::time::timeout,
};

/// How much of a body that is too large is read and discarded, so that the caller receives the
/// response.
const MAX_DRAINED_BYTES: usize = 64 * 1024 * 1024;

/// What the headers of a call say about earlier calls for the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierCalls {
    /// There was no earlier call: this host generates the request id.
    None,
    /// The caller set the request id, so an earlier call, at this host or another, may have run it.
    MayHaveRun,
    /// The caller sent the id of the last event, so the request has run.
    Ran,
}

impl EarlierCalls {
    /// Derives the value from the headers of a call.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(LAST_EVENT_HEADER) {
            Self::Ran
        } else if headers.contains_key(REQUEST_ID_HEADER) {
            Self::MayHaveRun
        } else {
            Self::None
        }
    }

    /// Adjusts a failure returned before the request was looked up: it may say "not run" only if
    /// there was no earlier call. Failures without a retry time, which are errors of the call
    /// itself, stay unchanged.
    pub fn qualify(self, failure: Failure) -> Failure {
        if failure.kind.answer().retry_after.is_none() {
            return failure;
        }
        match self {
            Self::None => failure,
            Self::MayHaveRun => failure.after_earlier_attempt(Ran::Unknown),
            Self::Ran => failure.after_earlier_attempt(Ran::Yes),
        }
    }
}

/// Rejects new work while the host drains.
///
/// # Errors
/// Returns a failure from the draining phase on.
pub fn refuse_if_stopping(state: &RouterState) -> Result<(), Failure> {
    if state.stop.refuses_work() {
        return Err(Failure::new(
            ErrorKind::Stopping,
            "this host stops; ask for addresses again",
        ));
    }
    Ok(())
}

/// The declarations in force.
///
/// # Errors
/// Returns a failure if no declarations have been applied yet.
pub fn active_declarations(state: &RouterState) -> Result<Arc<ActiveDeclarations>, Failure> {
    state
        .in_force
        .now()
        .ok_or_else(|| Failure::new(ErrorKind::NotReady, "this host has no declarations yet"))
}

/// Authenticates the customer by the key in the `Authorization` header.
///
/// # Errors
/// Returns a failure if the key is missing or belongs to no customer.
pub fn customer<'a>(
    active: &'a ActiveDeclarations,
    headers: &HeaderMap,
) -> Result<&'a Customer, Failure> {
    let key =
        text(headers, AUTHORIZATION.as_str())?.and_then(|value| value.strip_prefix("Bearer "));
    let customer = key.and_then(|key| active.declarations.customer_by_key(key));
    customer.ok_or_else(|| {
        Failure::new(
            ErrorKind::Unauthenticated,
            "authorization: 'Bearer KEY' with a customer's key is needed",
        )
    })
}

/// The request id; `None` if the caller sent none.
///
/// # Errors
/// Returns a failure if the id is invalid.
pub fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, Failure> {
    text(headers, REQUEST_ID_HEADER)?
        .map(check_request_id)
        .transpose()
}

/// Whether the caller allows the request to be repeated; `None` if the header is missing.
///
/// # Errors
/// Returns a failure if the header has any other value.
pub fn repeat(headers: &HeaderMap) -> Result<Option<Repeat>, Failure> {
    match text(headers, REPEAT_HEADER)? {
        None => Ok(None),
        Some("allowed") => Ok(Some(Repeat::Allowed)),
        Some("forbidden") => Ok(Some(Repeat::Forbidden)),
        Some(_) => Err(Failure::new(
            ErrorKind::BadRequest,
            format!("{REPEAT_HEADER}: allowed, forbidden"),
        )),
    }
}

/// The value of a header as text; `None` if the header is missing.
///
/// # Errors
/// Returns a failure if the value is not printable ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| {
        Failure::new(
            ErrorKind::BadRequest,
            format!("{name}: printable ASCII is allowed"),
        )
    })?;
    Ok(Some(text))
}

/// Reads a request body within the configured size and time.
///
/// # Errors
/// Returns a failure if the body is too large, arrives too slowly or ends early.
pub async fn body(state: &RouterState, request: Request<Incoming>) -> Result<Bytes, Failure> {
    let callers = &state.options.callers;
    let max_bytes = callers.max_body_bytes;
    let reading = read_draining(request.into_body(), max_bytes, MAX_DRAINED_BYTES);
    match timeout(callers.read_timeout, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(Failure::new(
            ErrorKind::BodyTooLarge,
            format!("body: at most {} bytes are allowed", callers.max_body_bytes),
        )),
        Ok(Err(ReadError::Broken)) => {
            Err(Failure::new(ErrorKind::BadRequest, "body: it broke off"))
        }
        Err(_) => Err(Failure::new(
            ErrorKind::RequestTooSlow,
            format!("body: it took over {} ms", callers.read_timeout.as_millis()),
        )),
    }
}
