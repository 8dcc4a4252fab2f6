//! Orders for engines, against a platform that starts and ends them as it is told.

mod support;

use {
    proptest::{prelude::*, test_runner::Config},
    support::{HALLS, Platform, busy},
    tealshore_capacity::{Demand, EngineKind, HoldReason, Planner, Reason, Sizing},
};

const CHEAP: EngineKind = EngineKind::Preemptible;
const SAFE: EngineKind = EngineKind::OnDemand;

/// A fleet of 76 a hall whose engines were replaced before any work came.
fn replaced() -> Platform {
    let mut platform = Platform::new(76);
    platform.run(12);
    platform
}

#[test]
fn cheap_engines_take_the_place_of_others_before_work_comes() {
    let platform = replaced();
    for hall in HALLS {
        assert_eq!(platform.listed(hall, CHEAP).serving, 72);
        assert_eq!(platform.listed(hall, SAFE).serving, 4);
    }
    assert_eq!(platform.decisions.len(), 6, "one order a hall and kind");
}

#[test]
fn others_go_only_once_cheap_ones_serve() {
    let mut platform = Platform::new(76);
    for _ in 0..12 {
        platform.run(1);
        let serving = platform.serving(CHEAP) + platform.serving(SAFE);
        assert!(serving >= 228, "{serving} serve");
    }
}

#[test]
fn while_streams_run_others_go_in_small_parts() {
    let mut platform = Platform::new(76);
    platform.demand = busy(60.0);
    platform.run(6);
    let before = platform.serving(SAFE);
    platform.run(1);
    assert!(before - platform.serving(SAFE) <= 30, "one part in eight");
    platform.run(60);
    assert_eq!(platform.serving(SAFE), 12);
}

#[test]
fn nothing_is_replaced_where_no_cheap_engines_are_to_be_had() {
    let mut platform = Platform::new(76);
    platform.is_dry = true;
    platform.run(20);
    assert_eq!(platform.serving(SAFE), 228);
    assert!(platform.decisions.len() <= 30, "asked again each 2 s only");
    platform.is_dry = false;
    platform.run(20);
    assert_eq!(platform.serving(CHEAP), 216);
}

#[test]
fn nothing_is_ordered_where_no_cheap_engines_are_offered() {
    let mut platform = Platform::new(76);
    platform.scaling.preemptible_price = None;
    platform.run(20);
    assert!(platform.decisions.is_empty());
}

#[test]
fn a_reclaimed_hall_is_ordered_again_once_there_are_some() {
    let mut platform = replaced();
    platform.demand = busy(60.0);
    platform.run(12);
    platform.is_dry = true;
    platform.reclaim("b");
    platform.run(9);
    assert_eq!(
        platform.serving(SAFE),
        12,
        "two halls are enough for the work"
    );
    platform.is_dry = false;
    platform.run(8);
    assert_eq!(platform.listed("b", CHEAP).serving, 72);
}

#[test]
fn others_stand_in_where_a_reclaim_leaves_too_few_for_the_work() {
    let mut platform = replaced();
    platform.demand = busy(110.0);
    platform.run(12);
    platform.is_dry = true;
    platform.reclaim("b");
    platform.run(7);
    let serving = platform.serving(CHEAP) + platform.serving(SAFE);
    assert_eq!(serving, 207, "110 x 1.5 / 0.8");
    assert_eq!(
        platform.listed("b", SAFE).serving,
        55,
        "where engines are fewest"
    );
    platform.is_dry = false;
    platform.run(20);
    assert_eq!(platform.serving(CHEAP), 216);
    assert_eq!(platform.serving(SAFE), 12, "they go once others are back");
}

#[test]
fn others_stand_in_for_all_that_is_taken_before_the_work_is_known() {
    let mut platform = replaced();
    platform.demand = busy(1.0);
    platform.is_dry = true;
    platform.reclaim("b");
    platform.reclaim("c");
    platform.run(7);
    assert_eq!(platform.serving(CHEAP) + platform.serving(SAFE), 228);
}

#[test]
fn cheap_engines_of_other_halls_stand_in_where_there_are_some() {
    let mut platform = replaced();
    platform.demand = busy(110.0);
    platform.run(12);
    platform.reclaim("b");
    platform.unavailable_in = Some("b");
    platform.run(1);
    let safe = platform.decisions.last().unwrap();
    let is_for_others = safe.order.hall == "c" && safe.order.kind == CHEAP;
    assert!(is_for_others, "{safe:?}");
    let mut orders = platform.ordered.iter();
    let stand_in = orders.find(|it| it.hall == "b" && it.kind == SAFE).unwrap();
    assert_eq!(stand_in.engines, 55, "whether others come is not known yet");
    platform.run(4);
    let cheap = platform.listed("a", CHEAP).serving + platform.listed("c", CHEAP).serving;
    assert_eq!(cheap, 216, "ordered in the same second");
    platform.run(12);
    assert_eq!(platform.serving(SAFE), 12, "they were not needed");
    assert_eq!(platform.serving(CHEAP), 216);
}

/// A fleet of 76 a hall with spare engines.
fn spared() -> Platform {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.run(16);
    platform
}

#[test]
fn spare_engines_bear_the_loss_of_a_hall() {
    let mut platform = spared();
    for hall in HALLS {
        assert_eq!(platform.listed(hall, CHEAP).serving, 110);
        assert_eq!(platform.listed(hall, SAFE).serving, 4);
    }
    platform.demand = busy(60.0);
    platform.run(12);
    platform.is_dry = true;
    platform.reclaim("b");
    platform.run(9);
    let serving = platform.serving(CHEAP) + platform.serving(SAFE);
    assert_eq!(serving, 232, "as many as before there were spare ones");
    assert_eq!(
        platform.serving(SAFE),
        12,
        "113 and half as many are needed"
    );
}

#[test]
fn others_stand_in_for_spare_engines_where_the_loss_of_one_more_hall_would_leave_too_few() {
    for seconds_known in [0, 12] {
        let mut platform = spared();
        platform.demand = busy(110.0);
        platform.run(seconds_known);
        platform.is_dry = true;
        platform.reclaim("b");
        platform.run(6);
        platform.reclaim("c");
        let serving = platform.serving(CHEAP) + platform.serving(SAFE);
        assert!(serving >= 200, "{serving} where 207 are needed");
    }
}

#[test]
fn what_was_asked_for_before_a_hall_was_taken_away_does_not_count_as_coming() {
    let mut platform = replaced();
    platform.demand = busy(110.0);
    platform.run(12);
    // Some engines are lost, and ordered again; then all of them go.
    platform.fleet.get_mut("b").unwrap().preemptible.serving = 60;
    platform.is_barren = true;
    platform.run(1);
    platform.is_barren = false;
    platform.is_dry = true;
    platform.reclaim("b");
    platform.run(1);
    let mut orders = platform.ordered.iter();
    let stand_in = orders.find(|it| it.hall == "b" && it.kind == SAFE).unwrap();
    assert_eq!(stand_in.engines, 55);
}

#[test]
fn where_halls_are_nearly_full_others_are_replaced_bit_by_bit() {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.scaling.most_engines = 80;
    platform.demand = busy(110.0);
    platform.run(200);
    assert_eq!(platform.serving(SAFE), 12);
    assert_eq!(platform.serving(CHEAP), 228);
}

#[test]
fn others_go_before_spare_engines_serve() {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.run(6);
    assert_eq!(
        platform.serving(SAFE),
        12,
        "76 cheap ones serve in each hall"
    );
}

#[test]
fn a_successor_knows_a_size_with_spare_engines() {
    for seconds in [2, 5, 6, 7, 10, 16] {
        let mut platform = Platform::new(76);
        platform.policy.spare_hall = true;
        platform.run(seconds);
        platform.planner = Planner::default();
        platform.run(20);
        assert_eq!(platform.serving(CHEAP), 330, "after {seconds} s");
        assert_eq!(platform.serving(SAFE), 12, "after {seconds} s");
    }
}

#[test]
fn a_growing_load_is_answered_at_once() {
    let mut platform = replaced();
    platform.demand = busy(60.0);
    platform.run(10);
    let before = platform.decisions.len();
    platform.demand = busy(160.0);
    platform.run(1);
    assert!(
        platform.decisions.len() > before,
        "ordered in the same second"
    );
    platform.run(6);
    let serving = platform.serving(CHEAP) + platform.serving(SAFE);
    assert!(serving >= 300, "{serving} for 160 x 1.5 / 0.8");
}

#[test]
fn less_work_shrinks_it_after_a_while_to_the_most_that_was_needed() {
    for sizing in [Sizing::Utilisation, Sizing::QueueingDelay] {
        let mut platform = replaced();
        platform.policy.sizing = sizing;
        platform.demand = busy(60.0);
        platform.run(15);
        platform.demand = busy(30.0);
        platform.run(12);
        assert_eq!(platform.serving(CHEAP), 216, "too early to tell");
        platform.run(60);
        let needed = busy(30.0).engines_needed(sizing, 0.5).unwrap();
        let serving = platform.serving(CHEAP) + platform.serving(SAFE);
        assert!(
            (needed..needed + 3).contains(&serving),
            "{serving}, {needed} needed"
        );
    }
}

#[test]
fn nothing_is_let_go_while_held() {
    for hold in [
        HoldReason::RolloutOpen,
        HoldReason::FewHostsHeard,
        HoldReason::HallStruck,
    ] {
        let mut platform = Platform::new(76);
        platform.hold = Some(hold);
        platform.demand = busy(5.0);
        platform.run(90);
        assert_eq!(platform.serving(SAFE), 228);
    }
}

#[test]
fn no_requests_are_not_taken_for_little_work() {
    let mut platform = replaced();
    platform.demand = Demand::default();
    platform.run(200);
    assert_eq!(platform.serving(CHEAP), 216);
}

#[test]
fn engines_that_never_come_are_ordered_again_and_nothing_is_let_go() {
    let mut platform = Platform::new(76);
    platform.is_barren = true;
    platform.run(20);
    assert_eq!(platform.serving(SAFE), 228);
    let again = platform
        .decisions
        .iter()
        .filter(|it| it.reason == Reason::Missing);
    assert!((3..=9).contains(&again.count()), "about each 6 s and hall");
    platform.is_barren = false;
    platform.run(20);
    assert_eq!(platform.serving(CHEAP), 216);
}

#[test]
fn a_silent_platform_changes_nothing() {
    let mut platform = Platform::new(76);
    platform.is_silent = true;
    platform.run(20);
    assert_eq!(platform.serving(SAFE), 228);
    platform.is_silent = false;
    platform.run(20);
    assert_eq!(platform.serving(CHEAP), 216);
}

#[test]
fn a_successor_goes_on_from_the_last_orders() {
    for seconds in [2, 5, 7, 12] {
        let mut platform = Platform::new(76);
        platform.run(seconds);
        platform.planner = Planner::default();
        platform.run(20);
        assert_eq!(platform.serving(CHEAP), 216, "after {seconds} s");
        assert_eq!(platform.serving(SAFE), 12, "after {seconds} s");
    }
}

#[test]
fn all_hosts_lost_while_a_hall_is_away_leaves_its_size_known() {
    let mut platform = replaced();
    platform.reclaim("b");
    platform.fleet.remove("b");
    platform.planner = Planner::default();
    platform.fleet.insert("b".to_owned(), Default::default());
    platform.run(20);
    assert_eq!(platform.listed("b", CHEAP).serving, 72);
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, ..Config::default() })]

    /// Whatever the work, and whatever the platform does, halls hold what they may, and what serves
    /// never falls below the work's need by an order.
    #[test]
    fn bounds_are_kept(
        each in 1_u32..150,
        sizing in prop::sample::select(vec![Sizing::Utilisation, Sizing::QueueingDelay]),
        spare_hall in any::<bool>(),
        steps in prop::collection::vec((0.0_f64..200.0, any::<bool>(), 0_usize..6), 1..30),
    ) {
        let mut platform = Platform::new(each);
        platform.policy.sizing = sizing;
        platform.policy.spare_hall = spare_hall;
        for (engines, is_dry, event) in steps {
            platform.demand = busy(engines);
            platform.is_dry = is_dry;
            if let Some(hall) = HALLS.get(event) {
                platform.reclaim(hall);
            }
            let before = platform.serving(CHEAP) + platform.serving(SAFE);
            let policy = platform.policy;
            let needed = platform.demand.engines_needed(policy.sizing, policy.reserve);
            platform.run(2);
            let after = platform.serving(CHEAP) + platform.serving(SAFE);
            let at_least = needed.unwrap_or_default();
            prop_assert!(after >= before.min(at_least), "{before} -> {after}, {at_least} needed");
            for hall in HALLS {
                let ordered: u32 = platform.ordered.iter().filter(|it| it.hall == hall).map(|it| it.engines).sum();
                prop_assert!(ordered <= 152, "{ordered} in {hall}");
            }
        }
    }

    /// Under steady work, and under a wave, orders come to rest.
    #[test]
    fn steady_work_gives_no_orders(
        engines in 10.0_f64..100.0,
        swing in 0.0_f64..0.3,
        sizing in prop::sample::select(vec![Sizing::Utilisation, Sizing::QueueingDelay]),
        spare_hall in any::<bool>(),
    ) {
        let mut platform = replaced();
        platform.policy.sizing = sizing;
        platform.policy.spare_hall = spare_hall;
        let wave = |second: u32| {
            let phase = f64::from(second) / 11.0 * std::f64::consts::TAU;
            busy(engines * (1.0 + swing * phase.sin()))
        };
        for second in 0..200 {
            platform.demand = wave(second);
            platform.run(1);
        }
        let settled = platform.decisions.len();
        for second in 200..400 {
            platform.demand = wave(second);
            platform.run(1);
        }
        prop_assert_eq!(platform.decisions.len(), settled);
    }
}
