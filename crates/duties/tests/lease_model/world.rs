//! The model's state, consisting of processes and a store, and its transitions.

use {
    super::{
        receiver::{CallSpan, Receiver},
        setup::{
            CALL_DELAY, Faults, InitialState, Mutant, RECOVERY_TICKS, SearchOptions, TICK, Tick,
            instant, tick_of,
        },
    },
    std::time::Duration,
    tealshore_duties::lease::{Lease, LeaseRecord, ProcessId, Role, RowVersion, Step},
};

/// A write that was sent to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentWrite {
    record: LeaseRecord,
    expected: RowVersion,
    requested_at: Tick,
}

/// The operation that a process waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Nothing,
    /// It decided on a write and froze before it sent the write.
    Decided(LeaseRecord, RowVersion),
    /// The answer to a read, and when the read was requested.
    Row(RowVersion, LeaseRecord, Tick),
    /// A write that the store has not received yet.
    Write(SentWrite),
    /// The answer to a write; `None` if the row had changed.
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

/// The state of all processes and of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: Tick,
    row: Option<(RowVersion, LeaseRecord)>,
    processes: Vec<Process>,
    /// Writes in flight whose sender no longer waits for the answer.
    orphaned_writes: Vec<SentWrite>,
    receiver: Receiver,
    faults_left: Faults,
}

/// A transition to another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    PassTime,
    Decide { process: usize, freezes: bool },
    Send(usize),
    ReadDelayed(usize),
    RecordRow(usize),
    Write(usize),
    DelayAnswer(usize),
    RecordAnswer(usize),
    LoseAnswer(usize),
    ExecuteOrphan(usize),
    SendSummary(usize, usize),
    Crash(usize),
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
    /// Returns the initial state of a search.
    pub fn initial(search: &SearchOptions) -> Self {
        let processes = (0..search.hosts).map(|index| {
            let id = process_id(index, 0);
            Process {
                is_alive: true,
                is_leaving: false,
                lease: Lease::new(id.clone(), search.mutant.timing()),
                id,
                pending: Pending::Nothing,
            }
        });
        let mut world = Self {
            now: 0,
            row: None,
            processes: processes.collect(),
            orphaned_writes: Vec::new(),
            receiver: Receiver::default(),
            faults_left: search.faults,
        };
        if search.initial_state == InitialState::Held {
            while world.advance(0, search.mutant).is_some() {}
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

    /// Returns the next step of a process. The store's time is the time of the model.
    fn next_step_of(&self, process: usize) -> Step {
        let store_time = TICK * self.now;
        let lease = &self.processes[process].lease;
        lease.next_step(Some(store_time), self.role(process), instant(self.now))
    }

    fn has_released(&self, process: usize) -> bool {
        let process = &self.processes[process];
        let summary = process.lease.summary();
        process.is_leaving && summary.is_some_and(|summary| summary.holder.is_none())
    }

    /// Returns all transitions that may be possible.
    pub fn moves(&self, until: Tick) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.now < until {
            moves.push(Move::PassTime);
        }
        moves.extend((0..self.orphaned_writes.len()).map(Move::ExecuteOrphan));
        for index in 0..self.processes.len() {
            self.moves_of(index, &mut moves);
        }
        moves
    }

    fn moves_of(&self, index: usize, moves: &mut Vec<Move>) {
        let process = &self.processes[index];
        let faults_left = self.faults_left;
        if !process.is_alive {
            moves.push(Move::Restart(index));
            return;
        }
        if faults_left.crashes > 0 || self.has_released(index) {
            moves.push(Move::Crash(index));
        }
        if faults_left.stops > 0 && !process.is_leaving {
            moves.push(Move::Stop(index));
        }
        if faults_left.summaries > 0 || self.has_released(index) {
            let others = (0..self.processes.len()).filter(|other| *other != index);
            moves.extend(others.map(|other| Move::SendSummary(index, other)));
        }
        match process.pending {
            Pending::Nothing => {
                moves.push(Move::Decide {
                    process: index,
                    freezes: false,
                });
                if faults_left.delays > 0 {
                    moves.push(Move::ReadDelayed(index));
                    moves.push(Move::Decide {
                        process: index,
                        freezes: true,
                    });
                }
            }
            Pending::Decided(..) => moves.push(Move::Send(index)),
            Pending::Row(..) => moves.push(Move::RecordRow(index)),
            Pending::Write(_) => {
                moves.push(Move::Write(index));
                if faults_left.delays > 0 {
                    moves.push(Move::DelayAnswer(index));
                }
                if faults_left.lost_answers > 0 {
                    moves.push(Move::LoseAnswer(index));
                }
            }
            Pending::Answer(..) => moves.push(Move::RecordAnswer(index)),
        }
    }

    /// Returns the state after a transition, or `None` if it is impossible or changes nothing.
    pub fn after(&self, step: Move, mutant: Mutant) -> Option<Result<Self, &'static str>> {
        let mut world = self.clone();
        match step {
            Move::PassTime => world.pass_time(),
            Move::Decide { process, freezes } => world.decide(process, freezes, mutant)?,
            Move::Send(process) => world.send(process, mutant)?,
            Move::ReadDelayed(process) => world.read_delayed(process)?,
            Move::RecordRow(process) => world.record_row(process)?,
            Move::Write(process) => {
                world.write(process)?;
                world.record_answer(process, mutant)?;
            }
            Move::DelayAnswer(process) => {
                world.faults_left.delays -= 1;
                world.write(process)?;
            }
            Move::RecordAnswer(process) => world.record_answer(process, mutant)?,
            Move::LoseAnswer(process) => world.lose_answer(process, mutant)?,
            Move::ExecuteOrphan(index) => {
                let write = world.orphaned_writes.remove(index);
                world.execute(&write)?;
            }
            Move::SendSummary(from, to) => world.send_summary(from, to)?,
            Move::Crash(process) => {
                if !world.has_released(process) {
                    world.faults_left.crashes -= 1;
                }
                world.end_process(process);
            }
            Move::Restart(process) => world.restart(process, mutant),
            Move::Stop(process) => {
                world.faults_left.stops -= 1;
                world.processes[process].is_leaving = true;
            }
        }
        if world == *self {
            return None;
        }
        Some(world.record_holders(mutant).map(|()| world))
    }

    fn pass_time(&mut self) {
        self.now += 1;
        let now = self.now;
        self.receiver.prune(now);
        // Drops writes whose condition can no longer hold.
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        self.orphaned_writes
            .retain(|write| write.expected >= version);
    }

    fn decide(&mut self, process: usize, freezes: bool, mutant: Mutant) -> Option<()> {
        match self.next_step_of(process) {
            Step::Wait(_) => return None,
            Step::Read if freezes => return None,
            Step::Read => {
                let now = instant(self.now);
                let lease = &mut self.processes[process].lease;
                lease.record_read(self.row.clone(), now, now);
            }
            Step::Write {
                record, expected, ..
            } => {
                self.processes[process].pending = Pending::Decided(record, expected);
                if !freezes {
                    return self.send(process, mutant);
                }
                self.faults_left.delays -= 1;
            }
        }
        Some(())
    }

    fn send(&mut self, process: usize, mutant: Mutant) -> Option<()> {
        let requested_at = self.now;
        let process = &mut self.processes[process];
        let Pending::Decided(record, expected) = process.pending.clone() else {
            return None;
        };
        let record = match mutant {
            Mutant::NoSerials => record,
            _ => process.lease.prepare_write(record),
        };
        let is_release = record.holder.is_none();
        process.pending = Pending::Write(SentWrite {
            record,
            expected,
            requested_at,
        });
        let id = process.id.clone();
        if is_release {
            self.receiver.close_calls(&id, requested_at);
        }
        Some(())
    }

    fn read_delayed(&mut self, process: usize) -> Option<()> {
        if self.next_step_of(process) != Step::Read {
            return None;
        }
        self.faults_left.delays -= 1;
        let (version, record) = self.row.clone().unwrap_or_default();
        self.processes[process].pending = Pending::Row(version, record, self.now);
        Some(())
    }

    fn record_row(&mut self, process: usize) -> Option<()> {
        let now = instant(self.now);
        let process = &mut self.processes[process];
        let Pending::Row(version, record, requested_at) = process.pending.clone() else {
            return None;
        };
        let row = (version > 0).then_some((version, record));
        process.lease.record_read(row, instant(requested_at), now);
        process.pending = Pending::Nothing;
        Some(())
    }

    /// Applies a write to the row if its condition holds.
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

    fn record_answer(&mut self, index: usize, mutant: Mutant) -> Option<()> {
        let now = instant(self.now);
        let process = &mut self.processes[index];
        let Pending::Answer(write, version) = process.pending.clone() else {
            return None;
        };
        process.pending = Pending::Nothing;
        let requested_at = match mutant {
            Mutant::TenureFromAnswer => now,
            _ => instant(write.requested_at),
        };
        let Some(version) = version else {
            process.lease.record_conflict();
            return Some(());
        };
        process
            .lease
            .record_written(version, write.record, requested_at, now);
        Some(())
    }

    /// Loses the answer to a write, which the store applies later, or never.
    fn lose_answer(&mut self, process: usize, mutant: Mutant) -> Option<()> {
        let now = instant(self.now);
        self.faults_left.lost_answers -= 1;
        let process = &mut self.processes[process];
        let Pending::Write(write) = process.pending.clone() else {
            return None;
        };
        process.pending = Pending::Nothing;
        let requested_at = instant(write.requested_at);
        let record = write.record.clone();
        match mutant {
            Mutant::NoReadBack => {
                let version = write.expected + 1;
                process
                    .lease
                    .record_written(version, record, requested_at, now);
            }
            _ => process.lease.record_unknown_outcome(&record, requested_at),
        }
        self.orphaned_writes.push(write);
        Some(())
    }

    fn send_summary(&mut self, from: usize, to: usize) -> Option<()> {
        if !self.has_released(from) {
            self.faults_left.summaries -= 1;
        }
        let summary = self.processes[from].lease.summary()?;
        if !self.processes[to].is_alive {
            return None;
        }
        let now = instant(self.now);
        self.processes[to].lease.record_summary(&summary, now);
        Some(())
    }

    /// Records the calls that the current holders may make.
    fn record_holders(&mut self, mutant: Mutant) -> Result<(), &'static str> {
        let call_delay = match mutant {
            Mutant::SlowCalls => 2 * CALL_DELAY,
            _ => CALL_DELAY,
        };
        let now = instant(self.now);
        for process in self.processes.iter().filter(|process| process.is_alive) {
            let Some(tenure) = process.lease.tenure(now) else {
                continue;
            };
            let span = CallSpan {
                process: process.id.clone(),
                fence: tenure.fence,
                // The last call is sent before the end of the tenure.
                last_arrival: tick_of(tenure.until) - 1 + call_delay,
                is_closed: false,
            };
            self.receiver.record_calls(span, self.now)?;
        }
        Ok(())
    }

    /// Ends a process. A write that it sent stays in flight.
    fn end_process(&mut self, process: usize) {
        let process = &mut self.processes[process];
        if let Pending::Write(write) = std::mem::replace(&mut process.pending, Pending::Nothing) {
            self.orphaned_writes.push(write);
        }
        process.is_alive = false;
        process.is_leaving = false;
    }

    fn restart(&mut self, index: usize, mutant: Mutant) {
        let process = &mut self.processes[index];
        let id = process_id(index, process.id.incarnation + 1);
        process.lease = Lease::new(id.clone(), mutant.timing());
        process.id = id;
        process.is_alive = true;
    }

    /// Checks the invariant of a single state.
    pub fn check(&self) -> Result<(), &'static str> {
        let now = instant(self.now);
        let processes = self.processes.iter().filter(|process| process.is_alive);
        let holders = processes.filter(|process| process.lease.tenure(now).is_some());
        if holders.count() > 1 {
            return Err("two processes hold the lease");
        }
        Ok(())
    }

    /// Returns whether a process holds the lease within [`RECOVERY_TICKS`] if there are no further faults.
    pub fn recovers(&self, mutant: Mutant) -> bool {
        let mut world = self.clone();
        for _ in 0..RECOVERY_TICKS {
            for index in 0..world.processes.len() {
                while world.advance(index, mutant).is_some() {}
                let process = &world.processes[index];
                if process.is_leaving || !process.is_alive {
                    world.end_process(index);
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

    fn advance(&mut self, index: usize, mutant: Mutant) -> Option<()> {
        if !self.processes[index].is_alive {
            return None;
        }
        match self.processes[index].pending {
            Pending::Nothing => self.decide(index, false, mutant),
            Pending::Decided(..) => self.send(index, mutant),
            Pending::Row(..) => self.record_row(index),
            Pending::Write(_) => self.write(index),
            Pending::Answer(..) => self.record_answer(index, mutant),
        }
    }
}
