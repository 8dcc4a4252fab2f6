//! Stand-in for a plain service: echoes each call and counts the calls of each path.

use {
    crate::{bounds::server_options, reply},
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, future::pending, sync::Arc, time::Duration},
    tealshore_core::http::{Body, full, read_limited, serve as serve_http},
    tokio::net::TcpListener,
};

/// Maximum size of a body that is echoed.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Injected faults of the service, set at `/control/faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFaults {
    /// The number of calls that run but are never answered.
    pub lose_answers: u32,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct Plain {
    faults: PlainFaults,
    runs: BTreeMap<String, u32>,
}

type Shared = Arc<Mutex<Plain>>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener) {
    let shared = Shared::default();
    let handler = move |request| handle(shared.clone(), request);
    serve_http(listener, server_options(), handler, pending()).await;
}

async fn handle(plain: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::PUT, "/control/faults") => match reply::read_json(request).await {
            Ok(faults) => {
                plain.lock().faults = faults;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        },
        (Method::GET, "/control/runs") => reply::json(StatusCode::OK, &plain.lock().runs),
        _ => run(&plain, &path, request).await,
    }
}

async fn run(plain: &Shared, path: &str, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = read_limited(request.into_body(), MAX_BODY_BYTES).await else {
        return reply::status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let (slow_ms, drops_answer) = {
        let mut plain = plain.lock();
        *plain.runs.entry(path.to_owned()).or_default() += 1;
        let drops_answer = plain.faults.lose_answers > 0;
        plain.faults.lose_answers = plain.faults.lose_answers.saturating_sub(1);
        (plain.faults.slow_ms, drops_answer)
    };
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    if drops_answer {
        return pending().await;
    }
    let mut text = format!("{path}\n").into_bytes();
    text.extend_from_slice(&body);
    Response::new(full(text))
}
