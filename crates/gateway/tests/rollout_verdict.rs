//! How often the verdict on a version is wrong, in simulated roll-outs.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    tealshore_gateway::rollout::{Evidence, Tally, Verdict, judge},
};

/// How a version answers in a simulated roll-out.
#[derive(Clone, Copy)]
struct Answers {
    /// The rate of bad answers of the version that serves.
    old_bad: f64,
    /// That of each upstream of the target.
    target_bad: [f64; 3],
}

/// What became of a simulated roll-out.
#[derive(Default)]
struct Ended {
    condemned: u32,
    bad_before: u32,
    acquitted: u32,
}

/// Plays many roll-outs of up to 400 canaries, ten answers of the old version beside each; the
/// verdict is looked at after each answer.
fn play(answers: Answers, seed: u64) -> Ended {
    const PLAYS: u32 = 400;
    const CANARIES: u32 = 400;
    let mut random = StdRng::seed_from_u64(seed);
    let mut ended = Ended::default();
    for _ in 0..PLAYS {
        let mut evidence = Evidence::none(1);
        for canary in 0..CANARIES {
            for _ in 0..10 {
                evidence
                    .from
                    .add(one(random.random::<f64>() < answers.old_bad));
            }
            let upstream = (canary as usize / 20) % 3;
            let is_bad = random.random::<f64>() < answers.target_bad[upstream];
            evidence.note_target(&format!("i-{upstream}"), one(is_bad));
            match judge(&evidence, 3).verdict {
                Verdict::Bad => {
                    ended.condemned += 1;
                    let bad = evidence.target_sum().bad;
                    ended.bad_before = ended.bad_before.max(bad);
                    break;
                }
                Verdict::Good if canary >= 60 => {
                    ended.acquitted += 1;
                    break;
                }
                Verdict::Good | Verdict::Undecided => {}
            }
        }
    }
    ended
}

fn one(is_bad: bool) -> Tally {
    Tally {
        answers: 1,
        bad: u32::from(is_bad),
    }
}

#[test]
fn a_good_version_is_rarely_condemned_whatever_strikes_both() {
    let cases = [
        (
            "calm",
            Answers {
                old_bad: 0.004,
                target_bad: [0.004; 3],
            },
        ),
        (
            "errors of its own",
            Answers {
                old_bad: 0.14,
                target_bad: [0.14; 3],
            },
        ),
        (
            "answers are lost",
            Answers {
                old_bad: 0.3,
                target_bad: [0.3; 3],
            },
        ),
        (
            "one bad upstream",
            Answers {
                old_bad: 0.06,
                target_bad: [0.5, 0.06, 0.06],
            },
        ),
        (
            "one dead upstream",
            Answers {
                old_bad: 0.02,
                target_bad: [1.0, 0.02, 0.02],
            },
        ),
    ];
    for (index, (name, answers)) in cases.into_iter().enumerate() {
        let ended = play(answers, index as u64);
        println!(
            "{name}: condemned {} acquitted {}",
            ended.condemned, ended.acquitted
        );
        assert!(ended.condemned <= 4, "{name}: {} of 400", ended.condemned);
        assert!(ended.acquitted >= 380, "{name}: {} of 400", ended.acquitted);
    }
}

#[test]
fn a_bad_version_is_condemned_before_fifty_bad_answers() {
    let cases = [
        (
            "a third fails",
            Answers {
                old_bad: 0.02,
                target_bad: [0.33; 3],
            },
        ),
        (
            "half fails among errors",
            Answers {
                old_bad: 0.14,
                target_bad: [0.57; 3],
            },
        ),
        (
            "all are slow",
            Answers {
                old_bad: 0.03,
                target_bad: [0.9; 3],
            },
        ),
    ];
    for (index, (name, answers)) in cases.into_iter().enumerate() {
        let ended = play(answers, 100 + index as u64);
        println!(
            "{name}: condemned {} most bad {}",
            ended.condemned, ended.bad_before
        );
        assert!(ended.condemned >= 396, "{name}: {} of 400", ended.condemned);
        assert!(ended.bad_before < 50, "{name}: {} bad", ended.bad_before);
    }
}
