//! Snapshots of upstreams that hosts serve to each other.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    bytes::Bytes,
    proptest::prelude::*,
    std::time::Duration,
    tealshore_capacity::EngineKind,
    tealshore_core::clock,
    tealshore_gateway::{
        feed::SetWatermark,
        peers::{
            InvalidNameIndex, PackedUpstreams, SNAPSHOT_CACHE_TIME, SetSnapshot, SnapshotCache,
            SnapshotRows, for_earlier_builds, max_snapshot_connections, restore_key_requirement,
        },
        view::{
            Configuration, Customer, UpstreamChanges, UpstreamRecord, UpstreamState, Upstreams,
        },
    },
};

/// Slowest link of a host of a large fleet, in bytes per millisecond: 20 Mbit/s.
const LINK_BYTES_PER_MS: usize = 2_500;
/// Time in milliseconds within which a host that starts beside others must be ready. Half of it is reserved for the
/// rest of the start.
const READY_WITHIN_MS: usize = 1_000;
/// Twice the number of upstreams of the largest deployment.
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

/// Guards against snapshots that exceed the timeout of a snapshot call on a slow link. On 20 Mbit/s, 0.9 MB for 10,000
/// upstreams took 360 ms, and the snapshot for 20,000 took 720 ms. Calls were abandoned after 400 ms, and hosts that
/// started then read the store page by page.
#[test]
fn a_set_of_twice_the_largest_fleet_crosses_a_slow_link_within_half_of_the_startup_time() {
    let rows = (0..UPSTREAMS).map(|number| (u64::from(number) * 3, record(number)));
    let packed = PackedUpstreams::pack(snapshot(rows.collect())).unwrap();
    let bytes = postcard::to_stdvec(&packed).unwrap().len();
    let transfer_ms = bytes / LINK_BYTES_PER_MS;
    assert!(
        transfer_ms <= READY_WITHIN_MS / 2,
        "{bytes} bytes take {transfer_ms} ms on the link"
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

/// A change of a row: it is listed with a state, or removed.
#[derive(Clone, Copy, Debug)]
enum RowChange {
    Listed(UpstreamState),
    Gone,
}

/// A change of one of a few rows, with the row's number.
fn any_change() -> impl Strategy<Value = (u32, RowChange)> {
    let change = prop_oneof![
        Just(RowChange::Listed(UpstreamState::Ready)),
        Just(RowChange::Listed(UpstreamState::Leaving)),
        Just(RowChange::Gone),
    ];
    (0_u32..4, change)
}

fn apply(upstreams: &Upstreams, revision: u64, (number, change): (u32, RowChange)) {
    match change {
        RowChange::Listed(state) => {
            let row = UpstreamRecord {
                state,
                ..record(number)
            };
            upstreams.put(revision, row);
        }
        RowChange::Gone => {
            upstreams.remove(revision, &record(number).id);
        }
    }
}

fn sorted_rows(upstreams: &Upstreams) -> Vec<(u64, UpstreamRecord)> {
    let mut rows = upstreams.rows();
    rows.sort_by(|one, other| one.1.id.cmp(&other.1.id));
    rows
}

/// A host that applied a full set as of a version.
fn host_with_full_set(revision: u64, rows: &[(u64, UpstreamRecord)]) -> Upstreams {
    let host = Upstreams::default();
    for (row, record) in rows {
        host.put(*row, record.clone());
    }
    let present: Vec<_> = rows.iter().map(|(_, record)| record.id.clone()).collect();
    host.retain(revision, &present);
    host
}

/// A host's copy of the upstreams, and its version.
struct HostCopy {
    upstreams: Upstreams,
    revision: u64,
}

impl HostCopy {
    fn empty() -> Self {
        Self {
            upstreams: Upstreams::default(),
            revision: 0,
        }
    }

    /// Applies all rows.
    fn read_full(&mut self, store: &Upstreams, revision: u64) {
        let rows = store.rows();
        let present: Vec<_> = rows.iter().map(|(_, it)| it.id.clone()).collect();
        for (row, record) in rows {
            self.upstreams.put(row, record);
        }
        self.upstreams.retain(revision, &present);
        self.revision = revision;
    }

    /// Applies changes, each with the current state of the row.
    fn apply(&mut self, changes: UpstreamChanges, revision: u64) {
        assert!(changes.after <= self.revision);
        for (row, record) in changes.listed {
            self.upstreams.put(row, record);
        }
        for (row, id) in changes.gone {
            self.upstreams.remove(row, &id);
        }
        self.revision = revision;
    }
}

/// An event at the store, at the host that serves changes, or at the host that requests them.
#[derive(Clone, Debug)]
enum Step {
    Row(u32, RowChange),
    SourceReads,
    SourceWatches,
    OtherReads,
    OtherWatches,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any_change().prop_map(|(number, change)| Step::Row(number, change)),
        1 => Just(Step::SourceReads),
        2 => Just(Step::SourceWatches),
        1 => Just(Step::OtherReads),
        2 => Just(Step::OtherWatches),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(1_000) })]

    /// A host that missed changes gets them, or all rows, from another host, and then has what the store holds. The
    /// other host read and watched the set at other times, and may never have seen rows that were added and removed in
    /// between.
    #[test]
    fn a_host_that_missed_changes_catches_up_with_the_store(
        steps in prop::collection::vec(any_step(), 0..60),
    ) {
        let store = Upstreams::default();
        store.retain(0, &[]);
        let mut revision = 0;
        let (mut source, mut other) = (HostCopy::empty(), HostCopy::empty());
        source.read_full(&store, revision);
        other.read_full(&store, revision);
        for step in steps {
            match step {
                Step::Row(number, change) => {
                    revision += 1;
                    apply(&store, revision, (number, change));
                }
                Step::SourceReads => source.read_full(&store, revision),
                Step::OtherReads => other.read_full(&store, revision),
                Step::SourceWatches => {
                    let changes = store.changes_after(source.revision).unwrap();
                    source.apply(changes, revision);
                }
                Step::OtherWatches => {
                    let changes = store.changes_after(other.revision).unwrap();
                    other.apply(changes, revision);
                }
            }
        }
        let changes = store.changes_after(source.revision).unwrap();
        source.apply(changes, revision);
        match source.upstreams.changes_after(other.revision) {
            Some(changes) => other.apply(changes, revision),
            None => other.read_full(&source.upstreams, revision),
        }
        prop_assert_eq!(sorted_rows(&other.upstreams), sorted_rows(&store));
    }
}

/// Guards against sending all rows to a host that missed three of them. That took 0.7 MB at 10,000 upstreams, a third
/// of a second on a 20 Mbit/s link, for each of 300 hosts that recover from a network partition at the same time.
#[test]
fn catching_up_transfers_only_changed_rows() {
    let rows: Vec<_> = (0..10_000).map(|number| (1, record(number))).collect();
    let source = host_with_full_set(1, &rows);
    for number in 0..3 {
        let state = UpstreamState::Leaving;
        let row = UpstreamRecord {
            state,
            ..record(number)
        };
        source.put(u64::from(number) + 2, row);
    }
    let changes = source.changes_after(1).unwrap();
    assert_eq!((changes.listed.len(), changes.gone.len()), (3, 0));
    let changes = SetSnapshot {
        rows: SnapshotRows::UpstreamChanges(changes),
        ..snapshot(Vec::new())
    };
    let packed = PackedUpstreams::pack(changes).unwrap();
    assert!(postcard::to_stdvec(&packed).unwrap().len() < 500);
}

#[test]
fn changes_are_unavailable_while_rows_may_expire() {
    let source = host_with_full_set(1, &[(1, record(1)), (1, record(2))]);
    assert!(source.changes_after(1).is_some());
    let until = clock::now() + Duration::from_secs(60);
    source.retain_after_outage(2, &[record(1).id], until);
    assert!(source.changes_after(1).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn unpacking_restores_packed_rows(rows in prop::collection::vec((any::<u64>(), any_record()), 0..40)) {
        let packed = PackedUpstreams::pack(snapshot(rows.clone())).unwrap();
        let bytes = postcard::to_stdvec(&packed).unwrap();
        let read: PackedUpstreams = postcard::from_bytes(&bytes).unwrap();
        let unpacked = read.unpack().unwrap();
        let mut expected = rows;
        expected.sort_by_key(|(revision, _)| *revision);
        let SnapshotRows::Upstreams(mut unpacked_rows) = unpacked.rows else {
            panic!("unpacked rows are not upstreams");
        };
        let sort_key = |row: &(u64, UpstreamRecord)| (row.0, format!("{:?}", row.1));
        expected.sort_by_key(sort_key);
        unpacked_rows.sort_by_key(sort_key);
        prop_assert_eq!(unpacked_rows, expected);
        prop_assert_eq!(unpacked.watermark, snapshot(Vec::new()).watermark);
        prop_assert_eq!(unpacked.store_time, snapshot(Vec::new()).store_time);
    }

    /// Arbitrary bytes are read or rejected, without names that the set doesn't contain.
    #[test]
    fn arbitrary_bytes_are_rejected_or_read(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(packed) = postcard::from_bytes::<PackedUpstreams>(&bytes) {
            let unpacked = packed.unpack();
            prop_assert!(unpacked.is_ok() || unpacked.err() == Some(InvalidNameIndex));
        }
    }
}

#[test]
fn a_row_with_an_invalid_name_index_is_rejected() {
    let packed = PackedUpstreams::pack(snapshot(vec![(5, record(1))])).unwrap();
    let mut bytes = postcard::to_stdvec(&packed).unwrap();
    let names = b"summary-llm\x05pnw-1\x09version-1";
    let at = bytes
        .windows(names.len())
        .position(|window| window == names)
        .unwrap();
    // Leaves one of the three names, and sets the length of the list to 1.
    bytes[at - 2] = 1;
    bytes.drain(at + 11..at + names.len());
    let read: PackedUpstreams = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.unpack().err(), Some(InvalidNameIndex));
}

/// Guards against too few connections on a fast link. In a hall of 197 hosts, each change of a 200 kB configuration was
/// served to four hosts at a time, and hosts that were not served within 0.7 s read it from the store: 6,139 calls and
/// 0.47 GB on a day with a burst of changes.
#[test]
fn the_connection_limit_grows_with_link_capacity() {
    assert_eq!(max_snapshot_connections(1_000), 200);
    assert_eq!(max_snapshot_connections(20), 4);
    assert_eq!(max_snapshot_connections(10), 4);
    assert_eq!(max_snapshot_connections(0), 4);
}

#[test]
fn simultaneous_requests_share_one_encoded_snapshot() {
    let sets = SnapshotCache::default();
    let now = clock::now();
    let mut encoded = 0;
    let mut responses = Vec::new();
    for _ in 0..197 {
        let bytes = sets.get_or_encode("/configuration", now, || {
            encoded += 1;
            Some(Bytes::from(vec![7; 1_000]))
        });
        responses.push(bytes.unwrap());
    }
    assert_eq!(encoded, 1);
    assert!(
        responses
            .iter()
            .all(|bytes| bytes.as_ptr() == responses[0].as_ptr())
    );
    let later = now + SNAPSHOT_CACHE_TIME;
    let newer = sets.get_or_encode("/configuration", later, || Some(Bytes::from_static(b"new")));
    assert_eq!(newer.unwrap(), "new");
}

#[test]
fn different_or_missing_snapshots_are_not_shared() {
    let sets = SnapshotCache::default();
    let now = clock::now();
    assert_eq!(sets.get_or_encode("/runs", now, || None), None);
    let runs = sets.get_or_encode("/runs", now, || Some(Bytes::from_static(b"runs")));
    let others = sets.get_or_encode("/packed/upstreams?after=3", now, || {
        Some(Bytes::from_static(b"changes"))
    });
    assert_eq!(
        (runs.unwrap().as_ref(), others.unwrap().as_ref()),
        (&b"runs"[..], &b"changes"[..])
    );
}

#[test]
fn only_upstreams_are_packed() {
    let runs = SetSnapshot {
        rows: SnapshotRows::Runs(Vec::new()),
        ..snapshot(Vec::new())
    };
    assert!(PackedUpstreams::pack(runs).is_none());
}

fn customers(keys: &[&str]) -> Configuration {
    let mut configuration = Configuration::default();
    for key in keys {
        let customer = Customer {
            name: "atlas".to_owned(),
            priority: None,
        };
        configuration.customers.insert((*key).to_owned(), customer);
    }
    configuration
}

/// Guards against a host that takes customers without keys for no customers, as an earlier build told it of neither.
#[test]
fn a_configuration_without_keys_is_not_taken_from_an_earlier_build() {
    let mut without_keys = customers(&[]);
    assert!(!restore_key_requirement(&mut without_keys, None));
    let mut with_keys = customers(&["key"]);
    assert!(restore_key_requirement(&mut with_keys, None));
    assert!(with_keys.requires_keys);
    let mut open = customers(&[]);
    assert!(restore_key_requirement(&mut open, Some(false)));
    assert!(!open.requires_keys);
}

/// Guards against an earlier build that admits requests without a key by what this build tells it.
#[test]
fn a_configuration_without_keys_tells_earlier_builds_of_a_key() {
    let mut configuration = customers(&[]);
    configuration.requires_keys = true;
    let bytes = postcard::to_stdvec(&for_earlier_builds(&configuration)).unwrap();
    let mut told: Configuration = postcard::from_bytes(&bytes).unwrap();
    assert!(!told.customers.is_empty());
    assert!(restore_key_requirement(&mut told, Some(true)));
    assert!(told.customers.is_empty() && told.requires_keys);
}
