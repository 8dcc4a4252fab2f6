//! An exhaustive search through the protocol of the lease: two or three hosts, and a store that writes
//! under a condition. It plays all interleavings of reads and writes with the passing of time and a
//! bounded number of faults. The decisions are those of the program.
//!
//! A process may make a call at each moment of its tenure, and that may be on its way for a while. So
//! the search does not play calls one by one: it keeps when the last one of each tenure may arrive, and
//! judges the worst that the receiver may see.
//!
//! Each mutant breaks one protection; the search has to find what that breaks.

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

/// A short name of a world; two worlds share it with a chance of one in 2^128.
fn fingerprint(world: &World) -> (u64, u64) {
    let mut first = DefaultHasher::new();
    world.hash(&mut first);
    let mut second = DefaultHasher::new();
    (1_u8, world).hash(&mut second);
    (first.finish(), second.finish())
}

/// Searches all worlds that can be reached; how many there are, or what broke first.
fn search(search: &SearchOptions) -> Result<usize, String> {
    let first = World::initial(search);
    let mut visited = HashSet::from([fingerprint(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        world
            .check()
            .map_err(|broken| format!("{broken}: {world:#?}"))?;
        if !world.recovers(search.mutant) {
            return Err(format!("nobody holds the lease: {world:#?}"));
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
/// By this time a host has taken the lease from another one, and a third holder is in sight.
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
        Ok(worlds) => println!("{hosts} hosts, {faults:?}, until {until}: worlds={worlds}"),
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

/// Without a protection the search finds what that breaks.
fn assert_detects(mutant: Mutant, faults: Faults, broken: &str) {
    let options = SearchOptions {
        initial_state: InitialState::Held,
        hosts: 2,
        faults,
        until: UNTIL_SECOND_HOLDER,
        mutant,
    };
    match search(&options) {
        Ok(worlds) => panic!("{mutant:?} is not found in {worlds} worlds"),
        Err(found) => assert!(found.starts_with(broken), "{mutant:?} breaks: {found}"),
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
    assert_detects(Mutant::NoCooldown, faults, "holders in the order A, B, A");
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
