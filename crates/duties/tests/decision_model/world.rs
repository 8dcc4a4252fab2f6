//! The model's state, consisting of processes, a store and the receiver of reports, and its transitions.

use {
    std::{
        sync::LazyLock,
        time::{Duration, Instant},
    },
    tealshore_duties::lease::{Lease, LeaseRecord, LeaseTiming, ProcessId, Purpose, Role, Step},
};

/// A time of the model. One tick is a quarter of the lease's length.
pub type Tick = u32;

/// The violation in which two reports of the window differ.
pub const REPORTED_TWICE: &str = "the window is decided and reported twice";
/// The violation in which two processes may act at the same time.
pub const TWO_HOLDERS: &str = "two processes hold the lease";

const TICK: Duration = Duration::from_secs(1);
const LENGTH: u32 = 4;
const CANDIDATE: Role = Role::Candidate {
    delay: Duration::ZERO,
};
/// Distance between the lowest revisions of two eras, larger than the number of writes in a search.
const REVISIONS_PER_ERA: u64 = 1_000;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn instant(tick: Tick) -> Instant {
    *START + TICK * tick
}

/// A change of the protocol that removes one protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Lost decisions are stored again only with the next acquisition of the lease.
    NoWriteBack,
    /// A holder reports a decision before it sends the decision to other processes.
    ReportsFirst,
    /// A write-back counts as a renewal of the lease in the restored row.
    WriteBackTakesLease,
}

/// Maximum number of faults of each kind in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    pub restores: u8,
    pub crashes: u8,
    pub freezes: u8,
    /// Lost answers to writes that the store applied.
    pub lost_answers: u8,
}

/// A decision on the window, identified by the process that made it.
type Decision = ProcessId;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Row {
    /// The store's version, which is assigned again after a restore.
    number: u64,
    lease: LeaseRecord,
    decision: Option<Decision>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    is_alive: bool,
    is_frozen: bool,
    id: ProcessId,
    lease: Lease,
    era: u32,
    /// The decision that the row held when it was last read or written.
    stored: Option<Decision>,
    /// The decision that the process made, received or read.
    known: Option<Decision>,
    has_announced: bool,
    has_reported: bool,
}

/// The state of all processes, of the store and of the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: Tick,
    era: u32,
    row: Row,
    /// The row that the store has after a restore.
    backup: Row,
    restored_at: Option<Tick>,
    /// Number of times that a process crashed or froze.
    lost_processes: u8,
    processes: Vec<Process>,
    reported: Option<Decision>,
    faults_left: Faults,
}

/// A transition to another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    PassTime,
    Act(usize),
    /// Like `Act`, but the answer to a write is lost.
    ActUnanswered(usize),
    LearnEra(usize),
    Restore,
    Crash(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
}

impl Process {
    fn start(index: usize, incarnation: u64) -> Self {
        let id = ProcessId {
            host: format!("host-{index}"),
            incarnation,
        };
        Self {
            is_alive: true,
            is_frozen: false,
            lease: Lease::new(id.clone(), LeaseTiming::of(TICK * LENGTH)),
            id,
            era: 0,
            stored: None,
            known: None,
            has_announced: false,
            has_reported: false,
        }
    }

    fn runs(&self) -> bool {
        self.is_alive && !self.is_frozen
    }

    /// Records the content of the row.
    fn record_row(&mut self, row: &Row) {
        self.stored.clone_from(&row.decision);
        if self.known.is_none() {
            self.known.clone_from(&row.decision);
        }
    }
}

impl World {
    /// Returns the initial state of a search. The first process has taken the lease, the others know that, and nothing
    /// is decided.
    pub fn initial(hosts: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: 0,
            era: 0,
            row: Row::default(),
            backup: Row::default(),
            restored_at: None,
            lost_processes: 0,
            processes: (0..hosts).map(|index| Process::start(index, 0)).collect(),
            reported: None,
            faults_left: faults,
        };
        while world.row.lease.holder.is_none() {
            world.act(0, false, Mutant::None);
        }
        for index in 1..hosts {
            world.act(index, false, Mutant::None);
        }
        world.backup = world.row.clone();
        world
    }

    /// Returns all transitions that may be possible.
    pub fn moves(&self, until: Tick, mutant: Mutant) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.now < until && self.is_settled(mutant) {
            moves.push(Move::PassTime);
        }
        if self.can_restore() {
            moves.push(Move::Restore);
        }
        for (index, process) in self.processes.iter().enumerate() {
            self.moves_of(index, process, &mut moves);
        }
        moves
    }

    fn moves_of(&self, index: usize, process: &Process, moves: &mut Vec<Move>) {
        if !process.is_alive {
            moves.push(Move::Restart(index));
            return;
        }
        let was_just_restored = self.restored_at == Some(self.now);
        if self.faults_left.crashes > 0 && !was_just_restored {
            moves.push(Move::Crash(index));
        }
        if process.is_frozen {
            moves.push(Move::Thaw(index));
            return;
        }
        moves.push(Move::Act(index));
        if self.faults_left.lost_answers > 0 {
            moves.push(Move::ActUnanswered(index));
        }
        if process.era < self.era {
            moves.push(Move::LearnEra(index));
        }
        if self.faults_left.freezes > 0 && !was_just_restored {
            moves.push(Move::Freeze(index));
        }
    }

    /// Returns whether all running processes have done what they can do without waiting.
    fn is_settled(&self, mutant: Mutant) -> bool {
        (0..self.processes.len()).all(|index| {
            let process = &self.processes[index];
            let is_idle = || self.clone().act(index, false, mutant).is_none();
            !process.runs() || (process.era == self.era && is_idle())
        })
    }

    /// Returns whether the store may be restored. A reported decision that it loses must be known to a running
    /// process, which the protocol ensures unless more than one process was lost or frozen before.
    fn can_restore(&self) -> bool {
        let is_known = || {
            self.processes
                .iter()
                .any(|it| it.runs() && it.known.is_some())
        };
        let is_lost_by_protocol = self.lost_processes <= 1;
        self.faults_left.restores > 0
            && (self.reported.is_none() || is_lost_by_protocol || is_known())
    }

    /// Returns the state after a transition, or `None` if it is impossible or changes nothing.
    pub fn after(&self, step: Move, mutant: Mutant) -> Option<Result<Self, &'static str>> {
        let mut world = self.clone();
        match step {
            Move::PassTime => world.now += 1,
            Move::Act(index) => {
                if let Err(broken) = world.act(index, false, mutant)? {
                    return Some(Err(broken));
                }
            }
            Move::ActUnanswered(index) => {
                if let Err(broken) = world.act(index, true, mutant)? {
                    return Some(Err(broken));
                }
            }
            Move::LearnEra(index) => world.learn_era(index),
            Move::Restore => world.restore(),
            Move::Crash(index) => {
                world.faults_left.crashes -= 1;
                world.lost_processes += 1;
                world.processes[index].is_alive = false;
            }
            Move::Restart(index) => {
                let incarnation = world.processes[index].id.incarnation + 1;
                world.processes[index] = Process::start(index, incarnation);
            }
            Move::Freeze(index) => {
                world.faults_left.freezes -= 1;
                world.lost_processes += 1;
                world.processes[index].is_frozen = true;
            }
            Move::Thaw(index) => world.processes[index].is_frozen = false,
        }
        if world == *self {
            return None;
        }
        Some(world.check().map(|()| world))
    }

    fn check(&self) -> Result<(), &'static str> {
        let now = instant(self.now);
        let alive = self.processes.iter().filter(|process| process.is_alive);
        let holders = alive.filter(|process| process.lease.tenure(now).is_some());
        if holders.count() > 1 {
            return Err(TWO_HOLDERS);
        }
        Ok(())
    }

    fn restore(&mut self) {
        self.faults_left.restores -= 1;
        self.row = self.backup.clone();
        self.era += 1;
        self.restored_at = Some(self.now);
    }

    fn learn_era(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.era = self.era;
        process
            .lease
            .record_store_restored(self.era, instant(self.now));
    }

    /// Performs the next step of a process; `None` if it has to wait.
    fn act(
        &mut self,
        index: usize,
        is_unanswered: bool,
        mutant: Mutant,
    ) -> Option<Result<(), &'static str>> {
        let now = instant(self.now);
        if self.processes[index].lease.tenure(now).is_some()
            && self.processes[index].stored.is_some()
        {
            let process = &self.processes[index];
            let reports_first = mutant == Mutant::ReportsFirst && !process.has_reported;
            if !process.has_announced && !reports_first {
                self.announce(index);
                return Some(Ok(()));
            }
            if !process.has_reported {
                return Some(self.report(index));
            }
        }
        let process = &mut self.processes[index];
        match process
            .lease
            .next_step(Some(TICK * self.now), CANDIDATE, now)
        {
            Step::Read => self.read(index),
            Step::Write {
                record,
                expected,
                purpose,
            } => self.write(index, record, expected, purpose, is_unanswered, mutant),
            Step::Wait(_) => return self.act_while_waiting(index, is_unanswered, mutant),
        }
        Some(Ok(()))
    }

    fn act_while_waiting(
        &mut self,
        index: usize,
        is_unanswered: bool,
        mutant: Mutant,
    ) -> Option<Result<(), &'static str>> {
        let process = &mut self.processes[index];
        let lacks_known = process.stored.is_none() && process.known.is_some();
        if lacks_known
            && mutant != Mutant::NoWriteBack
            && let Some(Step::Write {
                record,
                expected,
                purpose,
            }) = process.lease.write_back_step()
        {
            self.write(index, record, expected, purpose, is_unanswered, mutant);
            return Some(Ok(()));
        }
        let is_undecided = process.stored.is_none();
        if is_undecided && process.lease.tenure(instant(self.now)).is_some() {
            let own = process.id.clone();
            process.known.get_or_insert(own);
            process.lease.renew_now();
            return Some(Ok(()));
        }
        None
    }

    /// Sends the decision to all other running processes.
    fn announce(&mut self, index: usize) {
        let decision = self.processes[index].stored.clone();
        self.processes[index].has_announced = true;
        for other in self.processes.iter_mut().filter(|it| it.runs()) {
            if other.known.is_none() {
                other.known.clone_from(&decision);
            }
        }
    }

    fn report(&mut self, index: usize) -> Result<(), &'static str> {
        let process = &mut self.processes[index];
        process.has_reported = true;
        let decision = process.stored.clone();
        if self.reported.is_some() && self.reported != decision {
            return Err(REPORTED_TWICE);
        }
        self.reported = decision;
        Ok(())
    }

    /// Returns the revision of the row, which is 0 if the row does not exist.
    fn revision(&self) -> u64 {
        match self.row.number {
            0 => 0,
            number => u64::from(self.era) * REVISIONS_PER_ERA + number,
        }
    }

    fn read(&mut self, index: usize) {
        if self.processes[index].era < self.era {
            return self.learn_era(index);
        }
        let revision = self.revision();
        let row = (revision > 0).then(|| (revision, self.row.lease.clone()));
        let process = &mut self.processes[index];
        let now = instant(self.now);
        process.lease.record_read(row, now, now);
        process.record_row(&self.row);
    }

    /// Writes the row with what the process knows, if the row still has the expected version.
    fn write(
        &mut self,
        index: usize,
        record: LeaseRecord,
        expected: u64,
        purpose: Purpose,
        is_unanswered: bool,
        mutant: Mutant,
    ) {
        let now = instant(self.now);
        let process = &mut self.processes[index];
        let record = match purpose {
            Purpose::Take | Purpose::Renew | Purpose::Release => {
                process.lease.prepare_write(record)
            }
            Purpose::WriteBack => record,
        };
        let is_expected = expected % REVISIONS_PER_ERA == self.row.number;
        if is_expected {
            self.row = Row {
                number: self.row.number + 1,
                lease: record.clone(),
                decision: process.known.clone(),
            };
        }
        if process.era < self.era {
            return self.learn_era(index);
        }
        let revision = self.revision();
        let process = &mut self.processes[index];
        if is_unanswered {
            self.faults_left.lost_answers -= 1;
            match purpose {
                Purpose::WriteBack => process.lease.record_unknown_write_back(),
                Purpose::Take | Purpose::Renew | Purpose::Release => {
                    process.lease.record_unknown_outcome(&record, now);
                }
            }
        } else if !is_expected {
            process.lease.record_conflict();
        } else {
            let takes_lease =
                purpose != Purpose::WriteBack || mutant == Mutant::WriteBackTakesLease;
            if takes_lease {
                process.lease.record_written(revision, record, now, now);
            } else {
                process
                    .lease
                    .record_written_back(revision, record, now, now);
            }
            process.record_row(&self.row);
        }
    }
}
