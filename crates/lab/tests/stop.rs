//! A planned stop does not interrupt requests in flight.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    std::time::Duration,
    tealshore_callers::client::CallEnd,
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, Setting, start_call},
        work::{LATENCY_KEY, Work},
    },
};

/// Stops the first entry host while it relays an answer. Returns the number of connections that the
/// caller needed and how often the request ran.
async fn stop_while_running(drain_ms: &str, tokens: u64) -> (u32, u32) {
    let settings = vec![Setting::new("stop", "drain_timeout_ms", drain_ms)];
    let mut fleet = Fleet::start(FleetOptions {
        settings,
        ..FleetOptions::default()
    })
    .await
    .unwrap();
    let work = Work::new("stop", "assess", "one two three", tokens);
    let caller = Fleet::caller(LATENCY_KEY, true);
    let (call_task, mut progress) = start_call(caller, fleet.entries(), &work);
    progress.wait_for(|tokens| *tokens >= 10).await.unwrap();
    fleet.routers[0].process.terminate().unwrap();
    let record = call_task.await.unwrap();
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    let check = check_answer(&work, &record.arrivals, tokens, 1);
    assert!(check.is_whole(), "{check:?}");
    assert_eq!(fleet.routers[0].process.wait().await.unwrap(), Some(0));
    (record.connections, fleet.runs_of(&work).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_within_the_drain_is_not_cut() {
    assert_eq!(stop_while_running("60000", 150).await, (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_outlasts_the_drain_resumes_elsewhere_without_rerunning() {
    assert_eq!(stop_while_running("100", 300).await, (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_host_is_not_advertised_but_still_serves_callers() {
    let settings = vec![Setting::new("callers", "keep_addresses_ms", "5000")];
    let fleet = Fleet::start(FleetOptions {
        settings,
        ..FleetOptions::default()
    })
    .await
    .unwrap();
    let caller = Fleet::caller(LATENCY_KEY, true);
    let stopping = fleet.routers[0].callers;
    fleet.routers[0].process.terminate().unwrap();
    for other in &fleet.entries()[1..] {
        while caller
            .addresses(*other)
            .await
            .unwrap()
            .addresses
            .iter()
            .any(|entry| entry.address == stopping)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let work = Work::new("late", "assess", "one two three", 10);
    let record = caller.complete(&[stopping], &work.call, |_| {}).await;
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    assert_eq!(record.connections, 1);
}
