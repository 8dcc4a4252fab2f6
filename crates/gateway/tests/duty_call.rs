//! Calls that only the holder of the duties may make: nothing is sent after its tenure.

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::mpsc::{Receiver, channel},
        thread,
        time::{Duration, Instant},
    },
    tealshore_duties::lease::Tenure,
    tealshore_gateway::duties::api::{CallLoss, call},
};

/// Longer than any call in these tests.
const BOUND: Duration = Duration::from_secs(5);
/// Remaining tenure at the start of a call.
const LEFT: Duration = Duration::from_millis(50);

/// A server that reports the number of bytes received on each connection and answers if there were
/// any.
fn receiver() -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = channel();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 1024];
            // A reset counts as the end of the connection.
            let length = stream.read(&mut buffer).unwrap_or_default();
            if length > 0 {
                // The caller may have closed the connection.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            }
            if tx.send(length).is_err() {
                return;
            }
        }
    });
    (address, rx)
}

/// The number of bytes received on the next connection. The wait is on a blocking thread, since the
/// runtime has to close connections in the meantime.
async fn next(came: Receiver<usize>) -> usize {
    let next = tokio::task::spawn_blocking(move || came.recv_timeout(BOUND));
    let next = next.await.expect("the wait completes");
    next.expect("a closed connection")
}

fn request() -> Request<Bytes> {
    Request::post("/usage")
        .body(Bytes::from_static(b"{}"))
        .expect("a request")
}

fn tenure(until: Instant) -> Tenure {
    Tenure { fence: 7, until }
}

#[tokio::test]
async fn a_call_within_the_tenure_is_answered() {
    tealshore_core::protection::start();
    let (address, came) = receiver();
    let until = Instant::now() + BOUND;
    let answer = call(address, request(), tenure(until), BOUND).await;
    assert_eq!(answer, Ok((StatusCode::OK, Bytes::new())));
    assert!(next(came).await > 0);
}

#[tokio::test]
async fn no_call_begins_after_the_tenure() {
    tealshore_core::protection::start();
    let (address, came) = receiver();
    let answer = call(address, request(), tenure(Instant::now()), BOUND).await;
    assert_eq!(answer, Err(CallLoss::TenureOver));
    // Not even a connection was made.
    assert!(came.try_recv().is_err());
}

/// Guards against sending after the tenure if the process is frozen while its call connects, until
/// the tenure is over.
#[tokio::test]
async fn a_process_that_froze_while_it_connected_sends_nothing() {
    tealshore_core::protection::start();
    let (address, came) = receiver();
    let until = Instant::now() + LEFT;
    let frozen = async {
        thread::sleep(LEFT * 2);
    };
    let (answer, ()) = tokio::join!(call(address, request(), tenure(until), BOUND), frozen);
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(next(came).await, 0);
}
