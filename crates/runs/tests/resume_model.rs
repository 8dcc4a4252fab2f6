//! A model of hosts that lose processes, connections and messages while callers ask for the same: whatever happens, a
//! stream continues from the memory of its own caller's run or of none.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

mod support;
#[path = "resume_model/world.rs"]
mod world;

use {
    proptest::{
        prelude::*,
        strategy::Union,
        test_runner::{RngSeed, TestRunner},
    },
    std::cell::Cell,
    world::{CALLERS, Event, HOSTS, World},
};

/// Which faults a search includes.
#[derive(Clone, Copy)]
struct Faults {
    /// Whether messages are missed by single hosts.
    misses: bool,
    /// Whether processes end.
    kills: bool,
    /// Whether hosts are cut off from the others.
    cuts: bool,
}

fn event(faults: Faults) -> impl Strategy<Value = Event> {
    let (caller, host) = (0..CALLERS, 0..HOSTS);
    let missed_by = if faults.misses {
        prop::option::of(0..HOSTS).boxed()
    } else {
        Just(None).boxed()
    };
    let begin = (caller.clone(), host.clone(), missed_by).prop_map(|(caller, host, missed_by)| {
        Event::Begin {
            caller,
            host,
            missed_by,
        }
    });
    let mut weighted: Vec<(u32, BoxedStrategy<Event>)> = vec![
        (6, begin.boxed()),
        (
            3,
            caller
                .clone()
                .prop_map(|caller| Event::Progress { caller })
                .boxed(),
        ),
        (
            3,
            caller
                .clone()
                .prop_map(|caller| Event::Disconnect { caller })
                .boxed(),
        ),
        (
            1,
            caller
                .clone()
                .prop_map(|caller| Event::DisconnectUnnoticed { caller })
                .boxed(),
        ),
        (
            1,
            (caller.clone(), any::<bool>())
                .prop_map(|(caller, is_end_lost)| Event::Finish {
                    caller,
                    is_end_lost,
                })
                .boxed(),
        ),
        (
            8,
            (caller, host.clone())
                .prop_map(|(caller, host)| Event::Resume { caller, host })
                .boxed(),
        ),
        (2, (0_u64..20_000).prop_map(|ms| Event::Wait { ms }).boxed()),
    ];
    if faults.kills {
        weighted.push((
            4,
            host.clone().prop_map(|host| Event::Kill { host }).boxed(),
        ));
        weighted.push((1, Just(Event::KillAll).boxed()));
        weighted.push((3, Just(Event::StoreRuns).boxed()));
        weighted.push((
            4,
            host.clone()
                .prop_map(|host| Event::Restart { host })
                .boxed(),
        ));
    }
    if faults.cuts {
        weighted.push((
            2,
            host.clone().prop_map(|host| Event::CutOff { host }).boxed(),
        ));
        weighted.push((2, host.prop_map(|host| Event::Heal { host }).boxed()));
    }
    Union::new_weighted(weighted)
}

/// Plays random events. Returns how often a run was proven.
fn search(faults: Faults) -> usize {
    const CASES: u32 = 10_000;
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(CASES)
    };
    let proven = Cell::new(0);
    let mut runner = TestRunner::new(config);
    let events = prop::collection::vec(event(faults), 1..40);
    let result = runner.run(&events, |events| {
        let mut world = World::new();
        for event in events {
            prop_assert!(!world.apply(event), "continues from another caller's run");
        }
        proven.set(proven.get() + world.proofs.len());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    proven.get()
}

#[test]
fn no_stream_continues_from_another_callers_run_when_processes_end() {
    let faults = Faults {
        misses: false,
        kills: true,
        cuts: false,
    };
    assert!(search(faults) > 500);
}

#[test]
fn no_stream_continues_from_another_callers_run_when_hosts_are_cut_off() {
    let faults = Faults {
        misses: false,
        kills: false,
        cuts: true,
    };
    assert!(search(faults) > 500);
}

#[test]
fn no_stream_continues_from_another_callers_run_when_hosts_miss_messages() {
    let faults = Faults {
        misses: true,
        kills: false,
        cuts: false,
    };
    assert!(search(faults) > 500);
}
