//! The budget of repeated sends holds over all hosts without a word between them.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_gateway::budget::{BudgetBounds, RetryBudget},
};

const BOUNDS: BudgetBounds = BudgetBounds {
    ratio: 0.8,
    slack: 150.0,
    window: Duration::from_secs(10),
};

#[derive(Clone, Copy, Debug)]
struct Step {
    host: usize,
    after_ms: u64,
    is_request: bool,
}

fn step(hosts: usize) -> impl Strategy<Value = Step> {
    (0..hosts, 0..40_u64, any::<bool>()).prop_map(|(host, after_ms, is_request)| Step {
        host,
        after_ms,
        is_request,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(40) })]

    #[test]
    fn the_sum_over_hosts_keeps_to_the_whole_in_each_window(
        steps in prop::collection::vec(step(9), 1..3_000)
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::new(BOUNDS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for step in steps {
            now += Duration::from_millis(step.after_ms);
            let budget = &mut budgets[step.host];
            if step.is_request {
                budget.note_request(now);
                requests.push(now);
            } else if budget.take(now, 9) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let within = |times: &[Instant], span: Duration| {
                times.iter().filter(|time| **time <= *end && *end - **time < span).count()
            };
            let repeated = within(&repeats, BOUNDS.window);
            // The rule counts requests over this window or the one before it.
            let asked = within(&requests, BOUNDS.window * 2);
            let allowed = 0.8 * f64::from(u32::try_from(asked).unwrap()) + 150.0;
            prop_assert!(f64::from(u32::try_from(repeated).unwrap()) <= allowed);
        }
    }
}

#[test]
fn a_host_alone_has_the_whole_slack_and_one_of_many_its_part() {
    tealshore_core::protection::start();
    let now = Instant::now();
    let taken = |hosts| {
        let mut budget = RetryBudget::new(BOUNDS);
        (0..1_000).filter(|_| budget.take(now, hosts)).count()
    };
    assert_eq!(taken(1), 150);
    assert_eq!(taken(10), 15);
    assert_eq!(taken(300), 0);
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.take(now, 1) {}
    assert!(!budget.take(now + Duration::from_secs(9), 1));
    assert!(budget.take(now + Duration::from_secs(11), 1));
}
