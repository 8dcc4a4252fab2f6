//! Valid and invalid requests to a real entry host. A generation runs during the invalid requests and
//! must not be affected.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    http::Method,
    std::net::SocketAddr,
    tealshore_callers::{
        client::{CallEnd, CallRecord},
        wire::CancelledResponse,
    },
    tealshore_core::answer::{Problem, Ran},
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, Setting, start_call},
        work::{LATENCY_KEY, Work},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
        task::JoinHandle,
    },
};

async fn start() -> Fleet {
    let settings = vec![
        Setting::new("callers", "max_body_bytes", "65536"),
        Setting::new("callers", "read_timeout_ms", "500"),
    ];
    let options = FleetOptions {
        routers: 2,
        engines: 2,
        settings,
        ..FleetOptions::default()
    };
    Fleet::start(options).await.unwrap()
}

fn call(entries: Vec<SocketAddr>, work: &Work) -> (JoinHandle<CallRecord>, watch::Receiver<u64>) {
    start_call(Fleet::caller(work.key(), true), entries, work)
}

/// Sends raw bytes and reads until the connection closes.
async fn send_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // If the connection is reset, the answer is what arrived before.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Builds a request with a valid head; `body` is sent unchanged.
fn post(headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n",
        body.len()
    );
    head.push_str("connection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "authorization") {
        head.push_str(&format!("authorization: Bearer {LATENCY_KEY}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

fn problem_in(answer: &str) -> Problem {
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    serde_json::from_str(body).unwrap_or_else(|error| panic!("{error}: {answer}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_gets_a_specific_error_and_does_not_affect_other_streams() {
    const GOOD: &str = r#"{"model":"assess","prompt":"a b","max_tokens":5}"#;
    let fleet = start().await;
    let entry = fleet.entries()[0];
    let background_work = Work::new("beside", "assess", "one two three", 200);
    let (call_task, mut progress) = call(vec![entry], &background_work);
    progress.wait_for(|tokens| *tokens > 0).await.unwrap();
    let large = format!(
        r#"{{"model":"assess","prompt":"{}","max_tokens":5}}"#,
        "x ".repeat(1_500_000)
    );
    let cases: Vec<(Vec<u8>, u16, &str, &str)> = vec![
        (post(&[], large.as_bytes()), 413, "body-too-large", "65536"),
        (post(&[], b"{"), 400, "bad-request", "body"),
        (
            post(
                &[],
                br#"{"model":"assess","prompt":"a","max_tokens":"five"}"#,
            ),
            400,
            "bad-request",
            "five",
        ),
        (
            post(&[], br#"{"model":"assess","prompt":"a","max_tokens":0}"#),
            400,
            "bad-request",
            "body",
        ),
        (
            post(
                &[],
                br#"{"model":"assess","prompt":"a","max_tokens":5,"wat":1}"#,
            ),
            400,
            "bad-request",
            "wat",
        ),
        (
            post(
                &[],
                br#"{"model":"assess","prompt":"a","max_tokens":5,"stream":false}"#,
            ),
            400,
            "bad-request",
            "stream",
        ),
        (
            post(
                &[],
                br#"{"model":"assess","prompt":"a","max_tokens":99999999}"#,
            ),
            400,
            "bad-request",
            "100000",
        ),
        (
            post(
                &[],
                b"{\"model\":\"assess\",\"prompt\":\"\xff\xfe\",\"max_tokens\":5}",
            ),
            400,
            "bad-request",
            "body",
        ),
        (
            post(&[], br#"{"model":"other","prompt":"a","max_tokens":5}"#),
            404,
            "unknown-model",
            "assess",
        ),
        (
            post(&[("authorization", "Bearer wrong")], GOOD.as_bytes()),
            401,
            "unauthenticated",
            "Bearer",
        ),
        (
            post(&[("idempotency-key", "a/b")], GOOD.as_bytes()),
            400,
            "bad-request",
            "idempotency-key",
        ),
        (
            post(&[("tealshore-repeat", "maybe")], GOOD.as_bytes()),
            400,
            "bad-request",
            "allowed, forbidden",
        ),
        (
            post(&[("last-event-id", "1.2.3.k1.x")], GOOD.as_bytes()),
            403,
            "foreign-resume-token",
            "last-event-id",
        ),
        (
            post(&[("last-event-id", "\u{e9}")], GOOD.as_bytes()),
            400,
            "bad-request",
            "last-event-id",
        ),
        (
            b"GET /v2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
            404,
            "unknown-path",
            "/v2",
        ),
        (
            b"PUT /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
            405,
            "method-not-allowed",
            "PUT",
        ),
    ];
    for (bytes, status, kind, named) in cases {
        let answer = send_raw(entry, &bytes).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{kind}: {answer}"
        );
        let problem = problem_in(&answer);
        assert_eq!((problem.kind_name(), problem.ran), (kind, Ran::No));
        assert!(
            problem.detail.contains(named),
            "{named}: {}",
            problem.detail
        );
    }
    assert_whole(&background_work, &call_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_or_slow_input_does_not_affect_other_streams() {
    let fleet = start().await;
    let entry = fleet.entries()[0];
    let background_work = Work::new("beside", "assess", "one two three", 150);
    let (call_task, mut progress) = call(vec![entry], &background_work);
    progress.wait_for(|tokens| *tokens > 0).await.unwrap();
    let whole = post(&[], br#"{"model":"assess","prompt":"a b","max_tokens":5}"#);
    for length in [3, 40, whole.len() - 1] {
        let mut cut = TcpStream::connect(entry).await.unwrap();
        cut.write_all(&whole[..length]).await.unwrap();
    }
    send_raw(entry, b"\x16\x03\x01 this is no HTTP\r\n\r\n").await;
    let answer = send_raw(entry, &post(&[("x-large", &"y".repeat(64 * 1024))], b"{}")).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    let mut slow = TcpStream::connect(entry).await.unwrap();
    slow.write_all(&whole[..whole.len() - 1]).await.unwrap();
    let mut answer = String::new();
    slow.read_to_string(&mut answer).await.unwrap();
    assert_eq!(problem_in(&answer).kind_name(), "request-too-slow");
    assert_whole(&background_work, &call_task.await.unwrap());
}

fn assert_whole(work: &Work, record: &CallRecord) {
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    assert!(check_answer(work, &record.arrivals, work.tokens(), 1).is_whole());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_can_be_cancelled_at_any_entry_host() {
    let fleet = start().await;
    let work = Work::new("cancel", "assess", "one two three", 2_000);
    let (call_task, mut progress) = call(vec![fleet.entries()[0]], &work);
    progress.wait_for(|tokens| *tokens >= 5).await.unwrap();
    let caller = Fleet::caller_without_retries(LATENCY_KEY);
    let cancel = async |id: &str| {
        let path = format!("/v1/completions/{id}");
        let (status, body) = caller
            .fetch(fleet.entries()[1], Method::DELETE, &path, "")
            .await
            .unwrap();
        (status.as_u16(), body)
    };
    let (status, body) = cancel("cancel").await;
    assert_eq!(status, 200);
    let answer: CancelledResponse = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.ran, Ran::Yes);
    let CallEnd::Problem(problem) = call_task.await.unwrap().end else {
        panic!("the call was not cancelled")
    };
    assert_eq!(problem.kind_name(), "cancelled");
    assert_eq!(
        fleet.engines_of(&work).await.len(),
        1,
        "a cancelled generation is not resumed"
    );
    assert_eq!(cancel("never-sent").await.0, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_return_frees_its_engine() {
    let fleet = Fleet::start(FleetOptions {
        routers: 1,
        engines: 1,
        engine_args: vec!["--load-lag-ms".to_owned(), "0".to_owned()],
        settings: vec![Setting::new("callers", "return_grace_ms", "200")],
        ..FleetOptions::default()
    })
    .await
    .unwrap();
    let work = Work::new("away", "assess", "one two three", 90_000);
    let (call_task, mut progress) = call(fleet.entries(), &work);
    progress.wait_for(|tokens| *tokens >= 5).await.unwrap();
    call_task.abort();
    let running = async || -> u64 {
        let report: serde_json::Value = fleet
            .read(fleet.engines[0].address, "/v1/load")
            .await
            .unwrap();
        report["running"].as_u64().unwrap()
    };
    while running().await > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn http_2_callers_are_served() {
    let fleet = start().await;
    let work = Work::new("h2", "assess", "one two three", 20);
    let record = Fleet::caller_http2(LATENCY_KEY)
        .complete(&fleet.entries(), &work.call, |_| {})
        .await;
    assert_whole(&work, &record);
}
