//! Renders failures as problem documents (RFC 9457).

use {
    crate::state::RouterState,
    http::{
        HeaderValue, Response,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
    tealshore_callers::wire::RAN_HEADER,
    tealshore_core::{
        answer::{Failure, Problem, Ran},
        http::{Body, json_body},
    },
};

/// Counts and logs a failure and returns its problem document.
pub fn record(state: &RouterState, failure: &Failure) -> Problem {
    state
        .metrics
        .failures
        .with_label_values(&[failure.kind.name()])
        .inc();
    log::log!(failure.kind.answer().level, "caller: {failure}");
    Problem::of(failure)
}

/// Builds the response to a failure.
pub fn response(state: &RouterState, failure: &Failure) -> Response<Body> {
    let problem = record(state, failure);
    let mut response = Response::new(json_body(&problem));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(RAN_HEADER, HeaderValue::from_static(ran_value(problem.ran)));
    if let Some(after_ms) = problem.retry_after_ms {
        // The header has whole seconds, rounded up; the document has milliseconds.
        headers.insert(RETRY_AFTER, HeaderValue::from(after_ms.div_ceil(1_000)));
    }
    response
}

fn ran_value(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    }
}
