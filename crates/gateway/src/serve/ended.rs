//! Reports the ends of plain calls and of refused requests.

use {
    crate::{
        edge::RequestFacts, forward::Call, state::GatewayState, stop::StopEnd, view::ViewFacts,
    },
    http::Response,
    std::time::Instant,
    tealshore_core::{
        answer::{Failure, Ran},
        clock,
        http::Body,
    },
};

/// Reports a plain call that is answered.
pub fn log_answer(state: &GatewayState, call: &Call, response: &Response<Body>) {
    let outcome = if response.status().is_success() {
        "complete"
    } else {
        "upstream-failed"
    };
    state.metrics.outcomes.with_label_values(&[outcome]).inc();
    // A plain answer is received in full before it is passed on.
    let took = clock::elapsed(call.received);
    state.metrics.observe_first_byte("call", took);
    state.metrics.observe_duration("call", took);
    log::info!(
        target: state.stop.log_target(module_path!()),
        "call: ended request={} digest={} route={} outcome={outcome} status={} age_ms={} {}{}",
        call.id(),
        call.fingerprint_hex(),
        call.route.name,
        response.status().as_u16(),
        call.age_ms(),
        call.view,
        state.stop.age_field()
    );
}

/// Reports a request that is refused.
pub fn log_failure(
    state: &GatewayState,
    facts: &RequestFacts,
    failure: &Failure,
    received: Instant,
) {
    let now = clock::now();
    let name = failure.kind.name();
    state.metrics.outcomes.with_label_values(&[name]).inc();
    state.count_stop_end(match failure.ran() {
        Ran::No => StopEnd::RefusedNotRun,
        Ran::Yes | Ran::Unknown => StopEnd::RefusedUnknown,
    });
    log::log!(
        target: state.stop.log_target(module_path!()),
        failure.kind.answer().level,
        "call: ended request={} outcome={name} ran={:?} age_ms={} {}{} detail={:?}",
        facts.request.as_deref().unwrap_or("-"),
        failure.ran(),
        now.saturating_duration_since(received).as_millis(),
        ViewFacts::of(&state.view, now),
        state.stop.age_field(),
        failure.detail
    );
}
