//! The HTTP server answers each request that it has read.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    futures::future::join_all,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Empty},
    hyper::{
        body::Incoming,
        client::conn::{http1, http2},
    },
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{
        future::{Future, pending},
        io::{self, Write},
        net::SocketAddr,
        time::Duration,
    },
    tealshore_core::http::{Body, ServerOptions, bind, full, serve},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::oneshot,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// The longest wait for something that takes the server no more than a few seconds.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The length of an answer that does not fit into the buffers of a connection, in bytes.
const LARGE_ANSWER_BYTES: usize = 8_000_000;
/// The length of a body that does not fit into the buffers of a connection, in bytes.
const LARGE_BODY_BYTES: usize = 8_000_000;
/// The pieces of a body that arrives slowly, and the pause before each.
const PIECES: [(&str, Duration); 4] = [
    ("one, ", Duration::from_millis(10)),
    ("two, ", Duration::from_millis(200)),
    ("three, ", Duration::from_millis(200)),
    ("four", Duration::from_millis(200)),
];
/// How long a server needs to take a connection.
const ACCEPTING_TIME: Duration = Duration::from_millis(100);

async fn answer_or_panic(request: Request<Incoming>) -> Response<Body> {
    assert!(request.uri().path() != "/panic", "the handler panics");
    Response::new(full("answer"))
}

/// Answers without reading the body.
async fn answer_by_path(request: Request<Incoming>) -> Response<Body> {
    let mut response = match request.uri().path() {
        "/large" => Response::new(full(vec![b'x'; LARGE_ANSWER_BYTES])),
        _ => Response::new(full("answer")),
    };
    if request.uri().path() == "/refused" {
        *response.status_mut() = StatusCode::UNAUTHORIZED;
    }
    response
}

/// A server that stops once the sender is used.
struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
}

impl Server {
    async fn start(max_connections: usize) -> Self {
        let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let (stop, stopped) = oneshot::channel();
        let options = ServerOptions {
            max_connections,
            ..ServerOptions::default()
        };
        let serving = tokio::spawn(serve(listener, options, answer_by_path, async {
            let _ = stopped.await;
        }));
        Self {
            address,
            stop,
            serving,
        }
    }

    /// Connects and sends without giving the server a chance to run on the same thread.
    fn connect_and_send(&self, bytes: &str) -> TcpStream {
        let mut stream = std::net::TcpStream::connect(self.address).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    }
}

/// Sends on a connection without giving the server a chance to run on the same thread.
fn send_at_once(stream: &TcpStream, bytes: &str) {
    let sent = stream.try_write(bytes.as_bytes()).unwrap();
    assert_eq!(sent, bytes.len());
}

/// Returns the head of a request, with these lines at its end.
fn head(path: &str, lines: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: localhost\r\n{lines}\r\n")
}

fn request(path: &str) -> String {
    head(path, "content-length: 0\r\n")
}

/// Reads to the end of the connection while a request is sent. Fails if the connection is reset.
async fn read_while<F>(
    stream: TcpStream,
    send: impl FnOnce(tokio::net::tcp::OwnedWriteHalf) -> F,
) -> io::Result<String>
where
    F: Future<Output = io::Result<tokio::net::tcp::OwnedWriteHalf>>,
{
    let (mut read, write) = stream.into_split();
    let mut answer = Vec::new();
    let (sent, received) = timeout(TIMEOUT, async {
        tokio::join!(send(write), read.read_to_end(&mut answer))
    })
    .await
    .unwrap();
    sent?;
    received?;
    Ok(String::from_utf8(answer).unwrap())
}

async fn read_to_end(mut stream: TcpStream) -> io::Result<String> {
    let mut answer = String::new();
    let read = timeout(TIMEOUT, stream.read_to_string(&mut answer)).await;
    read.unwrap()?;
    Ok(answer)
}

/// Whether an answer with this status arrived whole.
fn is_whole(answer: &io::Result<String>, status: &str) -> bool {
    answer.as_ref().is_ok_and(|answer| {
        answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.ends_with("\r\n\r\nanswer")
    })
}

/// Reads one answer on a connection that stays open.
async fn read_kept(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\nanswer") {
        let read = timeout(TIMEOUT, stream.read_buf(&mut answer)).await;
        assert!(read.unwrap().unwrap() > 0, "the connection ended");
    }
    String::from_utf8(answer).unwrap()
}

#[tokio::test]
async fn a_request_whose_handler_panics_is_answered_and_its_connection_kept() {
    let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    tokio::spawn(serve(
        listener,
        ServerOptions::default(),
        answer_or_panic,
        pending(),
    ));
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(driver);
    let mut statuses = Vec::new();
    for path in ["/panic", "/other"] {
        let request = Request::get(path)
            .body(Empty::<bytes::Bytes>::new())
            .unwrap();
        let answer = sender.send_request(request).await.unwrap();
        statuses.push(answer.status().as_u16());
        answer.into_body().collect().await.unwrap();
    }
    assert_eq!(statuses, [500, 200]);
}

#[tokio::test]
async fn a_refusal_reaches_a_caller_whose_body_comes_in_pieces() {
    let server = Server::start(100).await;
    let length: usize = PIECES.iter().map(|(piece, _)| piece.len()).sum();
    let with_length = head("/refused", &format!("content-length: {length}\r\n"));
    let chunked = head("/refused", "transfer-encoding: chunked\r\n");
    let expecting = head(
        "/refused",
        &format!("content-length: {length}\r\nexpect: 100-continue\r\n"),
    );
    for (head, is_chunked) in [(with_length, false), (chunked, true), (expecting, false)] {
        let stream = TcpStream::connect(server.address).await.unwrap();
        let answer = read_while(stream, async |mut write| {
            write.write_all(head.as_bytes()).await?;
            for (piece, pause) in PIECES {
                sleep(pause).await;
                if is_chunked {
                    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
                    write.write_all(chunk.as_bytes()).await?;
                } else {
                    write.write_all(piece.as_bytes()).await?;
                }
            }
            Ok(write)
        })
        .await;
        assert!(is_whole(&answer, "401"), "{head} {answer:?}");
    }
}

#[tokio::test]
async fn a_refusal_reaches_a_caller_that_sends_a_large_body_at_full_speed() {
    let server = Server::start(100).await;
    let head = head(
        "/refused",
        &format!("content-length: {LARGE_BODY_BYTES}\r\n"),
    );
    for _ in 0..5 {
        let stream = TcpStream::connect(server.address).await.unwrap();
        let answer = read_while(stream, async |mut write| {
            write.write_all(head.as_bytes()).await?;
            write.write_all(&vec![b'x'; LARGE_BODY_BYTES]).await?;
            Ok(write)
        })
        .await;
        assert!(is_whole(&answer, "401"), "{answer:?}");
    }
}

/// The only connection that the server takes is free again.
#[tokio::test]
async fn a_refused_caller_that_sends_for_ever_does_not_keep_its_connection() {
    let server = Server::start(1).await;
    let mut endless = TcpStream::connect(server.address).await.unwrap();
    let head = head("/refused", "content-length: 1000000\r\n");
    endless.write_all(head.as_bytes()).await.unwrap();
    let sending = tokio::spawn(async move {
        while endless.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    sleep(ACCEPTING_TIME).await;
    let mut next = server.connect_and_send(&request("/"));
    assert!(read_kept(&mut next).await.starts_with("HTTP/1.1 200"));
    timeout(TIMEOUT, sending).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_refused_caller_that_stays_connected_does_not_keep_its_connection() {
    let server = Server::start(1).await;
    let head = head("/refused", "content-length: 1000000\r\n");
    let staying = server.connect_and_send(&head);
    sleep(ACCEPTING_TIME).await;
    let mut next = server.connect_and_send(&request("/"));
    assert!(read_kept(&mut next).await.starts_with("HTTP/1.1 200"));
    drop(staying);
}

/// Bytes that are unread as a socket closes reset the connection, with what was not yet delivered.
#[tokio::test]
async fn an_answer_is_whole_although_more_requests_are_unread_as_its_connection_closes() {
    let server = Server::start(100).await;
    for _ in 0..5 {
        let stream = TcpStream::connect(server.address).await.unwrap();
        let last = head("/large", "connection: close\r\ncontent-length: 0\r\n");
        let answer = read_while(stream, async |mut write| {
            write.write_all(last.as_bytes()).await?;
            for _ in 0..2_000 {
                write.write_all(request("/").as_bytes()).await?;
            }
            Ok(write)
        })
        .await
        .unwrap();
        let body = answer.split_once("\r\n\r\n").unwrap().1;
        assert_eq!(body.len(), LARGE_ANSWER_BYTES);
    }
}

/// Callers confirm what they receive, so their frames cross the close of the connection.
#[tokio::test]
async fn an_answer_on_an_http2_connection_is_whole_although_the_server_stops() {
    let server = Server::start(100).await;
    let mut answers = Vec::new();
    for _ in 0..10 {
        let stream = TokioIo::new(TcpStream::connect(server.address).await.unwrap());
        let handshake = http2::Builder::new(TokioExecutor::new()).handshake(stream);
        let (mut sender, driver) = handshake.await.unwrap();
        tokio::spawn(driver);
        let request = Request::get("http://localhost/large");
        let request = request.body(Empty::<bytes::Bytes>::new()).unwrap();
        answers.push(sender.send_request(request).await.unwrap());
    }
    server.stop.send(()).unwrap();
    let read = answers
        .into_iter()
        .map(|answer| answer.into_body().collect());
    for body in timeout(TIMEOUT, join_all(read)).await.unwrap() {
        assert_eq!(body.unwrap().to_bytes().len(), LARGE_ANSWER_BYTES);
    }
    timeout(TIMEOUT, server.serving).await.unwrap().unwrap();
}

#[tokio::test]
async fn requests_on_connections_that_wait_to_be_accepted_as_the_server_stops_are_answered() {
    let server = Server::start(100).await;
    sleep(ACCEPTING_TIME).await;
    let waiting: Vec<_> = (0..20)
        .map(|_| server.connect_and_send(&request("/")))
        .collect();
    server.stop.send(()).unwrap();
    let answers = join_all(waiting.into_iter().map(read_to_end)).await;
    let whole = answers.iter().filter(|answer| is_whole(answer, "200"));
    assert_eq!(whole.count(), 20, "{answers:?}");
    timeout(TIMEOUT, server.serving).await.unwrap().unwrap();
}

#[tokio::test]
async fn requests_beyond_the_limit_of_connections_are_answered_as_the_server_stops() {
    let server = Server::start(1).await;
    let mut kept = server.connect_and_send(&request("/"));
    read_kept(&mut kept).await;
    let waiting: Vec<_> = (0..5)
        .map(|_| server.connect_and_send(&request("/")))
        .collect();
    sleep(ACCEPTING_TIME).await;
    server.stop.send(()).unwrap();
    let answers = join_all(waiting.into_iter().map(read_to_end)).await;
    let whole = answers.iter().filter(|answer| is_whole(answer, "200"));
    assert_eq!(whole.count(), 5, "{answers:?}");
    timeout(TIMEOUT, server.serving).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_request_that_arrived_before_the_server_stops_is_answered() {
    for is_first in [true, false] {
        let server = Server::start(100).await;
        let mut callers = Vec::new();
        for _ in 0..10 {
            let mut caller = TcpStream::connect(server.address).await.unwrap();
            if !is_first {
                caller.write_all(request("/").as_bytes()).await.unwrap();
                read_kept(&mut caller).await;
            }
            callers.push(caller);
        }
        sleep(ACCEPTING_TIME).await;
        for caller in &callers {
            send_at_once(caller, &request("/"));
        }
        server.stop.send(()).unwrap();
        let answers = join_all(callers.into_iter().map(read_to_end)).await;
        let whole = answers.iter().filter(|answer| is_whole(answer, "200"));
        assert_eq!(whole.count(), 10, "first: {is_first}, {answers:?}");
        timeout(TIMEOUT, server.serving).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn a_caller_that_keeps_an_idle_connection_does_not_hold_up_a_stop() {
    let server = Server::start(100).await;
    let mut idle = server.connect_and_send(&request("/"));
    read_kept(&mut idle).await;
    server.stop.send(()).unwrap();
    timeout(TIMEOUT, server.serving).await.unwrap().unwrap();
    assert_eq!(read_to_end(idle).await.unwrap(), "");
}
