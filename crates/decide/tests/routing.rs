//! Tests of the engine selection.

use {
    std::{collections::BTreeMap, time::Duration},
    tealshore_decide::routing::{Candidate, Urgency, choose},
};

fn candidate(name: &str) -> Candidate {
    Candidate {
        engine: name.to_owned(),
        slots: 8,
        reported: 0,
        report_age: Duration::ZERO,
        sent_since: 0,
        own: 0,
        same_hall: true,
    }
}

/// Returns well spread numbers that are the same in each run.
fn randoms(count: u64) -> impl Iterator<Item = u64> {
    (1..=count).map(|index| index.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ (index << 7))
}

#[test]
fn full_engines_take_resumes_but_no_new_work() {
    let full = Candidate {
        reported: 10,
        ..candidate("full")
    };
    let own_full = Candidate {
        own: 10,
        ..candidate("own")
    };
    for engine in [full, own_full] {
        let engines = [engine];
        assert_eq!(choose(&engines, Urgency::New, 1), None);
        assert!(choose(&engines, Urgency::Resume, 1).is_some());
    }
    assert_eq!(choose(&[], Urgency::Resume, 1), None);
}

#[test]
fn requests_sent_since_the_report_count_as_load() {
    let engines = [
        Candidate {
            reported: 6,
            sent_since: 4,
            ..candidate("a")
        },
        candidate("b"),
    ];
    for random in randoms(100) {
        assert_eq!(choose(&engines, Urgency::New, random).unwrap().engine, "b");
    }
}

#[test]
fn stale_reports_do_not_send_all_work_to_one_idle_engine() {
    // According to the reports, which may be outdated, one engine is idle and nine are half full.
    let mut engines: Vec<Candidate> = (0..9)
        .map(|index| Candidate {
            reported: 4,
            ..candidate(&format!("busy-{index}"))
        })
        .collect();
    engines.push(candidate("idle"));
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for random in randoms(1_000) {
        *chosen
            .entry(
                choose(&engines, Urgency::New, random)
                    .unwrap()
                    .engine
                    .clone(),
            )
            .or_default() += 1;
    }
    assert!(chosen["idle"] < 400, "{chosen:?}");
    assert_eq!(chosen.len(), 10, "{chosen:?}");
}

#[test]
fn the_own_hall_is_preferred_among_equals() {
    let engines = [
        Candidate {
            same_hall: false,
            ..candidate("far")
        },
        candidate("near"),
    ];
    let near = randoms(1_000)
        .filter(|random| choose(&engines, Urgency::New, *random).unwrap().engine == "near")
        .count();
    assert!(near > 600, "{near}");
}
