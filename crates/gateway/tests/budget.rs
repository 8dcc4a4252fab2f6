//! The retry budget holds over all hosts, whatever they hear of each other, and budget that some leave unused
//! is available to the others.

use {
    proptest::prelude::*,
    std::time::{Duration, Instant},
    tealshore_core::clock,
    tealshore_gateway::budget::{BudgetBounds, BudgetUse, Pool, RetryBudget},
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
        let start = clock::now();
        let mut now = start;
        let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::new(BOUNDS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for step in steps {
            now += Duration::from_millis(step.after_ms);
            let budget = &mut budgets[step.host];
            if step.is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.take(now, &Pool::without_peers(9)) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let within = |times: &[Instant], span: Duration| {
                times.iter().filter(|time| **time <= *end && *end - **time < span).count()
            };
            let repeated = within(&repeats, BOUNDS.window);
            // The budget counts requests of this window or the one before it.
            let asked = within(&requests, BOUNDS.window * 2);
            let allowed = 0.8 * f64::from(u32::try_from(asked).unwrap()) + 150.0;
            prop_assert!(f64::from(u32::try_from(repeated).unwrap()) <= allowed);
        }
    }
}

#[test]
fn a_host_alone_has_half_of_the_slack_and_one_of_many_its_part() {
    tealshore_core::protection::start();
    let now = clock::now();
    let taken = |hosts| {
        let mut budget = RetryBudget::new(BOUNDS);
        (0..1_000)
            .filter(|_| budget.take(now, &Pool::without_peers(hosts)))
            .count()
    };
    assert_eq!(taken(1), 75);
    assert_eq!(taken(10), 7);
    assert_eq!(taken(300), 0);
}

#[test]
fn repeats_are_available_again_after_the_window() {
    let now = clock::now();
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.take(now, &Pool::without_peers(1)) {}
    assert!(!budget.take(now + Duration::from_secs(9), &Pool::without_peers(1)));
    assert!(budget.take(now + Duration::from_secs(11), &Pool::without_peers(1)));
}

/// All hosts use their whole budget, are killed, and use it again after the restart.
#[test]
fn hosts_that_are_all_killed_do_not_use_the_slack_twice() {
    const HOSTS: usize = 9;
    let start = clock::now();
    let take_all = |now: Instant| {
        let mut budgets: Vec<RetryBudget> = (0..HOSTS).map(|_| RetryBudget::new(BOUNDS)).collect();
        let mut taken = 0;
        for index in 0..HOSTS {
            let mut pool = Pool::without_peers(HOSTS);
            for other in (0..HOSTS).filter(|other| *other != index) {
                pool.live_peers += 1;
                pool.used.add(budgets[other].used(now));
            }
            while budgets[index].take(now, &pool) {
                taken += 1;
            }
        }
        taken
    };
    let before = take_all(start);
    let after = take_all(start + Duration::from_secs(1));
    assert!(before > 60, "{before}");
    assert!(before + after <= 150, "{before} and {after} repeats");
}

/// Requests arrive at a steady rate, and the host repeats as many as it is allowed to.
#[test]
fn hosts_that_all_restart_under_load_stay_within_the_budget() {
    const STEP: Duration = Duration::from_millis(100);
    const WINDOW: Duration = Duration::from_secs(10);
    const REQUESTS_PER_STEP: u32 = 8;
    let start = clock::now();
    let mut budget = RetryBudget::new(BOUNDS);
    let mut repeated_at: Vec<Duration> = Vec::new();
    for step in 0..400 {
        let at = STEP * step;
        if at == 2 * WINDOW {
            budget = RetryBudget::after_restart(BOUNDS, 0, start + at);
        }
        for _ in 0..REQUESTS_PER_STEP {
            budget.record_request(start + at);
        }
        // Unused repeats accumulate until shortly before the restart, and are all taken then.
        let is_idle = at < 2 * WINDOW - STEP;
        while !is_idle && budget.take(start + at, &Pool::without_peers(1)) {
            repeated_at.push(at);
        }
        let in_window = repeated_at.iter().filter(|it| **it + WINDOW > at);
        let repeats = f64::from(u32::try_from(in_window.count()).unwrap());
        let asked = 100.0 * f64::from(REQUESTS_PER_STEP);
        let allowed = BOUNDS.ratio * asked + BOUNDS.slack;
        assert!(
            repeats <= allowed,
            "{repeats} repeats at {at:?}, {allowed} allowed"
        );
    }
    assert!(!repeated_at.is_empty());
}

/// The last report that a host received from another one.
#[derive(Clone, Copy)]
struct Report {
    used: BudgetUse,
    received: Instant,
}

/// Hosts that report their use to each other, with delay and losses.
struct Hosts {
    budgets: Vec<RetryBudget>,
    reports: Vec<Vec<Option<Report>>>,
}

/// How long a report is used.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_600);

impl Hosts {
    fn new(count: usize) -> Self {
        Self {
            budgets: (0..count).map(|_| RetryBudget::new(BOUNDS)).collect(),
            reports: vec![vec![None; count]; count],
        }
    }

    fn send_report(&mut self, from: usize, to: usize, now: Instant) {
        let used = self.budgets[from].used(now);
        self.reports[to][from] = Some(Report {
            used,
            received: now,
        });
    }

    fn take(&mut self, host: usize, now: Instant) -> bool {
        let mut pool = Pool::without_peers(self.budgets.len());
        let reports = self.reports[host].iter().flatten();
        for report in reports.filter(|report| now - report.received <= REPORT_LIFETIME) {
            pool.live_peers += 1;
            pool.used.add(report.used);
        }
        self.budgets[host].take(now, &pool)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(24) })]

    /// All hosts repeat as often as they are allowed to, at once or in turn. They report their use every half
    /// second, some reports are lost, and some hosts are cut off.
    #[test]
    fn what_hosts_leave_over_is_never_spent_twice(
        busy in 1_usize..9,
        requests_per_s in 5_u32..80,
        lost_percent in 0_u32..30,
        cut_off in 0_usize..5,
        draws in prop::collection::vec(0_u32..100, 4_000)
    ) {
        const HOSTS: usize = 9;
        /// More than any host may take at one instant.
        const TRIES_PER_TICK: usize = 400;
        tealshore_core::protection::start();
        let start = clock::now();
        let mut hosts = Hosts::new(HOSTS);
        let mut draws = draws.into_iter().cycle();
        let mut repeats: Vec<Instant> = Vec::new();
        for tick in 0..600_u32 {
            let now = start + Duration::from_millis(50) * tick;
            for _ in 0..requests_per_s / 20 + 1 {
                let host = usize::try_from(draws.next().unwrap()).unwrap() % HOSTS;
                hosts.budgets[host].record_request(now);
            }
            if tick % 10 == 0 {
                for from in cut_off..HOSTS {
                    for to in cut_off..HOSTS {
                        if from != to && draws.next().unwrap() >= lost_percent {
                            hosts.send_report(from, to, now);
                        }
                    }
                }
            }
            for host in 0..busy {
                let taken = (0..TRIES_PER_TICK).take_while(|_| hosts.take(host, now)).count();
                repeats.extend(std::iter::repeat_n(now, taken));
            }
        }
        let per_window = (requests_per_s / 20 + 1) * 200;
        let allowed = 0.8 * f64::from(per_window) + BOUNDS.slack;
        for end in &repeats {
            let window = repeats.iter().filter(|time| *time <= end && *end - **time < BOUNDS.window);
            let repeated = f64::from(u32::try_from(window.count()).unwrap());
            prop_assert!(repeated <= allowed, "{repeated} of {allowed}");
        }
    }
}

#[test]
fn a_host_that_needs_more_takes_unused_budget_of_others() {
    let now = clock::now();
    let mut hosts = Hosts::new(88);
    for host in 0..88 {
        for _ in 0..5 {
            hosts.budgets[host].record_request(now);
        }
    }
    // Its own share alone allows three in the whole window.
    let mut taken = 0;
    for second in 0..5 {
        let at = now + Duration::from_millis(1_100) * second;
        for from in 1..88 {
            hosts.send_report(from, 0, at);
        }
        taken += (0..100).filter(|_| hosts.take(0, at)).count();
    }
    assert!(taken >= 15, "{taken}");
}

#[test]
fn a_host_with_too_few_live_peers_keeps_to_its_own_share() {
    let now = clock::now();
    let mut hosts = Hosts::new(9);
    for host in 0..9 {
        for _ in 0..20 {
            hosts.budgets[host].record_request(now);
        }
    }
    let taken_alone = (0..1_000).filter(|_| hosts.take(0, now)).count();
    for from in 2..6 {
        hosts.send_report(from, 1, now);
    }
    let taken_with_few = (0..1_000).filter(|_| hosts.take(1, now)).count();
    assert_eq!(taken_alone, taken_with_few);
}

#[test]
fn a_repeat_that_reached_nobody_can_be_taken_again() {
    let now = clock::now();
    let bounds = BudgetBounds {
        ratio: 0.0,
        slack: 4.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(bounds);
    let alone = Pool::without_peers(1);
    assert!(budget.take(now, &alone));
    assert!(budget.take(now, &alone));
    assert!(!budget.take(now, &alone));
    budget.refund();
    assert_eq!(budget.used(now).repeats, 1);
    assert!(budget.take(now, &alone));
    assert!(!budget.take(now, &alone));
}

/// In a large fleet each host's equal share of the unused budget is less than one repeat. Guards against
/// rounding it down to nothing: a hall failed a few seconds after the first requests, and streams ended for
/// lack of a repeat while the slack of 295 hosts was unused.
#[test]
fn a_large_fleet_uses_the_unused_budget() {
    const HOSTS: usize = 295;
    let bounds = BudgetBounds {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
    };
    let start = clock::now();
    let mut budgets: Vec<RetryBudget> = (0..HOSTS)
        .map(|host| RetryBudget::with_draw_seed(bounds, host as u64))
        .collect();
    // Each host has a stream that lost its engine, and tries several times per second to resume it.
    let mut served = vec![false; HOSTS];
    for step in 0..60_u64 {
        let now = start + Duration::from_millis(step * 60);
        // Hosts report their use every half second.
        let reported_step = step - step % 8;
        let reported_at = start + Duration::from_millis(reported_step * 60);
        let known: Vec<BudgetUse> = budgets.iter_mut().map(|it| it.used(reported_at)).collect();
        for host in 0..HOSTS {
            if served[host] {
                continue;
            }
            let mut pool = Pool::without_peers(HOSTS);
            pool.live_peers = HOSTS - 1;
            for other in (0..HOSTS).filter(|other| *other != host) {
                pool.used.add(known[other]);
            }
            served[host] = budgets[host].take(now, &pool);
        }
    }
    let repeats = served.iter().filter(|served| **served).count();
    assert!(repeats >= 40, "{repeats} of a slack of 150 were used");
    assert!(repeats <= 110, "{repeats} leave too little for a restart");
}
