//! Requests that can't be served soon are refused at once, with the time to retry after.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    futures::future::join_all,
    http::Method,
    tealshore_callers::client::CallEnd,
    tealshore_core::answer::{Problem, Ran},
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, Setting, start_call},
        work::Work,
    },
};

const SLOTS: usize = 4;
const CALLS: usize = 16;

async fn start() -> Fleet {
    let engine_args = ["--slots", "4", "--load-lag-ms", "0"]
        .map(str::to_owned)
        .to_vec();
    let settings = vec![Setting::new("callers", "max_in_flight", "64")];
    Fleet::start(FleetOptions {
        routers: 1,
        engines: 1,
        engine_args,
        settings,
        ..FleetOptions::default()
    })
    .await
    .unwrap()
}

/// Creates calls of `tokens` tokens, 20 ms each, so that the calls of a burst run much longer than the
/// burst takes to arrive.
fn work_items(prefix: &str, tokens: u64) -> Vec<Work> {
    (0..CALLS)
        .map(|index| {
            Work::new(
                &format!("{prefix}-{index}"),
                "draft",
                "one two three",
                tokens,
            )
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_engine_capacity_are_refused_as_not_run() {
    let fleet = start().await;
    let work_items = work_items("burst", 200);
    let records = join_all(work_items.iter().map(async |work| {
        Fleet::caller_without_retries(work.key())
            .complete(&fleet.entries(), &work.call, |_| {})
            .await
    }))
    .await;
    let mut refused = 0;
    for (work, record) in work_items.iter().zip(&records) {
        match &record.end {
            CallEnd::Complete => {
                assert!(check_answer(work, &record.arrivals, work.tokens(), 1).is_whole())
            }
            CallEnd::Problem(problem) => {
                assert_eq!((problem.kind_name(), problem.ran), ("no-engine", Ran::No));
                assert!(problem.retry_after_ms.is_some());
                assert_eq!(fleet.runs_of(work).await, 0);
                refused += 1;
            }
            CallEnd::GaveUp(cause) => panic!("{cause}"),
        }
    }
    assert_eq!(
        refused,
        CALLS - SLOTS - 1,
        "only the slots and one place in the queue are used"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_retry_when_told_are_served_and_run_once() {
    let fleet = start().await;
    let work_items = work_items("back", 60);
    let records = join_all(work_items.iter().map(async |work| {
        Fleet::caller(work.key(), true)
            .complete(&fleet.entries(), &work.call, |_| {})
            .await
    }))
    .await;
    for (work, record) in work_items.iter().zip(&records) {
        assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
        assert_eq!(fleet.runs_of(work).await, 1);
    }
}

/// A host at its in-flight limit looks up no earlier runs, so it can't report a request with an id of its
/// caller as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_host_reports_not_run_only_for_requests_without_a_caller_id() {
    let fleet = Fleet::start(FleetOptions {
        routers: 1,
        engines: 1,
        settings: vec![Setting::new("callers", "max_in_flight", "1")],
        ..FleetOptions::default()
    })
    .await
    .unwrap();
    let entry = fleet.entries()[0];
    let long = Work::new("long", "draft", "one two three", 2_000);
    let (call_task, mut progress) = start_call(
        Fleet::caller_without_retries(long.key()),
        vec![entry],
        &long,
    );
    progress.wait_for(|tokens| *tokens > 0).await.unwrap();
    let named = Work::new("named", "draft", "one two three", 5);
    let caller = Fleet::caller_without_retries(named.key());
    let record = caller.complete(&[entry], &named.call, |_| {}).await;
    let CallEnd::Problem(refused) = record.end else {
        panic!("{:?}", record.end)
    };
    assert_eq!(
        (refused.kind_name(), refused.ran, refused.status),
        ("host-limit", Ran::Unknown, 504)
    );
    let body = r#"{"model": "draft", "prompt": "a caption", "max_tokens": 5}"#;
    let (status, answer) = caller
        .fetch(entry, Method::POST, "/v1/completions", body)
        .await
        .unwrap();
    let unnamed: Problem = serde_json::from_slice(&answer).unwrap();
    assert_eq!(
        (unnamed.kind_name(), unnamed.ran, status.as_u16()),
        ("host-limit", Ran::No, 503)
    );
    call_task.abort();
}
