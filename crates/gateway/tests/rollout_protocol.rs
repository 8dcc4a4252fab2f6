//! Exhaustive search of the roll-out protocol with two leaders and a store. It covers all
//! interleavings of reads, decisions, writes whose answers may be lost, exchanged records, and the
//! passing of time, together with either a crash and restart or a second order. The decisions are
//! made by the production code.

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
/// Row versions of the two orders.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
/// Relevant times: of the order, near the end of the canary phase, and after the deadline.
const TIMES_S: [u64; 3] = [0, 8, 14];
const DURATION: Duration = Duration::from_secs(12);

/// A write in flight: the expected row version, and the record.
type PendingWrite = (u64, RolloutRecord);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Leader {
    is_down: bool,
    /// The newest order received.
    order: u64,
    /// The known record, with its row version.
    known: Option<(u64, RolloutRecord)>,
    /// The write in flight. It survives a crash of its sender.
    pending_write: Option<PendingWrite>,
}

/// Event that occurs besides reads, writes, lost answers, exchanged records and time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scenario {
    /// One leader crashes and may restart.
    LeaderCrash,
    /// A second order is given.
    SecondOrder,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    scenario: Scenario,
    /// The newest order in the store.
    order: u64,
    time_index: usize,
    /// The row of the roll-out.
    row: Option<(u64, RolloutRecord)>,
    leaders: [Leader; LEADERS],
    crashes_left: u8,
    /// Final phases reached by each order.
    ends: BTreeSet<(u64, Phase)>,
    /// An earlier phase was written after a later one of the same order.
    has_regressed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    IssueSecondOrder,
    AdvanceTime,
    ReceiveOrder(usize),
    Read(usize),
    Decide(usize, Verdict),
    Write { leader: usize, answer_is_lost: bool },
    SendRecord(usize, usize),
    Crash(usize),
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

/// The permit of a host, from its known order and record.
fn permit_of(leader: &Leader) -> Option<Permit> {
    let known_order = (leader.order > 0).then(|| order(leader.order));
    let record = leader.known.as_ref().map(|(_, record)| record);
    permit(&listed(), known_order.as_ref(), record, None)
}

fn serving(leader: &Leader) -> String {
    match permit_of(leader) {
        Some(Permit::Only(version)) => version,
        Some(Permit::Canary { from, .. }) => from,
        Some(Permit::Prefer { target, .. }) => target,
        None => OLD.to_owned(),
    }
}

impl SystemState {
    fn observation(&self, verdict: Verdict) -> RolloutObservation {
        RolloutObservation {
            now: Duration::from_secs(TIMES_S[self.time_index]),
            order_age: Duration::from_secs(TIMES_S[self.time_index]),
            verdict,
            is_suspect: verdict != Verdict::Good,
            is_isolated: false,
            is_target_ready: true,
            runs_on_old: true,
            longest_answer: Duration::from_secs(5),
        }
    }

    fn decision(&self, leader: usize, verdict: Verdict) -> Option<PendingWrite> {
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

    /// Applies a write to the store if its condition holds. Returns the new row in that case.
    fn apply_write(&mut self, (expected, record): PendingWrite) -> Option<(u64, RolloutRecord)> {
        let current = self.row.as_ref().map_or(0, |(revision, _)| *revision);
        if current != expected {
            return None;
        }
        if let Some((_, before)) = &self.row
            && before.order == record.order
        {
            self.has_regressed |= record.phase < before.phase || before.phase.is_over();
        }
        if record.phase.is_over() {
            self.ends.insert((record.order, record.phase));
        }
        self.row = Some((current + 1, record));
        self.row.clone()
    }

    fn receive_record(&mut self, leader: usize, received: Option<(u64, RolloutRecord)>) {
        let known = &mut self.leaders[leader].known;
        if received.as_ref().map(|(revision, _)| *revision) > known.as_ref().map(|(old, _)| *old) {
            *known = received;
        }
    }

    fn has_ended(&self) -> bool {
        let record = self.row.as_ref().map(|(_, record)| record);
        record.is_some_and(|record| record.order == self.order && record.phase.is_over())
    }
}

impl SystemState {
    fn first(scenario: Scenario) -> Self {
        Self {
            scenario,
            order: FIRST,
            time_index: 0,
            row: None,
            leaders: std::array::from_fn(|_| Leader::default()),
            crashes_left: u8::from(scenario == Scenario::LeaderCrash),
            ends: BTreeSet::new(),
            has_regressed: false,
        }
    }

    /// Returns all steps that may happen next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.order == FIRST && self.scenario == Scenario::SecondOrder {
            steps.push(Step::IssueSecondOrder);
        }
        if self.time_index + 1 < TIMES_S.len() {
            steps.push(Step::AdvanceTime);
        }
        for (index, leader) in self.leaders.iter().enumerate() {
            if leader.pending_write.is_some() {
                steps.extend([false, true].map(|answer_is_lost| Step::Write {
                    leader: index,
                    answer_is_lost,
                }));
            }
            if leader.is_down {
                steps.push(Step::Restart(index));
                continue;
            }
            steps.extend([
                Step::ReceiveOrder(index),
                Step::Read(index),
                Step::SendRecord(index, 1 - index),
            ]);
            if self.crashes_left > 0 {
                steps.push(Step::Crash(index));
            }
            if leader.order > 0 && leader.pending_write.is_none() {
                let verdicts = [Verdict::Undecided, Verdict::Good, Verdict::Bad];
                steps.extend(verdicts.map(|verdict| Step::Decide(index, verdict)));
            }
        }
        steps
    }

    /// Returns the state after a step, or `None` if the step changes nothing.
    fn successor(&self, step: Step) -> Option<Self> {
        let mut state = self.clone();
        match step {
            Step::IssueSecondOrder => state.order = SECOND,
            Step::AdvanceTime => state.time_index += 1,
            Step::ReceiveOrder(leader) => state.leaders[leader].order = state.order,
            Step::Read(leader) => state.receive_record(leader, state.row.clone()),
            Step::Decide(leader, verdict) => {
                state.leaders[leader].pending_write = Some(state.decision(leader, verdict)?);
            }
            Step::Write {
                leader,
                answer_is_lost,
            } => {
                let pending_write = state.leaders[leader].pending_write.take()?;
                let written = state.apply_write(pending_write);
                if !answer_is_lost && !state.leaders[leader].is_down {
                    state.receive_record(leader, written);
                }
            }
            Step::SendRecord(from, to) => {
                if state.leaders[to].is_down {
                    return None;
                }
                let received = state.leaders[from].known.clone();
                state.receive_record(to, received);
            }
            Step::Crash(leader) => {
                state.crashes_left -= 1;
                let pending_write = state.leaders[leader].pending_write.take();
                state.leaders[leader] = Leader {
                    is_down: true,
                    pending_write,
                    ..Leader::default()
                };
            }
            Step::Restart(leader) => state.leaders[leader].is_down = false,
        }
        (state != *self).then_some(state)
    }

    /// Checks the invariants of a state.
    fn check_invariants(&self) {
        for order in [FIRST, SECOND] {
            let ends = self.ends.iter().filter(|(of, _)| *of == order);
            assert!(ends.count() <= 1, "an order ended in two phases: {self:?}");
        }
        assert!(
            !self.has_regressed,
            "the phase of an order went back: {self:?}"
        );
        for leader in &self.leaders {
            let permit = permit_of(leader);
            let is_old = permit == Some(Permit::Only(OLD.to_owned()));
            // No host may try the new version before the store has the record of the trial.
            let is_trial_recorded = leader.known.is_some() && self.row.is_some();
            assert!(
                is_old || is_trial_recorded,
                "requests permitted to a version without a recorded trial: {self:?}"
            );
            if let Some((_, record)) = &leader.known
                && record.phase == Phase::RolledBack
            {
                let from = Permit::Only(record.from.clone());
                assert_eq!(
                    permit,
                    Some(from),
                    "requests permitted after a roll-back: {self:?}"
                );
            }
        }
    }
}

/// Returns all reachable states, and for each one its predecessors.
fn explore(scenario: Scenario) -> (Vec<SystemState>, Vec<Vec<usize>>) {
    let first = SystemState::first(scenario);
    let mut numbers = HashMap::from([(first.clone(), 0)]);
    let mut states = vec![first];
    let mut before: Vec<Vec<usize>> = vec![Vec::new()];
    let mut next = 0;
    while next < states.len() {
        let state = states[next].clone();
        state.check_invariants();
        for successor in state
            .steps()
            .into_iter()
            .filter_map(|step| state.successor(step))
        {
            let number = *numbers.entry(successor.clone()).or_insert_with(|| {
                states.push(successor);
                before.push(Vec::new());
                states.len() - 1
            });
            before[number].push(next);
        }
        next += 1;
    }
    (states, before)
}

/// Counts the states from which a state that satisfies `holds` can be reached.
fn count_reaching(
    states: &[SystemState],
    before: &[Vec<usize>],
    holds: impl Fn(&SystemState) -> bool,
) -> usize {
    let mut reaches: Vec<bool> = states.iter().map(&holds).collect();
    let mut queue: VecDeque<usize> = (0..states.len()).filter(|index| reaches[*index]).collect();
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

/// Explores all states, and checks that the newest order can still end from each of them.
fn search(scenario: Scenario, ends: &[(u64, Phase)]) {
    let (states, before) = explore(scenario);
    println!("{scenario:?}: states={}", states.len());
    let can_end = count_reaching(&states, &before, SystemState::has_ended);
    assert_eq!(
        can_end,
        states.len(),
        "the newest order cannot end from some states"
    );
    for end in ends {
        let happens = states.iter().any(|state| state.ends.contains(end));
        assert!(happens, "final phase of an order never reached: {end:?}");
    }
}

#[test]
fn invariants_hold_if_a_leader_crashes() {
    let ends = [(FIRST, Phase::Completed), (FIRST, Phase::RolledBack)];
    search(Scenario::LeaderCrash, &ends);
}

#[test]
fn invariants_hold_with_a_second_order() {
    let ends = [(FIRST, Phase::RolledBack), (SECOND, Phase::Completed)];
    search(Scenario::SecondOrder, &ends);
}
