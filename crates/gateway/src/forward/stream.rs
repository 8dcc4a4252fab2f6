//! Opens a stream for a caller and hands it to a relay.

use {
    super::{
        call::{Call, strip_connection_headers},
        relay::{Opened, Relay},
    },
    crate::state::GatewayState,
    http::Response,
    std::sync::Arc,
    tealshore_core::{answer::Failure, http::Body},
};

/// Opens a stream: the head of the first engine's answer, and the events of as many engines
/// as it takes.
///
/// # Errors
/// No engine gave an answer that may be passed on.
pub async fn run(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Response<Body>, Failure> {
    let mut relay = Relay::new(state.clone(), call);
    match relay.open().await? {
        Opened::Stream(mut head) => {
            strip_connection_headers(&mut head.headers);
            head.extensions.clear();
            Ok(Response::from_parts(head, relay.into_body()))
        }
        Opened::Whole(response) => Ok(response),
    }
}
