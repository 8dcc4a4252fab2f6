//! Stand-in for the platform's host list, which shows changes after a lag.

use {
    crate::{bounds::server_options, reply},
    http::{
        HeaderValue, Method, Request, Response, StatusCode,
        header::{ETAG, IF_NONE_MATCH},
    },
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, VecDeque},
        future::pending,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::http::{Body, full, serve as serve_http},
    tealshore_hosts::{HOSTS_PATH, HostList, ListedHost},
    tokio::net::TcpListener,
};

struct Hosts {
    current: BTreeMap<String, ListedHost>,
    history: VecDeque<(Instant, HostList)>,
    lag: Duration,
    outage: bool,
}

impl Hosts {
    fn record_change(&mut self) {
        let list = HostList {
            hosts: self.current.values().cloned().collect(),
        };
        self.history.push_back((Instant::now(), list));
    }

    /// Returns the list as it was one lag ago.
    fn lagged_list(&mut self) -> HostList {
        let old_enough = |at: Instant| at.elapsed() >= self.lag;
        while self.history.len() > 1 && old_enough(self.history[1].0) {
            self.history.pop_front();
        }
        let front = self
            .history
            .front()
            .filter(|(at, _)| at.elapsed() >= self.lag);
        front.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

type Shared = Arc<Mutex<Hosts>>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener, lag: Duration) {
    let hosts = Hosts {
        current: BTreeMap::new(),
        history: VecDeque::new(),
        lag,
        outage: false,
    };
    let shared: Shared = Arc::new(Mutex::new(hosts));
    let handler = move |request| handle(shared.clone(), request);
    serve_http(listener, server_options(), handler, pending()).await;
}

/// Answers with the list and its ETag, or with 304 if the client has this version.
fn respond_with_etag(request: &Request<Incoming>, list: &HostList) -> Response<Body> {
    let text = serde_json::to_vec(list).unwrap_or_default();
    let tag = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(&text));
    let is_current = request
        .headers()
        .get(IF_NONE_MATCH)
        .is_some_and(|known| known.as_bytes() == tag.as_bytes());
    let mut answer = if is_current {
        reply::status(StatusCode::NOT_MODIFIED)
    } else {
        Response::new(full(text))
    };
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}

async fn handle(hosts: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, HOSTS_PATH) => {
            let mut hosts = hosts.lock();
            if hosts.outage {
                return reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            respond_with_etag(&request, &hosts.lagged_list())
        }
        (Method::PUT, "/control/outage") => match reply::read_json(request).await {
            Ok(outage) => {
                hosts.lock().outage = outage;
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        },
        (Method::PUT, "/control/hosts") => match reply::read_json::<Vec<ListedHost>>(request).await
        {
            Ok(listed) => {
                let mut hosts = hosts.lock();
                hosts
                    .current
                    .extend(listed.into_iter().map(|host| (host.id.clone(), host)));
                hosts.record_change();
                reply::status(StatusCode::NO_CONTENT)
            }
            Err(answer) => answer,
        },
        (Method::DELETE, path) => {
            let mut hosts = hosts.lock();
            hosts
                .current
                .remove(path.trim_start_matches("/control/hosts/"));
            hosts.record_change();
            reply::status(StatusCode::NO_CONTENT)
        }
        _ => reply::status(StatusCode::NOT_FOUND),
    }
}
