//! Two sites share the traffic during a migration. Each has its own entry hosts, engines and host list,
//! and both use one table. A caller's retry may reach the other site.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    std::net::SocketAddr,
    tealshore_callers::client::{CallEnd, CallRecord},
    tealshore_core::answer::Ran,
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, start_call},
        work::Work,
    },
    tokio::{sync::watch, task::JoinHandle},
};

async fn start() -> (Fleet, Fleet) {
    let options = FleetOptions {
        routers: 2,
        engines: 2,
        ..FleetOptions::default()
    };
    let old = Fleet::start(options.clone()).await.unwrap();
    let new = FleetOptions {
        site: "new".to_owned(),
        shared_table: Some(old.table.address),
        ..options
    };
    let new = Fleet::start(new).await.unwrap();
    (old, new)
}

fn call(
    entries: Vec<SocketAddr>,
    work: &Work,
    send_received: bool,
) -> (JoinHandle<CallRecord>, watch::Receiver<u64>) {
    start_call(Fleet::caller(work.key(), send_received), entries, work)
}

fn assert_whole(work: &Work, record: &CallRecord) {
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    assert!(check_answer(work, &record.arrivals, work.tokens(), 1).is_whole());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_resumes_at_the_other_site() {
    let (mut old, new) = start().await;
    let work = Work::new("moves", "assess", "one two three", 120);
    let (call_task, mut progress) = call(vec![old.entries()[0], new.entries()[0]], &work, true);
    progress.wait_for(|tokens| *tokens >= 30).await.unwrap();
    old.routers[0].process.kill().await.unwrap();
    assert_whole(&work, &call_task.await.unwrap());
    assert_eq!((old.runs_of(&work).await, new.runs_of(&work).await), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_not_restarted_at_the_other_site_without_the_received_tokens() {
    let (mut old, new) = start().await;
    let work = Work::new("bare", "assess", "one two three", 120);
    let (call_task, mut progress) = call(vec![old.entries()[0], new.entries()[0]], &work, false);
    progress.wait_for(|tokens| *tokens >= 30).await.unwrap();
    // All entry hosts of the old site are killed, so that only the new site remains.
    for router in &mut old.routers {
        router.process.kill().await.unwrap();
    }
    let record = call_task.await.unwrap();
    let CallEnd::Problem(problem) = &record.end else {
        panic!("{:?}", record.end)
    };
    assert_eq!(
        (problem.kind_name(), problem.ran),
        ("resume-needs-tokens", Ran::Yes)
    );
    assert!(check_answer(&work, &record.arrivals, record.arrivals.len() as u64, 1).is_whole());
    assert_eq!(new.runs_of(&work).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draft_runs_at_only_one_site() {
    let (old, new) = start().await;
    for index in 0..5 {
        let work = Work::new(&format!("both-{index}"), "draft", "one two three", 30);
        let caller = Fleet::caller_without_retries(work.key());
        let (old_entries, new_entries) = (old.entries(), new.entries());
        let (first, second) = tokio::join!(
            caller.complete(&old_entries, &work.call, |_| {}),
            caller.complete(&new_entries, &work.call, |_| {})
        );
        assert_eq!(old.runs_of(&work).await + new.runs_of(&work).await, 1);
        let ends = [&first.end, &second.end];
        assert_eq!(
            ends.iter()
                .filter(|end| matches!(end, CallEnd::Complete))
                .count(),
            1,
            "{ends:?}"
        );
        for end in ends {
            let is_honest = match end {
                CallEnd::Problem(problem) => {
                    problem.kind_name() == "already-claimed" && problem.ran == Ran::Unknown
                }
                CallEnd::Complete => true,
                CallEnd::GaveUp(_) => false,
            };
            assert!(is_honest, "{end:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_is_in_force_at_both_sites() {
    let (old, new) = start().await;
    new.declare(1, &tealshore_lab::work::declarations())
        .await
        .unwrap();
    old.wait_until_version(2).await.unwrap();
    new.wait_until_version(2).await.unwrap();
}
