//! Answers stay whole when engines and entry hosts fail. Uses real processes.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    std::net::SocketAddr,
    tealshore_callers::client::{CallEnd, CallRecord},
    tealshore_hosts::{HostRole, HostState},
    tealshore_lab::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, live_host_entry, start_call},
        work::{LATENCY_KEY, SERVICE, THRIFT_KEY, VERSION, Work, declarations},
    },
    tealshore_standin::engine::EngineFaults,
    tokio::{sync::watch, task::JoinHandle},
};

const TOKENS: u64 = 120;
const SALTS: u64 = 8;

async fn salted_fleet() -> Fleet {
    Fleet::start(FleetOptions {
        salted: true,
        ..FleetOptions::default()
    })
    .await
    .unwrap()
}

fn assert_whole(work: &Work, record: &CallRecord) {
    assert!(matches!(record.end, CallEnd::Complete), "{:?}", record.end);
    let check = check_answer(work, &record.arrivals, work.tokens(), SALTS);
    assert!(check.is_whole(), "{check:?}");
    assert_eq!(check.tokens, work.tokens());
}

/// Starts a call in the background; the channel holds the number of tokens received.
fn call(
    key: &str,
    send_received: bool,
    entries: Vec<SocketAddr>,
    work: &Work,
) -> (JoinHandle<CallRecord>, watch::Receiver<u64>) {
    start_call(Fleet::caller(key, send_received), entries, work)
}

async fn wait_for(progress: &mut watch::Receiver<u64>, tokens: u64) {
    progress
        .wait_for(|seen| *seen >= tokens)
        .await
        .expect("the answer ended early");
}

async fn engine_of(fleet: &Fleet, work: &Work) -> usize {
    *fleet
        .engines_of(work)
        .await
        .first()
        .expect("no engine has run the request")
}

async fn set_faults(fleet: &Fleet, faults: &EngineFaults) {
    for index in 0..fleet.engines.len() {
        fleet.set_engine_faults(index, faults).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_killed_engines_leave_the_answer_whole() {
    let mut fleet = salted_fleet().await;
    let work = Work::new("killed", "summary", "a scene of many words", TOKENS);
    let (call_task, mut progress) = call(THRIFT_KEY, true, fleet.entries(), &work);
    for tokens in [30, 70] {
        wait_for(&mut progress, tokens).await;
        let victim = engine_of(&fleet, &work).await;
        fleet.engines[victim].process.kill().await.unwrap();
        wait_for(&mut progress, tokens + 5).await;
    }
    assert_whole(&work, &call_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_within_an_event_leaves_the_answer_whole() {
    let fleet = salted_fleet().await;
    let work = Work::new("within", "assess", "one two three", TOKENS);
    let (call_task, mut progress) = call(LATENCY_KEY, true, fleet.entries(), &work);
    wait_for(&mut progress, 10).await;
    let victim = engine_of(&fleet, &work).await;
    let faults = EngineFaults {
        die_at: Some(40),
        ..EngineFaults::default()
    };
    fleet.set_engine_faults(victim, &faults).await.unwrap();
    assert_whole(&work, &call_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_token_a_missing_token_and_a_lost_end_leave_the_answer_whole() {
    let fleet = salted_fleet().await;
    let faults = [
        EngineFaults {
            repeat_at: Some(20),
            ..EngineFaults::default()
        },
        EngineFaults {
            skip_at: Some(20),
            ..EngineFaults::default()
        },
        EngineFaults {
            no_end: true,
            ..EngineFaults::default()
        },
    ];
    for (index, fault) in faults.iter().enumerate() {
        let work = Work::new(&format!("odd-{index}"), "assess", "one two three", 60);
        let (call_task, mut progress) = call(LATENCY_KEY, true, fleet.entries(), &work);
        wait_for(&mut progress, 5).await;
        let victim = engine_of(&fleet, &work).await;
        fleet.set_engine_faults(victim, fault).await.unwrap();
        assert_whole(&work, &call_task.await.unwrap());
        set_faults(&fleet, &EngineFaults::default()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_a_frozen_and_thawed_engine_are_not_mixed_in() {
    let fleet = salted_fleet().await;
    for (key, template) in [(LATENCY_KEY, "assess"), (THRIFT_KEY, "summary")] {
        let work = Work::new("frozen", template, "one two three", TOKENS);
        let (call_task, mut progress) = call(key, true, fleet.entries(), &work);
        wait_for(&mut progress, 30).await;
        let victim = engine_of(&fleet, &work).await;
        fleet.engines[victim].process.freeze().unwrap();
        wait_for(&mut progress, 40).await;
        fleet.engines[victim].process.thaw().unwrap();
        assert_whole(&work, &call_task.await.unwrap());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_host_does_not_stop_the_generation() {
    for send_received in [true, false] {
        let mut fleet = salted_fleet().await;
        let work = Work::new("entry", "assess", "one two three", TOKENS);
        let (call_task, mut progress) = call(LATENCY_KEY, send_received, fleet.entries(), &work);
        wait_for(&mut progress, 30).await;
        fleet.routers[0].process.kill().await.unwrap();
        let record = call_task.await.unwrap();
        assert_whole(&work, &record);
        assert_eq!(record.connections, 2);
        assert_eq!(
            fleet.engines_of(&work).await.len(),
            1,
            "the running generation is read again, not restarted"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_host_and_engine_may_die_together() {
    let mut fleet = salted_fleet().await;
    let work = Work::new("together", "assess", "one two three", TOKENS);
    let (call_task, mut progress) = call(LATENCY_KEY, true, fleet.entries(), &work);
    wait_for(&mut progress, 30).await;
    let victim = engine_of(&fleet, &work).await;
    fleet.engines[victim].process.kill().await.unwrap();
    fleet.routers[0].process.kill().await.unwrap();
    assert_whole(&work, &call_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_generation_is_not_restarted_without_the_received_tokens() {
    let mut fleet = salted_fleet().await;
    let work = Work::new("tokens", "assess", "one two three", TOKENS);
    let (call_task, mut progress) = call(LATENCY_KEY, false, fleet.entries(), &work);
    wait_for(&mut progress, 30).await;
    let victim = engine_of(&fleet, &work).await;
    fleet.engines[victim].process.kill().await.unwrap();
    fleet.routers[0].process.kill().await.unwrap();
    let record = call_task.await.unwrap();
    let CallEnd::Problem(problem) = &record.end else {
        panic!("{:?}", record.end)
    };
    assert_eq!(problem.kind_name(), "resume-needs-tokens");
    let check = check_answer(&work, &record.arrivals, record.arrivals.len() as u64, SALTS);
    assert!(check.is_whole(), "{check:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_at_two_entry_hosts_runs_once() {
    let fleet = salted_fleet().await;
    let work = Work::new("twice", "assess", "one two three", TOKENS);
    let (first, mut progress) = call(LATENCY_KEY, true, vec![fleet.entries()[0]], &work);
    wait_for(&mut progress, 10).await;
    let (second, _) = call(LATENCY_KEY, true, vec![fleet.entries()[1]], &work);
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_whole(&work, &first);
    assert_whole(&work, &second);
    assert_eq!(first.tokens(), second.tokens());
    assert_eq!(fleet.engines_of(&work).await.len(), 1);
    let other = Work::new("twice", "assess", "another prompt", TOKENS);
    let (third, _) = call(LATENCY_KEY, true, vec![fleet.entries()[2]], &other);
    let CallEnd::Problem(problem) = third.await.unwrap().end else {
        panic!("another body under the same id was accepted")
    };
    assert_eq!(problem.kind_name(), "request-conflict");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_does_not_change_a_running_generation() {
    let mut fleet = salted_fleet().await;
    let work = Work::new("pinned", "assess", "one two three", TOKENS);
    let (call_task, mut progress) = call(LATENCY_KEY, true, fleet.entries(), &work);
    wait_for(&mut progress, 20).await;
    let newer = declarations().replace(&format!("version = {VERSION}\n"), "version = 2\n");
    fleet.declare(1, &newer).await.unwrap();
    fleet.wait_until_version(2).await.unwrap();
    let victim = engine_of(&fleet, &work).await;
    fleet.engines[victim].process.kill().await.unwrap();
    assert_whole(&work, &call_task.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_serves_only_its_own_request() {
    let fleet = salted_fleet().await;
    let work = Work::new("mine", "assess", "one two three", 10);
    let (call_task, _) = call(LATENCY_KEY, true, fleet.entries(), &work);
    let ticket = call_task.await.unwrap().last_event.unwrap();
    let send = async |key: &str, work: &Work, ticket: &str| {
        let answer = Fleet::caller(key, false)
            .send(fleet.entries()[1], &work.call, Some(ticket))
            .await
            .unwrap();
        answer.status().as_u16()
    };
    assert_eq!(send(LATENCY_KEY, &work, &ticket).await, 200);
    let other_request = Work::new("other", "assess", "one two three", 10);
    assert_eq!(send(LATENCY_KEY, &other_request, &ticket).await, 403);
    let other_customer = Work::new("mine", "summary", "one two three", 10);
    assert_eq!(send(THRIFT_KEY, &other_customer, &ticket).await, 403);
    let forged = ticket.replacen("10.", "9.", 1);
    assert_eq!(send(LATENCY_KEY, &work, &forged).await, 403);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_leaving_gets_no_new_work() {
    let fleet = salted_fleet().await;
    let leaving = EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    };
    for index in 1..fleet.engines.len() {
        fleet.set_engine_faults(index, &leaving).await.unwrap();
    }
    for index in 0..6 {
        let work = Work::new(&format!("leaving-{index}"), "assess", "one two three", 5);
        let (call_task, _) = call(LATENCY_KEY, true, fleet.entries(), &work);
        assert_whole(&work, &call_task.await.unwrap());
        assert_eq!(fleet.engines_of(&work).await, [0]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_listed_as_leaving_gets_no_new_work() {
    let fleet = salted_fleet().await;
    for (index, engine) in fleet.engines.iter().enumerate().skip(1) {
        let mut host = live_host_entry(
            &engine.id,
            HostRole::Engine,
            SERVICE,
            index as u64,
            engine.address,
        );
        host.state = HostState::Leaving;
        fleet.list(&[host]).await.unwrap();
    }
    // The list shows the change after its lag. The engines' own load reports don't say that they leave.
    fleet.wait_for_loads().await.unwrap();
    for index in 0..8 {
        let work = Work::new(&format!("listed-{index}"), "assess", "one two three", 5);
        let (call_task, _) = call(LATENCY_KEY, true, fleet.entries(), &work);
        assert_whole(&work, &call_task.await.unwrap());
        assert_eq!(fleet.engines_of(&work).await, [0]);
    }
}
