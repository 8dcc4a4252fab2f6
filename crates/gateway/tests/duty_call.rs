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
    tealshore_core::clock,
    tealshore_duties::lease::Tenure,
    tealshore_gateway::duties::api::{DutyCallError, call},
};

/// Longer than any call in these tests.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Remaining tenure at the start of a call.
const REMAINING_TENURE: Duration = Duration::from_millis(50);

/// A server that reports the number of bytes received on each connection and answers if there were
/// any.
fn start_server() -> (SocketAddr, Receiver<usize>) {
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
async fn next_length(lengths: Receiver<usize>) -> usize {
    let received = tokio::task::spawn_blocking(move || lengths.recv_timeout(TIME_LIMIT));
    let received = received.await.expect("the wait completes");
    received.expect("a closed connection")
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
    let (address, lengths) = start_server();
    let until = clock::now() + TIME_LIMIT;
    let answer = call(address, request(), tenure(until), TIME_LIMIT).await;
    assert_eq!(answer, Ok((StatusCode::OK, Bytes::new())));
    assert!(next_length(lengths).await > 0);
}

#[tokio::test]
async fn no_call_begins_after_the_tenure() {
    tealshore_core::protection::start();
    let (address, lengths) = start_server();
    let answer = call(address, request(), tenure(clock::now()), TIME_LIMIT).await;
    assert_eq!(answer, Err(DutyCallError::TenureOver));
    // Not even a connection was made.
    assert!(lengths.try_recv().is_err());
}

/// Guards against sending after the tenure if the process is frozen while its call connects, until
/// the tenure is over.
#[tokio::test]
async fn a_process_that_froze_while_it_connected_sends_nothing() {
    tealshore_core::protection::start();
    let (address, lengths) = start_server();
    let until = clock::now() + REMAINING_TENURE;
    let frozen = async {
        thread::sleep(REMAINING_TENURE * 2);
    };
    let (answer, ()) = tokio::join!(call(address, request(), tenure(until), TIME_LIMIT), frozen);
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(next_length(lengths).await, 0);
}
