//! Tests of the planner against a simulated platform that starts and ends engines as ordered.

mod support;

use {
    proptest::{prelude::*, test_runner::Config},
    support::{HALLS, Platform, demand_for},
    tealshore_capacity::{Demand, EngineKind, HoldReason, Planner, Reason, Sizing},
};

const PREEMPTIBLE: EngineKind = EngineKind::Preemptible;
const ON_DEMAND: EngineKind = EngineKind::OnDemand;

/// Returns a fleet of 76 engines per hall whose on-demand engines were replaced before work started.
fn replaced_fleet() -> Platform {
    let mut platform = Platform::new(76);
    platform.run(12);
    platform
}

#[test]
fn preemptible_engines_replace_on_demand_ones_before_work_starts() {
    let platform = replaced_fleet();
    for hall in HALLS {
        assert_eq!(platform.listed(hall, PREEMPTIBLE).serving, 72);
        assert_eq!(platform.listed(hall, ON_DEMAND).serving, 4);
    }
    assert_eq!(platform.decisions.len(), 6, "one order per hall and kind");
}

#[test]
fn on_demand_engines_are_released_only_after_preemptible_ones_serve() {
    let mut platform = Platform::new(76);
    for _ in 0..12 {
        platform.run(1);
        let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
        assert!(serving >= 228, "only {serving} engines serve");
    }
}

#[test]
fn while_streams_run_on_demand_engines_are_released_in_small_steps() {
    let mut platform = Platform::new(76);
    platform.demand = demand_for(60.0);
    platform.run(6);
    let before = platform.serving(ON_DEMAND);
    platform.run(1);
    assert!(
        before - platform.serving(ON_DEMAND) <= 30,
        "at most one eighth per hall and step"
    );
    platform.run(60);
    assert_eq!(platform.serving(ON_DEMAND), 12);
}

#[test]
fn nothing_is_replaced_while_preemptible_engines_are_unavailable() {
    let mut platform = Platform::new(76);
    platform.has_no_preemptible = true;
    platform.run(20);
    assert_eq!(platform.serving(ON_DEMAND), 228);
    assert!(platform.decisions.len() <= 30, "repeated at most every 2 s");
    platform.has_no_preemptible = false;
    platform.run(20);
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
}

#[test]
fn nothing_is_ordered_if_preemptible_engines_are_not_offered() {
    let mut platform = Platform::new(76);
    platform.scaling.preemptible_price = None;
    platform.run(20);
    assert!(platform.decisions.is_empty());
}

#[test]
fn a_reclaimed_hall_is_ordered_again_once_engines_are_available() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(60.0);
    platform.run(12);
    platform.has_no_preemptible = true;
    platform.reclaim("b");
    platform.run(9);
    assert_eq!(
        platform.serving(ON_DEMAND),
        12,
        "two halls suffice for the work"
    );
    platform.has_no_preemptible = false;
    platform.run(8);
    assert_eq!(platform.listed("b", PREEMPTIBLE).serving, 72);
}

#[test]
fn on_demand_engines_substitute_if_a_reclaim_leaves_too_few() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(110.0);
    platform.run(12);
    platform.has_no_preemptible = true;
    platform.reclaim("b");
    platform.run(7);
    let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
    assert_eq!(serving, 207, "110 x 1.5 / 0.8 = 207 are needed");
    assert_eq!(
        platform.listed("b", ON_DEMAND).serving,
        55,
        "in the hall with the fewest engines"
    );
    platform.has_no_preemptible = false;
    platform.run(20);
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
    assert_eq!(
        platform.serving(ON_DEMAND),
        12,
        "released once preemptible engines are back"
    );
}

#[test]
fn all_reclaimed_engines_are_substituted_before_the_work_is_known() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(1.0);
    platform.has_no_preemptible = true;
    platform.reclaim("b");
    platform.reclaim("c");
    platform.run(7);
    assert_eq!(
        platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND),
        228
    );
}

#[test]
fn preemptible_engines_of_other_halls_substitute_if_available() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(110.0);
    platform.run(12);
    platform.reclaim("b");
    platform.unavailable_in = Some("b");
    platform.run(1);
    let last_decision = platform.decisions.last().unwrap();
    let is_in_other_hall =
        last_decision.order.hall == "c" && last_decision.order.kind == PREEMPTIBLE;
    assert!(is_in_other_hall, "{last_decision:?}");
    let mut orders = platform.ordered.iter();
    let substitute = orders
        .find(|it| it.hall == "b" && it.kind == ON_DEMAND)
        .unwrap();
    assert_eq!(
        substitute.engines, 55,
        "it is not known yet whether preemptible engines are available"
    );
    platform.run(4);
    let preemptible =
        platform.listed("a", PREEMPTIBLE).serving + platform.listed("c", PREEMPTIBLE).serving;
    assert_eq!(preemptible, 216, "ordered in the same second");
    platform.run(12);
    assert_eq!(
        platform.serving(ON_DEMAND),
        12,
        "the substitutes were not needed"
    );
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
}

/// Returns a fleet of 76 engines per hall plus spare ones.
fn fleet_with_spares() -> Platform {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.run(16);
    platform
}

#[test]
fn spare_engines_cover_the_loss_of_a_hall() {
    let mut platform = fleet_with_spares();
    for hall in HALLS {
        assert_eq!(platform.listed(hall, PREEMPTIBLE).serving, 110);
        assert_eq!(platform.listed(hall, ON_DEMAND).serving, 4);
    }
    platform.demand = demand_for(60.0);
    platform.run(12);
    platform.has_no_preemptible = true;
    platform.reclaim("b");
    platform.run(9);
    let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
    assert_eq!(
        serving, 232,
        "as many as the size, plus the on-demand floor of the lost hall"
    );
    assert_eq!(
        platform.serving(ON_DEMAND),
        12,
        "113 engines are needed, 170 with spare ones"
    );
}

#[test]
fn lost_spare_engines_are_substituted_to_cover_the_loss_of_one_more_hall() {
    for seconds_known in [0, 12] {
        let mut platform = fleet_with_spares();
        platform.demand = demand_for(110.0);
        platform.run(seconds_known);
        platform.has_no_preemptible = true;
        platform.reclaim("b");
        platform.run(6);
        platform.reclaim("c");
        let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
        assert!(serving >= 200, "{serving} engines serve, 207 are needed");
    }
}

#[test]
fn orders_placed_before_a_reclaim_do_not_count_as_pending() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(110.0);
    platform.run(12);
    // Some engines are lost and ordered again; then all are reclaimed.
    platform.fleet.get_mut("b").unwrap().preemptible.serving = 60;
    platform.starts_no_engines = true;
    platform.run(1);
    platform.starts_no_engines = false;
    platform.has_no_preemptible = true;
    platform.reclaim("b");
    platform.run(1);
    let mut orders = platform.ordered.iter();
    let substitute = orders
        .find(|it| it.hall == "b" && it.kind == ON_DEMAND)
        .unwrap();
    assert_eq!(substitute.engines, 55);
}

#[test]
fn in_nearly_full_halls_on_demand_engines_are_replaced_step_by_step() {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.scaling.most_engines = 80;
    platform.demand = demand_for(110.0);
    platform.run(200);
    assert_eq!(platform.serving(ON_DEMAND), 12);
    assert_eq!(platform.serving(PREEMPTIBLE), 228);
}

#[test]
fn on_demand_engines_are_released_before_spare_engines_serve() {
    let mut platform = Platform::new(76);
    platform.policy.spare_hall = true;
    platform.run(6);
    assert_eq!(
        platform.serving(ON_DEMAND),
        12,
        "76 preemptible engines serve in each hall"
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
        assert_eq!(platform.serving(PREEMPTIBLE), 330, "after {seconds} s");
        assert_eq!(platform.serving(ON_DEMAND), 12, "after {seconds} s");
    }
}

#[test]
fn a_growing_load_is_met_immediately() {
    let mut platform = replaced_fleet();
    platform.demand = demand_for(60.0);
    platform.run(10);
    let before = platform.decisions.len();
    platform.demand = demand_for(160.0);
    platform.run(1);
    assert!(
        platform.decisions.len() > before,
        "ordered in the same second"
    );
    platform.run(6);
    let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
    assert!(
        serving >= 300,
        "{serving} engines serve, 160 x 1.5 / 0.8 = 300 are needed"
    );
}

#[test]
fn less_work_shrinks_the_fleet_to_the_highest_need_after_a_delay() {
    for sizing in [Sizing::Utilisation, Sizing::QueueingDelay] {
        let mut platform = replaced_fleet();
        platform.policy.sizing = sizing;
        platform.demand = demand_for(60.0);
        platform.run(15);
        platform.demand = demand_for(30.0);
        platform.run(12);
        assert_eq!(platform.serving(PREEMPTIBLE), 216, "too early to shrink");
        platform.run(60);
        let needed = demand_for(30.0).engines_needed(sizing, 0.5).unwrap();
        let serving = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
        assert!(
            (needed..needed + 3).contains(&serving),
            "{serving} engines serve, {needed} are needed"
        );
    }
}

#[test]
fn nothing_is_released_while_a_hold_is_set() {
    for hold in [
        HoldReason::RolloutOpen,
        HoldReason::FewHostsHeard,
        HoldReason::HallStruck,
    ] {
        let mut platform = Platform::new(76);
        platform.hold = Some(hold);
        platform.demand = demand_for(5.0);
        platform.run(90);
        assert_eq!(platform.serving(ON_DEMAND), 228);
    }
}

#[test]
fn no_requests_are_not_treated_as_low_demand() {
    let mut platform = replaced_fleet();
    platform.demand = Demand::default();
    platform.run(200);
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
}

#[test]
fn missing_engines_are_ordered_again_and_nothing_is_released() {
    let mut platform = Platform::new(76);
    platform.starts_no_engines = true;
    platform.run(20);
    assert_eq!(platform.serving(ON_DEMAND), 228);
    let repeated = platform
        .decisions
        .iter()
        .filter(|it| it.reason == Reason::Missing);
    assert!(
        (3..=9).contains(&repeated.count()),
        "about every 6 s in each hall"
    );
    platform.starts_no_engines = false;
    platform.run(20);
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
}

#[test]
fn an_unreachable_platform_changes_nothing() {
    let mut platform = Platform::new(76);
    platform.is_unreachable = true;
    platform.run(20);
    assert_eq!(platform.serving(ON_DEMAND), 228);
    platform.is_unreachable = false;
    platform.run(20);
    assert_eq!(platform.serving(PREEMPTIBLE), 216);
}

#[test]
fn a_successor_continues_from_the_last_orders() {
    for seconds in [2, 5, 7, 12] {
        let mut platform = Platform::new(76);
        platform.run(seconds);
        platform.planner = Planner::default();
        platform.run(20);
        assert_eq!(platform.serving(PREEMPTIBLE), 216, "after {seconds} s");
        assert_eq!(platform.serving(ON_DEMAND), 12, "after {seconds} s");
    }
}

#[test]
fn the_size_of_a_lost_hall_is_known_after_all_hosts_restart() {
    let mut platform = replaced_fleet();
    platform.reclaim("b");
    platform.fleet.remove("b");
    platform.planner = Planner::default();
    platform.fleet.insert("b".to_owned(), Default::default());
    platform.run(20);
    assert_eq!(platform.listed("b", PREEMPTIBLE).serving, 72);
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, ..Config::default() })]

    /// For any work and any behaviour of the platform, halls stay within their limits, and no order
    /// reduces the serving engines below the number that the work needs.
    #[test]
    fn limits_are_respected(
        engines_per_hall in 1_u32..150,
        sizing in prop::sample::select(vec![Sizing::Utilisation, Sizing::QueueingDelay]),
        spare_hall in any::<bool>(),
        steps in prop::collection::vec((0.0_f64..200.0, any::<bool>(), 0_usize..6), 1..30),
    ) {
        let mut platform = Platform::new(engines_per_hall);
        platform.policy.sizing = sizing;
        platform.policy.spare_hall = spare_hall;
        for (engines, has_no_preemptible, event) in steps {
            platform.demand = demand_for(engines);
            platform.has_no_preemptible = has_no_preemptible;
            if let Some(hall) = HALLS.get(event) {
                platform.reclaim(hall);
            }
            let before = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
            let policy = platform.policy;
            let needed = platform.demand.engines_needed(policy.sizing, policy.reserve);
            platform.run(2);
            let after = platform.serving(PREEMPTIBLE) + platform.serving(ON_DEMAND);
            let required = needed.unwrap_or_default();
            prop_assert!(after >= before.min(required), "{before} -> {after} engines serve, {required} are needed");
            for hall in HALLS {
                let ordered: u32 = platform.ordered.iter().filter(|it| it.hall == hall).map(|it| it.engines).sum();
                prop_assert!(ordered <= 152, "{ordered} engines ordered in {hall}");
            }
        }
    }

    /// Under constant or periodic work, the planner stops placing orders.
    #[test]
    fn steady_work_causes_no_orders(
        engines in 10.0_f64..100.0,
        swing in 0.0_f64..0.3,
        sizing in prop::sample::select(vec![Sizing::Utilisation, Sizing::QueueingDelay]),
        spare_hall in any::<bool>(),
    ) {
        let mut platform = replaced_fleet();
        platform.policy.sizing = sizing;
        platform.policy.spare_hall = spare_hall;
        let wave = |second: u32| {
            let phase = f64::from(second) / 11.0 * std::f64::consts::TAU;
            demand_for(engines * (1.0 + swing * phase.sin()))
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
