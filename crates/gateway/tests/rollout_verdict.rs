//! How often the verdict on a version is wrong, in simulated roll-outs.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_capacity::EngineKind,
    tealshore_gateway::{
        rollout::{
            BadAnswers, Evidence, MOST_TAKERS, Outcome, Phase, Quality, ROUTES_BOUND, RolloutOrder,
            RolloutRecord, Rollouts, Tally, Verdict, judge, route_key,
        },
        view::{UpstreamRecord, UpstreamState},
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
        let mut evidence = Evidence::none(1);
        let mut last = judge(&evidence, 3);
        for canary in 0..CANARIES {
            for _ in 0..10 {
                let (key, route) = draw(routes, &mut random);
                let is_bad = random.random::<f64>() < route.old_bad;
                evidence.note_serving(key, one(is_bad));
            }
            let (key, route) = draw(routes, &mut random);
            let upstream = (canary as usize / 20) % 3;
            let is_bad = random.random::<f64>() < route.target_bad[upstream];
            evidence.note_target(&format!("i-{upstream}"), key, one(is_bad));
            last = judge(&evidence, 3);
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
    let mut evidence = Evidence::none(70_000);
    for route in 0..400 {
        let key = route_key(&format!("route-{route}"));
        evidence.note_serving(key, many);
        for upstream in 0..MOST_TAKERS {
            evidence.note_target(&format!("i-000000{upstream:04}"), key, many);
        }
    }
    for upstream in 0..MOST_TAKERS {
        let id = format!("i-000000{upstream:04}");
        for _ in 0..20_000 {
            evidence.record_target(&id, route_key("route-0"), Quality::Lost);
        }
    }
    let told_apart = evidence.routes().count();
    assert_eq!(told_apart, ROUTES_BOUND + 1);
    let all = evidence.serving().sum();
    assert_eq!((all.answers, all.bad), (400 * 20_000, 400 * 2_000));
    let mut others = Evidence::none(70_000);
    for route in 1_000..1_400 {
        others.note_serving(route_key(&format!("route-{route}")), many);
    }
    evidence.add(&others);
    assert_eq!(evidence.routes().count(), ROUTES_BOUND + 1);
    let bytes = postcard::to_stdvec(&evidence).unwrap().len();
    println!("{bytes} bytes");
    assert!(bytes <= 1_200, "{bytes} bytes");
}

/// Upstreams of a tried version die and others take their place.
#[test]
fn evidence_stays_small_while_upstreams_of_the_version_are_replaced() {
    let mut evidence = Evidence::none(70_000);
    for upstream in 0..300 {
        for route in 0..ROUTES_BOUND {
            let key = route_key(&format!("route-{route}"));
            evidence.record_target(&format!("i-000000{upstream:04}"), key, Quality::Failed);
        }
    }
    let of_one = u32::try_from(ROUTES_BOUND).unwrap();
    assert_eq!(evidence.target_sum(), tally(300 * of_one, 300 * of_one));
    // One upstream is left out of the verdict, and not all that are not told apart.
    assert_eq!(judge(&evidence, 300).target.answers, 299 * of_one);
    let bytes = postcard::to_stdvec(&evidence).unwrap().len();
    println!("{bytes} bytes");
    assert!(bytes <= 2_400, "{bytes} bytes");
}

/// The worst upstream of a route is left out there, and bad answers of two are not.
#[test]
fn answers_are_judged_by_route_for_both_versions() {
    let mut evidence = Evidence::none(1);
    let (small, large) = (route_key("small"), route_key("large"));
    for (route, answers) in [(large, 2_000), (small, 100)] {
        evidence.note_serving(route, Tally { answers, bad: 0 });
    }
    for upstream in ["i-1", "i-2", "i-3"] {
        let good = Tally {
            answers: 60,
            bad: 0,
        };
        evidence.note_target(&upstream.to_owned(), large, good);
    }
    assert_ne!(
        judge(&evidence, 3).verdict,
        Verdict::Good,
        "nothing is known of the small route"
    );
    let bad = Tally { answers: 4, bad: 4 };
    evidence.note_target(&"i-1".to_owned(), small, bad);
    assert_eq!(judge(&evidence, 3).verdict, Verdict::Undecided);
    evidence.note_target(&"i-2".to_owned(), small, bad);
    assert_eq!(judge(&evidence, 3).verdict, Verdict::Bad);
}

const SERVICE: &str = "model";
const ORDER: u64 = 5;
/// Upstreams of each version that answer.
const UPSTREAMS: usize = 12;

/// A host that knows a roll-out whose target is tried.
fn trying() -> Rollouts {
    let rollouts = Rollouts::new(0.5);
    let order = RolloutOrder {
        revision: ORDER,
        service: SERVICE.to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_secs(16),
    };
    let record = RolloutRecord {
        service: SERVICE.to_owned(),
        order: ORDER,
        from: "v1".to_owned(),
        target: "v2".to_owned(),
        phase: Phase::Canary,
        since: Duration::from_secs(100),
        deadline: Duration::from_secs(116),
    };
    rollouts.apply_order(order, false, Instant::now());
    rollouts.apply_record(ORDER + 1, &record, false);
    rollouts
}

fn upstream(version: &str, index: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("i-{version}-{index}"),
        born: None,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "a".to_owned(),
        version: version.to_owned(),
        slots: 12,
        kind: EngineKind::OnDemand,
        state: UpstreamState::Ready,
    }
}

/// How answers of a version fail, and how they are lost while a hall dies.
#[derive(Clone, Copy)]
struct Trouble {
    failed: f64,
    lost: f64,
}

impl Trouble {
    fn outcome(self, is_hall_dying: bool, random: &mut StdRng) -> Outcome {
        if is_hall_dying && random.random::<f64>() < self.lost {
            return Outcome::Lost;
        }
        if random.random::<f64>() < self.failed {
            return Outcome::Failed;
        }
        Outcome::Answered(Duration::from_millis(900))
    }
}

/// Plays 200 roll-outs of 300 canaries, each with 13 answers of the old version beside it, while halls die
/// for 20 canaries out of 30; how many were condemned, and the most bad answers that it took.
fn play_while_halls_die(old: Trouble, target: Trouble, seed: u64) -> (u32, u32) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut condemned, mut most_bad) = (0, 0);
    for _ in 0..200 {
        let rollouts = trying();
        for canary in 0..300_usize {
            let is_dying = canary % 30 < 20;
            let route = if random.random::<f64>() < 0.44 {
                "cue"
            } else {
                "brief"
            };
            for index in 0..13 {
                let outcome = old.outcome(is_dying, &mut random);
                rollouts.note_outcome(&upstream("v1", index % UPSTREAMS), route, outcome);
            }
            let outcome = target.outcome(is_dying, &mut random);
            rollouts.note_outcome(&upstream("v2", canary % UPSTREAMS), route, outcome);
            let evidence = rollouts.evidence(&SERVICE.to_owned(), ORDER);
            if judge(&evidence, UPSTREAMS).verdict == Verdict::Bad {
                condemned += 1;
                most_bad = most_bad.max(evidence.target_sum().bad);
                break;
            }
        }
    }
    (condemned, most_bad)
}

/// Answers lost with dying upstreams of the old version are no measure of its failures.
#[test]
fn a_bad_version_is_condemned_before_fifty_bad_answers_while_halls_die() {
    let old = Trouble {
        failed: 0.004,
        lost: 0.6,
    };
    for (index, failed) in [0.39, 0.5].into_iter().enumerate() {
        let target = Trouble { failed, ..old };
        let (condemned, most_bad) = play_while_halls_die(old, target, 300 + index as u64);
        println!("{failed} fail: {condemned} of 200 condemned, most bad {most_bad}");
        assert_eq!(condemned, 200, "{failed} fail");
        assert!(most_bad < 50, "{failed} fail: {most_bad} bad");
    }
}

#[test]
fn a_good_version_is_rarely_condemned_while_halls_die() {
    let alike = Trouble {
        failed: 0.004,
        lost: 0.6,
    };
    let (condemned, _) = play_while_halls_die(alike, alike, 400);
    println!("{condemned} of 200 condemned");
    assert!(condemned <= 2, "{condemned} of 200");
}

/// The old version's losses tell how many of the target's are none of its own.
#[test]
fn losses_that_strike_both_versions_do_not_stop_a_good_one() {
    let mut evidence = evidence_of(tally(593, 0), tally(55, 5));
    for index in 0..12 {
        let upstream = format!("i-{index}");
        for send in 0..1_300 {
            let quality = if send % 2 == 0 {
                Quality::Lost
            } else {
                Quality::Good
            };
            if send < 11 {
                evidence.record_target(&upstream, route_key("brief"), quality);
            }
            evidence.record_serving(route_key("brief"), quality);
        }
    }
    assert!(evidence.target_sum().bad > 70);
    let known_bad = evidence.bad_answers();
    assert!(known_bad <= 12, "{known_bad}");
    assert!(!judge(&evidence, 12).ends_trial(known_bad, 50));
    // A version whose upstreams end more often than those of the old one is to blame for that.
    let mut crashing = evidence_of(tally(593, 0), tally(55, 5));
    for index in 0..60 {
        crashing.record_target(
            &format!("i-{}", index % 12),
            route_key("brief"),
            Quality::Lost,
        );
    }
    assert_eq!(crashing.bad_answers(), 65);
}

fn evidence_of(serving: Tally, target: Tally) -> Evidence {
    let route = route_key("cue");
    let mut evidence = Evidence::none(ORDER);
    evidence.note_serving(route, serving);
    let by_upstream = Tally {
        answers: target.answers / 5,
        bad: target.bad / 5,
    };
    for index in 0..5 {
        evidence.note_target(&format!("i-{index}"), route, by_upstream);
    }
    evidence
}

fn tally(answers: u32, bad: u32) -> Tally {
    Tally { answers, bad }
}

#[test]
fn a_version_without_a_verdict_gets_nothing_more_after_its_bad_answers() {
    const MOST_BAD: u64 = 50;
    let undecided = judge(&evidence_of(tally(500, 200), tally(50, 25)), 5);
    assert_eq!(undecided.verdict, Verdict::Undecided);
    assert!(!undecided.ends_trial(24, MOST_BAD));
    assert!(undecided.ends_trial(25, MOST_BAD));
    // Many answers that fail as often as those of the old version show it to be no worse.
    let alike = judge(&evidence_of(tally(5_000, 250), tally(500, 25)), 5);
    assert!(!alike.ends_trial(25, MOST_BAD));
    assert!(!alike.ends_trial(1_000, MOST_BAD));
}

#[test]
fn a_host_that_stopped_sending_to_a_version_sends_nothing_until_another_order() {
    let rollouts = trying();
    let (old, new) = (upstream("v1", 0), upstream("v2", 0));
    assert!(rollouts.is_open(&new));
    let [record] = &rollouts.trials()[..] else {
        panic!("one version is tried");
    };
    assert!(rollouts.stop_trial(record));
    assert!(!rollouts.stop_trial(record));
    assert!(rollouts.is_trial_stopped(&SERVICE.to_owned(), ORDER));
    assert!(!rollouts.is_open(&new) && rollouts.is_open(&old));
    // The leader may have decided otherwise.
    let completed = RolloutRecord {
        phase: Phase::Completed,
        ..record.clone()
    };
    rollouts.apply_record(ORDER + 2, &completed, false);
    assert!(rollouts.is_open(&new));
    let again = RolloutRecord {
        order: ORDER + 3,
        ..record.clone()
    };
    rollouts.apply_record(ORDER + 4, &again, false);
    assert!(rollouts.is_open(&new));
}

/// A host that starts has seen nothing of what the version gave before.
#[test]
fn the_most_bad_answers_that_any_host_knows_of_count_since_their_order() {
    let rollouts = trying();
    let known = |order, count| BadAnswers {
        service: SERVICE.to_owned(),
        order,
        count,
    };
    assert!(rollouts.bad_answers().is_empty());
    assert_eq!(rollouts.record_bad_answers(&known(ORDER, 31)), 31);
    assert_eq!(rollouts.record_bad_answers(&known(ORDER, 4)), 31);
    rollouts.record_bad_answers(&known(ORDER - 1, 90));
    assert_eq!(rollouts.bad_answers(), [known(ORDER, 31)]);
    assert_eq!(rollouts.record_bad_answers(&known(ORDER + 9, 2)), 2);
}
