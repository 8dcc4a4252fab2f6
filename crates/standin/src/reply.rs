//! Helpers for requests and responses, shared by all stand-ins.

use {
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    serde::{Serialize, de::DeserializeOwned},
    tealshore_core::http::{Body, empty, json_body, read_limited},
};

/// Maximum size of a JSON body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Returns a response without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let mut answer = Response::new(json_body(value));
    *answer.status_mut() = status;
    answer
}

/// Reads a JSON body. An invalid or too large one yields the 400 response to send.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let bad_request = || status(StatusCode::BAD_REQUEST);
    let body = read_limited(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| bad_request())?;
    serde_json::from_slice(&body).map_err(|_| bad_request())
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
