//! Whole sets of upstreams that hosts give each other.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    proptest::prelude::*,
    std::time::Duration,
    tealshore_capacity::EngineKind,
    tealshore_gateway::{
        feed::SetWatermark,
        peers::{PackedUpstreams, SetSnapshot, SnapshotRows, UnknownName},
        view::{UpstreamRecord, UpstreamState},
    },
};

/// The slowest link of a host of a large fleet, in bytes a millisecond: 20 Mbit/s.
const LINK_BYTES_PER_MS: usize = 2_500;
/// The time within which a host that starts beside others is to be ready, in milliseconds; half of it
/// is left for all else that it does.
const READY_WITHIN_MS: usize = 1_000;
/// Twice the upstreams of the largest deployment.
const UPSTREAMS: u32 = 20_000;

fn snapshot(rows: Vec<(u64, UpstreamRecord)>) -> SetSnapshot {
    SetSnapshot {
        watermark: SetWatermark {
            revision: 90_000,
            changed: 89_000,
            written: Duration::from_secs(40),
        },
        store_time: Duration::from_secs(41),
        rows: SnapshotRows::Upstreams(rows),
    }
}

fn record(number: u32) -> UpstreamRecord {
    let [_, b, c, d] = number.to_be_bytes();
    UpstreamRecord {
        id: format!("summary-llm-{number:08x}"),
        born: Some(1_790_000_000_000 + u64::from(number % 977)),
        service: "summary-llm".to_owned(),
        address: ([10, b, c, d], 8_080).into(),
        hall: format!("pnw-{}", number % 5),
        version: "version-1".to_owned(),
        slots: 8,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    }
}

/// At 10,000 upstreams a set of 0.9 MB took 360 ms on a link of 20 Mbit/s, at 20,000 it took 720 ms, and calls for
/// it were given up after 400 ms: hosts that started then read the store, page by page.
#[test]
fn a_set_of_twice_the_largest_fleet_crosses_a_slow_link_in_half_of_the_time_to_be_ready() {
    let rows = (0..UPSTREAMS).map(|number| (u64::from(number) * 3, record(number)));
    let packed = PackedUpstreams::pack(snapshot(rows.collect())).unwrap();
    let bytes = postcard::to_stdvec(&packed).unwrap().len();
    let takes_ms = bytes / LINK_BYTES_PER_MS;
    assert!(
        takes_ms <= READY_WITHIN_MS / 2,
        "{bytes} bytes take {takes_ms} ms"
    );
}

fn any_record() -> impl Strategy<Value = UpstreamRecord> {
    let state = prop_oneof![Just(UpstreamState::Ready), Just(UpstreamState::Leaving)];
    let kind = prop_oneof![Just(EngineKind::OnDemand), Just(EngineKind::Preemptible)];
    let names = ("[a-c]{0,3}", "[a-c]{0,3}", "[a-c]{0,3}", "[a-z0-9]{1,9}");
    let numbers = (
        any::<Option<u64>>(),
        any::<u32>(),
        any::<[u8; 4]>(),
        any::<u16>(),
    );
    (names, numbers, state, kind).prop_map(|(names, numbers, state, kind)| {
        let (service, hall, version, id) = names;
        let (born, slots, ip, port) = numbers;
        UpstreamRecord {
            id,
            born,
            service,
            address: (ip, port).into(),
            hall,
            version,
            slots,
            kind,
            state,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn what_is_packed_is_unpacked(rows in prop::collection::vec((any::<u64>(), any_record()), 0..40)) {
        let packed = PackedUpstreams::pack(snapshot(rows.clone())).unwrap();
        let bytes = postcard::to_stdvec(&packed).unwrap();
        let read: PackedUpstreams = postcard::from_bytes(&bytes).unwrap();
        let unpacked = read.unpack().unwrap();
        let mut expected = rows;
        expected.sort_by_key(|(revision, _)| *revision);
        let SnapshotRows::Upstreams(mut unpacked_rows) = unpacked.rows else {
            panic!("another set");
        };
        let by_all = |row: &(u64, UpstreamRecord)| (row.0, format!("{:?}", row.1));
        expected.sort_by_key(by_all);
        unpacked_rows.sort_by_key(by_all);
        prop_assert_eq!(unpacked_rows, expected);
        prop_assert_eq!(unpacked.watermark, snapshot(Vec::new()).watermark);
        prop_assert_eq!(unpacked.store_time, snapshot(Vec::new()).store_time);
    }

    /// Whatever another process sends, it is read or refused, and nothing of it is made up.
    #[test]
    fn damaged_bytes_are_refused_or_read(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(packed) = postcard::from_bytes::<PackedUpstreams>(&bytes) {
            let unpacked = packed.unpack();
            prop_assert!(unpacked.is_ok() || unpacked.err() == Some(UnknownName));
        }
    }
}

#[test]
fn a_row_that_names_what_the_set_does_not_hold_is_refused() {
    let packed = PackedUpstreams::pack(snapshot(vec![(5, record(1))])).unwrap();
    let mut bytes = postcard::to_stdvec(&packed).unwrap();
    let names = b"summary-llm\x05pnw-1\x09version-1";
    let at = bytes
        .windows(names.len())
        .position(|window| window == names)
        .unwrap();
    // One name in place of three, with its length before it.
    bytes[at - 2] = 1;
    bytes.drain(at + 11..at + names.len());
    let read: PackedUpstreams = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.unpack().err(), Some(UnknownName));
}

#[test]
fn only_upstreams_are_packed() {
    let runs = SetSnapshot {
        rows: SnapshotRows::Runs(Vec::new()),
        ..snapshot(Vec::new())
    };
    assert!(PackedUpstreams::pack(runs).is_none());
}
