//! Tests of permits: how many a lender lends, how long they are valid, and when a host asks again.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::ids::{EngineId, HostId},
    tealshore_rates::{
        Borrower, Lender, Loan, NextPermit, PermitRequest, Proximity, lendable_fraction, rank,
    },
};

const ASK_TIMEOUT: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream() -> EngineId {
    "i-1".to_owned()
}

fn host(number: usize) -> HostId {
    format!("host-{number}")
}

fn lend(lender: &mut Lender, per_s: f64, host: &HostId, wanted: u32, now: Instant) -> Loan {
    let request = PermitRequest {
        host,
        wanted,
        owed: 0,
    };
    lender.lend(&upstream(), per_s, request, 0.5, now)
}

/// Another lender may have lent permits a moment ago.
#[test]
fn a_new_bucket_is_empty_and_fills_at_the_rate() {
    let (mut lender, start) = (Lender::default(), Instant::now());
    let first = lend(&mut lender, 4.0, &host(0), 5, start);
    assert_eq!((first.permits, first.wait), (0, ms(250)));
    assert_eq!(
        lend(&mut lender, 4.0, &host(0), 5, start + ms(250)).permits,
        1
    );
    assert_eq!(
        lend(&mut lender, 4.0, &host(0), 5, start + ms(750)).permits,
        2
    );
    // The number of permits that accumulate is bounded by the depth of the bucket.
    let after_long = lend(&mut lender, 4.0, &host(0), 50, start + ms(60_000));
    assert_eq!(after_long.permits, 3);
}

#[test]
fn requests_sent_without_a_permit_are_deducted() {
    let (mut lender, start) = (Lender::default(), Instant::now());
    lend(&mut lender, 1.0, &host(0), 1, start);
    let id = host(0);
    let owing = PermitRequest {
        host: &id,
        wanted: 1,
        owed: 2,
    };
    let now = start + ms(2_000);
    assert_eq!(lender.lend(&upstream(), 1.0, owing, 0.5, now).permits, 0);
    assert_eq!(lend(&mut lender, 1.0, &id, 1, now + ms(1_000)).permits, 1);
}

/// Only an answer shows that a limit was removed, so a limit of zero must not stop all requests.
#[test]
fn a_zero_limit_is_probed_at_the_minimum_rate() {
    let (mut lender, start) = (Lender::default(), Instant::now());
    lend(&mut lender, 0.0, &host(0), 1, start);
    assert_eq!(
        lend(&mut lender, 0.0, &host(0), 1, start + ms(4_900)).permits,
        0
    );
    assert_eq!(
        lend(&mut lender, 0.0, &host(0), 1, start + ms(5_100)).permits,
        1
    );
}

#[test]
fn a_permit_serves_one_request_and_expires() {
    let (mut borrower, start, id) = (Borrower::default(), Instant::now(), upstream());
    let ask = borrower.request_permits(&id, ASK_TIMEOUT, start).unwrap();
    assert_eq!((ask.wanted, ask.owed), (1, 0));
    let loan = Loan {
        permits: 2,
        valid: ms(50),
        wait: ms(0),
    };
    borrower.record_loan(&id, ask.number, loan, start);
    assert!(borrower.take(&id, start + ms(10)));
    assert!(borrower.has_permit(&id, start + ms(49)));
    assert!(!borrower.has_permit(&id, start + ms(50)));
    assert!(!borrower.take(&id, start + ms(50)));
}

#[test]
fn a_lender_is_asked_again_after_its_wait_or_a_timeout() {
    let (mut borrower, start, id) = (Borrower::default(), Instant::now(), upstream());
    let first = borrower.request_permits(&id, ASK_TIMEOUT, start).unwrap();
    assert!(
        borrower
            .request_permits(&id, ASK_TIMEOUT, start + ms(99))
            .is_none()
    );
    let second = borrower
        .request_permits(&id, ASK_TIMEOUT, start + ms(100))
        .unwrap();
    let none = Loan {
        permits: 0,
        valid: ms(0),
        wait: ms(300),
    };
    // The answer to the first request for permits is late; the answer to the second is still pending.
    borrower.record_loan(&id, first.number, none, start + ms(110));
    assert_eq!(borrower.next_permit(&id, start + ms(110)), NextPermit::Open);
    borrower.record_loan(&id, second.number, none, start + ms(120));
    assert_eq!(
        borrower.next_permit(&id, start + ms(120)),
        NextPermit::After(ms(300))
    );
    assert!(
        borrower
            .request_permits(&id, ASK_TIMEOUT, start + ms(400))
            .is_none()
    );
    assert!(
        borrower
            .request_permits(&id, ASK_TIMEOUT, start + ms(420))
            .is_some()
    );
}

#[test]
fn an_unpermitted_request_uses_a_permit_or_is_reported_as_owed() {
    let (mut borrower, start, id) = (Borrower::default(), Instant::now(), upstream());
    borrower.record_unpermitted(&id, start);
    let ask = borrower.request_permits(&id, ASK_TIMEOUT, start).unwrap();
    assert_eq!(ask.owed, 1);
    let loan = Loan {
        permits: 1,
        valid: ms(50),
        wait: ms(0),
    };
    borrower.record_loan(&id, ask.number, loan, start);
    borrower.record_unpermitted(&id, start + ms(1));
    assert!(!borrower.has_permit(&id, start + ms(1)));
}

/// A host with many requests asks for as many permits as it needs until the next answer.
#[test]
fn a_busy_host_asks_for_several_permits() {
    let (mut borrower, start, id) = (Borrower::default(), Instant::now(), upstream());
    let mut wanted = 0;
    for number in 0..200 {
        let now = start + ms(number * 4);
        if let Some(ask) = borrower.request_permits(&id, ms(1), now) {
            wanted = ask.wanted;
        }
    }
    assert!((2..=8).contains(&wanted), "{wanted}");
}

#[test]
fn idle_buckets_and_accounts_are_removed() {
    let (mut lender, mut borrower, start) =
        (Lender::default(), Borrower::default(), Instant::now());
    lend(&mut lender, 1.0, &host(0), 1, start);
    borrower.request_permits(&upstream(), ASK_TIMEOUT, start);
    lender.remove_idle(start + ms(59_000));
    borrower.remove_idle(start + ms(59_000));
    assert_eq!((lender.len(), borrower.len()), (1, 1));
    lender.remove_idle(start + ms(61_000));
    borrower.remove_idle(start + ms(61_000));
    assert!(lender.is_empty() && borrower.is_empty());
}

/// Near hosts lend first, lending is spread over them, and the loss of a host moves only the upstreams that it
/// lent for.
#[test]
fn lenders_are_near_and_evenly_spread() {
    let lender_of = |upstream: &EngineId, without: Option<usize>| {
        let hosts = (0..9).filter(|number| Some(*number) != without);
        hosts.min_by_key(|number| {
            let proximity = if number % 3 == 0 {
                Proximity::SameHall
            } else {
                Proximity::SameRegion
            };
            rank(upstream, &host(*number), proximity)
        })
    };
    let upstreams: Vec<EngineId> = (0..60).map(|number| format!("i-{number}")).collect();
    let mut counts = [0; 9];
    for upstream in &upstreams {
        let lender = lender_of(upstream, None).unwrap();
        assert_eq!(lender % 3, 0);
        counts[lender] += 1;
        let other = lender_of(upstream, Some((lender + 3) % 9));
        assert_eq!(other, Some(lender));
    }
    assert!(
        [0, 3, 6].iter().all(|number| counts[*number] >= 8),
        "{counts:?}"
    );
}

/// A partition must not let both sides lend the whole limit.
#[test]
fn both_sides_of_a_partition_lend_little_more_than_the_limit() {
    for hosts in 1..=300_usize {
        for side in 0..=hosts {
            let sum = lendable_fraction(side, hosts) + lendable_fraction(hosts - side, hosts);
            assert!(sum <= 1.26, "{side} of {hosts}: {sum}");
        }
        assert!((lendable_fraction(hosts, hosts) - 1.0).abs() < f64::EPSILON);
    }
}

proptest! {
    /// Within any period a lender lends at most the limit's rate plus the depth of the bucket, whichever hosts
    /// ask, whenever and for however many permits.
    #[test]
    fn a_lender_never_lends_more_than_its_rate(
        per_s in 0.0_f64..60.0,
        asks in prop::collection::vec((0_usize..20, 1_u32..80, 0_u64..400), 1..300),
    ) {
        let (mut lender, start) = (Lender::default(), Instant::now());
        let mut now = start;
        let mut lent: Vec<(Instant, u32)> = Vec::new();
        for (number, wanted, pause_ms) in asks {
            now += ms(pause_ms);
            let loan = lend(&mut lender, per_s, &host(number), wanted, now);
            prop_assert!(loan.permits <= wanted);
            prop_assert!(loan.permits > 0 || loan.wait > Duration::ZERO);
            lent.push((now, loan.permits));
        }
        for (first, (from, _)) in lent.iter().enumerate() {
            let mut sum = 0.0;
            for (until, permits) in &lent[first..] {
                sum += f64::from(*permits);
                let allowed = (*until - *from).as_secs_f64() * per_s.max(0.2) + 3.0;
                prop_assert!(sum <= allowed + 1e-6, "{sum} in {:?}, allowed {allowed}", *until - *from);
            }
        }
    }
}
