//! What a host does for each upstream costs no more in a large fleet than in a small one.
//!
//! Work is measured against plain work on the same rows, done right before it, so that a busy machine slows both.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    std::{
        collections::HashMap,
        hint::black_box,
        time::{Duration, Instant},
    },
    tealshore_capacity::EngineKind,
    tealshore_core::ids::EngineId,
    tealshore_gateway::view::{UpstreamRecord, UpstreamState, Upstreams},
};

const UPSTREAMS: usize = 10_000;
/// How often each measurement is taken; the least counts.
const TRIES: usize = 3;

fn records(count: usize) -> Vec<UpstreamRecord> {
    let numbers = 0..u32::try_from(count).unwrap();
    numbers
        .map(|number| {
            let [_, b, c, d] = number.to_be_bytes();
            UpstreamRecord {
                id: format!("i-{number:08x}"),
                born: Some(1),
                service: "model".to_owned(),
                address: ([10, b, c, d], 8_080).into(),
                hall: format!("hall-{}", number % 5),
                version: "v1".to_owned(),
                slots: 8,
                kind: EngineKind::OnDemand,
                state: UpstreamState::Ready,
            }
        })
        .collect()
}

fn least_time(mut work: impl FnMut()) -> Duration {
    let times = (0..TRIES).map(|_| {
        let started = Instant::now();
        work();
        started.elapsed()
    });
    times.min().unwrap()
}

/// Copies the rows into a map and looks each of them up.
fn plain_work(records: &[UpstreamRecord]) {
    let copies = records.iter().cloned();
    let map: HashMap<EngineId, UpstreamRecord> =
        copies.map(|record| (record.id.clone(), record)).collect();
    for record in records {
        black_box(map.get(&record.id));
    }
}

/// Hosts of a fleet of 984 before 10,000 upstreams each spent 0.6 s of a core, 5 s on a share of 0.12, on taking in
/// the whole set at their start: each new row was compared with all rows for its address, and each known id with
/// all ids of the set. At 20,000 it was 3.1 s of a core.
#[test]
fn a_whole_set_costs_as_much_as_it_has_rows() {
    let records = records(UPSTREAMS);
    let present: Vec<EngineId> = records.iter().map(|record| record.id.clone()).collect();
    let plain = least_time(|| plain_work(&records));
    let taken = least_time(|| {
        let upstreams = Upstreams::default();
        for record in &records {
            upstreams.put(1, record.clone());
        }
        assert_eq!(upstreams.retain(2, &present), 0);
    });
    assert!(
        taken < plain * 20,
        "a set of {UPSTREAMS} took {taken:?}, plain work on its rows {plain:?}"
    );
}

/// A host looked at each of 10,000 upstreams, 0.7 ms of a core and more, for each datagram that tells the others of
/// the two or three at which it has work.
#[test]
fn what_a_host_tells_costs_as_much_as_it_has_to_tell() {
    let upstreams = Upstreams::default();
    for record in records(UPSTREAMS) {
        upstreams.put(1, record);
    }
    let now = Instant::now();
    for record in records(3) {
        upstreams.get(&record.id).unwrap().suspect(now);
    }
    let all = least_time(|| drop(black_box(upstreams.all())));
    let told = least_time(|| assert_eq!(upstreams.active(now).len(), 3));
    assert!(
        told * 20 < all,
        "to find 3 took {told:?}, to list {UPSTREAMS} {all:?}"
    );
}

/// The index by address follows rows that move, go and come back.
#[test]
fn an_incarnation_gives_way_at_the_address_that_it_moved_to() {
    let upstreams = Upstreams::default();
    let [mut old, mut young, mut other] = <[_; 3]>::try_from(records(3)).unwrap();
    let (first, second) = (old.address, young.address);
    let start = Instant::now();
    upstreams.put_seen(1, old.clone(), start);
    old.address = second;
    upstreams.put_seen(2, old.clone(), start);
    let later = start + Duration::from_secs(1);
    other.address = first;
    upstreams.put_seen(3, other, later);
    let known = upstreams.get(&old.id).unwrap();
    assert!(
        !known.is_suspected(later),
        "nothing is left at the address that it had"
    );
    upstreams.remove(4, &old.id);
    upstreams.put_seen(5, old.clone(), start);
    young.address = second;
    upstreams.put_seen(6, young, later);
    let known = upstreams.get(&old.id).unwrap();
    assert!(known.is_suspected(later));
}
