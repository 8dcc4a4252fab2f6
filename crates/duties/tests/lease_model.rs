//! Exhaustive model checking of the lease protocol with two or three hosts and a store with conditional
//! writes. The search visits all interleavings of reads, writes, the passing of time and a limited number
//! of faults. All decisions are made by the product's own `Lease`.
//!
//! A process may make a call at any moment of its tenure, and the call may arrive later. The search does
//! not model single calls: it records the latest arrival for each tenure and checks the worst case that
//! the receiver may see.
//!
//! Each mutant removes one protection, and the search must find the resulting violation.

#[path = "lease_model/receiver.rs"]
mod receiver;
#[path = "lease_model/setup.rs"]
mod setup;
#[path = "lease_model/world.rs"]
mod world;

use {
    self::{
        setup::{Faults, InitialState, Mutant, OVERLAPPING_TENURES, SearchOptions, Tick},
        world::World,
    },
    std::{
        collections::{HashSet, VecDeque, hash_map::DefaultHasher},
        hash::{Hash, Hasher},
    },
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
fn search(search: &SearchOptions) -> Result<usize, String> {
    let first = World::initial(search);
    let mut visited = HashSet::from([fingerprint(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        world
            .check()
            .map_err(|broken| format!("{broken}: {world:#?}"))?;
        if !world.recovers(search.mutant) {
            return Err(format!("no process gets the lease in time: {world:#?}"));
        }
        for next_move in world.moves(search.until) {
            let Some(after) = world.after(next_move, search.mutant) else {
                continue;
            };
            let after = after.map_err(|broken| format!("{broken}, {next_move:?}: {world:#?}"))?;
            if visited.insert(fingerprint(&after)) {
                queue.push_back(after);
            }
        }
    }
    Ok(visited.len())
}

const NO_FAULTS: Faults = Faults {
    lost_answers: 0,
    delays: 0,
    summaries: 0,
    crashes: 0,
    stops: 0,
};
/// By this tick a second host has taken the lease from the first one, and a third acquisition is close.
const UNTIL_SECOND_HOLDER: Tick = 6;

fn assert_invariants(initial_state: InitialState, hosts: usize, faults: Faults, until: Tick) {
    let options = SearchOptions {
        initial_state,
        hosts,
        faults,
        until,
        mutant: Mutant::None,
    };
    match search(&options) {
        Ok(worlds) => println!("{hosts} hosts, {faults:?}, until tick {until}: states={worlds}"),
        Err(broken) => panic!("{broken}"),
    }
}

#[test]
fn invariants_hold_when_hosts_start_together() {
    let faults = Faults {
        lost_answers: 1,
        delays: 1,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Empty, 2, faults, 3);
}

#[test]
fn invariants_hold_with_three_hosts() {
    let faults = Faults {
        stops: 1,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 3, faults, 5);
}

#[test]
fn invariants_hold_when_answers_are_lost() {
    let faults = Faults {
        lost_answers: 2,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

#[test]
fn invariants_hold_when_hosts_freeze_and_answers_are_delayed() {
    let faults = Faults {
        delays: 2,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

#[test]
fn invariants_hold_when_a_host_crashes_and_an_answer_is_lost() {
    let faults = Faults {
        lost_answers: 1,
        crashes: 1,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

#[test]
fn invariants_hold_when_hosts_are_stopped_in_turn() {
    let faults = Faults {
        stops: 2,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

#[test]
fn invariants_hold_when_a_host_is_stopped_and_an_answer_is_lost() {
    let faults = Faults {
        lost_answers: 1,
        stops: 1,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

#[test]
fn invariants_hold_when_a_summary_is_sent_and_an_answer_is_delayed() {
    let faults = Faults {
        delays: 1,
        summaries: 1,
        ..NO_FAULTS
    };
    assert_invariants(InitialState::Held, 2, faults, UNTIL_SECOND_HOLDER);
}

/// Checks that the search finds the violation that a mutant causes.
fn assert_detects(mutant: Mutant, faults: Faults, broken: &str) {
    let options = SearchOptions {
        initial_state: InitialState::Held,
        hosts: 2,
        faults,
        until: UNTIL_SECOND_HOLDER,
        mutant,
    };
    match search(&options) {
        Ok(worlds) => panic!("no violation for {mutant:?} in {worlds} states"),
        Err(found) => assert!(found.starts_with(broken), "{mutant:?} violates: {found}"),
    }
}

#[test]
fn detects_a_holder_that_acts_until_the_expiry() {
    assert_detects(Mutant::HoldsUntilExpiry, NO_FAULTS, OVERLAPPING_TENURES);
}

#[test]
fn detects_a_host_that_takes_the_lease_again_without_a_cooldown() {
    let faults = Faults {
        stops: 2,
        ..NO_FAULTS
    };
    assert_detects(
        Mutant::NoCooldown,
        faults,
        "a former holder takes the lease again too soon",
    );
}

#[test]
fn detects_writes_without_serial_numbers() {
    let faults = Faults {
        lost_answers: 2,
        ..NO_FAULTS
    };
    assert_detects(Mutant::NoSerials, faults, OVERLAPPING_TENURES);
}

#[test]
fn detects_a_tenure_measured_from_the_answer() {
    let faults = Faults {
        delays: 1,
        ..NO_FAULTS
    };
    assert_detects(Mutant::TenureFromAnswer, faults, OVERLAPPING_TENURES);
}

#[test]
fn detects_a_lost_answer_treated_as_success() {
    let faults = Faults {
        lost_answers: 1,
        ..NO_FAULTS
    };
    assert_detects(Mutant::NoReadBack, faults, OVERLAPPING_TENURES);
}

#[test]
fn detects_calls_that_arrive_after_the_expiry() {
    assert_detects(Mutant::SlowCalls, NO_FAULTS, OVERLAPPING_TENURES);
}

#[test]
fn detects_a_contender_that_does_not_wait() {
    assert_detects(Mutant::NoExpiry, NO_FAULTS, OVERLAPPING_TENURES);
}
