//! Compatibility of the messages between hosts with the previous and the next build: recorded frames of each kind
//! decode to the expected values, and those values encode to the same bytes.
//!
//! A change of the messages that fails here needs a new layout version, with the old one still decoded while hosts of
//! it serve, and new frames under `frames/`.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    std::{net::SocketAddr, time::Duration},
    tealshore_capacity::EngineKind,
    tealshore_duties::{
        lease::{LeaseSummary, ProcessId},
        usage::{DecidedUsage, UsageReport, WindowCounts},
    },
    tealshore_gateway::{
        budget::BudgetUse,
        duties::UsageUpdate,
        edge::UpstreamChange,
        feed::{SetWatermark, StoreWatermark, UpstreamDelta},
        peers::{
            ConfigurationReport, Datagram, Extension, GroupDigest, GroupMember, HostAddress,
            HostPhase, PackedUpstreams, PeerDelta, PeerState, PermitAsk, PermitLoan, ServiceUse,
            SetSnapshot, Share, SnapshotRows, UpstreamWork,
        },
        rollout::BadAnswers,
        view::{Condition, UpstreamChanges, UpstreamRecord, UpstreamState, Work},
    },
    tealshore_quarantine::{
        news::{CrashReport, CrashUpdate},
        parts::{crash::PossibleCause, news::PartCrashReport},
    },
    tealshore_rates::LimitUpdate,
    tealshore_runs::{KnownRun, RunOrigin, RunReport, RunState, RunTrace},
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 7], port))
}

fn work_at_upstreams() -> Vec<UpstreamWork> {
    let conditions = [
        Condition::Healthy,
        Condition::Failing(None),
        Condition::Suspected(Some(1_700_000_000_000)),
        Condition::Replaced(Some(1)),
    ];
    let entries = (0_u32..).zip(conditions);
    entries
        .map(|(number, condition)| UpstreamWork {
            upstream: format!("i-{number}"),
            work: Work {
                running: number,
                unread_tokens: 8_000,
                memory_tokens: 9_000,
            },
            condition,
        })
        .collect()
}

fn budgets() -> Vec<ServiceUse> {
    vec![ServiceUse {
        service: "model".to_owned(),
        used: BudgetUse {
            requests: 300,
            repeats: 2,
        },
        rollout: None,
    }]
}

fn runs() -> Vec<RunTrace> {
    vec![RunTrace {
        fingerprint: 0x1234_5678_9abc_def0,
        request: "r-1".to_owned(),
        engine: "i-1".to_owned(),
        copy: Some(("i-2".to_owned(), address(8_080))),
    }]
}

fn watermark() -> StoreWatermark {
    let of_set = |revision| SetWatermark {
        revision,
        changed: revision - 1,
        written: Duration::from_millis(12_345),
    };
    StoreWatermark {
        configuration: of_set(7),
        upstreams: of_set(300),
    }
}

fn process() -> ProcessId {
    ProcessId {
        host: "a-1".to_owned(),
        incarnation: 77,
    }
}

fn lease() -> LeaseSummary {
    LeaseSummary {
        version: 12,
        fence: 3,
        holder: Some(process()),
    }
}

fn crashes() -> Vec<CrashUpdate> {
    vec![CrashUpdate {
        request: 42,
        crashes: vec![CrashReport {
            attempt: "r-1".to_owned(),
            upstream: "i-1".to_owned(),
            position: 5,
            run_events: 1,
            ran_ms: 20,
            age_ms: 1_500,
        }],
        cleared_age_ms: Some(70_000),
        is_observed_locally: false,
    }]
}

fn named() -> Vec<HostAddress> {
    vec![HostAddress {
        hall: "b".to_owned(),
        address: address(7_200),
    }]
}

fn usage() -> Vec<WindowCounts> {
    vec![WindowCounts {
        window: 4,
        counts: [("atlas".to_owned(), 17)].into(),
    }]
}

fn upstream() -> UpstreamRecord {
    UpstreamRecord {
        id: "i-1".to_owned(),
        born: Some(1_700_000_000_000),
        service: "model".to_owned(),
        address: address(8_080),
        hall: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 24,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    }
}

fn state() -> Datagram {
    Datagram::State(Box::new(PeerState {
        host: "a-1".to_owned(),
        hall: "a".to_owned(),
        callers_address: address(8_740),
        peers_address: address(7_200),
        phase: HostPhase::Serving,
        incarnation: 77,
        sequence: 5,
        work: work_at_upstreams(),
        watermark: Some(watermark()),
        reaches_store: true,
        link_mbps: 1_000,
        fleet_hosts: 9,
        budgets: budgets(),
        runs: runs(),
        named: named(),
        clock_offset_ms: Some(-3),
        lease: Some(lease()),
        crashes: Some(crashes()),
    }))
}

fn delta() -> Datagram {
    Datagram::Delta(PeerDelta {
        host: "a-1".to_owned(),
        incarnation: 77,
        sequence: 6,
        watermark: None,
        reaches_store: false,
        work: work_at_upstreams(),
        budgets: budgets(),
        runs: runs(),
        lease: None,
        crashes: crashes(),
    })
}

fn upstreams() -> Datagram {
    Datagram::Upstreams {
        delta: UpstreamDelta {
            after: 299,
            revision: 302,
            changes: vec![
                (300, UpstreamChange::Listed(upstream())),
                (301, UpstreamChange::Gone("i-2".to_owned())),
                (
                    302,
                    UpstreamChange::Unreadable {
                        id: "i-3".to_owned(),
                        reason: "no address".to_owned(),
                    },
                ),
            ],
        },
        is_for_group: true,
    }
}

fn group_digest() -> GroupDigest {
    GroupDigest {
        group: "a".to_owned(),
        relay: "a-1".to_owned(),
        relay_address: address(7_200),
        link_mbps: 1_000,
        incarnation: 77,
        sequence: 8,
        members: Some(vec![GroupMember {
            host: "a-2".to_owned(),
            callers_address: address(8_740),
            peers_address: address(7_201),
            phase: HostPhase::Stale,
        }]),
        is_whole: true,
        work: work_at_upstreams(),
        budgets: budgets(),
        runs: runs(),
        watermark: Some(watermark()),
        reaches_store: true,
        relays: named(),
        lease: Some(lease()),
        usage: usage(),
        crashes: crashes(),
    }
}

fn digest() -> Datagram {
    Datagram::Digest {
        digest: Box::new(group_digest()),
        is_passed_on: false,
    }
}

fn relayed() -> Datagram {
    Datagram::Relayed {
        digests: vec![group_digest()],
        share: Some(Share {
            round: 9,
            index: 1,
            count: 3,
        }),
    }
}

fn usage_update() -> Datagram {
    Datagram::Usage(UsageUpdate {
        process: process(),
        hall: "a".to_owned(),
        windows: usage(),
    })
}

fn snapshot() -> SetSnapshot {
    SetSnapshot {
        watermark: watermark().upstreams,
        store_time: Duration::from_millis(12_400),
        rows: SnapshotRows::Upstreams(vec![(300, upstream())]),
    }
}

fn limit() -> LimitUpdate {
    LimitUpdate {
        upstream: "i-1".to_owned(),
        born: Some(1_700_000_000_000),
        per_s: Some(3.5),
        age_ms: 70,
    }
}

fn limits() -> Datagram {
    Datagram::Limits {
        updates: vec![limit()],
        is_for_group: true,
    }
}

fn permit_ask() -> Datagram {
    Datagram::PermitAsk(PermitAsk {
        host: "a-1".to_owned(),
        upstream: "i-1".to_owned(),
        number: 9,
        wanted: 2,
        owed: 1,
        limit: limit(),
    })
}

fn permit_loan() -> Datagram {
    Datagram::PermitLoan(PermitLoan {
        upstream: "i-1".to_owned(),
        number: 9,
        permits: 1,
        valid_ms: 285,
        wait_ms: 0,
        limit: Some(limit()),
    })
}

fn extension() -> Extension {
    Extension {
        lends: true,
        limits: vec![limit()],
        lending_groups: vec!["b".to_owned()],
        not_lending: vec!["b-1".to_owned()],
        decided_usage: None,
        bad_answers: Vec::new(),
        cut_off_services: None,
        part_crashes: Vec::new(),
        run_origins: Vec::new(),
        configuration: None,
    }
}

fn extension_with_bad_answers() -> Extension {
    Extension {
        bad_answers: vec![BadAnswers {
            service: "model".to_owned(),
            order: 70_000,
            count: 31,
        }],
        ..extension()
    }
}

fn extension_with_decided_usage() -> Extension {
    Extension {
        decided_usage: Some(DecidedUsage {
            next: 350_000_002,
            open: vec![UsageReport {
                window: 350_000_001,
                counts: [("atlas".to_owned(), 7)].into(),
            }],
        }),
        ..extension()
    }
}

fn extension_with_cut_off_services() -> Extension {
    Extension {
        cut_off_services: Some(vec!["model".to_owned()]),
        ..Extension::default()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let hex = hex.trim();
    let digits = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    digits
        .map(|it| u8::from_str_radix(it, 16).unwrap())
        .collect()
}

/// Checks that a recorded frame decodes to `expected`, and that `expected` encodes to the frame.
fn assert_frame(name: &str, frame: &str, expected: &Datagram) {
    let read = Datagram::from_bytes(&bytes_of(frame));
    let read = read.map(|read| format!("{read:?}"));
    assert_eq!(
        read,
        Ok(format!("{expected:?}")),
        "{name} decodes to another value"
    );
    let written = hex(&expected.to_bytes().unwrap());
    assert_eq!(written, frame.trim(), "{name} encodes to other bytes");
}

#[test]
fn each_kind_of_datagram_is_compatible_with_the_previous_build() {
    assert_frame("state", include_str!("frames/6-state.hex"), &state());
    assert_frame("delta", include_str!("frames/6-delta.hex"), &delta());
    assert_frame(
        "upstreams",
        include_str!("frames/6-upstreams.hex"),
        &upstreams(),
    );
    assert_frame("digest", include_str!("frames/6-digest.hex"), &digest());
    assert_frame("relayed", include_str!("frames/6-relayed.hex"), &relayed());
    assert_frame("usage", include_str!("frames/6-usage.hex"), &usage_update());
    assert_frame("limits", include_str!("frames/6-limits.hex"), &limits());
    assert_frame(
        "permit-ask",
        include_str!("frames/6-permit-ask.hex"),
        &permit_ask(),
    );
    assert_frame(
        "permit-loan",
        include_str!("frames/6-permit-loan.hex"),
        &permit_loan(),
    );
}

fn extension_with_part_crashes() -> Extension {
    Extension {
        part_crashes: vec![PartCrashReport {
            run: 0x1234_5678_9abc_def0,
            upstream: "i-1".to_owned(),
            request: 42,
            runtime: 7,
            causes: vec![PossibleCause {
                part: 0x0fed_cba9_8765_4321,
                began_before: true,
            }],
            ran_ms: 50,
            age_ms: 1_500,
        }],
        ..Extension::default()
    }
}

fn extension_with_run_origins() -> Extension {
    let origin = RunOrigin {
        process: process(),
        address: address(7_200),
        content: 0x0123_4567_89ab_cdef,
        continues: Some("r-0".to_owned()),
        waits_ms: 24_000,
    };
    Extension {
        run_origins: vec![Some(origin), None],
        ..Extension::default()
    }
}

/// The extension of a datagram is optional: the previous build decodes the datagram without it, and a field that is
/// missing gets its default here.
#[test]
fn builds_without_the_extension_decode_the_datagram() {
    let frame = include_str!("frames/6-usage-extended.hex");
    let bytes = bytes_of(frame);
    let (datagram, read) = Extension::read(&bytes).unwrap();
    assert_eq!(read, extension());
    assert_eq!(format!("{datagram:?}"), format!("{:?}", usage_update()));
    let decoded_by_previous_build = Datagram::from_bytes(&bytes).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{:?}", usage_update())
    );
    let written = usage_update().to_bytes().unwrap();
    let written = extension().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());

    let frame_of_previous_build = bytes_of(include_str!("frames/6-state.hex"));
    let (_, read) = Extension::read(&frame_of_previous_build).unwrap();
    assert_eq!(read, Extension::default());
    // A newer build appends its fields at the end; a truncated extension loses only what was cut off.
    let mut longer = bytes.clone();
    longer.extend([1, 2, 3]);
    let (_, read) = Extension::read(&longer).unwrap();
    assert_eq!(read, extension());
    let (_, read) = Extension::read(&bytes[..bytes.len() - 2]).unwrap();
    assert_eq!(read.lending_groups, extension().lending_groups);
    assert!(read.not_lending.is_empty());
}

#[test]
fn bad_answers_are_compatible_with_later_builds() {
    let frame = include_str!("frames/6-usage-bad-answers.hex");
    let written = usage_update().to_bytes().unwrap();
    let written = extension_with_bad_answers().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let (_, read) = Extension::read(&bytes_of(frame)).unwrap();
    assert_eq!(read, extension_with_bad_answers());
    let decoded_by_previous_build = Datagram::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{:?}", usage_update())
    );
}

#[test]
fn decided_usage_is_compatible_with_later_builds() {
    let frame = include_str!("frames/6-usage-decided.hex");
    let written = usage_update().to_bytes().unwrap();
    let written = extension_with_decided_usage().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let (_, read) = Extension::read(&bytes_of(frame)).unwrap();
    assert_eq!(read, extension_with_decided_usage());
    let decoded_by_previous_build = Datagram::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{:?}", usage_update())
    );
}

#[test]
fn cut_off_services_are_compatible_with_later_builds() {
    let frame = include_str!("frames/6-delta-cut-off.hex");
    let written = delta().to_bytes().unwrap();
    let written = extension_with_cut_off_services().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let (_, read) = Extension::read(&bytes_of(frame)).unwrap();
    assert_eq!(read, extension_with_cut_off_services());
    let decoded_by_previous_build = Datagram::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{:?}", delta())
    );
}

#[test]
fn run_origins_are_compatible_with_earlier_and_later_builds() {
    let frame = include_str!("frames/6-delta-run-origins.hex");
    let written = delta().to_bytes().unwrap();
    let written = extension_with_run_origins().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let (_, read) = Extension::read(&bytes_of(frame)).unwrap();
    assert_eq!(read, extension_with_run_origins());
    let decoded_by_previous_build = Datagram::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{:?}", delta())
    );
}

#[test]
fn a_configuration_report_is_compatible_with_earlier_builds() {
    let reported = Extension {
        configuration: Some(ConfigurationReport {
            version: 27,
            recovery_point: (1 << 40) + 49,
            confirmed: Some(Duration::from_millis(51_250)),
        }),
        ..extension_with_run_origins()
    };
    let written = delta().to_bytes().unwrap();
    let written = reported.write(written).unwrap();
    let (_, read) = Extension::read(&written).unwrap();
    assert_eq!(read, reported);
    // A frame of the build before has no report; this one's frame begins with it.
    let frame = bytes_of(include_str!("frames/6-delta-run-origins.hex"));
    assert_eq!(written[..frame.len()], frame);
    let (_, read) = Extension::read(&frame).unwrap();
    assert_eq!(read.configuration, None);
}

#[test]
fn part_crashes_are_compatible_with_earlier_and_later_builds() {
    let frame = include_str!("frames/6-limits-part-crashes.hex");
    let no_limits = Datagram::Limits {
        updates: Vec::new(),
        is_for_group: true,
    };
    let written = no_limits.to_bytes().unwrap();
    let written = extension_with_part_crashes().write(written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let (_, read) = Extension::read(&bytes_of(frame)).unwrap();
    assert_eq!(read, extension_with_part_crashes());
    let decoded_by_previous_build = Datagram::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(
        format!("{decoded_by_previous_build:?}"),
        format!("{no_limits:?}")
    );
}

#[test]
fn a_snapshot_is_compatible_with_the_previous_build() {
    let frame = include_str!("frames/snapshot-upstreams.hex");
    let read: SetSnapshot = postcard::from_bytes(&bytes_of(frame)).unwrap();
    assert_eq!(format!("{read:?}"), format!("{:?}", snapshot()));
    let written = postcard::to_stdvec(&snapshot()).unwrap();
    assert_eq!(hex(&written), frame.trim());
}

/// The reports follow the set, which is all that the previous build reads.
#[test]
fn a_snapshot_of_runs_is_compatible_with_earlier_and_later_builds() {
    let frame = include_str!("frames/snapshot-runs.hex");
    let set = SetSnapshot {
        watermark: SetWatermark::default(),
        rows: SnapshotRows::Runs(runs()),
        ..snapshot()
    };
    let ended = RunState::Ended {
        last_event: Some(9),
        is_complete: true,
    };
    let states = [None, Some(RunState::Answering), Some(ended)];
    let reports = states.map(|state| RunReport {
        run: KnownRun {
            trace: runs().remove(0),
            origin: extension_with_run_origins().run_origins[0].clone(),
        },
        state,
        age: Duration::from_millis(1_500),
    });
    let written = postcard::to_stdvec(&set).unwrap();
    let written = postcard::to_extend(&reports.to_vec(), written).unwrap();
    assert_eq!(hex(&written), frame.trim());
    let bytes = bytes_of(frame);
    let (read, rest) = postcard::take_from_bytes::<SetSnapshot>(&bytes).unwrap();
    assert_eq!(format!("{read:?}"), format!("{set:?}"));
    let read: Vec<RunReport> = postcard::from_bytes(rest).unwrap();
    assert_eq!(read, reports);
}

fn upstream_changes() -> SetSnapshot {
    SetSnapshot {
        rows: SnapshotRows::UpstreamChanges(UpstreamChanges {
            after: 298,
            listed: vec![(300, upstream())],
            gone: vec![(299, "i-2".to_owned())],
        }),
        ..snapshot()
    }
}

#[test]
fn packed_upstreams_are_compatible_with_the_previous_build() {
    let frames = [
        (include_str!("frames/packed-upstreams.hex"), snapshot()),
        (
            include_str!("frames/packed-changes.hex"),
            upstream_changes(),
        ),
    ];
    for (frame, expected) in frames {
        let packed = PackedUpstreams::pack(expected.clone()).unwrap();
        assert_eq!(hex(&postcard::to_stdvec(&packed).unwrap()), frame.trim());
        let read: PackedUpstreams = postcard::from_bytes(&bytes_of(frame)).unwrap();
        assert_eq!(read, packed);
        let unpacked = read.unpack().unwrap();
        assert_eq!(format!("{unpacked:?}"), format!("{expected:?}"));
    }
}
