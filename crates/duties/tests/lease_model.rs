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
        setup::{Begins, CROSSED, Faults, Mutant, Search, Tick},
        world::World,
    },
    std::{
        collections::{HashSet, VecDeque, hash_map::DefaultHasher},
        hash::{Hash, Hasher},
    },
};

/// A short name of a world; two worlds share it with a chance of one in 2^128.
fn digest(world: &World) -> (u64, u64) {
    let mut first = DefaultHasher::new();
    world.hash(&mut first);
    let mut second = DefaultHasher::new();
    (1_u8, world).hash(&mut second);
    (first.finish(), second.finish())
}

/// Searches all worlds that can be reached; how many there are, or what broke first.
fn search(search: &Search) -> Result<usize, String> {
    let first = World::first(search);
    let mut known = HashSet::from([digest(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        world
            .check()
            .map_err(|broken| format!("{broken}: {world:#?}"))?;
        if !world.is_held_soon(search.mutant) {
            return Err(format!("nobody holds the lease: {world:#?}"));
        }
        for step in world.moves(search.until) {
            let Some(after) = world.after(step, search.mutant) else {
                continue;
            };
            let after = after.map_err(|broken| format!("{broken}, {step:?}: {world:#?}"))?;
            if known.insert(digest(&after)) {
                queue.push_back(after);
            }
        }
    }
    Ok(known.len())
}

const NO_FAULTS: Faults = Faults {
    lost: 0,
    late: 0,
    told: 0,
    deaths: 0,
    stops: 0,
};
/// By this time a host has taken the lease from another one, and a third holder is in sight.
const SECOND_HOLDER: Tick = 6;

fn holds(begins: Begins, hosts: usize, faults: Faults, until: Tick) {
    let played = Search {
        begins,
        hosts,
        faults,
        until,
        mutant: Mutant::None,
    };
    match search(&played) {
        Ok(worlds) => println!("{hosts} hosts, {faults:?}, until {until}: worlds={worlds}"),
        Err(broken) => panic!("{broken}"),
    }
}

#[test]
fn hosts_that_start_at_once_keep_the_promises() {
    let faults = Faults {
        lost: 1,
        late: 1,
        ..NO_FAULTS
    };
    holds(Begins::Empty, 2, faults, 3);
}

#[test]
fn three_hosts_keep_the_promises() {
    let faults = Faults {
        stops: 1,
        ..NO_FAULTS
    };
    holds(Begins::Held, 3, faults, 5);
}

#[test]
fn two_hosts_keep_the_promises_when_answers_are_lost() {
    let faults = Faults {
        lost: 2,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

#[test]
fn two_hosts_keep_the_promises_when_they_freeze_and_answers_come_late() {
    let faults = Faults {
        late: 2,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

#[test]
fn two_hosts_keep_the_promises_when_one_dies_and_an_answer_is_lost() {
    let faults = Faults {
        lost: 1,
        deaths: 1,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

#[test]
fn two_hosts_keep_the_promises_when_they_are_stopped_in_turn() {
    let faults = Faults {
        stops: 2,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

#[test]
fn two_hosts_keep_the_promises_when_one_is_stopped_and_an_answer_is_lost() {
    let faults = Faults {
        lost: 1,
        stops: 1,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

#[test]
fn two_hosts_keep_the_promises_when_one_tells_the_other_of_the_row() {
    let faults = Faults {
        late: 1,
        told: 1,
        ..NO_FAULTS
    };
    holds(Begins::Held, 2, faults, SECOND_HOLDER);
}

/// Without a protection the search finds what that breaks.
fn finds(mutant: Mutant, faults: Faults, broken: &str) {
    let played = Search {
        begins: Begins::Held,
        hosts: 2,
        faults,
        until: SECOND_HOLDER,
        mutant,
    };
    match search(&played) {
        Ok(worlds) => panic!("{mutant:?} is not found in {worlds} worlds"),
        Err(found) => assert!(found.starts_with(broken), "{mutant:?} breaks: {found}"),
    }
}

#[test]
fn a_holder_that_acts_until_the_expiry_is_found() {
    finds(Mutant::HoldsUntilExpiry, NO_FAULTS, CROSSED);
}

#[test]
fn a_host_that_takes_the_lease_back_at_once_is_found() {
    let faults = Faults {
        stops: 2,
        ..NO_FAULTS
    };
    finds(Mutant::NoRest, faults, "holders in the order A, B, A");
}

#[test]
fn writes_without_numbers_are_found() {
    let faults = Faults {
        lost: 2,
        ..NO_FAULTS
    };
    finds(Mutant::NoNumbers, faults, CROSSED);
}

#[test]
fn a_tenure_that_counts_from_the_answer_is_found() {
    let faults = Faults {
        late: 1,
        ..NO_FAULTS
    };
    finds(Mutant::CountsFromAnswer, faults, CROSSED);
}

#[test]
fn a_lost_answer_that_is_taken_for_a_good_one_is_found() {
    let faults = Faults {
        lost: 1,
        ..NO_FAULTS
    };
    finds(Mutant::NoReadBack, faults, CROSSED);
}

#[test]
fn calls_that_outlast_their_tenure_are_found() {
    finds(Mutant::SlowCalls, NO_FAULTS, CROSSED);
}

#[test]
fn a_contender_that_does_not_wait_is_found() {
    finds(Mutant::NoExpiry, NO_FAULTS, CROSSED);
}
