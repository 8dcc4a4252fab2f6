//! The clock that counts suspensions.

use {
    std::time::{Duration, Instant},
    tealshore_core::clock::{TimedOut, elapsed, now, sleep_until, timeout_at},
    tokio::time::sleep,
};

#[test]
fn the_clock_never_goes_back() {
    let mut last = now();
    for _ in 0..10_000 {
        let next = now();
        assert!(next >= last);
        last = next;
    }
}

#[tokio::test]
async fn the_clock_advances_with_the_steady_clock_while_the_machine_runs() {
    let (steady, began) = (Instant::now(), now());
    sleep(Duration::from_millis(50)).await;
    let age = elapsed(began);
    assert!(age >= Duration::from_millis(50), "{age:?}");
    assert!(age <= steady.elapsed(), "{age:?}");
}

#[tokio::test]
async fn a_wait_ends_at_its_instant_and_not_before() {
    let until = now() + Duration::from_millis(30);
    sleep_until(until).await;
    assert!(now() >= until);
}

#[tokio::test]
async fn a_time_limit_ends_a_future_that_never_completes_and_no_other() {
    let until = now() + Duration::from_millis(20);
    let never = timeout_at(until, std::future::pending::<()>()).await;
    assert_eq!(never, Err(TimedOut));
    let completed = timeout_at(until, async { 7 }).await;
    assert_eq!(completed, Ok(7));
}
