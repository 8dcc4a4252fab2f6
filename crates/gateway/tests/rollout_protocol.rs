//! An exhaustive search through the protocol of roll-outs: two leaders and a store, with all
//! interleavings of reads, decisions, writes whose answers get lost, what hosts tell each other, the
//! passing of time, and either a death with a restart or a second order. The decisions are those of
//! the program.

use {
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
    tealshore_gateway::rollout::{
        ListedVersion, Permit, Phase, RolloutObservation, RolloutOrder, RolloutRecord, Verdict,
        next_record, permit,
    },
};

const OLD: &str = "v1";
const NEW: &str = "v2";
const LEADERS: usize = 2;
/// The row versions of the two orders.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
/// Moments that matter: the order, the end of the canary's time, and past the deadline.
const MOMENTS_S: [u64; 3] = [0, 8, 14];
const DURATION: Duration = Duration::from_secs(12);

/// A write that was sent: the row version that it expects, and the record.
type SentWrite = (u64, RolloutRecord);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Leader {
    is_dead: bool,
    /// The order that it heard of.
    order: u64,
    /// The record that it knows, with its row version.
    known: Option<(u64, RolloutRecord)>,
    /// The write that is on its way. It outlasts its sender.
    sent: Option<SentWrite>,
}

/// What happens besides reads, writes, lost answers, talk and time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Bounds {
    /// One leader dies, and may start again.
    Death,
    /// A second order comes.
    SecondOrder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    bounds: Bounds,
    /// The newest order in the store.
    order: u64,
    moment: usize,
    /// The row of the roll-out.
    row: Option<(u64, RolloutRecord)>,
    leaders: [Leader; LEADERS],
    deaths_left: u8,
    /// The ends that each order came to.
    ends: BTreeSet<(u64, Phase)>,
    /// A phase followed a later one of the same order.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    OrderAgain,
    PassTime,
    Hear(usize),
    Read(usize),
    Decide(usize, Verdict),
    Write { leader: usize, answer_is_lost: bool },
    Tell(usize, usize),
    Die(usize),
    Restart(usize),
}

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        revision,
        service: "tiles".to_owned(),
        // The second order goes back to the old version.
        target: if revision == FIRST { NEW } else { OLD }.to_owned(),
        duration: DURATION,
    }
}

fn listed() -> [ListedVersion; 2] {
    [(OLD, 3), (NEW, 9)].map(|(version, oldest_row)| ListedVersion {
        version: version.to_owned(),
        oldest_row,
    })
}

/// What a host may send requests to, by what it knows.
fn permit_of(leader: &Leader) -> Option<Permit> {
    let heard = (leader.order > 0).then(|| order(leader.order));
    let record = leader.known.as_ref().map(|(_, record)| record);
    permit(&listed(), heard.as_ref(), record, None)
}

fn serving(leader: &Leader) -> String {
    match permit_of(leader) {
        Some(Permit::Only(version)) => version,
        Some(Permit::Canary { from, .. }) => from,
        Some(Permit::Prefer { target, .. }) => target,
        None => OLD.to_owned(),
    }
}

impl World {
    fn observation(&self, verdict: Verdict) -> RolloutObservation {
        RolloutObservation {
            now: Duration::from_secs(MOMENTS_S[self.moment]),
            order_age: Duration::from_secs(MOMENTS_S[self.moment]),
            verdict,
            is_suspect: verdict != Verdict::Good,
            is_isolated: false,
            is_target_ready: true,
            runs_on_old: true,
            longest_answer: Duration::from_secs(5),
        }
    }

    fn decision(&self, leader: usize, verdict: Verdict) -> Option<SentWrite> {
        let leader = &self.leaders[leader];
        let known = leader.known.as_ref();
        let next = next_record(
            known.map(|(_, record)| record),
            &order(leader.order),
            &serving(leader),
            &self.observation(verdict),
        )?;
        Some((known.map_or(0, |(revision, _)| *revision), next))
    }

    /// The store takes a write, where its condition holds; whether it did.
    fn take(&mut self, (expected, record): SentWrite) -> Option<(u64, RolloutRecord)> {
        let current = self.row.as_ref().map_or(0, |(revision, _)| *revision);
        if current != expected {
            return None;
        }
        if let Some((_, before)) = &self.row
            && before.order == record.order
        {
            self.went_back |= record.phase < before.phase || before.phase.is_over();
        }
        if record.phase.is_over() {
            self.ends.insert((record.order, record.phase));
        }
        self.row = Some((current + 1, record));
        self.row.clone()
    }

    fn learn(&mut self, leader: usize, news: Option<(u64, RolloutRecord)>) {
        let known = &mut self.leaders[leader].known;
        if news.as_ref().map(|(revision, _)| *revision) > known.as_ref().map(|(old, _)| *old) {
            *known = news;
        }
    }

    fn has_ended(&self) -> bool {
        let record = self.row.as_ref().map(|(_, record)| record);
        record.is_some_and(|record| record.order == self.order && record.phase.is_over())
    }
}

impl World {
    fn first(bounds: Bounds) -> Self {
        Self {
            bounds,
            order: FIRST,
            moment: 0,
            row: None,
            leaders: std::array::from_fn(|_| Leader::default()),
            deaths_left: u8::from(bounds == Bounds::Death),
            ends: BTreeSet::new(),
            went_back: false,
        }
    }

    /// All that may happen next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.order == FIRST && self.bounds == Bounds::SecondOrder {
            steps.push(Step::OrderAgain);
        }
        if self.moment + 1 < MOMENTS_S.len() {
            steps.push(Step::PassTime);
        }
        for (index, leader) in self.leaders.iter().enumerate() {
            if leader.sent.is_some() {
                steps.extend([false, true].map(|answer_is_lost| Step::Write {
                    leader: index,
                    answer_is_lost,
                }));
            }
            if leader.is_dead {
                steps.push(Step::Restart(index));
                continue;
            }
            steps.extend([
                Step::Hear(index),
                Step::Read(index),
                Step::Tell(index, 1 - index),
            ]);
            if self.deaths_left > 0 {
                steps.push(Step::Die(index));
            }
            if leader.order > 0 && leader.sent.is_none() {
                let verdicts = [Verdict::Undecided, Verdict::Good, Verdict::Bad];
                steps.extend(verdicts.map(|verdict| Step::Decide(index, verdict)));
            }
        }
        steps
    }

    /// The world after a step; none where the step changes nothing.
    fn after(&self, step: Step) -> Option<Self> {
        let mut world = self.clone();
        match step {
            Step::OrderAgain => world.order = SECOND,
            Step::PassTime => world.moment += 1,
            Step::Hear(leader) => world.leaders[leader].order = world.order,
            Step::Read(leader) => world.learn(leader, world.row.clone()),
            Step::Decide(leader, verdict) => {
                world.leaders[leader].sent = Some(world.decision(leader, verdict)?);
            }
            Step::Write {
                leader,
                answer_is_lost,
            } => {
                let sent = world.leaders[leader].sent.take()?;
                let written = world.take(sent);
                if !answer_is_lost && !world.leaders[leader].is_dead {
                    world.learn(leader, written);
                }
            }
            Step::Tell(from, to) => {
                if world.leaders[to].is_dead {
                    return None;
                }
                let news = world.leaders[from].known.clone();
                world.learn(to, news);
            }
            Step::Die(leader) => {
                world.deaths_left -= 1;
                let sent = world.leaders[leader].sent.take();
                world.leaders[leader] = Leader {
                    is_dead: true,
                    sent,
                    ..Leader::default()
                };
            }
            Step::Restart(leader) => world.leaders[leader].is_dead = false,
        }
        (world != *self).then_some(world)
    }

    /// What must hold in each state.
    fn check(&self) {
        for order in [FIRST, SECOND] {
            let ends = self.ends.iter().filter(|(of, _)| *of == order);
            assert!(ends.count() <= 1, "an order has two ends: {self:?}");
        }
        assert!(!self.went_back, "a phase went back: {self:?}");
        for leader in &self.leaders {
            let permit = permit_of(leader);
            let is_old = permit == Some(Permit::Only(OLD.to_owned()));
            // Nobody tries the new version before the store holds that it is tried.
            let may_try = leader.known.is_some() && self.row.is_some();
            assert!(
                is_old || may_try,
                "work for a version that is not allowed: {self:?}"
            );
            if let Some((_, record)) = &leader.known
                && record.phase == Phase::RolledBack
            {
                let from = Permit::Only(record.from.clone());
                assert_eq!(permit, Some(from), "work after a roll-back: {self:?}");
            }
        }
    }
}

/// All states that can be reached, each with those it can be reached from.
fn explore(bounds: Bounds) -> (Vec<World>, Vec<Vec<usize>>) {
    let first = World::first(bounds);
    let mut numbers = HashMap::from([(first.clone(), 0)]);
    let mut worlds = vec![first];
    let mut before: Vec<Vec<usize>> = vec![Vec::new()];
    let mut next = 0;
    while next < worlds.len() {
        let world = worlds[next].clone();
        world.check();
        for after in world
            .steps()
            .into_iter()
            .filter_map(|step| world.after(step))
        {
            let number = *numbers.entry(after.clone()).or_insert_with(|| {
                worlds.push(after);
                before.push(Vec::new());
                worlds.len() - 1
            });
            before[number].push(next);
        }
        next += 1;
    }
    (worlds, before)
}

/// How many states can reach one in which something holds.
fn can_reach(worlds: &[World], before: &[Vec<usize>], holds: impl Fn(&World) -> bool) -> usize {
    let mut reaches: Vec<bool> = worlds.iter().map(&holds).collect();
    let mut queue: VecDeque<usize> = (0..worlds.len()).filter(|index| reaches[*index]).collect();
    while let Some(index) = queue.pop_front() {
        for earlier in &before[index] {
            if !reaches[*earlier] {
                reaches[*earlier] = true;
                queue.push_back(*earlier);
            }
        }
    }
    reaches.into_iter().filter(|reaches| *reaches).count()
}

/// Searches all states, and checks that from each of them the newest order can still end.
fn search(bounds: Bounds, ends: &[(u64, Phase)]) {
    let (worlds, before) = explore(bounds);
    println!("{bounds:?}: states={}", worlds.len());
    let can_end = can_reach(&worlds, &before, World::has_ended);
    assert_eq!(can_end, worlds.len(), "some states have no end");
    for end in ends {
        let happens = worlds.iter().any(|world| world.ends.contains(end));
        assert!(happens, "order and end never met: {end:?}");
    }
}

#[test]
fn two_leaders_of_which_one_dies_keep_the_promises() {
    let ends = [(FIRST, Phase::Completed), (FIRST, Phase::RolledBack)];
    search(Bounds::Death, &ends);
}

#[test]
fn two_leaders_keep_the_promises_when_a_second_order_comes() {
    let ends = [(FIRST, Phase::RolledBack), (SECOND, Phase::Completed)];
    search(Bounds::SecondOrder, &ends);
}
