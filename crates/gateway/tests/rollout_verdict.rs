//! How often the verdict on a version is wrong, in simulated roll-outs.
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
    /// Its part of the requests.
    part: f64,
    /// The rate of bad answers of the version that serves.
    old_bad: f64,
    /// That of each upstream of the target.
    target_bad: [f64; 3],
}

/// Routes of which all answer alike.
fn alike(parts: &[f64], old_bad: f64, target_bad: [f64; 3]) -> Vec<Route> {
    let route = |part: &f64| Route {
        part: *part,
        old_bad,
        target_bad,
    };
    parts.iter().map(route).collect()
}

/// Routes that the old version answers with few errors, and of which the target is bad on the last.
fn bad_on_the_last(parts: &[f64], bad: f64) -> Vec<Route> {
    let mut routes = alike(parts, 0.02, [0.02; 3]);
    if let Some(last) = routes.last_mut() {
        last.target_bad = [bad; 3];
    }
    routes
}

/// What became of simulated roll-outs.
#[derive(Debug, Default)]
struct Ended {
    condemned: u32,
    /// The most bad answers before a version was condemned.
    bad_before: u32,
    acquitted: u32,
    /// Without a verdict, and nothing speaks against it, so that it is trusted at the end.
    trusted: u32,
    /// Without a verdict, and more speaks against it: it goes back at the end.
    doubted: u32,
    /// The most canaries before a version was condemned.
    canaries_before: u32,
}

/// Plays many roll-outs of up to 400 canaries, ten answers of the old version beside each; the
/// verdict is looked at after each answer.
fn play(routes: &[Route], seed: u64) -> Ended {
    const PLAYS: u32 = 400;
    const CANARIES: u32 = 400;
    let mut random = StdRng::seed_from_u64(seed);
    let mut ended = Ended::default();
    for _ in 0..PLAYS {
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
                ended.canaries_before = ended.canaries_before.max(canary + 1);
                ended.bad_before = ended.bad_before.max(evidence.target_sum().bad);
                break;
            } else if last.verdict == Verdict::Good && is_enough {
                break;
            }
        }
        match last.verdict {
            Verdict::Bad => ended.condemned += 1,
            Verdict::Good => ended.acquitted += 1,
            Verdict::Undecided if last.log_ratio > 0.0 => ended.doubted += 1,
            Verdict::Undecided => ended.trusted += 1,
        }
    }
    ended
}

/// The route of a request, with its key.
fn draw<'a>(routes: &'a [Route], random: &mut StdRng) -> (u32, &'a Route) {
    let mut left = random.random::<f64>();
    let mut key = 0;
    for route in routes {
        key += 1;
        left -= route.part;
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
fn a_good_version_is_rarely_condemned_whatever_strikes_both() {
    let unlike = vec![
        Route {
            part: 0.55,
            old_bad: 0.004,
            target_bad: [0.004; 3],
        },
        Route {
            part: 0.35,
            old_bad: 0.07,
            target_bad: [0.07; 3],
        },
        Route {
            part: 0.1,
            old_bad: 0.4,
            target_bad: [0.4; 3],
        },
    ];
    let cases = [
        ("calm", alike(&[1.0], 0.004, [0.004; 3])),
        ("errors of its own", alike(&[1.0], 0.14, [0.14; 3])),
        ("answers are lost", alike(&[1.0], 0.3, [0.3; 3])),
        ("one bad upstream", alike(&[1.0], 0.06, [0.5, 0.06, 0.06])),
        ("one dead upstream", alike(&[1.0], 0.02, [1.0, 0.02, 0.02])),
        ("three routes, calm", alike(&THREE, 0.004, [0.004; 3])),
        ("three routes, errors", alike(&THREE, 0.14, [0.14; 3])),
        ("three routes, answers lost", alike(&THREE, 0.3, [0.3; 3])),
        (
            "three routes, one bad upstream",
            alike(&THREE, 0.06, [0.5, 0.06, 0.06]),
        ),
        ("three routes, not alike", unlike),
        ("six routes, errors", alike(&SIX, 0.14, [0.14; 3])),
        ("six routes, answers lost", alike(&SIX, 0.3, [0.3; 3])),
        (
            "six routes, one dead upstream",
            alike(&SIX, 0.02, [1.0, 0.02, 0.02]),
        ),
    ];
    for (index, (name, routes)) in cases.into_iter().enumerate() {
        let ended = play(&routes, index as u64);
        println!("{name}: {ended:?}");
        assert!(ended.condemned <= 4, "{name}: {} of 400", ended.condemned);
        assert!(ended.acquitted + ended.trusted >= 392, "{name}: {ended:?}");
        // With few answers on a small route it is trusted at the end only.
        if routes.len() == 1 {
            assert!(ended.acquitted >= 380, "{name}: {} of 400", ended.acquitted);
        }
    }
}

#[test]
fn a_bad_version_is_condemned_before_fifty_bad_answers() {
    let cases = [
        ("a third fails", alike(&[1.0], 0.02, [0.33; 3])),
        ("half fails among errors", alike(&[1.0], 0.14, [0.57; 3])),
        ("all are slow", alike(&[1.0], 0.03, [0.9; 3])),
        (
            "three routes, a third fails",
            alike(&THREE, 0.02, [0.33; 3]),
        ),
        (
            "three routes, half fails among errors",
            alike(&THREE, 0.14, [0.57; 3]),
        ),
    ];
    for (index, (name, routes)) in cases.into_iter().enumerate() {
        let ended = play(&routes, 100 + index as u64);
        println!(
            "{name}: condemned {} most bad {}",
            ended.condemned, ended.bad_before
        );
        assert!(ended.condemned >= 396, "{name}: {} of 400", ended.condemned);
        assert!(ended.bad_before < 50, "{name}: {} bad", ended.bad_before);
    }
}

/// A small route is not hidden by the others.
#[test]
fn a_version_that_is_bad_on_one_route_goes_back() {
    let cases = [
        (
            "half of 0.44 fails",
            bad_on_the_last(&[0.56, 0.44], 0.5),
            396,
        ),
        ("half of 0.1 fails", bad_on_the_last(&THREE, 0.5), 370),
        ("0.1 are slow", bad_on_the_last(&THREE, 0.9), 396),
        // Some sixteen canaries of 400 are of this route.
        ("half of 0.04 fails", bad_on_the_last(&SIX, 0.5), 320),
        ("0.04 are slow", bad_on_the_last(&SIX, 0.9), 396),
    ];
    for (index, (name, routes, least)) in cases.into_iter().enumerate() {
        let ended = play(&routes, 200 + index as u64);
        println!("{name}: {ended:?}");
        let gone_back = ended.condemned + ended.doubted;
        assert!(gone_back >= least, "{name}: {gone_back} of 400");
        assert!(ended.bad_before < 50, "{name}: {} bad", ended.bad_before);
    }
}

/// What hosts tell of a roll-out has room in a datagram, however many routes and upstreams a
/// service has.
#[test]
fn evidence_stays_small_with_many_routes() {
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

/// Upstreams of a tried version die and others take their place.
#[test]
fn evidence_stays_small_while_upstreams_of_the_version_are_replaced() {
    let mut evidence = Evidence::new(70_000);
    for upstream in 0..300 {
        for route in 0..MAX_TRACKED_ROUTES {
            let key = route_key(&format!("route-{route}"));
            evidence.record_target(&format!("i-000000{upstream:04}"), key, Quality::Failed);
        }
    }
    let of_one = u32::try_from(MAX_TRACKED_ROUTES).unwrap();
    assert_eq!(evidence.target_sum(), tally(300 * of_one, 300 * of_one));
    // One upstream is left out of the verdict, and not all that are not told apart.
    assert_eq!(evaluate(&evidence, 300).target.answers, 299 * of_one);
    let bytes = postcard::to_stdvec(&evidence).unwrap().len();
    println!("{bytes} bytes");
    assert!(bytes <= 2_400, "{bytes} bytes");
}

/// The worst upstream of a route is left out there, and bad answers of two are not.
#[test]
fn answers_are_judged_by_route_for_both_versions() {
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
        "nothing is known of the small route"
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
