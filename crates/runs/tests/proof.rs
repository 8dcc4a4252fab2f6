//! When an earlier run is taken for that of a caller who resumes a stream.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

mod support;

use {
    std::time::Duration,
    support::{continuation, process, run, run_of_earlier_build},
    tealshore_core::ids::ProcessId,
    tealshore_runs::{
        Doubt, HostReply, Inquiry, KnownRun, LossReport, Proof, RunReport, RunState, prove_own_run,
        sole_run,
    },
};

/// The last event that the caller has.
const LAST_EVENT: u64 = 5;

fn report(run: KnownRun, state: Option<RunState>) -> RunReport {
    RunReport {
        run,
        state,
        age: Duration::ZERO,
    }
}

fn reported(run: KnownRun) -> RunReport {
    report(run, None)
}

fn reply(process: ProcessId, runs: Vec<RunReport>) -> HostReply {
    HostReply::Runs {
        process,
        runs,
        is_partial: false,
    }
}

/// A reply without some runs of other hosts.
fn partial_reply(process: ProcessId, runs: Vec<RunReport>) -> HostReply {
    HostReply::Runs {
        process,
        runs,
        is_partial: true,
    }
}

/// A host besides that of the run, which knows of the same run.
fn witness() -> HostReply {
    reply(process("w", 1), vec![reported(run("r", "a"))])
}

fn ended(last_event: u64, is_complete: bool) -> RunState {
    RunState::Ended {
        last_event: Some(last_event),
        is_complete,
    }
}

/// Decides on a run at host `a`, of which host `a` and a witness were asked.
fn decide(of_run_host: HostReply) -> Result<Proof, Doubt> {
    let known = [reported(run("r", "a"))];
    let proven = prove_own_run(&known, &inquiry(&[witness(), of_run_host]), LAST_EVENT);
    proven.map(|(run, proof)| {
        assert_eq!(run.trace.request, "r");
        proof
    })
}

#[test]
fn the_reply_of_the_runs_process_decides() {
    let of_process = |state| reply(process("a", 1), vec![report(run("r", "a"), Some(state))]);
    let host = || "a".to_owned();
    let cases = [
        (of_process(ended(5, false)), Ok(Proof::Ended)),
        (of_process(ended(9, false)), Ok(Proof::Ended)),
        (of_process(ended(4, false)), Err(Doubt::FewerEvents)),
        (of_process(ended(9, true)), Err(Doubt::AnsweredWhole)),
        (of_process(RunState::Answering), Err(Doubt::StillAnswered)),
        (reply(process("a", 1), Vec::new()), Err(Doubt::Forgotten)),
        (
            reply(process("a", 2), Vec::new()),
            Ok(Proof::ProcessReplaced),
        ),
        (
            partial_reply(process("a", 1), Vec::new()),
            Err(Doubt::Forgotten),
        ),
        (
            partial_reply(process("a", 2), Vec::new()),
            Ok(Proof::ProcessReplaced),
        ),
        (HostReply::NotListening(host()), Ok(Proof::ProcessGone)),
        (HostReply::Silent(host()), Err(Doubt::ProcessSilent)),
        (HostReply::Unreadable(host()), Err(Doubt::Unreadable)),
    ];
    for (of_run_host, expected) in cases {
        assert_eq!(decide(of_run_host.clone()), expected, "{of_run_host:?}");
    }
}

#[test]
fn the_state_of_a_run_that_this_process_answered_is_known_here() {
    let cases = [
        (ended(5, false), Ok(Proof::Ended)),
        (ended(4, false), Err(Doubt::FewerEvents)),
        (ended(9, true), Err(Doubt::AnsweredWhole)),
        (RunState::Answering, Err(Doubt::StillAnswered)),
    ];
    for (state, expected) in cases {
        let known = [report(run("r", "here"), Some(state))];
        let own = reply(process("here", 1), Vec::new());
        let proven = prove_own_run(&known, &inquiry(&[witness_of_nothing(), own]), LAST_EVENT);
        assert_eq!(proven.map(|(_, proof)| proof), expected, "{state:?}");
    }
}

/// An inquiry in which a live host besides that of the run was asked.
fn inquiry(replies: &[HostReply]) -> Inquiry {
    Inquiry {
        replies: replies.to_vec(),
        has_witnesses: true,
        unheard: Vec::new(),
        loss: None,
    }
}

/// An inquiry of a host that knows of no live host.
fn inquiry_alone(reply: HostReply) -> Inquiry {
    Inquiry {
        has_witnesses: false,
        ..inquiry(&[reply])
    }
}

fn witness_of_nothing() -> HostReply {
    reply(process("w", 1), Vec::new())
}

#[test]
fn no_run_is_proven_where_two_callers_asked_for_the_same() {
    let two = [reported(run("first", "a")), reported(run("second", "b"))];
    assert_eq!(sole_run(&two).unwrap_err(), Doubt::SeveralRuns);
    let replies = [
        witness_of_nothing(),
        HostReply::NotListening("a".to_owned()),
    ];
    let proven = prove_own_run(&two, &inquiry(&replies), LAST_EVENT);
    assert_eq!(proven.unwrap_err(), Doubt::SeveralRuns);
}

/// The caller's own run is unknown here, for example as the datagram that reported it was lost.
#[test]
fn no_run_is_proven_where_another_host_knows_of_a_second_one() {
    let known = [reported(run("second", "b"))];
    let witness = reply(process("w", 1), vec![reported(run("first", "a"))]);
    let replies = [witness, HostReply::NotListening("b".to_owned())];
    let proven = prove_own_run(&known, &inquiry(&replies), LAST_EVENT);
    assert_eq!(proven.unwrap_err(), Doubt::SeveralRuns);
}

/// The caller got the end of its answer cut off, or another caller of the same content got it whole: either way the
/// two can't be told apart.
#[test]
fn a_whole_answer_still_counts_as_another_callers_run() {
    let known = [
        report(run("whole", "here"), Some(ended(9, true))),
        reported(run("r", "a")),
    ];
    assert_eq!(sole_run(&known).unwrap_err(), Doubt::SeveralRuns);
}

#[test]
fn runs_that_continue_each_other_are_one_callers() {
    let chain = [
        reported(run("try 1", "a")),
        reported(continuation("try 3", "c", "try 2")),
        reported(continuation("try 2", "b", "try 1")),
    ];
    let (last, _) = sole_run(&chain).unwrap();
    assert_eq!(last.run.trace.request, "try 3");
    let replies = [
        witness_of_nothing(),
        HostReply::NotListening("c".to_owned()),
    ];
    let (proven, _) = prove_own_run(&chain, &inquiry(&replies), LAST_EVENT).unwrap();
    assert_eq!(proven.trace.request, "try 3");
    // Two runs that continue the same one can't both be of its caller.
    let mut forked = chain.to_vec();
    forked.push(reported(continuation("other", "b", "try 1")));
    assert_eq!(sole_run(&forked).unwrap_err(), Doubt::SeveralRuns);
}

#[test]
fn a_run_of_an_earlier_build_proves_nothing_and_hides_nothing() {
    let known = [reported(run_of_earlier_build("old"))];
    assert_eq!(sole_run(&known).unwrap_err(), Doubt::UnknownOrigin);
    let known = [
        reported(run_of_earlier_build("old")),
        reported(run("r", "a")),
    ];
    assert_eq!(sole_run(&known).unwrap_err(), Doubt::SeveralRuns);
    // A reply may name the origin.
    let known = [reported(run_of_earlier_build("r"))];
    let replies = [witness(), HostReply::NotListening("a".to_owned())];
    let proven = prove_own_run(&known, &inquiry(&replies), LAST_EVENT);
    assert_eq!(proven.unwrap().1, Proof::ProcessGone);
}

#[test]
fn another_host_has_to_confirm_that_there_is_no_other_run_if_one_lives() {
    let known = [reported(run("r", "a"))];
    let gone = HostReply::NotListening("a".to_owned());
    let silent = HostReply::Silent("w".to_owned());
    let unreadable = HostReply::Unreadable("w".to_owned());
    let partial = partial_reply(process("w", 1), Vec::new());
    for other in [silent, unreadable, partial] {
        let replies = [other, gone.clone()];
        let proven = prove_own_run(&known, &inquiry(&replies), LAST_EVENT);
        assert_eq!(proven.unwrap_err(), Doubt::Unconfirmed);
    }
    // The successor of the run's process does not confirm it.
    let replaced = reply(process("a", 2), Vec::new());
    let proven = prove_own_run(&known, &inquiry(&[replaced]), LAST_EVENT);
    assert_eq!(proven.unwrap_err(), Doubt::Unconfirmed);
    let proven = prove_own_run(&known, &inquiry_alone(gone), LAST_EVENT);
    assert_eq!(proven.unwrap().1, Proof::ProcessGone);
}

/// A host that is cut off from the others may still answer callers.
#[test]
fn no_run_is_proven_while_another_host_can_not_be_heard() {
    let known = [reported(run("r", "a"))];
    let gone = HostReply::NotListening("a".to_owned());
    let host = || "x".to_owned();
    let cases = [
        (HostReply::Silent(host()), Err(Doubt::UnheardHost)),
        (HostReply::Unreadable(host()), Err(Doubt::UnheardHost)),
        (HostReply::NotListening(host()), Ok(Proof::ProcessGone)),
        (reply(process("x", 1), Vec::new()), Ok(Proof::ProcessGone)),
        (
            partial_reply(process("x", 2), Vec::new()),
            Ok(Proof::ProcessGone),
        ),
        // It answers another caller who asked for the same.
        (
            partial_reply(process("x", 2), vec![reported(run("other", "x"))]),
            Err(Doubt::SeveralRuns),
        ),
    ];
    for (of_unheard, expected) in cases {
        let mut asked = inquiry(&[witness(), gone.clone(), of_unheard.clone()]);
        asked.unheard = vec![host(), "a".to_owned()];
        let proven = prove_own_run(&known, &asked, LAST_EVENT);
        assert_eq!(proven.map(|(_, proof)| proof), expected, "{of_unheard:?}");
    }
}

/// Guards against a run that is taken for that of a caller whose own run was lost with all hosts.
#[test]
fn no_run_that_began_after_a_loss_of_all_hosts_is_proven() {
    let known = [
        reported(run("stored", "a")),
        reported(continuation("later", "a", "stored")),
    ];
    let gone = HostReply::NotListening("a".to_owned());
    let witness = reply(process("w", 1), known.to_vec());
    let cases = [
        (vec!["stored"], Ok(Proof::ProcessGone)),
        (vec!["later"], Ok(Proof::ProcessGone)),
        (vec!["another"], Err(Doubt::EarlierRunsLost)),
        (Vec::new(), Err(Doubt::EarlierRunsLost)),
    ];
    for (restored, expected) in cases {
        let mut asked = inquiry(&[witness.clone(), gone.clone()]);
        asked.loss = Some(LossReport {
            age: Duration::from_secs(1),
            restored: restored.into_iter().map(str::to_owned).collect(),
        });
        let proven = prove_own_run(&known, &asked, LAST_EVENT);
        assert_eq!(proven.map(|(_, proof)| proof), expected, "{asked:?}");
    }
}
