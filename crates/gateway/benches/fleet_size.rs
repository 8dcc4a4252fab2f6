//! Cost of the fleet size to a host: the CPU-bound parts of startup, upstream selection and gossip, at growing numbers
//! of upstreams.
//!
//! A cost that grows faster than the number of upstreams is a defect; compare the rows of a group.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of benchmarks fail as tests do, which clippy.toml allows"
)]

use {
    criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main},
    std::{hint::black_box, time::Duration},
    tealshore_capacity::EngineKind,
    tealshore_core::{clock, ids::EngineId},
    tealshore_gateway::{
        balance::{Candidate, Need, choose},
        feed::SetWatermark,
        peers::{GroupSums, PackedUpstreams, SetSnapshot, SnapshotRows, UpstreamWork},
        topology::Topology,
        view::{Condition, UpstreamRecord, UpstreamState, Upstreams, Work},
    },
};

const FLEET_SIZES: [usize; 4] = [1_000, 3_000, 10_000, 20_000];
const HALLS: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];
const SERVICE: &str = "summary-llm";

fn record(number: usize) -> UpstreamRecord {
    let bytes = u32::try_from(number).unwrap().to_be_bytes();
    UpstreamRecord {
        id: format!("i-{number:08x}-{:04x}", number % 977),
        born: Some(1_700_000_000_000),
        service: SERVICE.to_owned(),
        address: ([10, bytes[1], bytes[2], bytes[3]], 8_080).into(),
        hall: HALLS[number % HALLS.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    }
}

fn records(count: usize) -> Vec<UpstreamRecord> {
    (0..count).map(record).collect()
}

fn listed(records: &[UpstreamRecord]) -> Upstreams {
    let upstreams = Upstreams::default();
    for record in records {
        upstreams.put(1, record.clone());
    }
    upstreams
}

/// Applies a full set, as a host does when it starts.
fn apply_full_set(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("apply_whole_set");
    group.sample_size(10);
    for count in FLEET_SIZES {
        let records = records(count);
        let present: Vec<EngineId> = records.iter().map(|record| record.id.clone()).collect();
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let upstreams = listed(&records);
                black_box(upstreams.retain(2, &present))
            });
        });
    }
    group.finish();
}

/// Encodes and decodes a full set, as one host sends it to another.
fn exchange_snapshot(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("exchange_snapshot");
    group.sample_size(10);
    for count in FLEET_SIZES {
        let upstreams = listed(&records(count));
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let bytes = postcard::to_stdvec(&snapshot_of(&upstreams)).unwrap();
                black_box(postcard::from_bytes::<SetSnapshot>(&bytes).unwrap())
            });
        });
    }
    group.finish();
}

/// The same with the packed encoding.
fn exchange_packed_snapshot(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("exchange_packed_snapshot");
    group.sample_size(10);
    for count in FLEET_SIZES {
        let upstreams = listed(&records(count));
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let packed = PackedUpstreams::pack(snapshot_of(&upstreams)).unwrap();
                let bytes = postcard::to_stdvec(&packed).unwrap();
                let read: PackedUpstreams = postcard::from_bytes(&bytes).unwrap();
                black_box(read.unpack().unwrap())
            });
        });
    }
    group.finish();
}

fn snapshot_of(upstreams: &Upstreams) -> SetSnapshot {
    SetSnapshot {
        watermark: SetWatermark::default(),
        store_time: Duration::from_secs(1),
        rows: SnapshotRows::Upstreams(upstreams.rows()),
    }
}

/// Lists the upstreams that a stream may be sent to.
fn list_ready(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("list_ready");
    for count in FLEET_SIZES {
        let upstreams = listed(&records(count));
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(upstreams.ready(&SERVICE.to_owned())));
        });
    }
    group.finish();
}

/// Lists the upstreams that a host reports to others, here three with work.
fn list_active(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("list_active");
    for count in FLEET_SIZES {
        let upstreams = listed(&records(count));
        let work = Work {
            running: 1,
            unread_tokens: 0,
            memory_tokens: 9_000,
        };
        for record in records(3) {
            upstreams.get(&record.id).unwrap().begin(work);
        }
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(upstreams.active(clock::now())));
        });
    }
    group.finish();
}

/// Selects the upstream for a stream.
fn choose_upstream(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_upstream");
    let need = Need::Prompt {
        fingerprint: 7,
        memory_tokens: 9_000,
        engine_memory_tokens: 88_000,
        has_failed: false,
        prefers_isolation: false,
    };
    let (own_hall, topology) = (HALLS[0].to_owned(), Topology::default());
    for count in FLEET_SIZES {
        let records = records(count);
        let candidates: Vec<Candidate<'_>> = records.iter().map(candidate).collect();
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(choose(&candidates, need, &own_hall, &topology, &[])));
        });
    }
    group.finish();
}

fn candidate(record: &UpstreamRecord) -> Candidate<'_> {
    Candidate {
        id: &record.id,
        hall: &record.hall,
        kind: record.kind,
        work: Work::default(),
        slots: record.slots,
        failure_score: 0.0,
        degraded: false,
        draw: 0.5,
    }
}

/// Sums up the work of the hosts of a hall, as its relay does. Each host has work at four upstreams.
fn sum_group(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("sum_group");
    for hosts in [50, 100, 200, 400] {
        let works: Vec<Vec<UpstreamWork>> = (0..hosts).map(work_of_host).collect();
        group.throughput(Throughput::Elements(hosts as u64));
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
            bencher.iter(|| {
                let mut sums = GroupSums::default();
                for work in &works {
                    sums.add_work(work);
                }
                black_box(sums)
            });
        });
    }
    group.finish();
}

fn work_of_host(host: usize) -> Vec<UpstreamWork> {
    let upstreams = (0..4).map(|number| record(host * 7 + number));
    upstreams
        .map(|record| UpstreamWork {
            upstream: record.id,
            work: Work {
                running: 1,
                unread_tokens: 0,
                memory_tokens: 8_000,
            },
            condition: Condition::Healthy,
        })
        .collect()
}

criterion_group!(
    benches,
    apply_full_set,
    exchange_snapshot,
    exchange_packed_snapshot,
    list_ready,
    list_active,
    choose_upstream,
    sum_group
);
criterion_main!(benches);
