//! Hosts, their processes and a store, and all that may happen next.

use {
    super::{
        receiver::{Receiver, Span},
        setup::{
            Begins, Faults, HELD_WITHIN, Mutant, ON_THE_WAY, Search, TICK, Tick, instant, tick_of,
        },
    },
    std::time::Duration,
    tealshore_duties::lease::{Lease, LeaseRecord, ProcessId, Role, RowVersion, Step},
};

/// A write as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentWrite {
    record: LeaseRecord,
    expected: RowVersion,
    asked: Tick,
}

/// What a process waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Nothing,
    /// It froze after it decided on a write.
    Decided(LeaseRecord, RowVersion),
    /// The answer of a read.
    Row(RowVersion, LeaseRecord),
    /// The store has not seen the write yet.
    Write(SentWrite),
    /// The answer of a write; none where the row had changed.
    Answer(SentWrite, Option<RowVersion>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    is_alive: bool,
    is_leaving: bool,
    id: ProcessId,
    lease: Lease,
    pending: Pending,
}

/// Some hosts and the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: Tick,
    row: Option<(RowVersion, LeaseRecord)>,
    processes: Vec<Process>,
    /// Writes whose sender does not wait any more.
    stray: Vec<SentWrite>,
    receiver: Receiver,
    left: Faults,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    PassTime,
    Decide { process: usize, freezes: bool },
    Send(usize),
    ReadLate(usize),
    NoteRow(usize),
    Write(usize),
    AnswerLate(usize),
    NoteAnswer(usize),
    LoseAnswer(usize),
    DoStray(usize),
    Tell(usize, usize),
    Die(usize),
    Restart(usize),
    Stop(usize),
}

fn process_id(index: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        host: format!("host-{index}"),
        incarnation,
    }
}

impl World {
    /// The world that a search begins with.
    pub fn first(search: &Search) -> Self {
        let processes = (0..search.hosts).map(|index| {
            let id = process_id(index, 0);
            Process {
                is_alive: true,
                is_leaving: false,
                lease: Lease::new(id.clone(), search.mutant.bounds()),
                id,
                pending: Pending::Nothing,
            }
        });
        let mut world = Self {
            now: 0,
            row: None,
            processes: processes.collect(),
            stray: Vec::new(),
            receiver: Receiver::default(),
            left: search.faults,
        };
        if search.begins == Begins::Held {
            while world.go_on(0, search.mutant).is_some() {}
        }
        world
    }

    fn role(&self, process: usize) -> Role {
        if self.processes[process].is_leaving {
            return Role::Leaving;
        }
        Role::Candidate {
            delay: Duration::ZERO,
        }
    }

    /// What the process would do next. The store's time is the model's own.
    fn step_of(&self, process: usize) -> Step {
        let store_time = TICK * self.now;
        let lease = &self.processes[process].lease;
        lease.next_step(Some(store_time), self.role(process), instant(self.now))
    }

    fn has_released(&self, process: usize) -> bool {
        let process = &self.processes[process];
        let news = process.lease.summary();
        process.is_leaving && news.is_some_and(|news| news.holder.is_none())
    }

    /// All that may happen next.
    pub fn moves(&self, until: Tick) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.now < until {
            moves.push(Move::PassTime);
        }
        moves.extend((0..self.stray.len()).map(Move::DoStray));
        for index in 0..self.processes.len() {
            self.moves_of(index, &mut moves);
        }
        moves
    }

    fn moves_of(&self, index: usize, moves: &mut Vec<Move>) {
        let process = &self.processes[index];
        let left = self.left;
        if !process.is_alive {
            moves.push(Move::Restart(index));
            return;
        }
        if left.deaths > 0 || self.has_released(index) {
            moves.push(Move::Die(index));
        }
        if left.stops > 0 && !process.is_leaving {
            moves.push(Move::Stop(index));
        }
        if left.told > 0 || self.has_released(index) {
            let others = (0..self.processes.len()).filter(|other| *other != index);
            moves.extend(others.map(|other| Move::Tell(index, other)));
        }
        match process.pending {
            Pending::Nothing => {
                moves.push(Move::Decide {
                    process: index,
                    freezes: false,
                });
                if left.late > 0 {
                    moves.push(Move::ReadLate(index));
                    moves.push(Move::Decide {
                        process: index,
                        freezes: true,
                    });
                }
            }
            Pending::Decided(..) => moves.push(Move::Send(index)),
            Pending::Row(..) => moves.push(Move::NoteRow(index)),
            Pending::Write(_) => {
                moves.push(Move::Write(index));
                if left.late > 0 {
                    moves.push(Move::AnswerLate(index));
                }
                if left.lost > 0 {
                    moves.push(Move::LoseAnswer(index));
                }
            }
            Pending::Answer(..) => moves.push(Move::NoteAnswer(index)),
        }
    }

    /// The world after a move; none where the move can't be or changes nothing.
    pub fn after(&self, step: Move, mutant: Mutant) -> Option<Result<Self, &'static str>> {
        let mut world = self.clone();
        match step {
            Move::PassTime => world.pass_time(),
            Move::Decide { process, freezes } => world.decide(process, freezes, mutant)?,
            Move::Send(process) => world.send(process, mutant)?,
            Move::ReadLate(process) => world.read_late(process)?,
            Move::NoteRow(process) => world.note_row(process)?,
            Move::Write(process) => {
                world.write(process)?;
                world.note_answer(process, mutant)?;
            }
            Move::AnswerLate(process) => {
                world.left.late -= 1;
                world.write(process)?;
            }
            Move::NoteAnswer(process) => world.note_answer(process, mutant)?,
            Move::LoseAnswer(process) => world.lose_answer(process, mutant)?,
            Move::DoStray(index) => {
                let write = world.stray.remove(index);
                world.execute(&write)?;
            }
            Move::Tell(from, to) => world.tell(from, to)?,
            Move::Die(process) => {
                if !world.has_released(process) {
                    world.left.deaths -= 1;
                }
                world.end(process);
            }
            Move::Restart(process) => world.restart(process, mutant),
            Move::Stop(process) => {
                world.left.stops -= 1;
                world.processes[process].is_leaving = true;
            }
        }
        if world == *self {
            return None;
        }
        Some(world.watch(mutant).map(|()| world))
    }

    fn pass_time(&mut self) {
        self.now += 1;
        let now = self.now;
        self.receiver.forget(now);
        // What can't be done any more is no longer on its way.
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        self.stray.retain(|write| write.expected >= version);
    }

    fn decide(&mut self, process: usize, freezes: bool, mutant: Mutant) -> Option<()> {
        match self.step_of(process) {
            Step::Wait(_) => return None,
            Step::Read if freezes => return None,
            Step::Read => {
                let lease = &mut self.processes[process].lease;
                lease.record_read(self.row.clone(), instant(self.now));
            }
            Step::Write {
                record, expected, ..
            } => {
                self.processes[process].pending = Pending::Decided(record, expected);
                if !freezes {
                    return self.send(process, mutant);
                }
                self.left.late -= 1;
            }
        }
        Some(())
    }

    fn send(&mut self, process: usize, mutant: Mutant) -> Option<()> {
        let asked = self.now;
        let process = &mut self.processes[process];
        let Pending::Decided(record, expected) = process.pending.clone() else {
            return None;
        };
        let record = match mutant {
            Mutant::NoNumbers => record,
            _ => process.lease.prepare_write(record),
        };
        let is_release = record.holder.is_none();
        process.pending = Pending::Write(SentWrite {
            record,
            expected,
            asked,
        });
        let id = process.id.clone();
        if is_release {
            self.receiver.close(&id, asked);
        }
        Some(())
    }

    fn read_late(&mut self, process: usize) -> Option<()> {
        if self.step_of(process) != Step::Read {
            return None;
        }
        self.left.late -= 1;
        let (version, record) = self.row.clone().unwrap_or_default();
        self.processes[process].pending = Pending::Row(version, record);
        Some(())
    }

    fn note_row(&mut self, process: usize) -> Option<()> {
        let now = instant(self.now);
        let process = &mut self.processes[process];
        let Pending::Row(version, record) = process.pending.clone() else {
            return None;
        };
        let row = (version > 0).then_some((version, record));
        process.lease.record_read(row, now);
        process.pending = Pending::Nothing;
        Some(())
    }

    /// The store does a write, where its condition holds.
    fn execute(&mut self, write: &SentWrite) -> Option<RowVersion> {
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        if version != write.expected {
            return None;
        }
        self.row = Some((version + 1, write.record.clone()));
        Some(version + 1)
    }

    fn write(&mut self, process: usize) -> Option<()> {
        let Pending::Write(write) = self.processes[process].pending.clone() else {
            return None;
        };
        let version = self.execute(&write);
        self.processes[process].pending = Pending::Answer(write, version);
        Some(())
    }

    fn note_answer(&mut self, index: usize, mutant: Mutant) -> Option<()> {
        let now = instant(self.now);
        let process = &mut self.processes[index];
        let Pending::Answer(write, version) = process.pending.clone() else {
            return None;
        };
        process.pending = Pending::Nothing;
        let asked = match mutant {
            Mutant::CountsFromAnswer => now,
            _ => instant(write.asked),
        };
        let Some(version) = version else {
            process.lease.record_conflict();
            return Some(());
        };
        process
            .lease
            .record_written(version, write.record, asked, now);
        Some(())
    }

    /// The answer is lost of a write that may be done later, or never.
    fn lose_answer(&mut self, process: usize, mutant: Mutant) -> Option<()> {
        let now = instant(self.now);
        self.left.lost -= 1;
        let process = &mut self.processes[process];
        let Pending::Write(write) = process.pending.clone() else {
            return None;
        };
        process.pending = Pending::Nothing;
        let asked = instant(write.asked);
        let record = write.record.clone();
        match mutant {
            Mutant::NoReadBack => {
                let version = write.expected + 1;
                process.lease.record_written(version, record, asked, now);
            }
            _ => process.lease.record_unknown_outcome(&record, asked),
        }
        self.stray.push(write);
        Some(())
    }

    fn tell(&mut self, from: usize, to: usize) -> Option<()> {
        if !self.has_released(from) {
            self.left.told -= 1;
        }
        let news = self.processes[from].lease.summary()?;
        if !self.processes[to].is_alive {
            return None;
        }
        let now = instant(self.now);
        self.processes[to].lease.record_summary(&news, now);
        Some(())
    }

    /// What the receiver may see of those that hold the lease now.
    fn watch(&mut self, mutant: Mutant) -> Result<(), &'static str> {
        let on_the_way = match mutant {
            Mutant::SlowCalls => 2 * ON_THE_WAY,
            _ => ON_THE_WAY,
        };
        let now = instant(self.now);
        for process in self.processes.iter().filter(|process| process.is_alive) {
            let Some(tenure) = process.lease.tenure(now) else {
                continue;
            };
            let span = Span {
                process: process.id.clone(),
                fence: tenure.fence,
                // The last call leaves before the end of the tenure.
                last: tick_of(tenure.until) - 1 + on_the_way,
                is_closed: false,
            };
            self.receiver.see(span, self.now)?;
        }
        Ok(())
    }

    /// The process ends; what it sent stays on its way.
    fn end(&mut self, process: usize) {
        let process = &mut self.processes[process];
        if let Pending::Write(write) = std::mem::replace(&mut process.pending, Pending::Nothing) {
            self.stray.push(write);
        }
        process.is_alive = false;
        process.is_leaving = false;
    }

    fn restart(&mut self, index: usize, mutant: Mutant) {
        let process = &mut self.processes[index];
        let id = process_id(index, process.id.incarnation + 1);
        process.lease = Lease::new(id.clone(), mutant.bounds());
        process.id = id;
        process.is_alive = true;
    }

    /// What must hold in each state.
    pub fn check(&self) -> Result<(), &'static str> {
        let now = instant(self.now);
        let processes = self.processes.iter().filter(|process| process.is_alive);
        let holders = processes.filter(|process| process.lease.tenure(now).is_some());
        if holders.count() > 1 {
            return Err("two processes hold the lease");
        }
        Ok(())
    }

    /// Plays on without further faults until somebody holds the lease.
    pub fn is_held_soon(&self, mutant: Mutant) -> bool {
        let mut world = self.clone();
        for _ in 0..HELD_WITHIN {
            for index in 0..world.processes.len() {
                while world.go_on(index, mutant).is_some() {}
                let process = &world.processes[index];
                if process.is_leaving || !process.is_alive {
                    world.end(index);
                    world.restart(index, mutant);
                }
            }
            let now = instant(world.now);
            let mut processes = world.processes.iter();
            if processes.any(|it| it.is_alive && it.lease.tenure(now).is_some()) {
                return true;
            }
            world.pass_time();
        }
        false
    }

    fn go_on(&mut self, index: usize, mutant: Mutant) -> Option<()> {
        if !self.processes[index].is_alive {
            return None;
        }
        match self.processes[index].pending {
            Pending::Nothing => self.decide(index, false, mutant),
            Pending::Decided(..) => self.send(index, mutant),
            Pending::Row(..) => self.note_row(index),
            Pending::Write(_) => self.write(index),
            Pending::Answer(..) => self.note_answer(index, mutant),
        }
    }
}
