//! The HTTP server answers each request that it has read.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    http::{Request, Response},
    http_body_util::{BodyExt, Empty},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::future::pending,
    tealshore_core::http::{Body, ServerOptions, bind, full, serve},
    tokio::net::TcpStream,
};

async fn answer_or_panic(request: Request<Incoming>) -> Response<Body> {
    assert!(request.uri().path() != "/panic", "the handler panics");
    Response::new(full("answer"))
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
