//! Stand-in for the platform's object store: the subset of the S3 protocol that the system uses.

use {
    crate::{bounds::server_options, reply},
    bytes::Bytes,
    http::{
        HeaderValue, Method, Request, Response, StatusCode,
        header::{CONTENT_LENGTH, ETAG, LAST_MODIFIED},
    },
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{collections::BTreeMap, future::pending, sync::Arc},
    tealshore_core::http::{Body, full, read_limited, serve as serve_http},
    tokio::net::TcpListener,
};

/// Maximum size of an object.
const MAX_OBJECT_BYTES: usize = 16 * 1024 * 1024;
/// The modification date of all objects. A fixed date is enough, as objects never change here.
const LAST_MODIFIED_DATE: HeaderValue = HeaderValue::from_static("Wed, 02 Dec 2026 00:00:00 GMT");

#[derive(Default)]
struct Objects {
    content: BTreeMap<String, Bytes>,
    outage: bool,
}

type Shared = Arc<Mutex<Objects>>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener) {
    let shared = Shared::default();
    let handler = move |request| handle(shared.clone(), request);
    serve_http(listener, server_options(), handler, pending()).await;
}

async fn handle(objects: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::PUT && path == "/control/outage" {
        return match reply::read_json(request).await {
            Ok(outage) => {
                objects.lock().outage = outage;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        };
    }
    if objects.lock().outage {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    match *request.method() {
        Method::PUT => put(&objects, path, request).await,
        Method::GET => get(&objects, &path),
        _ => reply::status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn put(objects: &Shared, path: String, request: Request<Incoming>) -> Response<Body> {
    let Ok(content) = read_limited(request.into_body(), MAX_OBJECT_BYTES).await else {
        return reply::status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let mut answer = reply::status(StatusCode::OK);
    answer.headers_mut().insert(ETAG, etag(&content));
    objects.lock().content.insert(path, content);
    answer
}

fn get(objects: &Shared, path: &str) -> Response<Body> {
    let Some(content) = objects.lock().content.get(path).cloned() else {
        return reply::status(StatusCode::NOT_FOUND);
    };
    let mut answer = Response::new(full(content.clone()));
    let headers = answer.headers_mut();
    headers.insert(ETAG, etag(&content));
    headers.insert(LAST_MODIFIED, LAST_MODIFIED_DATE);
    headers.insert(CONTENT_LENGTH, HeaderValue::from(content.len()));
    answer
}

fn etag(content: &Bytes) -> HeaderValue {
    let text = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(content));
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("\"\""))
}
