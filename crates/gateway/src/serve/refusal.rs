//! Answers with which this host itself refuses a request.

use {
    crate::{edge::RequestFacts, state::GatewayState},
    http::{HeaderValue, Response, header},
    std::time::Duration,
    tealshore_core::{
        answer::{Failure, Problem},
        http::{Body, json_body},
    },
};

/// Builds the answer for a failure: its status, when to retry, and a problem document.
pub fn refuse(state: &GatewayState, facts: &RequestFacts, failure: &Failure) -> Response<Body> {
    let problem = Problem::of(failure);
    let mut response = Response::new(json_body(&problem));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(after_ms) = problem.retry_after_ms {
        let seconds = Duration::from_millis(after_ms).as_secs_f64();
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    if state.stop.is_requested() {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    state.protocol.write_refusal(facts, headers);
    response
}
