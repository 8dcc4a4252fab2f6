//! An HTTP server with resource limits, for HTTP/1.1 and HTTP/2 with prior knowledge.

use {
    super::{
        accepted::AcceptedStream,
        body::{Body, json_body},
        open_requests::OpenRequests,
    },
    crate::answer::{ErrorKind, Failure, Problem},
    futures::FutureExt,
    http::{Request, Response},
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto::Builder,
    },
    std::{
        convert::Infallible, future::Future, io, net::SocketAddr, panic::AssertUnwindSafe,
        sync::Arc, time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time::sleep,
    },
};

/// How long a stopping server still reads requests: those that its sockets had received are read by then.
const LAST_READ_TIME: Duration = Duration::from_millis(100);
/// How many connections are taken from the kernel's queue as a server stops, whatever the limit: as many as it holds.
const MAX_QUEUED_CONNECTIONS: usize = 1_024;

/// The resource limits of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The maximum number of open connections; further ones wait in the kernel's accept queue.
    pub max_connections: usize,
    /// The timeout for receiving the head of a request.
    pub header_read_timeout: Duration,
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum number of concurrent streams on one HTTP/2 connection.
    pub max_concurrent_streams: u32,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            header_read_timeout: Duration::from_secs(10),
            max_header_bytes: 16 * 1024,
            max_concurrent_streams: 256,
        }
    }
}

/// Opens a listening socket and returns it with its address, which has the port that the system
/// chose if 0 was requested.
///
/// # Errors
/// The address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves connections until `stop` completes, then waits for the requests in flight to finish, and for their callers to
/// have received the answers.
pub async fn serve<H, F, S>(listener: TcpListener, options: ServerOptions, handler: H, stop: S)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
    S: Future<Output = ()>,
{
    let builder = Arc::new(connection_builder(&options));
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let stopping = watch::Sender::new(false);
    let start = |stream: TcpStream, permit: Option<OwnedSemaphorePermit>| {
        let connection = run_connection(
            builder.clone(),
            stream,
            handler.clone(),
            stopping.subscribe(),
        );
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    };
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        if let Some((stream, permit)) = accepted {
            start(stream, Some(permit));
        }
    }
    // Whole requests may wait there, and closing the listener would reset them.
    for stream in accept_queued(listener) {
        start(stream, None);
    }
    stopping.send_replace(true);
    stopping.closed().await;
}

/// Serves one connection until it ends.
async fn run_connection<H, F>(
    builder: Arc<Builder<TokioExecutor>>,
    stream: TcpStream,
    handler: H,
    mut stopping: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Tokens are small writes; with Nagle's algorithm each would wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let open_requests = OpenRequests::default();
    let stream = TokioIo::new(AcceptedStream::new(stream, open_requests.clone()));
    let service = service_fn(move |request| {
        let open = open_requests.begin();
        let response = AssertUnwindSafe(handler(request)).catch_unwind();
        async move {
            let response = response.await.unwrap_or_else(|_| internal_error());
            Ok::<_, Infallible>(response.map(|body| open.until_end_of(body)))
        }
    });
    let connection = builder.serve_connection_with_upgrades(stream, service);
    let mut connection = std::pin::pin!(connection);
    let last_reads = async {
        // An error means that the server is gone.
        let _ = stopping.wait_for(|stopping| *stopping).await;
        sleep(LAST_READ_TIME).await;
    };
    // A connection error needs no handling here: the requests on the connection detect it themselves.
    tokio::select! {
        biased;
        _ = &mut connection => return,
        () = last_reads => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// The answer to a request whose handler panicked. The connection would otherwise close without one.
fn internal_error() -> Response<Body> {
    let failure = Failure::new(ErrorKind::Internal, "the handler of the request panicked");
    log::error!("server: a request's handler panicked");
    let mut response = Response::new(json_body(&Problem::of(&failure)));
    *response.status_mut() = failure.status();
    response
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(20);
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(_) => {
            sleep(PAUSE_AFTER_ERROR).await;
            None
        }
    }
}

/// Closes a listener, and returns the connections that waited to be accepted.
fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut accepted = Vec::new();
    while accepted.len() < MAX_QUEUED_CONNECTIONS {
        match listener.accept() {
            Ok((stream, _)) => {
                let registered = stream
                    .set_nonblocking(true)
                    .and_then(|()| TcpStream::from_std(stream));
                accepted.extend(registered);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) => break,
        }
    }
    accepted
}

fn connection_builder(options: &ServerOptions) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_read_timeout)
        .max_buf_size(options.max_header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(options.max_concurrent_streams)
        .max_header_list_size(u32::try_from(options.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
