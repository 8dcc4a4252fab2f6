//! How a host treats the rows of a store that was restored from an older copy.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_capacity::EngineKind,
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
fn after_copy(number: u64) -> Revision {
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

fn takes_work(upstreams: &Upstreams, id: &str) -> bool {
    upstreams.takes_work(&id.to_owned())
}

fn upstreams_before() -> Upstreams {
    tealshore_core::protection::start();
    let upstreams = Upstreams::default();
    upstreams.put(10, record("one", UpstreamState::Ready));
    upstreams
}

#[test]
fn an_upstream_that_leaves_does_so_whatever_a_copy_says() {
    let upstreams = upstreams_before();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    assert!(!upstreams.put(after_copy(10), record("one", UpstreamState::Ready)));
    assert!(!takes_work(&upstreams, "one"));
    let row = (after_copy(10), record("one", UpstreamState::Leaving));
    assert_eq!(upstreams.rows(), [row]);
}

#[test]
fn an_upstream_that_was_gone_stays_so_until_its_row_is_written_anew() {
    let upstreams = upstreams_before();
    upstreams.remove(11, &"one".to_owned());
    upstreams.put(after_copy(10), record("one", UpstreamState::Ready));
    assert!(!takes_work(&upstreams, "one"));
    upstreams.put(after_copy(14), record("one", UpstreamState::Ready));
    assert!(takes_work(&upstreams, "one"));
}

#[test]
fn another_life_of_an_upstream_that_left_is_believed() {
    let upstreams = upstreams_before();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let mut next = record("one", UpstreamState::Ready);
    next.born = Some(2);
    assert!(upstreams.put(after_copy(9), next));
    assert!(takes_work(&upstreams, "one"));
}

#[test]
fn a_copy_is_not_doubted_for_ever() {
    let upstreams = upstreams_before();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let now = Instant::now();
    upstreams.put_seen(after_copy(10), record("one", UpstreamState::Ready), now);
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE / 2), 0);
    assert!(!takes_work(&upstreams, "one"));
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 1);
    assert!(takes_work(&upstreams, "one"));
}

#[test]
fn a_row_that_went_after_the_copy_is_not_believed_later() {
    let upstreams = upstreams_before();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    let now = Instant::now();
    upstreams.put_seen(after_copy(10), record("one", UpstreamState::Ready), now);
    upstreams.remove(after_copy(12), &"one".to_owned());
    assert_eq!(upstreams.end_grace(now + RESTORE_GRACE), 0);
    assert!(!takes_work(&upstreams, "one"));
}

#[test]
fn an_upstream_that_a_copy_lacks_takes_work_until_its_row_is_overdue() {
    let upstreams = upstreams_before();
    let now = Instant::now();
    assert_eq!(upstreams.retain(after_copy(5), &[]), 1);
    assert!(takes_work(&upstreams, "one"));
    // It is not reported to other hosts, which may use the same copy.
    assert!(upstreams.rows().is_empty());
    upstreams.end_grace(now + MISSING_ROW_GRACE + Duration::from_secs(1));
    assert!(!takes_work(&upstreams, "one"));
}

#[test]
fn once_a_missing_upstream_is_gone_changes_are_told_again() {
    let upstreams = upstreams_before();
    upstreams.retain(after_copy(5), &[]);
    assert!(upstreams.changes_after(after_copy(5)).is_none());
    upstreams.end_grace(Instant::now() + MISSING_ROW_GRACE);
    assert!(upstreams.changes_after(after_copy(5)).is_some());
}

#[test]
fn an_upstream_that_a_copy_lacks_and_that_left_is_gone() {
    let upstreams = upstreams_before();
    upstreams.put(11, record("one", UpstreamState::Leaving));
    upstreams.retain(after_copy(5), &[]);
    assert!(upstreams.get(&"one".to_owned()).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(300) })]

    /// Rows from before and after a restore, in any order in which a host may receive them.
    #[test]
    fn an_upstream_known_to_leave_gets_no_work_by_rows_of_a_copy(
        copied in 1_u64..30,
        heard in prop::collection::vec((0_u64..30, any::<bool>()), 0..20),
    ) {
        let upstreams = upstreams_before();
        upstreams.put(40, record("one", UpstreamState::Leaving));
        upstreams.put(after_copy(copied), record("one", UpstreamState::Ready));
        for (number, is_full_set) in heard {
            if is_full_set {
                upstreams.put(after_copy(copied), record("one", UpstreamState::Ready));
                upstreams.retain(after_copy(30), &["one".to_owned()]);
            } else {
                upstreams.put(number, record("one", UpstreamState::Ready));
            }
            prop_assert!(!takes_work(&upstreams, "one"));
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

fn view_before() -> View {
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
fn a_configuration_of_a_copy_does_not_replace_a_newer_one() {
    let view = view_before();
    for is_in_restore_grace in [true, false] {
        let older = configuration(21, 0);
        let applied = view.apply(
            older,
            after_copy(48),
            RowOrigin::MayPredateRestore,
            is_in_restore_grace,
        );
        assert_eq!(applied, Applied::Unconfirmed);
    }
    assert_eq!(in_force(&view), (27, 1));
}

#[test]
fn a_configuration_written_again_with_other_content_is_in_force() {
    let view = view_before();
    let again = configuration(27, 2);
    let applied = view.apply(again, after_copy(49), RowOrigin::WrittenSinceRestore, true);
    assert_eq!(applied, Applied::InForce);
    assert_eq!(in_force(&view), (27, 2));
    // Within one era, a version has only one content.
    let other = configuration(27, 3);
    let applied = view.apply(other, after_copy(50), RowOrigin::WrittenSinceRestore, true);
    assert_eq!(applied, Applied::Older);
}

#[test]
fn a_lower_version_is_in_force_once_the_higher_one_was_not_written_again_in_time() {
    let view = view_before();
    let lower = || configuration(25, 0);
    let applied = view.apply(
        lower(),
        after_copy(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    assert_eq!(applied, Applied::Unconfirmed);
    let applied = view.apply(
        lower(),
        after_copy(49),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::InForce);
    // From then on the version does not decrease.
    let applied = view.apply(
        configuration(23, 0),
        after_copy(60),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::Older);
}

#[test]
fn a_lower_version_does_not_follow_one_that_was_written_again() {
    let view = view_before();
    view.apply(
        configuration(27, 1),
        after_copy(49),
        RowOrigin::WrittenSinceRestore,
        true,
    );
    let applied = view.apply(
        configuration(25, 0),
        after_copy(50),
        RowOrigin::WrittenSinceRestore,
        false,
    );
    assert_eq!(applied, Applied::Older);
    assert_eq!(in_force(&view), (27, 1));
}
