//! Tests of the selection of an upstream.

use {
    proptest::prelude::*,
    tealshore_capacity::EngineKind,
    tealshore_gateway::{
        balance::{Candidate, Need, choose},
        topology::Topology,
        view::Work,
    },
};

fn candidate<'a>(id: &'a str, hall: &'a str) -> Candidate<'a> {
    Candidate {
        id,
        hall,
        kind: EngineKind::OnDemand,
        work: Work::default(),
        slots: 6,
        failure_score: 0.0,
        degraded: false,
        draw: 0.5,
    }
}

const IDS: [&str; 10] = [
    "e-0", "e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9",
];

const CALL: Need<'_> = Need::Call { hosts: 1 };

const PROMPT: Need<'_> = Need::Prompt {
    fingerprint: 1,
    memory_tokens: 10_000,
    engine_memory_tokens: 88_000,
    has_failed: false,
    prefers_isolation: false,
};

fn chosen(candidates: &[Candidate<'_>], need: Need<'_>, avoid: &[String]) -> Option<String> {
    let one_region = Topology::default();
    choose(candidates, need, &"a".to_owned(), &one_region, avoid)
        .map(|candidate| candidate.id.to_owned())
}

#[test]
fn a_prompt_goes_to_the_engine_with_the_fewest_unread_tokens() {
    let mut busy = candidate("busy", "a");
    busy.work.unread_tokens = 8_000;
    busy.work.running = 1;
    let far = candidate("far", "b");
    assert_eq!(chosen(&[busy, far], PROMPT, &[]).unwrap(), "far");
}

#[test]
fn of_equal_engines_one_in_the_same_hall_is_chosen() {
    let near = candidate("near", "a");
    let far = candidate("far", "b");
    assert_eq!(chosen(&[far, near], PROMPT, &[]).unwrap(), "near");
}

#[test]
fn an_engine_whose_memory_is_full_gets_no_prompt() {
    let mut full = candidate("full", "a");
    full.work.memory_tokens = 75_000;
    full.work.running = 7;
    assert_eq!(chosen(std::slice::from_ref(&full), PROMPT, &[]), None);
    full.work.memory_tokens = 60_000;
    assert_eq!(chosen(&[full], PROMPT, &[]).unwrap(), "full");
}

#[test]
fn an_idle_engine_takes_a_prompt_beyond_its_memory_fraction() {
    let huge = Need::Prompt {
        fingerprint: 1,
        memory_tokens: 86_000,
        engine_memory_tokens: 88_000,
        has_failed: false,
        prefers_isolation: false,
    };
    assert_eq!(
        chosen(&[candidate("idle", "a")], huge, &[]).unwrap(),
        "idle"
    );
}

/// An engine that fails every request at once is always idle, and therefore the cheapest. A prompt that
/// failed there must go to an engine with running streams as long as one has room.
#[test]
fn a_failed_prompt_goes_to_an_engine_with_running_streams() {
    let failed = Need::Prompt {
        fingerprint: 1,
        memory_tokens: 10_000,
        engine_memory_tokens: 88_000,
        has_failed: true,
        prefers_isolation: false,
    };
    let (own_hall, one_region) = ("a".to_owned(), Topology::default());
    let mut candidates = [candidate("idle", "a"), candidate("runs", "b")];
    candidates[1].work.running = 3;
    let chosen = |need| choose(&candidates, need, &own_hall, &one_region, &[]).map(|it| it.id);
    assert_eq!(chosen(PROMPT), Some("idle"));
    assert_eq!(chosen(failed), Some("runs"));
    candidates[1].work.memory_tokens = 88_000;
    let chosen = choose(&candidates, failed, &own_hall, &one_region, &[]);
    assert_eq!(chosen.map(|it| it.id), Some("idle"));
}

#[test]
fn degraded_upstreams_are_chosen_last_and_avoided_ones_never() {
    let mut degraded = candidate("degraded", "a");
    degraded.degraded = true;
    let mut busy = candidate("busy", "b");
    busy.work.running = 6;
    let both = [degraded, busy];
    assert_eq!(chosen(&both, CALL, &[]).unwrap(), "busy");
    assert_eq!(
        chosen(&both, CALL, &["busy".to_owned()]).unwrap(),
        "degraded"
    );
    let all = ["busy".to_owned(), "degraded".to_owned()];
    assert_eq!(chosen(&both, CALL, &all), None);
}

#[test]
fn a_call_avoids_an_upstream_that_fails_often() {
    let mut failing = candidate("failing", "a");
    failing.failure_score = 0.4;
    let mut sound = candidate("sound", "b");
    sound.work.running = 3;
    assert_eq!(chosen(&[failing, sound], CALL, &[]).unwrap(), "sound");
}

#[test]
fn a_copy_is_placed_in_another_hall_than_its_run() {
    let hall = "a".to_owned();
    let version = "v1".to_owned();
    let need = Need::Copy {
        kind: EngineKind::OnDemand,
        version: &version,
        away_from: &hall,
        memory_tokens: 9_000,
        engine_memory_tokens: 88_000,
    };
    let mut away = candidate("away", "b");
    away.work.memory_tokens = 40_000;
    assert_eq!(
        chosen(&[candidate("beside", "a"), away], need, &[]).unwrap(),
        "away"
    );
    assert_eq!(
        chosen(&[candidate("beside", "a")], need, &[]).unwrap(),
        "beside"
    );
}

#[test]
fn a_host_uses_only_its_share_of_an_upstream() {
    let mut busy = candidate("busy", "a");
    busy.work.running = 2;
    let of = |hosts| Need::Call { hosts };
    assert_eq!(
        chosen(std::slice::from_ref(&busy), of(3), &[]).unwrap(),
        "busy"
    );
    assert_eq!(chosen(std::slice::from_ref(&busy), of(9), &[]), None);
    busy.work.running = 1;
    assert_eq!(chosen(&[busy], of(300), &[]).unwrap(), "busy");
}

#[test]
fn copies_leave_memory_for_running_streams() {
    let hall = "a".to_owned();
    let version = "v1".to_owned();
    let need = Need::Copy {
        kind: EngineKind::OnDemand,
        version: &version,
        away_from: &hall,
        memory_tokens: 9_000,
        engine_memory_tokens: 88_000,
    };
    let mut half_full = candidate("half-full", "b");
    half_full.work.memory_tokens = 40_000;
    assert!(chosen(std::slice::from_ref(&half_full), need, &[]).is_some());
    half_full.work.memory_tokens = 50_000;
    assert_eq!(chosen(&[half_full], need, &[]), None);
}

#[test]
fn concurrent_copies_do_not_all_go_to_the_emptiest_engine() {
    let version = "v1".to_owned();
    let need = Need::Copy {
        kind: EngineKind::OnDemand,
        version: &version,
        away_from: &"a".to_owned(),
        memory_tokens: 8_000,
        engine_memory_tokens: 88_000,
    };
    // Hosts that have not heard of each other's choice draw their random numbers independently.
    let mut seed: u32 = 7;
    let mut draw = || {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(seed >> 8) / f64::from(1 << 24)
    };
    let mut at_emptiest = 0;
    for _ in 0..100 {
        let candidates: Vec<Candidate<'_>> = IDS
            .iter()
            .enumerate()
            .map(|(index, id)| {
                let mut holder = candidate(id, "b");
                holder.work.memory_tokens = if index == 0 { 0 } else { 8_000 };
                holder.draw = draw();
                holder
            })
            .collect();
        at_emptiest += u32::from(chosen(&candidates, need, &[]).as_deref() == Some("e-0"));
    }
    assert!(at_emptiest < 60, "{at_emptiest} of 100");
}

/// Halls `a` and `b` are in one region, `c` and `d` in another.
fn two_regions() -> Topology {
    let halls = [("a", "x"), ("b", "x"), ("c", "y"), ("d", "y")];
    let named = |(hall, region): (&str, &str)| (hall.to_owned(), region.to_owned());
    Topology::new(halls.into_iter().map(named).collect())
}

fn chosen_in_regions(candidates: &[Candidate<'_>], need: Need<'_>) -> Option<String> {
    let own_hall = "a".to_owned();
    choose(candidates, need, &own_hall, &two_regions(), &[]).map(|it| it.id.to_owned())
}

/// As queues grow, prompts go to the engines of the same hall, then to those of the same region, then to
/// those of other regions, and back to the nearest engine when it is idle.
#[test]
fn prompts_spill_to_the_region_and_then_elsewhere() {
    let idle = [("near", "a"), ("beside", "b"), ("far", "c")];
    let mut engines = idle.map(|(id, hall)| candidate(id, hall));
    let chosen = |engines: &[Candidate<'_>]| chosen_in_regions(engines, PROMPT).unwrap();
    assert_eq!(chosen(&engines), "near");
    engines[0].work.unread_tokens = 12_000;
    assert_eq!(chosen(&engines), "beside");
    engines[1].work.unread_tokens = 12_000;
    assert_eq!(chosen(&engines), "far");
    engines[2].work.unread_tokens = 12_000;
    assert_eq!(chosen(&engines), "near");
    engines[0].work.unread_tokens = 0;
    assert_eq!(chosen(&engines), "near");
}

#[test]
fn a_prompt_leaves_a_region_whose_engines_are_full_or_dead() {
    let mut full = candidate("full", "a");
    full.work.memory_tokens = 88_000;
    full.work.running = 9;
    let mut dead = candidate("dead", "b");
    dead.degraded = true;
    let far = candidate("far", "d");
    let engines = [full, dead, far];
    assert_eq!(chosen_in_regions(&engines, PROMPT).as_deref(), Some("far"));
    let near_only = &engines[..2];
    assert_eq!(
        chosen_in_regions(near_only, PROMPT).as_deref(),
        Some("dead")
    );
}

#[test]
fn calls_spill_to_the_region_and_then_elsewhere() {
    let idle = [("near", "a"), ("beside", "b"), ("far", "c")];
    let mut upstreams = idle.map(|(id, hall)| candidate(id, hall));
    let chosen = |upstreams: &[Candidate<'_>]| chosen_in_regions(upstreams, CALL).unwrap();
    assert_eq!(chosen(&upstreams), "near");
    upstreams[0].work.running = 4;
    assert_eq!(chosen(&upstreams), "beside");
    upstreams[1].work.running = 4;
    assert_eq!(chosen(&upstreams), "far");
}

/// Guards against copies that are lost together with their run when a region fails: with the copies in
/// another hall of the same region, 379 thousand prompt tokens were read again and 89 streams were late in
/// one day, although engines elsewhere had room.
#[test]
fn a_copy_prefers_another_region_than_its_run() {
    // The host is in another region than the run: the location of the run is what counts.
    let (run_at, version) = ("c".to_owned(), "v1".to_owned());
    let need = Need::Copy {
        version: &version,
        away_from: &run_at,
        kind: EngineKind::OnDemand,
        memory_tokens: 9_000,
        engine_memory_tokens: 88_000,
    };
    let near_run = candidate("near-run", "d");
    let far = candidate("far", "a");
    let beside = candidate("beside", "c");
    let all = [beside.clone(), far.clone(), near_run.clone()];
    assert_eq!(chosen_in_regions(&all, need).as_deref(), Some("far"));
    // A lack of free memory in the other region outweighs the distance.
    let mut full = far;
    full.work.memory_tokens = 30_000;
    let all = [beside.clone(), full, near_run.clone()];
    assert_eq!(chosen_in_regions(&all, need).as_deref(), Some("near-run"));
    // Another hall of the same region fails independently of the run's hall, and so is preferred to it.
    let others = [beside, near_run];
    assert_eq!(
        chosen_in_regions(&others, need).as_deref(),
        Some("near-run")
    );
}

proptest! {
    /// With all halls in one region, the choices are the same as without a topology.
    #[test]
    fn with_one_region_choices_match_those_without_a_topology(
        engines in prop::collection::vec((0..4_usize, 0..9_u32, 0..30_000_u64, 0.0..1.0_f64), 1..9),
    ) {
        let halls = ["a", "b", "c", "d"];
        let named = halls.map(|hall| (hall.to_owned(), "one".to_owned()));
        let one_region = Topology::new(named.into_iter().collect());
        let engines: Vec<Candidate<'_>> = engines
            .into_iter()
            .zip(IDS)
            .map(|((hall, running, unread_tokens, draw), id)| {
                let mut engine = candidate(id, halls[hall]);
                engine.work.running = running;
                engine.work.unread_tokens = unread_tokens;
                engine.draw = draw;
                engine
            })
            .collect();
        let (own_hall, version) = ("a".to_owned(), "v1".to_owned());
        let copy = Need::Copy {
            version: &version,
            away_from: &own_hall,
            kind: EngineKind::OnDemand,
            memory_tokens: 9_000,
            engine_memory_tokens: 88_000,
        };
        for need in [PROMPT, CALL, copy] {
            let with_topology = choose(&engines, need, &own_hall, &one_region, &[]);
            let without_topology = choose(&engines, need, &own_hall, &Topology::default(), &[]);
            prop_assert_eq!(with_topology.map(|it| it.id), without_topology.map(|it| it.id));
        }
    }
}

#[test]
fn a_copy_avoids_engines_that_are_withdrawn_together_with_the_run() {
    let preemptible = |id: &'static str, hall: &'static str| Candidate {
        kind: EngineKind::Preemptible,
        ..candidate(id, hall)
    };
    let mut on_demand = candidate("stays", "a");
    on_demand.work.memory_tokens = 30_000;
    let preemptible_here = preemptible("goes", "a");
    let need = Need::Copy {
        away_from: &"a".to_owned(),
        kind: EngineKind::Preemptible,
        version: &"v1".to_owned(),
        memory_tokens: 10_000,
        engine_memory_tokens: 88_000,
    };
    let here = [preemptible_here.clone(), on_demand];
    assert_eq!(chosen(&here, need, &[]).unwrap(), "stays");
    let with_other_hall = [preemptible_here, here[1].clone(), preemptible("far", "b")];
    assert_eq!(chosen(&with_other_hall, need, &[]).unwrap(), "far");
}
