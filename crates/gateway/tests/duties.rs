//! A host's state of the duties: the wall-clock time on which all hosts agree, and the stored row.

use {
    proptest::prelude::*,
    std::time::Duration,
    tealshore_capacity::{EngineKind, EngineOrder},
    tealshore_core::clock,
    tealshore_duties::{
        lease::{LeaseRecord, ProcessId},
        usage::{DecidedUsage, UsageRecord, UsageReport},
    },
    tealshore_gateway::duties::{ClockOffsets, Duties, DutyRecord, OrderState},
};

const STORE_TIME: Duration = Duration::from_secs(500);
const TRUE_TIME: Duration = Duration::from_secs(1_700_000_000);

fn offset_ms() -> i64 {
    ClockOffsets::offset_ms(TRUE_TIME, STORE_TIME).expect("both times fit")
}

fn order(engines: u32) -> EngineOrder {
    EngineOrder {
        service: "model".to_owned(),
        hall: "a".to_owned(),
        kind: EngineKind::Preemptible,
        engines,
    }
}

#[test]
fn a_minority_of_wrong_clocks_has_no_effect() {
    let now = clock::now();
    let mut offsets = ClockOffsets::default();
    for host in 0..6_i64 {
        let jump_ms = if host < 3 { 60_000 } else { 0 };
        offsets.record(&format!("host-{host}"), offset_ms() + jump_ms, now);
    }
    assert_eq!(offsets.since_epoch(TRUE_TIME, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn a_wrong_local_clock_is_outvoted() {
    let now = clock::now();
    let mut offsets = ClockOffsets::default();
    for host in 0..2 {
        offsets.record(&format!("host-{host}"), offset_ms(), now);
    }
    let wrong = TRUE_TIME + Duration::from_secs(3_600);
    assert_eq!(offsets.since_epoch(wrong, STORE_TIME, now), TRUE_TIME);
    let before_1970 = Duration::ZERO;
    assert_eq!(offsets.since_epoch(before_1970, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn a_host_without_peers_uses_its_own_clock() {
    let now = clock::now();
    let offsets = ClockOffsets::default();
    assert_eq!(offsets.since_epoch(TRUE_TIME, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn a_later_order_replaces_one_for_the_same_engines() {
    let mut record = DutyRecord::default();
    record.place_order(order(3));
    record.record_outcome(&order(3), OrderState::Accepted);
    assert_eq!(record.orders[0].state, OrderState::Accepted);
    record.place_order(order(5));
    // The answer to the first order arrives late.
    record.record_outcome(&order(3), OrderState::Accepted);
    assert_eq!(record.orders.len(), 1);
    assert_eq!(record.orders[0].order, order(5));
    assert_eq!(record.orders[0].state, OrderState::Open);
}

#[test]
fn a_row_of_another_layout_is_an_error() {
    let bytes = DutyRecord::default().to_bytes().unwrap();
    assert!(DutyRecord::from_bytes(&[]).is_err());
    let mut later = bytes.clone();
    later[0] += 1;
    assert!(DutyRecord::from_bytes(&later).is_err());
    assert!(DutyRecord::from_bytes(&bytes[..bytes.len() - 1]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(38), ..ProptestConfig::default() })]

    #[test]
    fn a_row_is_decoded_as_it_was_encoded(
        fence in 0_u64..,
        incarnation in 0_u64..,
        next in proptest::option::of(0_u64..),
        counts in proptest::collection::btree_map("[a-z]{1,8}", 0_u64.., 0..30),
        engines in 0_u32..,
    ) {
        let mut record = DutyRecord {
            lease: LeaseRecord {
                fence,
                holder: Some(ProcessId { host: "host-1".to_owned(), incarnation }),
                ..LeaseRecord::default()
            },
            usage: UsageRecord {
                next,
                decided: vec![UsageReport { window: 7, counts }],
                counted: Vec::new(),
            },
            orders: Vec::new(),
        };
        record.place_order(order(engines));
        let bytes = record.to_bytes().unwrap();
        prop_assert_eq!(DutyRecord::from_bytes(&bytes), Ok(record));
    }
}

fn duties_of(host: &str) -> Duties {
    let process = ProcessId {
        host: host.to_owned(),
        incarnation: 1,
    };
    Duties::new(None, process, &"a".to_owned())
}

/// The holder that made the decisions may restart and acquire the lease from an older row.
#[test]
fn a_host_forwards_decisions_that_it_received() {
    let report = UsageReport {
        window: 7,
        counts: [("atlas".to_owned(), 3)].into(),
    };
    let decided = DecidedUsage {
        next: 8,
        open: vec![report],
    };
    let settled = DecidedUsage {
        next: 8,
        open: Vec::new(),
    };
    let receiver = duties_of("b");
    assert_eq!(receiver.decided_to_report(), None);
    receiver.merge_decided(&decided);
    assert_eq!(receiver.decided_to_report(), Some(decided.clone()));
    receiver.merge_decided(&settled);
    receiver.merge_decided(&decided);
    assert_eq!(receiver.decided_to_report(), Some(settled));
    let mut restored = UsageRecord::default();
    restored.start_at(5);
    assert!(receiver.add_lost_decisions(&mut restored));
    assert_eq!(restored.next, Some(8));
}
