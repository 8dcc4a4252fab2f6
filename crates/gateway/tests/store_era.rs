//! Eras of a store that was restored from an older copy: a later era takes precedence over all earlier ones.

use {
    proptest::prelude::*,
    std::time::Duration,
    tealshore_core::clock,
    tealshore_gateway::{
        edge::{EraNamed, MAX_ERA, RowSet, era_of, revision_in, row_number_of},
        feed::{Feed, KnownEra, RESTORE_GRACE, SetWatermark},
    },
};

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(500) })]

    #[test]
    fn revisions_are_ordered_by_era_and_then_by_the_stores_version(
        one in (0..=MAX_ERA, 0_u64..1 << 40),
        other in (0..=MAX_ERA, 0_u64..1 << 40),
    ) {
        let revision = |(era, number)| revision_in(era, number).unwrap_or_default();
        prop_assert_eq!(revision(one).cmp(&revision(other)), one.cmp(&other));
        prop_assert_eq!((era_of(revision(one)), row_number_of(revision(one))), one);
    }
}

#[test]
fn before_the_first_restore_a_revision_is_the_stores_version() {
    assert_eq!(revision_in(0, 4_711), Some(4_711));
}

#[test]
fn a_version_that_does_not_fit_is_none() {
    assert_eq!(revision_in(1, 1 << 40), None);
    assert_eq!(revision_in(MAX_ERA + 1, 1), None);
}

#[test]
fn an_answer_of_an_earlier_era_differs_from_one_without_an_era() {
    let now = clock::now();
    let mut known = KnownEra::default();
    assert!(!known.record(0, now));
    assert!(known.record(2, now));
    assert!(!known.record(1, now));
    assert_eq!(known.accepted_era(EraNamed::Era(1)), None);
    assert_eq!(known.accepted_era(EraNamed::Era(2)), Some(2));
    assert_eq!(known.accepted_era(EraNamed::Era(5)), Some(5));
    assert_eq!(known.accepted_era(EraNamed::No), Some(2));
    assert_eq!(known.accepted_era(EraNamed::Unreadable), Some(2));
}

#[test]
fn a_restore_grace_period_follows_each_new_era() {
    let now = clock::now();
    let mut known = KnownEra::default();
    assert!(!known.is_in_restore_grace(now));
    known.record(1, now);
    let last = now + RESTORE_GRACE - Duration::from_millis(1);
    assert!(known.is_in_restore_grace(last));
    assert!(!known.is_in_restore_grace(now + RESTORE_GRACE));
    known.record(2, last);
    assert!(known.is_in_restore_grace(now + RESTORE_GRACE));
}

#[test]
fn changes_of_an_earlier_era_do_not_continue_the_known_state() {
    tealshore_core::protection::start();
    let feed = Feed::default();
    let revision = revision_in(1, 30).unwrap_or_default();
    let watermark = SetWatermark {
        revision,
        ..SetWatermark::default()
    };
    feed.advance(RowSet::Upstreams, watermark);
    assert!(feed.has_no_gap_before(RowSet::Upstreams, revision));
    assert!(!feed.has_no_gap_before(RowSet::Upstreams, 29));
    assert!(!feed.has_no_gap_before(RowSet::Upstreams, revision + 1));
}
