//! Error rates of the verdict on a version, in simulated roll-outs.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    tealshore_gateway::rollout::{
        Evidence, MAX_CANARY_UPSTREAMS, MAX_TRACKED_ROUTES, Quality, Tally, Verdict, evaluate,
        route_key,
    },
};

/// A route of a simulated service.
#[derive(Clone, Copy)]
struct Route {
    /// Its share of the requests.
    share: f64,
    /// Rate of bad answers of the old version.
    old_bad: f64,
    /// Rate of bad answers of each upstream of the target.
    target_bad: [f64; 3],
}

/// Creates routes with the same rates of bad answers.
fn uniform_routes(parts: &[f64], old_bad: f64, target_bad: [f64; 3]) -> Vec<Route> {
    let route = |share: &f64| Route {
        share: *share,
        old_bad,
        target_bad,
    };
    parts.iter().map(route).collect()
}

/// Creates routes with few bad answers, except that the target has the rate `bad` on the last one.
fn bad_on_last_route(parts: &[f64], bad: f64) -> Vec<Route> {
    let mut routes = uniform_routes(parts, 0.02, [0.02; 3]);
    if let Some(last) = routes.last_mut() {
        last.target_bad = [bad; 3];
    }
    routes
}

/// Results of simulated roll-outs.
#[derive(Debug, Default)]
struct Results {
    rejected: u32,
    /// The largest number of bad answers before a rejection.
    max_bad: u32,
    accepted: u32,
    /// Undecided without evidence against the target, which is accepted at the end.
    accepted_unproven: u32,
    /// Undecided with evidence against the target, which is rolled back at the end.
    suspect: u32,
    /// The largest number of canaries before a rejection.
    max_canaries: u32,
}

/// Simulates roll-outs of up to 400 canaries, with ten answers of the old version for each canary.
/// The evidence is evaluated after each canary.
fn simulate(routes: &[Route], seed: u64) -> Results {
    const ROLLOUTS: u32 = 400;
    const CANARIES: u32 = 400;
    let mut random = StdRng::seed_from_u64(seed);
    let mut results = Results::default();
    for _ in 0..ROLLOUTS {
        let mut evidence = Evidence::new(1);
        let mut last = evaluate(&evidence, 3);
        for canary in 0..CANARIES {
            for _ in 0..10 {
                let (key, route) = draw(routes, &mut random);
                let is_bad = random.random::<f64>() < route.old_bad;
                evidence.add_serving(key, one(is_bad));
            }
            let (key, route) = draw(routes, &mut random);
            let upstream = (canary as usize / 20) % 3;
            let is_bad = random.random::<f64>() < route.target_bad[upstream];
            evidence.add_target(&format!("i-{upstream}"), key, one(is_bad));
            last = evaluate(&evidence, 3);
            let is_enough = canary >= 60;
            if last.verdict == Verdict::Bad {
                results.max_canaries = results.max_canaries.max(canary + 1);
                results.max_bad = results.max_bad.max(evidence.target_sum().bad);
                break;
            } else if last.verdict == Verdict::Good && is_enough {
                break;
            }
        }
        match last.verdict {
            Verdict::Bad => results.rejected += 1,
            Verdict::Good => results.accepted += 1,
            Verdict::Undecided if last.log_ratio > 0.0 => results.suspect += 1,
            Verdict::Undecided => results.accepted_unproven += 1,
        }
    }
    results
}

/// Draws the route of a request, with its key.
fn draw<'a>(routes: &'a [Route], random: &mut StdRng) -> (u32, &'a Route) {
    let mut left = random.random::<f64>();
    let mut key = 0;
    for route in routes {
        key += 1;
        left -= route.share;
        if left < 0.0 {
            return (key, route);
        }
    }
    (key, &routes[routes.len() - 1])
}

fn one(is_bad: bool) -> Tally {
    Tally {
        answers: 1,
        bad: u32::from(is_bad),
    }
}

const THREE: [f64; 3] = [0.6, 0.3, 0.1];
const SIX: [f64; 6] = [0.4, 0.3, 0.1, 0.1, 0.06, 0.04];

#[test]
fn good_version_is_rarely_rejected() {
    let mixed_rates = vec![
        Route {
            share: 0.55,
            old_bad: 0.004,
            target_bad: [0.004; 3],
        },
        Route {
            share: 0.35,
            old_bad: 0.07,
            target_bad: [0.07; 3],
        },
        Route {
            share: 0.1,
            old_bad: 0.4,
            target_bad: [0.4; 3],
        },
    ];
    let cases = [
        ("few errors", uniform_routes(&[1.0], 0.004, [0.004; 3])),
        ("errors of its own", uniform_routes(&[1.0], 0.14, [0.14; 3])),
        ("answers are lost", uniform_routes(&[1.0], 0.3, [0.3; 3])),
        (
            "one bad upstream",
            uniform_routes(&[1.0], 0.06, [0.5, 0.06, 0.06]),
        ),
        (
            "one dead upstream",
            uniform_routes(&[1.0], 0.02, [1.0, 0.02, 0.02]),
        ),
        (
            "three routes, few errors",
            uniform_routes(&THREE, 0.004, [0.004; 3]),
        ),
        (
            "three routes, errors",
            uniform_routes(&THREE, 0.14, [0.14; 3]),
        ),
        (
            "three routes, answers lost",
            uniform_routes(&THREE, 0.3, [0.3; 3]),
        ),
        (
            "three routes, one bad upstream",
            uniform_routes(&THREE, 0.06, [0.5, 0.06, 0.06]),
        ),
        ("three routes, different rates", mixed_rates),
        ("six routes, errors", uniform_routes(&SIX, 0.14, [0.14; 3])),
        (
            "six routes, answers lost",
            uniform_routes(&SIX, 0.3, [0.3; 3]),
        ),
        (
            "six routes, one dead upstream",
            uniform_routes(&SIX, 0.02, [1.0, 0.02, 0.02]),
        ),
    ];
    for (index, (name, routes)) in cases.into_iter().enumerate() {
        let results = simulate(&routes, index as u64);
        println!("{name}: {results:?}");
        assert!(results.rejected <= 4, "{name}: {} of 400", results.rejected);
        assert!(
            results.accepted + results.accepted_unproven >= 392,
            "{name}: {results:?}"
        );
        // A small route has few answers, so with several routes the target may be accepted only at
        // the end, without a verdict.
        if routes.len() == 1 {
            assert!(
                results.accepted >= 380,
                "{name}: {} of 400",
                results.accepted
            );
        }
    }
}

#[test]
fn bad_version_is_rejected_before_fifty_bad_answers() {
    let cases = [
        ("a third fails", uniform_routes(&[1.0], 0.02, [0.33; 3])),
        (
            "half fails among errors",
            uniform_routes(&[1.0], 0.14, [0.57; 3]),
        ),
        ("all are slow", uniform_routes(&[1.0], 0.03, [0.9; 3])),
        (
            "three routes, a third fails",
            uniform_routes(&THREE, 0.02, [0.33; 3]),
        ),
        (
            "three routes, half fails among errors",
            uniform_routes(&THREE, 0.14, [0.57; 3]),
        ),
    ];
    for (index, (name, routes)) in cases.into_iter().enumerate() {
        let results = simulate(&routes, 100 + index as u64);
        println!(
            "{name}: {} rejected, at most {} bad",
            results.rejected, results.max_bad
        );
        assert!(
            results.rejected >= 396,
            "{name}: {} of 400",
            results.rejected
        );
        assert!(results.max_bad < 50, "{name}: {} bad", results.max_bad);
    }
}

/// The answers of other routes must not hide a small route on which the target is bad.
#[test]
fn version_bad_on_one_route_is_rolled_back() {
    let cases = [
        (
            "half of 0.44 fails",
            bad_on_last_route(&[0.56, 0.44], 0.5),
            396,
        ),
        ("half of 0.1 fails", bad_on_last_route(&THREE, 0.5), 370),
        ("0.1 are slow", bad_on_last_route(&THREE, 0.9), 396),
        // About 16 of 400 canaries are on this route.
        ("half of 0.04 fails", bad_on_last_route(&SIX, 0.5), 320),
        ("0.04 are slow", bad_on_last_route(&SIX, 0.9), 396),
    ];
    for (index, (name, routes, min_rolled_back)) in cases.into_iter().enumerate() {
        let results = simulate(&routes, 200 + index as u64);
        println!("{name}: {results:?}");
        let rolled_back = results.rejected + results.suspect;
        assert!(
            rolled_back >= min_rolled_back,
            "{name}: {rolled_back} of 400"
        );
        assert!(results.max_bad < 50, "{name}: {} bad", results.max_bad);
    }
}

/// The evidence that hosts exchange must fit in a datagram, regardless of the number of routes and
/// upstreams.
#[test]
fn evidence_size_is_bounded_with_many_routes() {
    let many = Tally {
        answers: 20_000,
        bad: 2_000,
    };
    let mut evidence = Evidence::new(70_000);
    for route in 0..400 {
        let key = route_key(&format!("route-{route}"));
        evidence.add_serving(key, many);
        for upstream in 0..MAX_CANARY_UPSTREAMS {
            evidence.add_target(&format!("i-000000{upstream:04}"), key, many);
        }
    }
    for upstream in 0..MAX_CANARY_UPSTREAMS {
        let id = format!("i-000000{upstream:04}");
        for _ in 0..20_000 {
            evidence.record_target(&id, route_key("route-0"), Quality::Lost);
        }
    }
    let tracked_routes = evidence.routes().count();
    assert_eq!(tracked_routes, MAX_TRACKED_ROUTES + 1);
    let all = evidence.serving().sum();
    assert_eq!((all.answers, all.bad), (400 * 20_000, 400 * 2_000));
    let mut others = Evidence::new(70_000);
    for route in 1_000..1_400 {
        others.add_serving(route_key(&format!("route-{route}")), many);
    }
    evidence.add(&others);
    assert_eq!(evidence.routes().count(), MAX_TRACKED_ROUTES + 1);
    let bytes = postcard::to_stdvec(&evidence).unwrap().len();
    println!("{bytes} bytes");
    assert!(bytes <= 1_200, "{bytes} bytes");
}

/// Upstreams of the target that die are replaced by others with new names, which must not let the
/// evidence grow.
#[test]
fn evidence_size_is_bounded_while_upstreams_are_replaced() {
    let mut evidence = Evidence::new(70_000);
    for upstream in 0..300 {
        for route in 0..MAX_TRACKED_ROUTES {
            let key = route_key(&format!("route-{route}"));
            evidence.record_target(&format!("i-000000{upstream:04}"), key, Quality::Failed);
        }
    }
    let of_one = u32::try_from(MAX_TRACKED_ROUTES).unwrap();
    assert_eq!(evidence.target_sum(), tally(300 * of_one, 300 * of_one));
    // The verdict leaves out one upstream, not the whole entry of those that are not tracked
    // separately.
    assert_eq!(evaluate(&evidence, 300).target.answers, 299 * of_one);
    let bytes = postcard::to_stdvec(&evidence).unwrap().len();
    println!("{bytes} bytes");
    assert!(bytes <= 2_400, "{bytes} bytes");
}

/// The worst upstream of each route is left out, but bad answers from two upstreams count.
#[test]
fn answers_are_evaluated_by_route() {
    let mut evidence = Evidence::new(1);
    let (small, large) = (route_key("small"), route_key("large"));
    for (route, answers) in [(large, 2_000), (small, 100)] {
        evidence.add_serving(route, Tally { answers, bad: 0 });
    }
    for upstream in ["i-1", "i-2", "i-3"] {
        let good = Tally {
            answers: 60,
            bad: 0,
        };
        evidence.add_target(&upstream.to_owned(), large, good);
    }
    assert_ne!(
        evaluate(&evidence, 3).verdict,
        Verdict::Good,
        "the small route has no answers of the target"
    );
    let bad = Tally { answers: 4, bad: 4 };
    evidence.add_target(&"i-1".to_owned(), small, bad);
    assert_eq!(evaluate(&evidence, 3).verdict, Verdict::Undecided);
    evidence.add_target(&"i-2".to_owned(), small, bad);
    assert_eq!(evaluate(&evidence, 3).verdict, Verdict::Bad);
}

fn tally(answers: u32, bad: u32) -> Tally {
    Tally { answers, bad }
}
