//! Who calls, and what it sent.

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

/// How much more is taken in of a body that is too large, so that its answer arrives.
const MAX_DRAINED_BYTES: usize = 64 * 1024 * 1024;

/// What the headers of a call tell of earlier calls for the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierCalls {
    /// There was none: this host makes the request's id.
    None,
    /// The caller names the request, so an earlier call, here or elsewhere, may have run it.
    MayHaveRun,
    /// The caller brings the last event of an answer.
    Ran,
}

impl EarlierCalls {
    /// What these headers tell.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(LAST_EVENT_HEADER) {
            Self::Ran
        } else if headers.contains_key(REQUEST_ID_HEADER) {
            Self::MayHaveRun
        } else {
            Self::None
        }
    }

    /// A refusal by a host that has not looked the request up: it says "not run" only where
    /// there was no earlier call. What is wrong with the call itself stays as it is.
    pub fn qualify(self, failure: Failure) -> Failure {
        if failure.kind.answer().retry_after.is_none() {
            return failure;
        }
        match self {
            Self::None => failure,
            Self::MayHaveRun => failure.after_earlier_try(Ran::Unknown),
            Self::Ran => failure.after_earlier_try(Ran::Yes),
        }
    }
}

/// Refuses new work once the host drains.
///
/// # Errors
/// It does.
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
/// There are none yet.
pub fn active_declarations(state: &RouterState) -> Result<Arc<ActiveDeclarations>, Failure> {
    state
        .in_force
        .now()
        .ok_or_else(|| Failure::new(ErrorKind::NotReady, "this host has no declarations yet"))
}

/// The customer whose key a request carries.
///
/// # Errors
/// It carries none, or nobody's.
pub fn customer<'a>(
    active: &'a ActiveDeclarations,
    headers: &HeaderMap,
) -> Result<&'a Customer, Failure> {
    let key =
        text(headers, AUTHORIZATION.as_str())?.and_then(|value| value.strip_prefix("Bearer "));
    let customer = key.and_then(|key| active.declarations.customer_of_key(key));
    customer.ok_or_else(|| {
        Failure::new(
            ErrorKind::Unauthenticated,
            "authorization: 'Bearer KEY' with a customer's key is needed",
        )
    })
}

/// The request's id; none where the caller gave none.
///
/// # Errors
/// It holds what is not allowed.
pub fn request_id(headers: &HeaderMap) -> Result<Option<RequestId>, Failure> {
    text(headers, REQUEST_ID_HEADER)?
        .map(check_request_id)
        .transpose()
}

/// What the caller says of repeating; none where it says nothing.
///
/// # Errors
/// It says something else.
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

/// The text of a header.
///
/// # Errors
/// It is no text.
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

/// Reads a body within its bounds.
///
/// # Errors
/// It is too large, too slow, or broke off.
pub async fn body(state: &RouterState, request: Request<Incoming>) -> Result<Bytes, Failure> {
    let callers = &state.options.callers;
    let bound = callers.max_body_bytes;
    let reading = read_draining(request.into_body(), bound, MAX_DRAINED_BYTES);
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
