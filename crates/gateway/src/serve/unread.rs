//! The body of a refused request: what is left of it is read if that keeps the connection, within limits.

use {
    crate::state::GatewayState,
    bytes::Bytes,
    http::{header, request},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// How much of the rest of a body is read to keep its connection.
const MAX_REST_BYTES: usize = 1024 * 1024;
/// How long the rest of a body is read to keep its connection. The refusal doesn't wait for it.
const MAX_REST_TIME: Duration = Duration::from_secs(2);
/// How long a refusal waits for the end of a body whose length was not announced, as it has to say whether its
/// connection closes. What a caller has already sent arrives sooner.
const MAX_WAIT_FOR_END: Duration = Duration::from_millis(100);

/// Whether a caller waits to be asked for the body of its request.
pub fn expects_continue(head: &request::Parts) -> bool {
    let expect = head.headers.get(header::EXPECT);
    expect.is_some_and(|expect| expect.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Reads and drops the rest of the body of a refused request, if its connection may be used again. Returns whether it
/// may; otherwise the refusal has to say that the connection closes.
pub async fn keep_connection(
    state: &Arc<GatewayState>,
    mut body: Incoming,
    expects_continue: bool,
) -> bool {
    if body.is_end_stream() {
        return true;
    }
    // Reading the body would ask the caller for it.
    if expects_continue || state.stop.is_requested() {
        return false;
    }
    match body.size_hint().exact() {
        Some(rest) if rest <= MAX_REST_BYTES as u64 => {
            tokio::spawn(drain_until_close(state.clone(), body));
            true
        }
        Some(_) => false,
        None => {
            let drained = timeout(MAX_WAIT_FOR_END, drain(&mut body)).await;
            drained.unwrap_or(false)
        }
    }
}

/// Reads and drops the rest of a body, whose connection ends if this takes too long or the host closes its connections.
async fn drain_until_close(state: Arc<GatewayState>, mut body: Incoming) {
    tokio::select! {
        _ = timeout(MAX_REST_TIME, drain(&mut body)) => {}
        () = state.stop.wait_for_close() => {}
    }
}

/// Reads and drops the rest of a body. Returns whether the body has ended within the limit.
async fn drain(body: &mut Incoming) -> bool {
    let mut remaining_bytes = MAX_REST_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let frame_bytes = frame.data_ref().map_or(0, Bytes::len);
        match remaining_bytes.checked_sub(frame_bytes) {
            Some(left) => remaining_bytes = left,
            None => return false,
        }
    }
    true
}
