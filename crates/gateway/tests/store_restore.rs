//! How a host treats the rows of a store that was restored from an older copy.

use {
    proptest::prelude::*,
    std::time::Duration,
    tealshore_capacity::EngineKind,
    tealshore_core::clock,
    tealshore_gateway::{
        edge::{Revision, revision_in},
        feed::RESTORE_GRACE,
        view::{
            Applied, Configuration, MISSING_ROW_GRACE, RowOrigin, UpstreamRecord, UpstreamState,
            Upstreams, View,
        },
    },
};

/// A revision after the first restore of the store.
fn after_restore(number: u64) -> Revision {
    revision_in(1, number).unwrap_or_default()
}

fn record(id: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        born: Some(1),
        service: "tiles".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        hall: "a".to_owned(),
        version: "v1".to_owned(),
        kind: EngineKind::OnDemand,
        slots: 6,
        state,
    }
}

fn accepts_work(upstreams: &Upstreams, id: &str) -> bool {
    upstreams.accepts_work(&id.to_owned())
}

fn upstreams_before_restore() -> Upstreams {
    tealshore_core::protection::start();
    let upstreams = Upstreams::default();
    upstreams.put(10, record("one", UpstreamState::Ready));
    upstreams
}

#[test]
fn an_upstream_that_leaves_does_so_whatever_a_copy_says() {
    let upstreams = upstreams_before_restore();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    assert!(!upstreams.put(after_restore(10), record("one", UpstreamState::Ready)));
    assert!(!accepts_work(&upstreams, "one"));
    let row = (after_restore(10), record("one", UpstreamState::Leaving));
    assert_eq!(upstreams.rows(), [row]);
}

#[test]
fn a_removed_upstream_stays_removed_until_its_row_is_written_again() {
    let upstreams = upstreams_before_restore();
    upstreams.remove(11, &"one".to_owned());
    upstreams.put(after_restore(10), record("one", UpstreamState::Ready));
    assert!(!accepts_work(&upstreams, "one"));
    upstreams.put(after_restore(14), record("one", UpstreamState::Ready));
    assert!(accepts_work(&upstreams, "one"));
}

#[test]
fn a_new_incarnation_of_a_leaving_upstream_is_applied() {
    let upstreams = upstreams_before_restore();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let mut next = record("one", UpstreamState::Ready);
    next.born = Some(2);
    assert!(upstreams.put(after_restore(9), next));
    assert!(accepts_work(&upstreams, "one"));
}

#[test]
fn a_held_row_is_applied_after_the_grace_period() {
    let upstreams = upstreams_before_restore();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let now = clock::now();
    upstreams.put_seen(after_restore(10), record("one", UpstreamState::Ready), now);
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE / 2), 0);
    assert!(!accepts_work(&upstreams, "one"));
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 1);
    assert!(accepts_work(&upstreams, "one"));
}

#[test]
fn a_held_row_that_is_deleted_is_never_applied() {
    let upstreams = upstreams_before_restore();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let now = clock::now();
    upstreams.put_seen(after_restore(10), record("one", UpstreamState::Ready), now);
    upstreams.remove(after_restore(12), &"one".to_owned());
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 0);
    assert!(!accepts_work(&upstreams, "one"));
}

#[test]
fn a_held_row_that_a_later_copy_lacks_is_never_applied() {
    let upstreams = upstreams_before_restore();
    upstreams.remove(11, &"one".to_owned());
    let now = clock::now();
    upstreams.put_seen(after_restore(10), record("one", UpstreamState::Ready), now);
    let second_restore = revision_in(2, 9).unwrap_or_default();
    upstreams.retain(second_restore, &[]);
    assert!(upstreams.rows().is_empty());
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 0);
    assert!(!accepts_work(&upstreams, "one"));
}

#[test]
fn a_held_row_that_is_missing_after_an_outage_is_never_applied() {
    let upstreams = upstreams_before_restore();
    upstreams.remove(11, &"one".to_owned());
    let now = clock::now();
    upstreams.put_seen(after_restore(10), record("one", UpstreamState::Ready), now);
    upstreams.retain_after_outage(after_restore(12), &[], now + MISSING_ROW_GRACE);
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 0);
    assert!(!accepts_work(&upstreams, "one"));
}

#[test]
fn an_upstream_missing_from_a_restored_store_accepts_work_for_a_grace_period() {
    let upstreams = upstreams_before_restore();
    let now = clock::now();
    assert_eq!(upstreams.retain(after_restore(5), &[]), 1);
    assert!(accepts_work(&upstreams, "one"));
    // It is not reported to other hosts, which may use the same copy.
    assert!(upstreams.rows().is_empty());
    upstreams.end_grace(now + MISSING_ROW_GRACE + Duration::from_secs(1));
    assert!(!accepts_work(&upstreams, "one"));
}

#[test]
fn changes_are_reported_again_once_a_missing_upstream_is_removed() {
    let upstreams = upstreams_before_restore();
    upstreams.retain(after_restore(5), &[]);
    assert!(upstreams.changes_after(after_restore(5)).is_none());
    upstreams.end_grace(clock::now() + MISSING_ROW_GRACE);
    assert!(upstreams.changes_after(after_restore(5)).is_some());
}

#[test]
fn a_leaving_upstream_missing_from_a_restored_store_is_removed() {
    let upstreams = upstreams_before_restore();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    upstreams.retain(after_restore(5), &[]);
    assert!(upstreams.get(&"one".to_owned()).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(300) })]

    /// Rows from before and after a restore, in any order in which a host may receive them.
    #[test]
    fn rows_of_a_restored_store_give_no_work_to_a_leaving_upstream(
        copied in 1_u64..30,
        deliveries in prop::collection::vec((0_u64..30, any::<bool>()), 0..20),
    ) {
        let upstreams = upstreams_before_restore();
        upstreams.put(40, record("one", UpstreamState::Leaving));
        upstreams.put(after_restore(copied), record("one", UpstreamState::Ready));
        for (number, is_full_set) in deliveries {
            if is_full_set {
                upstreams.put(after_restore(copied), record("one", UpstreamState::Ready));
                upstreams.retain(after_restore(30), &["one".to_owned()]);
            } else {
                upstreams.put(number, record("one", UpstreamState::Ready));
            }
            prop_assert!(!accepts_work(&upstreams, "one"));
        }
    }
}

/// A configuration with a distinct body limit, so that two of the same version can be distinguished.
fn configuration(version: u64, body_bytes: usize) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.version = version;
    configuration.limits.body_bytes = body_bytes;
    configuration
}

fn in_force(view: &View) -> (u64, usize) {
    let known = view.configuration().unwrap_or_default();
    (known.version, known.limits.body_bytes)
}

fn view_before_restore() -> View {
    tealshore_core::protection::start();
    let view = View::default();
    view.apply(
        configuration(27, 1),
        51,
        RowOrigin::WrittenSinceRestore,
        false,
    );
    view
}

#[test]
fn a_configuration_of_a_restored_store_does_not_replace_a_newer_one() {
    let view = view_before_restore();
    for is_in_restore_grace in [true, false] {
        let older = configuration(21, 0);
        let applied = view.apply(
            older,
            after_restore(48),
            RowOrigin::MayPredateRestore,
            is_in_restore_grace,
        );
        assert_eq!(applied, Applied::Unconfirmed);
    }
    assert_eq!(in_force(&view), (27, 1));
}

#[test]
fn a_configuration_written_again_with_other_content_is_in_force() {
    let view = view_before_restore();
    let again = configuration(27, 2);
    let applied = view.apply(
        again,
        after_restore(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert_eq!(applied, Applied::InForce);
    assert_eq!(in_force(&view), (27, 2));
    // Within one era, a version has only one content.
    let other = configuration(27, 3);
    let applied = view.apply(
        other,
        after_restore(50),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert_eq!(applied, Applied::Older);
}

#[test]
fn a_lower_version_is_in_force_once_the_higher_one_was_not_written_again_in_time() {
    let view = view_before_restore();
    let lower = || configuration(25, 0);
    let applied = view.apply(
        lower(),
        after_restore(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert_eq!(applied, Applied::Unconfirmed);
    let applied = view.apply(
        lower(),
        after_restore(49),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::InForce);
    // From then on the version does not decrease.
    let applied = view.apply(
        configuration(23, 0),
        after_restore(60),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::Older);
}

#[test]
fn a_lower_version_written_after_a_restore_is_an_unconfirmed_change_until_one_is_in_force() {
    let view = view_before_restore();
    view.apply(
        configuration(21, 0),
        after_restore(48),
        RowOrigin::MayPredateRestore,
        true,
    );
    assert!(!view.has_unconfirmed_change());
    view.apply(
        configuration(25, 0),
        after_restore(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert!(view.has_unconfirmed_change());
    view.apply(
        configuration(28, 0),
        after_restore(50),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert!(!view.has_unconfirmed_change());
}

#[test]
fn a_lower_version_does_not_follow_one_that_was_written_again() {
    let view = view_before_restore();
    view.apply(
        configuration(27, 1),
        after_restore(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    let applied = view.apply(
        configuration(25, 0),
        after_restore(50),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::Older);
    assert_eq!(in_force(&view), (27, 1));
}
