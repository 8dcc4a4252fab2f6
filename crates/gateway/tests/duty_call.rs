//! Calls that only the holder of the duties may make: nothing leaves after its tenure.

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

/// Longer than any call of these tests.
const BOUND: Duration = Duration::from_secs(5);
/// The tenure that is left when a call begins.
const LEFT: Duration = Duration::from_millis(50);

/// A receiver that tells what came on each connection, and answers it where something came.
fn receiver() -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = channel();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 1024];
            // A reset is as good as an end.
            let length = stream.read(&mut buffer).unwrap_or_default();
            if length > 0 {
                // The caller may be gone.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            }
            if tx.send(length).is_err() {
                return;
            }
        }
    });
    (address, rx)
}

/// What came on the next connection. The runtime goes on meanwhile: it closes connections.
async fn next(came: Receiver<usize>) -> usize {
    let next = tokio::task::spawn_blocking(move || came.recv_timeout(BOUND));
    let next = next.await.expect("a wait");
    next.expect("a connection that ends")
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
    // Nobody even connects.
    assert!(came.try_recv().is_err());
}

/// A process that stands still while its call connects, until its tenure is over.
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
