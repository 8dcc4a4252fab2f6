//! Tests of calls whose answers may be large.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tealshore_gateway::connection::{
        CallBounds, CallFailure, TransferBounds, short_call, transfer,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

const BOUNDS: TransferBounds = TransferBounds {
    idle_timeout: Duration::from_secs(2),
    timeout: Duration::from_secs(60),
    answer_bytes: 1_000,
};
const PIECE_COUNT: usize = 8;
const PIECE: &[u8] = b"0123456789";

/// Starts a peer that announces an answer of `announced_bytes` and sends `pieces_sent` pieces of it, each after a pause.
async fn slow_peer(pause: Duration, pieces_sent: usize, announced_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {announced_bytes}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..pieces_sent {
            sleep(pause).await;
            if stream.write_all(PIECE).await.is_err() {
                return;
            }
        }
        // Keeps the connection open.
        read_head(&mut stream).await;
    });
    address
}

async fn read_head(stream: &mut TcpStream) {
    let mut bytes = [0; 1_024];
    let _ = stream.read(&mut bytes).await;
}

async fn get(address: SocketAddr, bounds: TransferBounds) -> Option<(StatusCode, Bytes)> {
    let request = Request::get("/set").header("host", "peer");
    transfer(address, request.body(Bytes::new()).unwrap(), bounds).await
}

/// Guards against a time limit that ends a call whose answer is still arriving. A set of 10,000 upstreams takes about
/// 0.4 s on a link of 20 Mbit/s, more than the whole call was once allowed: hosts that started gave up calls that were
/// arriving.
#[tokio::test]
async fn an_answer_that_arrives_slowly_is_not_given_up() {
    let bounds = TransferBounds {
        idle_timeout: Duration::from_secs(3),
        ..BOUNDS
    };
    let pause = Duration::from_millis(500);
    let address = slow_peer(pause, PIECE_COUNT, PIECE_COUNT * PIECE.len()).await;
    let (status, body) = get(address, bounds).await.unwrap();
    assert_eq!(
        (status, body.len()),
        (StatusCode::OK, PIECE_COUNT * PIECE.len())
    );
}

#[tokio::test]
async fn an_answer_that_falls_silent_is_given_up() {
    let bounds = TransferBounds {
        idle_timeout: Duration::from_millis(100),
        ..BOUNDS
    };
    let address = slow_peer(Duration::ZERO, 1, PIECE_COUNT * PIECE.len()).await;
    assert_eq!(get(address, bounds).await, None);
}

#[tokio::test]
async fn an_answer_past_its_bound_of_bytes_is_given_up() {
    let bounds = TransferBounds {
        answer_bytes: PIECE_COUNT * PIECE.len() - 1,
        ..BOUNDS
    };
    let address = slow_peer(Duration::ZERO, PIECE_COUNT, PIECE_COUNT * PIECE.len()).await;
    assert_eq!(get(address, bounds).await, None);
}

#[tokio::test]
async fn an_answer_that_takes_longer_than_the_whole_call_may_is_given_up() {
    let bounds = TransferBounds {
        timeout: Duration::from_millis(200),
        ..BOUNDS
    };
    let pause = Duration::from_millis(100);
    let address = slow_peer(pause, PIECE_COUNT, PIECE_COUNT * PIECE.len()).await;
    assert_eq!(get(address, bounds).await, None);
}

/// Starts a peer that sends these bytes over and over after the beginning of an answer, at full speed or, with a pause,
/// piece by piece. The returned task ends when the other side has closed the connection.
async fn endless_peer(
    beginning: &'static str,
    repeated: &'static str,
    pause: Duration,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ended = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let _ = stream.write_all(beginning.as_bytes()).await;
        let piece = if pause.is_zero() {
            repeated.repeat(1_000)
        } else {
            repeated.to_owned()
        };
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            sleep(pause).await;
        }
    });
    (address, ended)
}

/// Answers without end: what is sent once, and what is repeated.
const ENDLESS: [(&str, &str); 6] = [
    ("HTTP/1.1 200 OK\r\n", "junk: junk\r\n"),
    ("HTTP/1.1 200 OK\r\njunk: ", "junk"),
    (
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", "junk"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\njunk\r\n",
    ),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
];
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
const MAX_CLOSE_TIME: Duration = Duration::from_millis(500);

#[tokio::test]
async fn a_peer_that_answers_a_transfer_without_end_is_given_up() {
    let bounds = TransferBounds {
        timeout: Duration::from_secs(1),
        ..BOUNDS
    };
    for (beginning, repeated) in ENDLESS {
        for pause in [Duration::ZERO, TRICKLE_PAUSE] {
            let (address, ended) = endless_peer(beginning, repeated, pause).await;
            assert!(get(address, bounds).await.is_none(), "{beginning:?}");
            timeout(MAX_CLOSE_TIME, ended).await.unwrap().unwrap();
        }
    }
}

#[tokio::test]
async fn a_short_call_tells_an_answer_without_end_from_none() {
    let bounds = CallBounds {
        timeout: Duration::from_millis(500),
        answer_bytes: 1_000,
    };
    for (beginning, repeated) in ENDLESS {
        for pause in [Duration::ZERO, TRICKLE_PAUSE] {
            let (address, ended) = endless_peer(beginning, repeated, pause).await;
            let request = Request::get("/x").header("host", "peer");
            let request = request.body(Bytes::new()).unwrap();
            let answer = short_call(TcpStream::connect(address), request, bounds).await;
            assert_eq!(
                answer,
                Err(CallFailure::Invalid),
                "{beginning:?} {repeated:?}"
            );
            timeout(MAX_CLOSE_TIME, ended).await.unwrap().unwrap();
        }
    }
}

#[tokio::test]
async fn an_answer_of_some_megabytes_arrives_whole() {
    const BYTES: usize = 8 * 1024 * 1024;
    let body = "x".repeat(BYTES);
    for framing in ["content-length: 8388608", "connection: close"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{body}");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(sent.as_bytes()).await.unwrap();
        });
        let bounds = TransferBounds {
            answer_bytes: BYTES,
            ..BOUNDS
        };
        let (status, received) = get(address, bounds).await.unwrap();
        assert_eq!(status, StatusCode::OK);
        assert!(received == body, "{framing}: {} bytes", received.len());
    }
}
