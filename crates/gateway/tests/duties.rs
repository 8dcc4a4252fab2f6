//! What a host keeps of the duties: the clock that all agree on, and the row of the store.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_capacity::{EngineKind, EngineOrder},
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
fn less_than_half_of_the_clocks_move_nothing() {
    let now = Instant::now();
    let mut offsets = ClockOffsets::default();
    for host in 0..6_i64 {
        let jump_ms = if host < 3 { 60_000 } else { 0 };
        offsets.hear(&format!("host-{host}"), offset_ms() + jump_ms, now);
    }
    assert_eq!(offsets.since_epoch(TRUE_TIME, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn an_own_clock_that_is_wrong_is_outvoted() {
    let now = Instant::now();
    let mut offsets = ClockOffsets::default();
    for host in 0..2 {
        offsets.hear(&format!("host-{host}"), offset_ms(), now);
    }
    let wrong = TRUE_TIME + Duration::from_secs(3_600);
    assert_eq!(offsets.since_epoch(wrong, STORE_TIME, now), TRUE_TIME);
    let before_1970 = Duration::ZERO;
    assert_eq!(offsets.since_epoch(before_1970, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn a_host_that_hears_nobody_goes_by_its_own_clock() {
    let now = Instant::now();
    let offsets = ClockOffsets::default();
    assert_eq!(offsets.since_epoch(TRUE_TIME, STORE_TIME, now), TRUE_TIME);
}

#[test]
fn a_later_order_takes_the_place_of_one_for_the_same_engines() {
    let mut record = DutyRecord::default();
    record.place(order(3));
    record.note_outcome(&order(3), OrderState::Accepted);
    assert_eq!(record.orders[0].state, OrderState::Accepted);
    record.place(order(5));
    // The answer to the first order comes late.
    record.note_outcome(&order(3), OrderState::Accepted);
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
    fn a_row_is_read_as_it_was_written(
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
        record.place(order(engines));
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

/// The holder that decided them may start again, and take the lease from an older row.
#[test]
fn decisions_that_a_host_heard_it_tells_others() {
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
    let heard = duties_of("b");
    assert_eq!(heard.decided_to_gossip(), None);
    heard.merge_decided(&decided);
    assert_eq!(heard.decided_to_gossip(), Some(decided.clone()));
    heard.merge_decided(&settled);
    heard.merge_decided(&decided);
    assert_eq!(heard.decided_to_gossip(), Some(settled));
    let mut copied = UsageRecord::default();
    copied.start_at(5);
    assert!(heard.add_lost_decisions(&mut copied));
    assert_eq!(copied.next, Some(8));
}
