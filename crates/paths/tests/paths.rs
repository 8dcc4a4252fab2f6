//! Paths to upstreams that are lost and restored.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, ServiceId},
    tealshore_paths::{
        CHECK_INTERVAL, DialOrder, OUTAGE_CHECK_INTERVAL, PATH_LIFETIME, PathChange, Paths,
        REFUSAL_LIFETIME, SERVICE_CHECK_INTERVAL,
    },
};

fn service() -> ServiceId {
    "model".to_owned()
}

fn upstream(number: u32) -> EngineId {
    format!("i-{number}")
}

/// Paths of a host that is cut off from the service, as two tunnels in a row show.
fn cut_off(now: Instant) -> Paths {
    let mut paths = Paths::default();
    let _ = paths.record_tunnel(&service(), &upstream(1), now);
    let lost = paths.record_tunnel(&service(), &upstream(2), now);
    assert_eq!(lost, Some(PathChange::Lost));
    paths
}

#[test]
fn one_tunnel_after_a_lost_packet_changes_nothing() {
    let now = Instant::now();
    let mut paths = Paths::default();
    assert_eq!(paths.record_tunnel(&service(), &upstream(1), now), None);
    assert_eq!(
        paths.dial_order(&service(), &upstream(1), now),
        DialOrder::DirectFirst
    );
    assert!(!paths.is_cut_off(&service(), now));
}

#[test]
fn a_host_cut_off_from_a_service_uses_tunnels_for_all_of_its_upstreams() {
    let now = Instant::now();
    let mut paths = cut_off(now);
    assert_eq!(
        paths.dial_order(&service(), &upstream(9), now),
        DialOrder::TunnelFirst
    );
    let other_service = "tiles".to_owned();
    assert_eq!(
        paths.dial_order(&other_service, &upstream(20), now),
        DialOrder::DirectFirst
    );
    assert_eq!(paths.cut_off_services(now), [service()]);
}

#[test]
fn the_direct_path_to_a_service_is_checked_at_intervals() {
    let start = Instant::now();
    let mut paths = cut_off(start);
    let mut checks = 0;
    let steps = 40;
    let step = SERVICE_CHECK_INTERVAL / 10;
    for number in 1..=steps {
        let now = start + step * number;
        let _ = paths.record_tunnel(&service(), &upstream(100 + number), now);
        let order = paths.dial_order(&service(), &upstream(1_000 + number), now);
        checks += u32::from(order == DialOrder::Both);
    }
    assert_eq!(checks, 4);
}

#[test]
fn a_direct_connection_restores_the_path_to_a_service() {
    let now = Instant::now();
    let mut paths = cut_off(now);
    assert_eq!(
        paths.record_direct(&service(), &upstream(5)),
        Some(PathChange::Restored)
    );
    assert!(!paths.is_cut_off(&service(), now));
    assert_eq!(
        paths.dial_order(&service(), &upstream(5), now),
        DialOrder::DirectFirst
    );
}

#[test]
fn a_single_lost_path_does_not_move_other_upstreams_to_tunnels() {
    let start = Instant::now();
    let mut paths = Paths::default();
    for _ in 0..3 {
        let _ = paths.record_tunnel(&service(), &upstream(1), start);
        let _ = paths.record_direct(&service(), &upstream(2));
    }
    assert_eq!(
        paths.dial_order(&service(), &upstream(1), start),
        DialOrder::TunnelFirst
    );
    assert_eq!(
        paths.dial_order(&service(), &upstream(3), start),
        DialOrder::DirectFirst
    );
    assert!(!paths.is_cut_off(&service(), start));
    assert_eq!(
        paths.dial_order(&service(), &upstream(1), start + CHECK_INTERVAL),
        DialOrder::Both
    );
}

#[test]
fn a_lost_path_is_forgotten_without_use() {
    let start = Instant::now();
    let mut paths = cut_off(start);
    let later = start + PATH_LIFETIME;
    assert!(paths.cut_off_services(later).is_empty());
    assert_eq!(
        paths.dial_order(&service(), &upstream(1), later),
        DialOrder::DirectFirst
    );
    // Old tunnels don't count towards a new loss.
    let _ = paths.record_tunnel(&service(), &upstream(1), later);
    assert!(!paths.is_cut_off(&service(), later));
}

#[test]
fn an_upstream_is_doubtful_until_another_host_confirms_that_it_is_unreachable() {
    let now = Instant::now();
    let mut paths = Paths::default();
    paths.record_unreachable(&upstream(1), now);
    paths.record_unreachable(&upstream(2), now);
    paths.record_confirmed_unreachable(&upstream(1));
    assert!(!paths.is_doubtful(&upstream(1), now));
    assert!(paths.is_doubtful(&upstream(2), now));
    assert!(!paths.is_doubtful(&upstream(2), now + Duration::from_secs(2)));
}

#[test]
fn requests_are_refused_while_most_upstreams_are_out_of_reach_but_for_one_in_each_interval() {
    let start = Instant::now();
    let mut paths = Paths::default();
    paths.record_out_of_reach(&service(), &upstream(1), start);
    paths.record_out_of_reach(&service(), &upstream(1), start);
    assert!(!paths.refuses(&service(), 3, start));
    paths.record_out_of_reach(&service(), &upstream(2), start);
    let step = OUTAGE_CHECK_INTERVAL / 10;
    let refused = (0..30).map(|at| {
        let now = start + step * at;
        paths.record_out_of_reach(&service(), &upstream(2), now);
        paths.refuses(&service(), 3, now)
    });
    assert_eq!(refused.filter(|refused| !refused).count(), 3);
    let _ = paths.record_tunnel(&service(), &upstream(3), start);
    assert!(!paths.refuses(&service(), 3, start));
}

#[test]
fn a_host_that_opened_no_tunnel_is_not_asked_again_for_a_while() {
    let start = Instant::now();
    let mut paths = Paths::default();
    let host = "host-1".to_owned();
    paths.record_refused_tunnel(&service(), &host, start);
    assert_eq!(
        paths.hosts_without_tunnels(&service(), &upstream(1), start),
        [host]
    );
    let other_service = "tiles".to_owned();
    assert!(
        paths
            .hosts_without_tunnels(&other_service, &upstream(2), start)
            .is_empty()
    );
    let later = start + REFUSAL_LIFETIME;
    assert!(
        paths
            .hosts_without_tunnels(&service(), &upstream(1), later)
            .is_empty()
    );
}

#[test]
fn a_host_that_does_not_know_one_upstream_is_still_asked_for_the_others() {
    let now = Instant::now();
    let mut paths = Paths::default();
    let host = "host-1".to_owned();
    paths.record_unknown_upstream(&upstream(1), &host, now);
    let hosts_without = |number| paths.hosts_without_tunnels(&service(), &upstream(number), now);
    assert_eq!(hosts_without(1), [host]);
    assert!(hosts_without(2).is_empty());
}

#[test]
fn an_outage_is_forgotten_without_further_failures() {
    let start = Instant::now();
    let mut paths = Paths::default();
    paths.record_out_of_reach(&service(), &upstream(1), start);
    assert!(!paths.refuses(&service(), 1, start));
    assert!(paths.refuses(&service(), 1, start));
    assert!(!paths.refuses(&service(), 1, start + Duration::from_secs(1)));
}

#[derive(Clone, Copy, Debug)]
enum Connection {
    Direct(u32),
    Tunnel(u32),
}

fn connection() -> impl Strategy<Value = (Connection, u64)> {
    let kind = prop_oneof![
        (0_u32..4).prop_map(Connection::Direct),
        (0_u32..4).prop_map(Connection::Tunnel)
    ];
    (kind, 0_u64..2_000)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::with_cases(200) })]

    /// Whatever came before, a direct connection ends the loss of its upstream's and its service's path, and a
    /// service is lost only while its last two connections were tunnels.
    #[test]
    fn the_last_connections_decide(steps in prop::collection::vec(connection(), 1..60)) {
        let mut now = Instant::now();
        let mut paths = Paths::default();
        let mut tunnels_in_a_row = 0;
        for (connection, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            match connection {
                Connection::Direct(number) => {
                    let _ = paths.record_direct(&service(), &upstream(number));
                    tunnels_in_a_row = 0;
                    prop_assert_eq!(paths.dial_order(&service(), &upstream(number), now), DialOrder::DirectFirst);
                }
                Connection::Tunnel(number) => {
                    let _ = paths.record_tunnel(&service(), &upstream(number), now);
                    tunnels_in_a_row += 1;
                }
            }
            prop_assert_eq!(paths.is_cut_off(&service(), now), tunnels_in_a_row >= 2);
        }
    }
}
