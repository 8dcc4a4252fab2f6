//! Encoded sizes of the messages between hosts, by content: the figures behind the formulas in `docs/CAPACITY.md`.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tealshore_capacity::EngineKind,
    tealshore_gateway::{
        budget::BudgetUse,
        edge::UpstreamChange,
        feed::{SetWatermark, StoreWatermark, UpstreamDelta},
        peers::{
            Datagram, GroupDigest, GroupMember, HostAddress, HostPhase, PeerDelta, PeerState,
            ServiceUse, UpstreamWork,
        },
        view::{Condition, UpstreamRecord, UpstreamState, Work},
    },
    tealshore_runs::RunTrace,
};

fn address() -> SocketAddr {
    SocketAddr::from(([10, 3, 200, 7], 8_740))
}

fn watermark() -> StoreWatermark {
    let set = SetWatermark {
        revision: 60_000,
        changed: 59_000,
        written: Duration::from_millis(90_123),
    };
    StoreWatermark {
        configuration: set,
        upstreams: set,
    }
}

fn work() -> UpstreamWork {
    UpstreamWork {
        upstream: "summary-llm-00001234".to_owned(),
        work: Work {
            running: 3,
            unread_tokens: 8_200,
            memory_tokens: 27_000,
        },
        condition: Condition::Healthy,
    }
}

fn run() -> RunTrace {
    RunTrace {
        fingerprint: 0x1234_5678_9abc_def0,
        request: "a-12345678-1".to_owned(),
        engine: "summary-llm-00001234".to_owned(),
        copy: Some(("summary-llm-00004321".to_owned(), address())),
    }
}

fn budget() -> ServiceUse {
    ServiceUse {
        service: "summary-llm".to_owned(),
        used: BudgetUse {
            requests: 300,
            repeats: 2,
        },
        rollout: None,
    }
}

fn state() -> PeerState {
    PeerState {
        host: "front-pnw-a-123".to_owned(),
        hall: "pnw-a".to_owned(),
        callers_address: address(),
        peers_address: address(),
        phase: HostPhase::Serving,
        incarnation: u64::MAX,
        sequence: 4_000,
        work: Vec::new(),
        watermark: Some(watermark()),
        reaches_store: true,
        link_mbps: 20,
        fleet_hosts: 984,
        budgets: vec![budget(), budget()],
        runs: Vec::new(),
        named: vec![
            HostAddress {
                hall: "pnw-a".to_owned(),
                address: address(),
            };
            4
        ],
        clock_offset_ms: None,
        lease: None,
        crashes: Some(Vec::new()),
    }
}

fn delta() -> PeerDelta {
    PeerDelta {
        host: "front-pnw-a-123".to_owned(),
        incarnation: u64::MAX,
        sequence: 4_000,
        watermark: Some(watermark()),
        reaches_store: true,
        work: Vec::new(),
        budgets: Vec::new(),
        runs: Vec::new(),
        lease: None,
        crashes: Vec::new(),
    }
}

fn digest() -> GroupDigest {
    GroupDigest {
        group: "pnw-a".to_owned(),
        relay: "front-pnw-a-123".to_owned(),
        relay_address: address(),
        link_mbps: 1_000,
        incarnation: u64::MAX,
        sequence: 4_000,
        members: None,
        is_whole: true,
        work: Vec::new(),
        budgets: vec![budget(), budget()],
        runs: Vec::new(),
        watermark: Some(watermark()),
        reaches_store: true,
        relays: vec![
            HostAddress {
                hall: "pnw-b".to_owned(),
                address: address(),
            };
            4
        ],
        lease: None,
        usage: Vec::new(),
        crashes: Vec::new(),
    }
}

fn size(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).unwrap().len()
}

/// Each figure is an upper bound from the capacity page: the size of a message without entries, or the size of an
/// entry.
#[test]
fn message_sizes_match_the_capacity_page() {
    let member = GroupMember {
        host: "front-pnw-a-123".to_owned(),
        callers_address: address(),
        peers_address: address(),
        phase: HostPhase::Serving,
    };
    let row = UpstreamRecord {
        id: "summary-llm-00001234".to_owned(),
        born: Some(1_790_000_000_000),
        service: "summary-llm".to_owned(),
        address: address(),
        hall: "pnw-a".to_owned(),
        version: "version-1".to_owned(),
        slots: 8,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    };
    let changed = Datagram::Upstreams {
        delta: UpstreamDelta {
            after: 59_999,
            revision: 60_000,
            changes: vec![(60_000, UpstreamChange::Listed(row))],
        },
        is_for_group: false,
    };
    let costs = [
        ("a state without entries", size(&state()), 200),
        ("a delta without entries", size(&delta()), 70),
        ("a digest without entries", size(&digest()), 180),
        ("a host of a group", size(&member), 40),
        ("work at an upstream", size(&work()), 32),
        ("a stream", size(&run()), 80),
        ("a changed upstream, as a datagram", size(&changed), 95),
    ];
    for (what, bytes, bound_bytes) in costs {
        println!("{what}: {bytes} bytes");
        assert!(bytes <= bound_bytes, "{what}: {bytes} bytes");
    }
}
