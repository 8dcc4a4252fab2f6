//! Exhaustive model checking of decisions that a store loses when it is restored from an older copy. Hosts report one
//! window of usage; the search visits all interleavings of their steps with restores, crashes, freezes and lost answers.
//! The lease is the product's own `Lease`.
//!
//! A decision that the store lost is known only to the processes that made, received or read it. It survives the loss of
//! one process at any moment. If more are lost, the model restores the store only while such a process runs. It crashes
//! or freezes none from a restore to the next tick: within one tick every running process has done all that it can do
//! without waiting.

#[path = "decision_model/world.rs"]
mod world;

use {
    self::world::{Faults, Mutant, Tick, World},
    std::{
        collections::{HashSet, hash_map::DefaultHasher},
        hash::{Hash, Hasher},
    },
};

/// By this tick a process has taken the lease again after a restore, and has decided what it does not know of.
const UNTIL: Tick = 6;
const NO_FAULTS: Faults = Faults {
    restores: 0,
    crashes: 0,
    freezes: 0,
    lost_answers: 0,
};

/// Returns a 128-bit fingerprint of a state, so that the search need not keep whole states.
fn fingerprint(world: &World) -> (u64, u64) {
    let mut first = DefaultHasher::new();
    world.hash(&mut first);
    let mut second = DefaultHasher::new();
    (1_u8, world).hash(&mut second);
    (first.finish(), second.finish())
}

/// Visits all reachable states. Returns their number, or the first violation found.
fn search(hosts: usize, faults: Faults, mutant: Mutant) -> Result<usize, String> {
    let first = World::initial(hosts, faults);
    let mut visited = HashSet::from([fingerprint(&first)]);
    let mut waiting = vec![first];
    while let Some(world) = waiting.pop() {
        for next_move in world.moves(UNTIL, mutant) {
            let Some(after) = world.after(next_move, mutant) else {
                continue;
            };
            let after = after.map_err(|broken| format!("{broken}, {next_move:?}: {world:#?}"))?;
            if visited.insert(fingerprint(&after)) {
                waiting.push(after);
            }
        }
    }
    Ok(visited.len())
}

fn assert_reported_once(hosts: usize, faults: Faults) {
    match search(hosts, faults, Mutant::None) {
        Ok(worlds) => println!("{hosts} hosts, {faults:?}: states={worlds}"),
        Err(broken) => panic!("{broken}"),
    }
}

#[test]
fn a_window_is_reported_once_when_hosts_crash_after_restores() {
    let faults = Faults {
        restores: 2,
        crashes: 2,
        ..NO_FAULTS
    };
    assert_reported_once(2, faults);
}

#[test]
fn a_window_is_reported_once_when_a_host_freezes_during_a_restore() {
    let faults = Faults {
        restores: 1,
        crashes: 1,
        freezes: 1,
        ..NO_FAULTS
    };
    assert_reported_once(2, faults);
}

#[test]
fn a_window_is_reported_once_when_answers_are_lost() {
    let faults = Faults {
        restores: 1,
        crashes: 1,
        lost_answers: 1,
        ..NO_FAULTS
    };
    assert_reported_once(2, faults);
}

#[test]
fn a_window_is_reported_once_by_three_hosts() {
    let faults = Faults {
        restores: 1,
        crashes: 1,
        ..NO_FAULTS
    };
    assert_reported_once(3, faults);
}

/// Checks that the search finds the violation that a mutant causes.
fn assert_detects(mutant: Mutant, faults: Faults, broken: &str) {
    match search(2, faults, mutant) {
        Ok(worlds) => panic!("no violation for {mutant:?} in {worlds} states"),
        Err(found) => assert!(found.starts_with(broken), "{mutant:?} violates: {found}"),
    }
}

#[test]
fn detects_decisions_that_are_not_written_back() {
    let faults = Faults {
        restores: 1,
        crashes: 2,
        ..NO_FAULTS
    };
    assert_detects(Mutant::NoWriteBack, faults, world::REPORTED_TWICE);
}

#[test]
fn detects_decisions_that_are_reported_before_others_know_of_them() {
    let faults = Faults {
        restores: 1,
        crashes: 1,
        ..NO_FAULTS
    };
    assert_detects(Mutant::ReportsFirst, faults, world::REPORTED_TWICE);
}

#[test]
fn detects_a_write_back_that_gives_a_tenure() {
    let faults = Faults {
        restores: 1,
        freezes: 1,
        ..NO_FAULTS
    };
    assert_detects(Mutant::WriteBackTakesLease, faults, world::TWO_HOLDERS);
}
