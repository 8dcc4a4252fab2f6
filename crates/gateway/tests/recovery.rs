//! From which revision on the configuration of a restored store is relied on.

use {
    std::time::Duration,
    tealshore_core::clock,
    tealshore_gateway::{
        edge::{Revision, RowSet, StoreEra, revision_in},
        feed::{Feed, KnowledgeAtRestore, Recovery, SetWatermark},
        view::RowOrigin,
    },
};

fn revision(era: StoreEra, number: u64) -> Revision {
    revision_in(era, number).expect("small numbers fit into a revision")
}

fn watermark(revision: Revision) -> SetWatermark {
    SetWatermark {
        revision,
        changed: revision,
        written: Duration::from_secs(1),
    }
}

/// The feed of a host that knows the configuration as of a revision, in an era of the store.
fn feed_at(era: StoreEra, known: Revision) -> Feed {
    let feed = Feed::default();
    feed.record_era(era);
    feed.advance(RowSet::Configuration, watermark(known));
    feed
}

#[test]
fn a_store_that_was_never_restored_is_complete() {
    assert!(feed_at(0, revision(0, 1)).is_configuration_complete());
    assert!(!Feed::default().is_configuration_complete());
}

#[test]
fn a_restored_store_is_complete_from_its_recovery_point_on() {
    let feed = feed_at(1, revision(1, 7));
    assert!(!feed.is_configuration_complete());
    assert!(feed.record_recovery_point(revision(1, 8)));
    assert!(!feed.is_configuration_complete());
    feed.advance(RowSet::Configuration, watermark(revision(1, 8)));
    assert!(feed.is_configuration_complete());
}

#[test]
fn a_recovery_point_of_another_era_does_not_count() {
    let feed = feed_at(2, revision(2, 9));
    feed.record_recovery_point(revision(1, 3));
    assert!(!feed.is_configuration_complete());
    feed.record_recovery_point(revision(3, 1));
    assert!(!feed.is_configuration_complete());
}

#[test]
fn a_set_of_an_earlier_era_is_not_complete_once_the_store_was_restored() {
    let feed = feed_at(0, revision(0, 9));
    assert!(feed.is_configuration_complete());
    feed.record_era(1);
    assert!(!feed.is_configuration_complete());
}

#[test]
fn the_lower_of_two_points_of_an_era_is_kept_and_that_of_a_later_era_replaces_it() {
    let mut recovery = Recovery::default();
    assert!(recovery.record(revision(1, 9)));
    assert!(!recovery.record(revision(1, 10)));
    assert!(recovery.record(revision(1, 4)));
    assert_eq!(recovery.point(), revision(1, 4));
    assert!(recovery.record(revision(2, 30)));
    assert!(!recovery.record(revision(1, 1)));
    assert_eq!(recovery.point(), revision(2, 30));
}

#[test]
fn an_answer_given_after_the_time_for_rewriting_makes_the_configuration_complete() {
    let now = clock::now();
    let until = now + Duration::from_secs(3);
    let feed = feed_at(1, revision(1, 7));
    assert_eq!(feed.revision_complete_by_time(now), None);
    feed.expect_rewrites(until, KnowledgeAtRestore::Recent);
    let just_before = until - Duration::from_millis(1);
    assert_eq!(feed.revision_complete_by_time(just_before), None);
    assert_eq!(feed.revision_complete_by_time(until), Some(revision(1, 7)));
    feed.record_recovery_point(revision(1, 7));
    assert_eq!(feed.revision_complete_by_time(until), None);
}

#[test]
fn the_time_for_rewriting_begins_anew_with_each_restore() {
    let now = clock::now();
    let feed = feed_at(1, revision(1, 7));
    feed.expect_rewrites(now, KnowledgeAtRestore::Recent);
    feed.record_era(2);
    feed.expect_rewrites(now + Duration::from_secs(3), KnowledgeAtRestore::Outdated);
    feed.advance(RowSet::Configuration, watermark(revision(2, 5)));
    assert_eq!(feed.revision_complete_by_time(now), None);
}

#[test]
fn only_rows_written_after_the_first_read_of_an_era_show_a_rewrite() {
    let feed = feed_at(0, revision(0, 9));
    assert!(!feed.is_written_since_restore(revision(0, 10)));
    feed.record_era(1);
    assert!(!feed.is_written_since_restore(revision(1, 6)));
    feed.advance(RowSet::Configuration, watermark(revision(1, 5)));
    assert!(!feed.is_written_since_restore(revision(1, 5)));
    assert!(feed.is_written_since_restore(revision(1, 6)));
}

#[test]
fn rows_written_after_an_answer_about_another_set_show_a_rewrite() {
    let feed = feed_at(0, revision(0, 9));
    feed.record_era(1);
    feed.record_revision(revision(1, 5));
    assert_eq!(feed.origin_of(revision(1, 5)), RowOrigin::MayPredateRestore);
    assert_eq!(
        feed.origin_of(revision(1, 6)),
        RowOrigin::WrittenSinceRestore
    );
    feed.advance(RowSet::Configuration, watermark(revision(1, 8)));
    assert!(!feed.is_written_since_restore(revision(1, 5)));
    assert!(feed.is_written_since_restore(revision(1, 6)));
    feed.record_revision(revision(1, 4));
    assert!(feed.is_written_since_restore(revision(1, 5)));
}

#[test]
fn an_answer_of_an_earlier_era_does_not_show_a_rewrite_in_a_later_one() {
    let feed = feed_at(1, revision(1, 5));
    feed.record_era(2);
    assert!(!feed.is_written_since_restore(revision(2, 7)));
    feed.record_revision(revision(2, 6));
    feed.record_revision(revision(1, 3));
    assert!(!feed.is_written_since_restore(revision(1, 4)));
    assert!(!feed.is_written_since_restore(revision(2, 6)));
    assert!(feed.is_written_since_restore(revision(2, 7)));
}
