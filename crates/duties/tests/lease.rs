//! The lease, one process at a time: what it asks for, and until when it may act.

use {
    std::time::{Duration, Instant},
    tealshore_duties::lease::{
        FormerHolder, Lease, LeaseRecord, LeaseSummary, LeaseTiming, ProcessId, Purpose, Role,
        RowVersion, Step, Tenure,
    },
};

const LENGTH: Duration = Duration::from_secs(4);
const FIRST: Role = Role::Candidate {
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

/// A row that another host holds.
fn held_by(host: &str) -> LeaseRecord {
    LeaseRecord {
        fence: 7,
        holder: Some(process(host, 1)),
        former: Vec::new(),
        serial: 3,
    }
}

/// The write that the lease asks for.
fn asked_write(lease: &mut Lease, store_time: Duration, role: Role, now: Instant) -> SentWrite {
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
        step @ (Step::Wait(_) | Step::Read) => panic!("{step:?} in place of a write"),
    }
}

#[derive(Clone, Debug)]
struct SentWrite {
    record: LeaseRecord,
    expected: RowVersion,
    purpose: Purpose,
}

/// A lease that this process took at a moment.
fn taken_at(asked: Instant) -> Lease {
    let mut lease = lease_of("a");
    lease.record_read(None, asked);
    let write = asked_write(&mut lease, seconds(100), FIRST, asked);
    lease.record_written(1, write.record, asked, asked);
    lease
}

#[test]
fn a_first_host_takes_a_lease_that_has_no_row() {
    let now = Instant::now();
    let mut lease = lease_of("a");
    assert_eq!(lease.next_step(None, FIRST, now), Step::Read);
    lease.record_read(None, now);
    let write = asked_write(&mut lease, seconds(100), FIRST, now);
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
    let asked = Instant::now();
    let lease = taken_at(asked);
    let end = asked + seconds(3);
    assert!(lease.tenure(end - Duration::from_nanos(1)).is_some());
    assert_eq!(lease.tenure(end), None);
}

#[test]
fn a_renewal_counts_from_when_it_was_asked_for() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let due = asked + LENGTH * 3 / 10;
    assert_eq!(
        lease.next_step(Some(seconds(101)), FIRST, asked),
        Step::Wait(due)
    );
    let write = asked_write(&mut lease, seconds(101), FIRST, due);
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
    lease.record_read(Some((5, held_by("a"))), now);
    let free = now + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(100)), FIRST, now),
        Step::Wait(free)
    );
    let write = asked_write(&mut lease, seconds(104), FIRST, free);
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
fn a_later_candidate_gives_the_first_one_its_time() {
    let now = Instant::now();
    let mut lease = lease_of("c");
    lease.record_read(Some((5, held_by("a"))), now);
    let delay = Duration::from_millis(300);
    let step = lease.next_step(Some(seconds(104)), Role::Candidate { delay }, now + LENGTH);
    assert_eq!(step, Step::Wait(now + LENGTH + delay));
}

#[test]
fn news_of_a_renewal_put_the_expiry_off() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, held_by("a"))), now);
    let news = LeaseSummary {
        version: 6,
        fence: 7,
        holder: Some(process("a", 1)),
    };
    let later = now + seconds(2);
    lease.record_summary(&news, later);
    // Heard once more: nothing is newer by it.
    lease.record_summary(&news, later + seconds(1));
    let free = later + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(104)), FIRST, now + LENGTH),
        Step::Wait(free)
    );
    // The row has changed since it was read.
    assert_eq!(lease.next_step(Some(seconds(106)), FIRST, free), Step::Read);
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, held_by("a"))), now);
    let news = LeaseSummary {
        version: 6,
        fence: 7,
        holder: None,
    };
    lease.record_summary(&news, now);
    assert_eq!(lease.next_step(Some(seconds(100)), FIRST, now), Step::Read);
    let released = LeaseRecord {
        holder: None,
        ..held_by("a")
    };
    lease.record_read(Some((6, released)), now);
    let write = asked_write(&mut lease, seconds(100), FIRST, now);
    assert_eq!((write.expected, write.purpose), (6, Purpose::Take));
}

#[test]
fn a_host_that_left_a_short_time_ago_rests() {
    let now = Instant::now();
    let mut lease = lease_of("a");
    let released = LeaseRecord {
        holder: None,
        former: vec![FormerHolder {
            host: "a".to_owned(),
            left: seconds(100),
        }],
        ..held_by("b")
    };
    lease.record_read(Some((6, released)), now);
    let rested = now + seconds(3);
    assert_eq!(
        lease.next_step(Some(seconds(102)), FIRST, now),
        Step::Wait(rested)
    );
    let write = asked_write(&mut lease, seconds(105), FIRST, rested);
    assert_eq!(write.purpose, Purpose::Take);
    assert_eq!(write.record.former, []);
}

#[test]
fn a_restarted_host_takes_a_new_fence_after_its_own_tenure() {
    let now = Instant::now();
    let mut lease = Lease::new(process("a", 2), LeaseTiming::of(LENGTH));
    lease.record_read(Some((5, held_by("a"))), now);
    assert_eq!(
        lease.next_step(Some(seconds(100)), FIRST, now),
        Step::Wait(now + LENGTH)
    );
    let write = asked_write(&mut lease, seconds(104), FIRST, now + LENGTH);
    assert_eq!(write.record.fence, 8);
    assert_eq!(write.record.former, []);
}

#[test]
fn a_renewal_whose_answer_was_lost_counts_from_when_it_was_asked_for() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let due = asked + seconds(2);
    let write = asked_write(&mut lease, seconds(102), FIRST, due);
    lease.record_unknown_outcome(&write.record, due);
    assert_eq!(lease.next_step(Some(seconds(102)), FIRST, due), Step::Read);
    lease.record_read(Some((2, write.record)), due + seconds(1));
    assert_eq!(lease.tenure(due).unwrap().until, due + seconds(3));
}

#[test]
fn an_earlier_write_that_is_done_late_is_not_taken_for_a_later_one() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let first = asked_write(&mut lease, seconds(102), FIRST, asked + seconds(2));
    lease.record_unknown_outcome(&first.record, asked + seconds(2));
    let row = lease.summary().unwrap();
    lease.record_read(Some((row.version, taken_record())), asked + seconds(2));
    let second = asked_write(&mut lease, seconds(105), FIRST, asked + seconds(5));
    lease.record_unknown_outcome(&second.record, asked + seconds(5));
    lease.record_read(Some((2, first.record)), asked + seconds(5));
    assert_eq!(lease.tenure(asked + seconds(5)), None);
}

/// The row as [`taken_at`] wrote it.
fn taken_record() -> LeaseRecord {
    LeaseRecord {
        fence: 1,
        holder: Some(process("a", 1)),
        former: Vec::new(),
        serial: 1,
    }
}

#[test]
fn a_holder_whose_row_was_taken_acts_no_more() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    lease.record_conflict();
    assert_eq!(lease.tenure(asked), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), FIRST, asked),
        Step::Read
    );
    lease.record_read(Some((2, held_by("b"))), asked);
    assert_eq!(lease.tenure(asked), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), FIRST, asked),
        Step::Wait(asked + LENGTH)
    );
}

#[test]
fn a_holder_whose_tenure_ran_out_may_act_once_it_has_renewed() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let thawed = asked + seconds(60);
    assert_eq!(lease.tenure(thawed), None);
    let write = asked_write(&mut lease, seconds(160), FIRST, thawed);
    assert_eq!(write.purpose, Purpose::Renew);
    lease.record_written(2, write.record, thawed, thawed);
    assert_eq!(lease.tenure(thawed).unwrap().fence, 1);
}

#[test]
fn a_refused_fence_ends_the_tenure() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    lease.record_fenced();
    assert_eq!(lease.tenure(asked), None);
    assert_eq!(
        lease.next_step(Some(seconds(100)), FIRST, asked),
        Step::Read
    );
}

/// Renewed under the same token it would be refused for ever.
#[test]
fn after_a_refused_fence_the_lease_is_taken_under_a_higher_one() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let row = asked_write(&mut lease, seconds(100), FIRST, asked + LENGTH).record;
    lease.record_written(2, row.clone(), asked, asked);
    lease.record_fenced();
    lease.record_read(Some((2, row.clone())), asked);
    let write = asked_write(&mut lease, seconds(101), FIRST, asked);
    assert_eq!(write.purpose, Purpose::Take);
    assert!(write.record.fence > row.fence);
    assert_eq!(write.record.holder, row.holder);
    let fence = write.record.fence;
    lease.record_written(3, write.record, asked, asked);
    assert_eq!(lease.tenure(asked).unwrap().fence, fence);
}

#[test]
fn a_release_ends_the_tenure_before_it_is_sent() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    assert!(lease.tenure(asked).is_some());
    let write = asked_write(&mut lease, seconds(101), Role::Leaving, asked);
    assert_eq!(write.purpose, Purpose::Release);
    assert_eq!(write.record.holder, None);
    assert_eq!(lease.tenure(asked), None);
    // The answer is lost, and the write was not done: still it must not act.
    lease.record_unknown_outcome(&write.record, asked);
    assert_eq!(
        lease.next_step(Some(seconds(101)), Role::Leaving, asked),
        Step::Read
    );
    lease.record_read(Some((1, taken_record())), asked);
    assert_eq!(lease.tenure(asked), None);
    let again = asked_write(&mut lease, seconds(101), Role::Leaving, asked);
    assert_eq!((again.expected, again.purpose), (1, Purpose::Release));
}

#[test]
fn a_host_that_leaves_reads_again_what_it_holds_before_it_goes() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    // A renewal that was done late came before the release.
    let write = asked_write(&mut lease, seconds(101), Role::Leaving, asked);
    assert_eq!(write.purpose, Purpose::Release);
    lease.record_conflict();
    assert_eq!(
        lease.next_step(Some(seconds(101)), Role::Leaving, asked),
        Step::Read
    );
}

#[test]
fn a_bystander_keeps_what_it_holds_and_takes_nothing() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let write = asked_write(
        &mut lease,
        seconds(102),
        Role::NonCandidate,
        asked + seconds(2),
    );
    assert_eq!(write.purpose, Purpose::Renew);
    let mut other = lease_of("b");
    other.record_read(Some((5, LeaseRecord::default())), asked);
    let step = other.next_step(Some(seconds(100)), Role::NonCandidate, asked);
    assert!(matches!(step, Step::Wait(_)));
}

#[test]
fn a_renewal_can_be_asked_for_at_once() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    lease.renew_now();
    assert!(lease.tenure(asked).is_some());
    let write = asked_write(&mut lease, seconds(100), FIRST, asked);
    assert_eq!(write.purpose, Purpose::Renew);
}

/// The store lost the row, or was put back to an earlier state.
#[test]
fn a_row_that_is_gone_is_taken_after_the_expiry_with_a_higher_fence() {
    let now = Instant::now();
    let mut lease = lease_of("b");
    lease.record_read(Some((5, held_by("a"))), now);
    let news = LeaseSummary {
        version: 6,
        fence: 9,
        holder: Some(process("a", 1)),
    };
    lease.record_summary(&news, now);
    assert_eq!(
        lease.next_step(Some(seconds(104)), FIRST, now + LENGTH),
        Step::Read
    );
    let read = now + LENGTH;
    lease.record_read(None, read);
    // Its holder may not know yet.
    let free = read + LENGTH;
    assert_eq!(
        lease.next_step(Some(seconds(104)), FIRST, read),
        Step::Wait(free)
    );
    let write = asked_write(&mut lease, seconds(108), FIRST, free);
    assert_eq!((write.expected, write.purpose), (0, Purpose::Take));
    assert_eq!(write.record.fence, 10);
}

#[test]
fn a_holder_gives_up_what_it_holds_when_the_store_came_back_from_a_copy() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let mut lease = taken_at(now);
    lease.record_store_restored(1, now);
    assert_eq!(lease.tenure(now), None);
    assert_eq!(lease.next_step(Some(seconds(100)), FIRST, now), Step::Read);
}

/// The row that gave it to another process may be lost.
#[test]
fn nobody_takes_or_renews_a_lease_before_one_that_was_lost_is_over() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let rows = [
        None,
        Some((9, held_by("a"))),
        Some((
            9,
            LeaseRecord {
                holder: None,
                ..held_by("a")
            },
        )),
    ];
    for row in rows {
        let mut lease = lease_of("a");
        lease.record_store_restored(1, now);
        lease.record_read(row, now);
        let free = now + LENGTH;
        assert_eq!(
            lease.next_step(Some(seconds(100)), FIRST, now),
            Step::Wait(free)
        );
        let write = asked_write(&mut lease, seconds(104), FIRST, free);
        assert_eq!(write.purpose, Purpose::Take);
    }
}

/// Tokens of rows that were lost between two copies were never heard by the next holder.
#[test]
fn no_token_is_given_out_in_two_eras_of_the_store() {
    let now = Instant::now();
    let free = now + LENGTH;
    let mut tokens = Vec::new();
    for era in 1..4 {
        let mut lease = lease_of("b");
        lease.record_store_restored(era, now);
        lease.record_read(Some((1, taken_record())), now);
        let write = asked_write(&mut lease, seconds(104), FIRST, free);
        tokens.push(write.record.fence);
        lease.record_written(12, write.record.clone(), free, free);
        let due = free + seconds(2);
        let renewed = asked_write(&mut lease, seconds(106), FIRST, due);
        assert_eq!(renewed.purpose, Purpose::Renew);
        assert_eq!(renewed.record.fence, write.record.fence);
    }
    let far = |pair: &[u64]| pair[1] > pair[0] + 1_000_000;
    assert!(tokens.windows(2).all(far), "{tokens:?}");
}

#[test]
fn a_write_before_the_copy_gives_no_tenure_after_it() {
    let asked = Instant::now();
    let mut lease = taken_at(asked);
    let due = asked + seconds(2);
    let write = asked_write(&mut lease, seconds(102), FIRST, due);
    lease.record_unknown_outcome(&write.record, due);
    lease.record_store_restored(1, due);
    lease.record_read(Some((2, write.record)), due);
    assert_eq!(lease.tenure(due), None);
}
