//! Roll-outs across a restore of the store from an older copy: none restarts or goes back to an
//! earlier phase.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    std::time::Duration,
    tealshore_core::clock,
    tealshore_gateway::{
        edge::{Revision, revision_in},
        rollout::{Phase, RolloutOrder, RolloutRecord, Rollouts},
    },
};

const SERVICE: &str = "tiles";
/// Row version of the order before the restore.
const ORDER: Revision = 50;

/// A row version after the first restore of the store.
fn after_restore(number: u64) -> Revision {
    revision_in(1, number).unwrap()
}

fn order(revision: Revision, target: &str) -> RolloutOrder {
    RolloutOrder {
        revision,
        service: SERVICE.to_owned(),
        target: target.to_owned(),
        duration: Duration::from_secs(12),
    }
}

fn record(order: Revision, phase: Phase) -> RolloutRecord {
    RolloutRecord {
        service: SERVICE.to_owned(),
        order,
        from: "v1".to_owned(),
        target: "v2".to_owned(),
        phase,
        since: Duration::from_secs(100),
        deadline: Duration::from_secs(112),
    }
}

fn known(rollouts: &Rollouts) -> (Revision, RolloutRecord) {
    rollouts.record(&SERVICE.to_owned()).unwrap()
}

/// Creates the state of a host that knows a roll-out in this phase.
fn rollouts_in_phase(phase: Phase) -> Rollouts {
    let rollouts = Rollouts::new(0.5);
    assert!(rollouts.apply_order(order(ORDER, "v2"), false, clock::now()));
    assert!(rollouts.apply_record(60, &record(ORDER, phase), false));
    rollouts
}

#[test]
fn rewritten_order_does_not_restart_rollout() {
    let rollouts = rollouts_in_phase(Phase::Completed);
    let again = order(after_restore(40), "v2");
    assert!(!rollouts.apply_order(again, true, clock::now()));
    assert!(!rollouts.has_open_rollout());
    let (_, record) = known(&rollouts);
    assert_eq!(
        (record.order, record.phase),
        (after_restore(40), Phase::Completed)
    );
}

#[test]
fn restored_order_does_not_replace_newer_one() {
    let rollouts = rollouts_in_phase(Phase::Canary);
    let restored = order(after_restore(30), "v0");
    let now = clock::now();
    assert!(!rollouts.apply_order(restored, true, now));
    let (ordered, _) = rollouts.orders().pop().unwrap();
    assert_eq!(ordered.target, "v2");
    // The newer order is written again within the grace period and stays in force.
    rollouts.apply_order(order(after_restore(41), "v2"), true, now);
    assert!(rollouts.apply_deferred_orders(now).is_empty());
    let (ordered, _) = rollouts.orders().pop().unwrap();
    assert_eq!(
        (ordered.target.as_str(), ordered.revision),
        ("v2", after_restore(41))
    );
}

#[test]
fn restored_order_is_applied_after_grace_period() {
    let rollouts = rollouts_in_phase(Phase::Canary);
    let now = clock::now();
    rollouts.apply_order(order(after_restore(30), "v0"), true, now);
    assert_eq!(rollouts.apply_deferred_orders(now), [SERVICE]);
    let (ordered, _) = rollouts.orders().pop().unwrap();
    assert_eq!(ordered.target, "v0");
}

#[test]
fn order_for_same_version_after_grace_period_is_new() {
    let rollouts = rollouts_in_phase(Phase::RolledBack);
    let later = order(after_restore(300), "v2");
    assert!(rollouts.apply_order(later, false, clock::now()));
    assert!(rollouts.has_open_rollout());
}

#[test]
fn restored_phase_does_not_replace_later_one_and_is_overwritten() {
    for (restored, reached) in [
        (Phase::Canary, Phase::Shifting),
        (Phase::Canary, Phase::RolledBack),
        (Phase::Shifting, Phase::Completed),
    ] {
        let rollouts = rollouts_in_phase(reached);
        assert!(!rollouts.apply_record(after_restore(45), &record(ORDER, restored), true));
        assert_eq!(known(&rollouts).1.phase, reached);
        let (expected, written) = rollouts.pending_rewrite(&SERVICE.to_owned(), 1).unwrap();
        assert_eq!((expected, written.phase), (after_restore(45), reached));
        assert!(rollouts.apply_record(after_restore(46), &written, true));
        assert_eq!(rollouts.pending_rewrite(&SERVICE.to_owned(), 1), None);
    }
}

#[test]
fn record_missing_after_restore_is_rewritten() {
    let rollouts = rollouts_in_phase(Phase::Completed);
    assert_eq!(rollouts.pending_rewrite(&SERVICE.to_owned(), 0), None);
    let (expected, written) = rollouts.pending_rewrite(&SERVICE.to_owned(), 1).unwrap();
    assert_eq!((expected, written.phase), (0, Phase::Completed));
}

/// A host that starts after the restore knows only the restored row. Its phase is earlier than that
/// of the other hosts, but its row version is higher.
#[test]
fn host_started_after_restore_adopts_later_phase() {
    let new_host = Rollouts::new(0.5);
    new_host.apply_order(order(after_restore(50), "v2"), true, clock::now());
    new_host.apply_record(after_restore(55), &record(ORDER, Phase::Shifting), true);
    assert!(new_host.apply_record(60, &record(ORDER, Phase::Completed), true));
    let (revision, record) = known(&new_host);
    assert_eq!(
        (revision, record.phase),
        (after_restore(55), Phase::Completed)
    );
    assert!(!new_host.has_open_rollout());
}

#[test]
fn host_started_after_restore_does_not_restart_ended_rollout() {
    let new_host = Rollouts::new(0.5);
    new_host.apply_order(order(after_restore(58), "v2"), true, clock::now());
    new_host.apply_record(after_restore(55), &record(ORDER, Phase::RolledBack), true);
    assert!(!new_host.has_open_rollout());
}
