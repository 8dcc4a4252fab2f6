//! Tests of the lease of a single process: its next step and its tenure.

use {
    std::time::{Duration, Instant},
    tealshore_duties::lease::{
        FormerHolder, Lease, LeaseRecord, LeaseSummary, LeaseTiming, ProcessId, Purpose, Role,
        RowVersion, Step, Tenure,
    },
};

const LENGTH: Duration = Duration::from_secs(4);
const CANDIDATE: Role = Role::Candidate {
    delay: Duration::ZERO,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn process(host: &str, incarnation: u64) -> ProcessId {
    ProcessId {
        host: host.to_owned(),
        incarnation,
    }
}

fn lease_of(host: &str) -> Lease {
    Lease::new(process(host, 1), LeaseTiming::of(LENGTH))
}

/// Returns a record whose holder is another host.
fn record_held_by(host: &str) -> LeaseRecord {
    LeaseRecord {
        fence: 7,
        holder: Some(process(host, 1)),
        former: Vec::new(),
        serial: 3,
    }
}

/// Returns the prepared write, which must be the next step.
fn expect_write(lease: &mut Lease, store_time: Duration, role: Role, now: Instant) -> SentWrite {
    match lease.next_step(Some(store_time), role, now) {
        Step::Write {
            record,
            expected,
            purpose,
        } => SentWrite {
            record: lease.prepare_write(record),
            expected,
            purpose,
        },
        step @ (Step::Wait(_) | Step::Read) => panic!("expected a write, got {step:?}"),
    }
}

#[derive(Clone, Debug)]
struct SentWrite {
    record: LeaseRecord,
    expected: RowVersion,
    purpose: Purpose,
}

/// Returns a lease that this process took at `requested_at`.
fn lease_taken_at(requested_at: Instant) -> Lease {
    let mut lease = lease_of("a");
    lease.record_read(None, requested_at, requested_at);
    let write = expect_write(&mut lease, seconds(100), CANDIDATE, requested_at);
    lease.record_written(1, write.record, requested_at, requested_at);
    lease
}

#[test]
fn a_lease_without_a_row_is_taken_at_once() {
    let now = Instant::now();
    let mut lease = lease_of("a");
    assert_eq!(lease.next_step(None, CANDIDATE, now), Step::Read);
    lease.record_read(None, now, now);
    let write = expect_write(&mut lease, seconds(100), CANDIDATE, now);
    assert_eq!((write.expected, write.purpose), (0, Purpose::Take));
    assert_eq!(lease.tenure(now), None);
    lease.record_written(1, write.record, now, now + seconds(1));
    let tenure = Tenure {
        fence: 1,
        until: now + seconds(3),
    };
    assert_eq!(lease.tenure(now), Some(tenure));
}

#[test]
fn a_tenure_ends_at_its_moment_and_not_after_it() {
    tealshore_core::protection::start();
    let requested_at = Instant::now();
    let lease = lease_taken_at(requested_at);
    let end = requested_at + seconds(3);
    assert!(lease.tenure(end - Duration::from_nanos(1)).is_some());
    assert_eq!(lease.tenure(end), None);
}

#[test]
fn a_renewed_tenure_starts_at_the_request() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let due = requested_at + LENGTH * 3 / 10;
    assert_eq!(
        lease.next_step(Some(seconds(101)), CANDIDATE, requested_at),
        Step::Wait(due)
    );
    let write = expect_write(&mut lease, seconds(101), CANDIDATE, due);
    assert_eq!((write.expected, write.purpose), (1, Purpose::Renew));
    lease.record_written(2, write.record, due, due + seconds(2));
    let until = lease.tenure(due).unwrap().until;
    assert_eq!(until, due + seconds(3));
}

#[test]
fn a_contender_waits_for_the_expiry_of_what_it_saw() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    let expiry = now + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, now),
        Step::Wait(expiry)
    );
    let write = expect_write(&mut lease, seconds(104), CANDIDATE, expiry);
    assert_eq!((write.expected, write.purpose), (5, Purpose::Take));
    assert_eq!(write.record.fence, 8);
    assert_eq!(write.record.holder, Some(process("b", 1)));
    let former = FormerHolder {
        host: "a".to_owned(),
        left: seconds(104),
    };
    assert_eq!(write.record.former, [former]);
}

#[test]
fn a_candidate_with_a_delay_waits_longer() {
    let now = Instant::now();
    let mut lease = lease_of("c");
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    let delay = Duration::from_millis(300);
    let step = lease.next_step(Some(seconds(104)), Role::Candidate { delay }, now + LENGTH);
    assert_eq!(step, Step::Wait(now + LENGTH + delay));
}

#[test]
fn a_summary_of_a_renewal_postpones_the_expiry() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    let summary = LeaseSummary {
        version: 6,
        fence: 7,
        holder: Some(process("a", 1)),
    };
    let later = now + seconds(2);
    lease.record_summary(&summary, later);
    // Receiving the same summary again does not postpone the expiry.
    lease.record_summary(&summary, later + seconds(1));
    let expiry = later + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(104)), CANDIDATE, now + LENGTH),
        Step::Wait(expiry)
    );
    // The row has changed since it was read.
    assert_eq!(
        lease.next_step(Some(seconds(106)), CANDIDATE, expiry),
        Step::Read
    );
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    let summary = LeaseSummary {
        version: 6,
        fence: 7,
        holder: None,
    };
    lease.record_summary(&summary, now);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, now),
        Step::Read
    );
    let released = LeaseRecord {
        holder: None,
        ..record_held_by("a")
    };
    lease.record_read(Some((6, released)), now, now);
    let write = expect_write(&mut lease, seconds(100), CANDIDATE, now);
    assert_eq!((write.expected, write.purpose), (6, Purpose::Take));
}

#[test]
fn a_former_holder_waits_for_its_cooldown() {
    let now = Instant::now();
    let mut lease = lease_of("a");
    let released = LeaseRecord {
        holder: None,
        former: vec![FormerHolder {
            host: "a".to_owned(),
            left: seconds(100),
        }],
        ..record_held_by("b")
    };
    lease.record_read(Some((6, released)), now, now);
    let cooldown_end = now + seconds(3);
    assert_eq!(
        lease.next_step(Some(seconds(102)), CANDIDATE, now),
        Step::Wait(cooldown_end)
    );
    let write = expect_write(&mut lease, seconds(105), CANDIDATE, cooldown_end);
    assert_eq!(write.purpose, Purpose::Take);
    assert_eq!(write.record.former, []);
}

#[test]
fn a_restarted_holder_waits_for_the_expiry_and_takes_a_new_token() {
    let now = Instant::now();
    let mut lease = Lease::new(process("a", 2), LeaseTiming::of(LENGTH));
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, now),
        Step::Wait(now + LENGTH)
    );
    let write = expect_write(&mut lease, seconds(104), CANDIDATE, now + LENGTH);
    assert_eq!(write.record.fence, 8);
    assert_eq!(write.record.former, []);
}

#[test]
fn a_renewal_whose_answer_was_lost_starts_at_the_request() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let due = requested_at + seconds(2);
    let write = expect_write(&mut lease, seconds(102), CANDIDATE, due);
    lease.record_unknown_outcome(&write.record, due);
    assert_eq!(
        lease.next_step(Some(seconds(102)), CANDIDATE, due),
        Step::Read
    );
    lease.record_read(Some((2, write.record)), due + seconds(1), due + seconds(1));
    assert_eq!(lease.tenure(due).unwrap().until, due + seconds(3));
}

#[test]
fn a_delayed_write_is_not_confused_with_a_later_one() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let first = expect_write(
        &mut lease,
        seconds(102),
        CANDIDATE,
        requested_at + seconds(2),
    );
    lease.record_unknown_outcome(&first.record, requested_at + seconds(2));
    let row = lease.summary().unwrap();
    lease.record_read(
        Some((row.version, record_taken())),
        requested_at + seconds(2),
        requested_at + seconds(2),
    );
    let second = expect_write(
        &mut lease,
        seconds(104),
        CANDIDATE,
        requested_at + seconds(4),
    );
    lease.record_unknown_outcome(&second.record, requested_at + seconds(4));
    lease.record_read(
        Some((2, first.record)),
        requested_at + seconds(4),
        requested_at + seconds(4),
    );
    assert_eq!(lease.tenure(requested_at + seconds(4)), None);
}

/// Returns the record that [`lease_taken_at`] wrote.
fn record_taken() -> LeaseRecord {
    LeaseRecord {
        fence: 1,
        holder: Some(process("a", 1)),
        former: Vec::new(),
        serial: 1,
    }
}

#[test]
fn a_write_conflict_ends_the_tenure() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    lease.record_conflict();
    assert_eq!(lease.tenure(requested_at), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, requested_at),
        Step::Read
    );
    lease.record_read(Some((2, record_held_by("b"))), requested_at, requested_at);
    assert_eq!(lease.tenure(requested_at), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, requested_at),
        Step::Wait(requested_at + LENGTH)
    );
}

/// Another process took the lease while the holder was suspended, and a restore of the store gave out the version of the
/// holder's row again: its renewal was accepted, and the token of the other process went back to a lower one.
#[test]
fn a_holder_whose_tenure_expired_reads_the_row_and_may_then_renew_it() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let resumed = requested_at + seconds(60);
    assert_eq!(lease.tenure(resumed), None);
    let step = lease.next_step(Some(seconds(160)), CANDIDATE, resumed);
    assert_eq!(step, Step::Read);
    lease.record_read(Some((1, record_taken())), resumed, resumed);
    let write = expect_write(&mut lease, seconds(160), CANDIDATE, resumed);
    assert_eq!(write.purpose, Purpose::Renew);
    lease.record_written(2, write.record, resumed, resumed);
    assert_eq!(lease.tenure(resumed).unwrap().fence, 1);
}

/// The holder was suspended while the answer to its read was on its way.
#[test]
fn a_row_that_was_requested_before_the_holder_was_suspended_is_read_again() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let resumed = requested_at + seconds(60);
    lease.record_read(Some((1, record_taken())), requested_at, resumed);
    let step = lease.next_step(Some(seconds(160)), CANDIDATE, resumed);
    assert_eq!(step, Step::Read);
}

#[test]
fn a_rejected_token_ends_the_tenure() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    lease.record_fenced();
    assert_eq!(lease.tenure(requested_at), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, requested_at),
        Step::Read
    );
}

/// A renewal with the same token would be rejected by the receiver every time.
#[test]
fn after_a_rejected_token_the_lease_is_taken_with_a_higher_one() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let renewed_at = requested_at + seconds(2);
    let row = expect_write(&mut lease, seconds(102), CANDIDATE, renewed_at).record;
    lease.record_written(2, row.clone(), requested_at, requested_at);
    lease.record_fenced();
    lease.record_read(Some((2, row.clone())), requested_at, requested_at);
    let write = expect_write(&mut lease, seconds(101), CANDIDATE, requested_at);
    assert_eq!(write.purpose, Purpose::Take);
    assert!(write.record.fence > row.fence);
    assert_eq!(write.record.holder, row.holder);
    let fence = write.record.fence;
    lease.record_written(3, write.record, requested_at, requested_at);
    assert_eq!(lease.tenure(requested_at).unwrap().fence, fence);
}

#[test]
fn a_release_ends_the_tenure_before_it_is_sent() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    assert!(lease.tenure(requested_at).is_some());
    let write = expect_write(&mut lease, seconds(101), Role::Leaving, requested_at);
    assert_eq!(write.purpose, Purpose::Release);
    assert_eq!(write.record.holder, None);
    assert_eq!(lease.tenure(requested_at), None);
    // The answer is lost and the write was not applied; the tenure must still have ended.
    lease.record_unknown_outcome(&write.record, requested_at);
    assert_eq!(
        lease.next_step(Some(seconds(101)), Role::Leaving, requested_at),
        Step::Read
    );
    lease.record_read(Some((1, record_taken())), requested_at, requested_at);
    assert_eq!(lease.tenure(requested_at), None);
    let again = expect_write(&mut lease, seconds(101), Role::Leaving, requested_at);
    assert_eq!((again.expected, again.purpose), (1, Purpose::Release));
}

#[test]
fn a_leaving_host_reads_the_row_again_after_a_write_conflict() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    // A delayed renewal was applied before the release.
    let write = expect_write(&mut lease, seconds(101), Role::Leaving, requested_at);
    assert_eq!(write.purpose, Purpose::Release);
    lease.record_conflict();
    assert_eq!(
        lease.next_step(Some(seconds(101)), Role::Leaving, requested_at),
        Step::Read
    );
}

#[test]
fn a_non_candidate_renews_its_lease_and_takes_none() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let write = expect_write(
        &mut lease,
        seconds(102),
        Role::NonCandidate,
        requested_at + seconds(2),
    );
    assert_eq!(write.purpose, Purpose::Renew);
    let mut other = lease_of("b");
    other.record_read(
        Some((5, LeaseRecord::default())),
        requested_at,
        requested_at,
    );
    let step = other.next_step(Some(seconds(100)), Role::NonCandidate, requested_at);
    assert!(matches!(step, Step::Wait(_)));
}

#[test]
fn a_renewal_can_be_made_due_immediately() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    lease.renew_now();
    assert!(lease.tenure(requested_at).is_some());
    let write = expect_write(&mut lease, seconds(100), CANDIDATE, requested_at);
    assert_eq!(write.purpose, Purpose::Renew);
}

/// The store lost the row or was restored to an earlier state.
#[test]
fn a_missing_row_is_taken_after_the_expiry_with_a_higher_token() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, record_held_by("a"))), now, now);
    let summary = LeaseSummary {
        version: 6,
        fence: 9,
        holder: Some(process("a", 1)),
    };
    lease.record_summary(&summary, now);
    assert_eq!(
        lease.next_step(Some(seconds(104)), CANDIDATE, now + LENGTH),
        Step::Read
    );
    let read = now + LENGTH;
    lease.record_read(None, read, read);
    // The holder may not know yet that the row is missing.
    let expiry = read + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(104)), CANDIDATE, read),
        Step::Wait(expiry)
    );
    let write = expect_write(&mut lease, seconds(108), CANDIDATE, expiry);
    assert_eq!((write.expected, write.purpose), (0, Purpose::Take));
    assert_eq!(write.record.fence, 10);
}

#[test]
fn a_store_restore_ends_the_tenure() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let mut lease = lease_taken_at(now);
    lease.record_store_restored(1, now);
    assert_eq!(lease.tenure(now), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), CANDIDATE, now),
        Step::Read
    );
}

/// The restore may have lost a row that names another process as the holder.
#[test]
fn after_a_store_restore_the_lease_is_not_written_before_the_expiry() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let rows = [
        None,
        Some((9, record_held_by("a"))),
        Some((
            9,
            LeaseRecord {
                holder: None,
                ..record_held_by("a")
            },
        )),
    ];
    for row in rows {
        let mut lease = lease_of("a");
        lease.record_store_restored(1, now);
        lease.record_read(row, now, now);
        let expiry = now + LENGTH;
        assert_eq!(
            lease.next_step(Some(seconds(100)), CANDIDATE, now),
            Step::Wait(expiry)
        );
        let write = expect_write(&mut lease, seconds(104), CANDIDATE, expiry);
        assert_eq!(write.purpose, Purpose::Take);
    }
}

/// The next holder does not know the tokens of rows that a restore lost.
#[test]
fn no_token_is_issued_in_two_eras_of_the_store() {
    let now = Instant::now();
    let expiry = now + LENGTH;
    let mut tokens = Vec::new();
    for era in 1..4 {
        let mut lease = lease_of("b");
        lease.record_store_restored(era, now);
        lease.record_read(Some((1, record_taken())), now, now);
        let write = expect_write(&mut lease, seconds(104), CANDIDATE, expiry);
        tokens.push(write.record.fence);
        lease.record_written(12, write.record.clone(), expiry, expiry);
        let due = expiry + seconds(2);
        let renewed = expect_write(&mut lease, seconds(106), CANDIDATE, due);
        assert_eq!(renewed.purpose, Purpose::Renew);
        assert_eq!(renewed.record.fence, write.record.fence);
    }
    let far = |pair: &[u64]| pair[1] > pair[0] + 1_000_000;
    assert!(tokens.windows(2).all(far), "{tokens:?}");
}

#[test]
fn a_write_from_before_a_store_restore_gives_no_tenure() {
    let requested_at = Instant::now();
    let mut lease = lease_taken_at(requested_at);
    let due = requested_at + seconds(2);
    let write = expect_write(&mut lease, seconds(102), CANDIDATE, due);
    lease.record_unknown_outcome(&write.record, due);
    lease.record_store_restored(1, due);
    lease.record_read(Some((2, write.record)), due, due);
    assert_eq!(lease.tenure(due), None);
}

/// Returns a lease whose row was read again after the store was restored to an older copy.
fn lease_after_restore(record: LeaseRecord, now: Instant) -> Lease {
    let mut lease = lease_of("a");
    lease.record_read(Some((5, record.clone())), now, now);
    assert_eq!(lease.write_back_step(), None, "the store was not restored");
    lease.record_store_restored(1, now);
    assert_eq!(lease.write_back_step(), None, "the row is not known");
    lease.record_read(Some((1_004, record)), now, now);
    lease
}

/// Decisions that a restored store lost are stored again before the lease can be taken.
#[test]
fn a_write_back_changes_neither_the_lease_nor_the_time_until_it_is_free() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let mut lease = lease_after_restore(record_held_by("b"), now);
    let expected = Step::Write {
        record: record_held_by("b"),
        expected: 1_004,
        purpose: Purpose::WriteBack,
    };
    assert_eq!(lease.write_back_step(), Some(expected));
    lease.record_written_back(1_005, record_held_by("b"), now, now + seconds(1));
    assert_eq!(lease.tenure(now + seconds(1)), None);
    let free_from = now + seconds(1) + LENGTH;
    let next = lease.next_step(Some(seconds(100)), CANDIDATE, now + seconds(1));
    assert_eq!(next, Step::Wait(free_from));
    let write = expect_write(&mut lease, seconds(104), CANDIDATE, free_from);
    assert_eq!((write.expected, write.purpose), (1_005, Purpose::Take));
}

#[test]
fn a_write_back_by_the_former_holder_gives_no_tenure() {
    let now = Instant::now();
    let mut lease = lease_after_restore(record_held_by("a"), now);
    lease.record_written_back(1_005, record_held_by("a"), now, now);
    assert_eq!(lease.tenure(now), None);
    let next = lease.next_step(Some(seconds(100)), CANDIDATE, now);
    assert_eq!(next, Step::Wait(now + LENGTH));
}

#[test]
fn a_write_back_whose_outcome_is_unknown_is_read_back() {
    let now = Instant::now();
    let mut lease = lease_after_restore(record_held_by("b"), now);
    lease.record_unknown_write_back();
    assert_eq!(lease.write_back_step(), None);
    let next = lease.next_step(Some(seconds(100)), CANDIDATE, now);
    assert_eq!(next, Step::Read);
}

/// The holder of the current era adds lost decisions itself; another writer would only make its renewal fail.
#[test]
fn nothing_is_written_back_once_the_lease_is_taken_in_the_era() {
    let now = Instant::now();
    let mut lease = lease_after_restore(record_held_by("b"), now);
    let taken = LeaseRecord {
        fence: 1 << 32,
        ..record_held_by("b")
    };
    lease.record_read(Some((1_005, taken)), now, now);
    assert_eq!(lease.write_back_step(), None);
}
