//! Entry hosts that are cut off from the table, from their peers, or from both.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    std::time::Duration,
    tealshore_callers::client::{CallEnd, CallRecord},
    tealshore_core::answer::Ran,
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, Setting},
        link::Cut,
        work::{Work, declarations},
    },
    tealshore_router::HostStatus,
};

async fn start() -> Fleet {
    let settings = vec![
        Setting::new("table", "exchange_timeout_ms", "200"),
        Setting::new("table", "operation_timeout_ms", "600"),
    ];
    Fleet::start(FleetOptions {
        engines: 2,
        settings,
        ..FleetOptions::default()
    })
    .await
    .unwrap()
}

async fn call(fleet: &Fleet, entry: usize, work: &Work) -> CallRecord {
    Fleet::caller_without_retries(work.key())
        .complete(&[fleet.entries()[entry]], &work.call, |_| {})
        .await
}

fn assert_whole(work: &Work, record: &CallRecord) {
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    assert!(check_answer(work, &record.arrivals, work.tokens(), 1).is_whole());
}

async fn version(fleet: &Fleet, entry: usize) -> u64 {
    let status: HostStatus = fleet
        .read(fleet.routers[entry].operators, "/status")
        .await
        .unwrap();
    status.config_version
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_the_table_gets_edits_from_peers_and_claims_nothing() {
    let fleet = start().await;
    fleet.routers[0].table_link.set(Cut::BOTH);
    fleet.declare(1, &declarations()).await.unwrap();
    fleet.wait_until_version(2).await.unwrap();
    let draft = Work::new("cut", "draft", "one two three", 20);
    let CallEnd::Problem(problem) = call(&fleet, 0, &draft).await.end else {
        panic!("the call was not refused")
    };
    assert_eq!(
        (problem.kind_name(), problem.ran, problem.status),
        ("table-unavailable", Ran::Unknown, 504)
    );
    assert_eq!(fleet.runs_of(&draft).await, 0);
    let work = Work::new("free", "assess", "one two three", 20);
    assert_whole(&work, &call(&fleet, 0, &work).await);
    // The claim of the cut-off host arrives once the link is healed; it must not block other callers.
    fleet.routers[0].table_link.set(Cut::NONE);
    let mut record = call(&fleet, 1, &draft).await;
    while !matches!(record.end, CallEnd::Complete) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        record = call(&fleet, 1, &draft).await;
    }
    assert_whole(&draft, &record);
    assert_eq!(fleet.runs_of(&draft).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_is_cut_off_runs_once() {
    let fleet = start().await;
    let draft = Work::new("back", "draft", "one two three", 20);
    fleet.routers[0].table_link.set(Cut {
        forward: false,
        backward: true,
    });
    let CallEnd::Problem(problem) = call(&fleet, 0, &draft).await.end else {
        panic!("the call was not refused")
    };
    assert_eq!(
        (problem.kind_name(), problem.ran, problem.status),
        ("table-unavailable", Ran::Unknown, 504)
    );
    fleet.routers[0].table_link.set(Cut::NONE);
    let mut record = call(&fleet, 0, &draft).await;
    while !matches!(record.end, CallEnd::Complete) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        record = call(&fleet, 0, &draft).await;
    }
    assert_eq!(fleet.runs_of(&draft).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_its_peers_gets_edits_from_the_table() {
    let fleet = start().await;
    for router in &fleet.routers {
        router.peers_link.set(Cut::BOTH);
    }
    fleet.declare(1, &declarations()).await.unwrap();
    fleet.wait_until_version(2).await.unwrap();
    let work = Work::new("alone", "assess", "one two three", 20);
    assert_whole(&work, &call(&fleet, 0, &work).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_both_keeps_its_version_and_then_catches_up() {
    let fleet = start().await;
    let cut_off = &fleet.routers[0];
    cut_off.table_link.set(Cut::BOTH);
    for router in &fleet.routers {
        router.peers_link.set(Cut::BOTH);
    }
    fleet.declare(1, &declarations()).await.unwrap();
    for entry in [1, 2] {
        while version(&fleet, entry).await < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    assert_eq!(version(&fleet, 0).await, 1);
    let work = Work::new("island", "assess", "one two three", 20);
    assert_whole(&work, &call(&fleet, 0, &work).await);
    cut_off.table_link.set(Cut::NONE);
    fleet.wait_until_version(2).await.unwrap();
}
