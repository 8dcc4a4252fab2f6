//! What customers used, counted by all hosts and reported once for each window of time.
//!
//! Each process counts what began on it, and tells the others its counts, which only grow. So counts
//! of one process are merged by their maximum, whatever order or number of messages they came by, and
//! those of a process that died stay. The sums of a window are decided once, by the holder of the
//! duty, and written down before they are reported: each later report of the window is the same.

use {
    crate::lease::ProcessId,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
    tealshore_core::ids::{CustomerId, HallId},
};

/// The number of a window: how many windows lie between it and the beginning of 1970.
pub type WindowIndex = u64;
/// Requests by customer.
pub type Counts = BTreeMap<CustomerId, u64>;

/// The most windows of which counts are kept: a minute of windows of five seconds, far longer than a
/// report may come late.
const WINDOWS_KEPT: usize = 12;

/// The times of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageBounds {
    /// How long a window lasts.
    pub window: Duration,
    /// How long after its end a report is due.
    pub due: Duration,
}

impl UsageBounds {
    /// The window of a time since the beginning of 1970.
    #[must_use]
    pub fn window_at(&self, since_epoch: Duration) -> WindowIndex {
        let window_ms = self.window.as_millis().max(1);
        u64::try_from(since_epoch.as_millis() / window_ms).unwrap_or(u64::MAX)
    }

    /// When a window ends, since the beginning of 1970.
    #[must_use]
    pub fn end_of(&self, window: WindowIndex) -> Duration {
        let window_ms = u64::try_from(self.window.as_millis().max(1)).unwrap_or(u64::MAX);
        Duration::from_millis(window_ms.saturating_mul(window.saturating_add(1)))
    }
}

/// What was counted in a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowIndex,
    /// Requests that began in it, by customer.
    pub counts: Counts,
}

/// What one process counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessCounts {
    /// The process.
    pub process: ProcessId,
    /// By window.
    pub windows: Vec<WindowCounts>,
}

/// What the processes of a hall counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCounts {
    /// The hall.
    pub hall: HallId,
    /// Sums over the hall, as one of its hosts told them.
    pub told: Vec<WindowCounts>,
    /// What its processes told one by one.
    pub processes: Vec<ProcessCounts>,
}

/// What is known of a hall in a window.
#[derive(Clone, Debug, Default)]
struct HallWindow {
    /// The sums, as one of its hosts told them.
    told: Counts,
    processes: HashMap<ProcessId, Counts>,
}

impl HallWindow {
    /// The sums: those told, or those of the processes that are known here, where they are more.
    fn sum(&self) -> Counts {
        let mut sum = Counts::new();
        for counts in self.processes.values() {
            for (customer, count) in counts {
                *sum.entry(customer.clone()).or_default() += count;
            }
        }
        merge_counts(&mut sum, &self.told);
        sum
    }
}

/// What all processes counted, as far as it is known here.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowIndex, BTreeMap<HallId, HallWindow>>,
}

impl UsageLedger {
    /// Counts a request that began on a process of a hall.
    pub fn count(
        &mut self,
        hall: &HallId,
        process: &ProcessId,
        window: WindowIndex,
        customer: &CustomerId,
    ) {
        let processes = &mut self.entry(hall, window).processes;
        let counts = processes.entry(process.clone()).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        self.drop_oldest();
    }

    /// Takes in what a process of a hall counted.
    pub fn merge(&mut self, hall: &HallId, process: &ProcessId, told: &WindowCounts) {
        let processes = &mut self.entry(hall, told.window).processes;
        let counts = processes.entry(process.clone()).or_default();
        merge_counts(counts, &told.counts);
        self.drop_oldest();
    }

    /// Takes in the sums of a hall.
    pub fn merge_hall(&mut self, hall: &HallId, told: &WindowCounts) {
        merge_counts(&mut self.entry(hall, told.window).told, &told.counts);
        self.drop_oldest();
    }

    /// Takes in all that was written down.
    pub fn restore(&mut self, halls: &[HallCounts]) {
        for hall in halls {
            for window in &hall.told {
                self.merge_hall(&hall.hall, window);
            }
            for process in &hall.processes {
                for window in &process.windows {
                    self.merge(&hall.hall, &process.process, window);
                }
            }
        }
    }

    /// What one process of a hall counted, from a window on.
    #[must_use]
    pub fn of_process(
        &self,
        hall: &HallId,
        process: &ProcessId,
        from: WindowIndex,
    ) -> Vec<WindowCounts> {
        let windows = self.windows.range(from..);
        let windows = windows.filter_map(|(window, halls)| {
            let counts = halls.get(hall)?.processes.get(process)?.clone();
            Some(WindowCounts {
                window: *window,
                counts,
            })
        });
        windows.collect()
    }

    /// The sums of a hall, from a window on.
    #[must_use]
    pub fn of_hall(&self, hall: &HallId, from: WindowIndex) -> Vec<WindowCounts> {
        let windows = self.windows.range(from..);
        let windows = windows.filter_map(|(window, halls)| {
            Some(WindowCounts {
                window: *window,
                counts: halls.get(hall)?.sum(),
            })
        });
        windows.collect()
    }

    /// All that is known, from a window on, to be written down.
    #[must_use]
    pub fn all_from(&self, from: WindowIndex) -> Vec<HallCounts> {
        let mut by_hall: BTreeMap<HallId, HallCounts> = BTreeMap::new();
        for (window, halls) in self.windows.range(from..) {
            for (hall, known) in halls {
                let entry = by_hall.entry(hall.clone()).or_insert_with(|| HallCounts {
                    hall: hall.clone(),
                    told: Vec::new(),
                    processes: Vec::new(),
                });
                entry.add(*window, known);
            }
        }
        by_hall.into_values().collect()
    }

    /// The sums of a window.
    #[must_use]
    pub fn sum(&self, window: WindowIndex) -> Counts {
        let mut sum = Counts::new();
        for hall in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (customer, count) in hall.sum() {
                *sum.entry(customer).or_default() += count;
            }
        }
        sum
    }

    /// How many processes told of a window one by one.
    #[must_use]
    pub fn processes(&self, window: WindowIndex) -> usize {
        let halls = self.windows.get(&window).into_iter();
        halls
            .flat_map(BTreeMap::values)
            .map(|hall| hall.processes.len())
            .sum()
    }

    /// Forgets the windows before one.
    pub fn forget_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }

    fn entry(&mut self, hall: &HallId, window: WindowIndex) -> &mut HallWindow {
        let halls = self.windows.entry(window).or_default();
        halls.entry(hall.clone()).or_default()
    }

    fn drop_oldest(&mut self) {
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }
}

impl HallCounts {
    fn add(&mut self, window: WindowIndex, known: &HallWindow) {
        if !known.told.is_empty() {
            self.told.push(WindowCounts {
                window,
                counts: known.told.clone(),
            });
        }
        for (process, counts) in &known.processes {
            let counts = WindowCounts {
                window,
                counts: counts.clone(),
            };
            match self.processes.iter_mut().find(|it| it.process == *process) {
                Some(entry) => entry.windows.push(counts),
                None => self.processes.push(ProcessCounts {
                    process: process.clone(),
                    windows: vec![counts],
                }),
            }
        }
    }
}

/// The oldest window of which counts are kept; the present one is one of those that are.
fn oldest_kept(current: WindowIndex) -> WindowIndex {
    let others_kept = u64::try_from(WINDOWS_KEPT - 1).unwrap_or(u64::MAX);
    current.saturating_sub(others_kept)
}

/// Counts of one process only grow, so the greater one is the later one.
fn merge_counts(known: &mut Counts, told: &Counts) {
    for (customer, count) in told {
        let known = known.entry(customer.clone()).or_default();
        *known = (*known).max(*count);
    }
}

/// The sums of a window, as they are reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowIndex,
    /// Requests that began in it, by customer.
    pub counts: Counts,
}

/// How far the windows are reported, as it is written down with the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The first window that is not decided. None before a first one was chosen.
    pub next: Option<WindowIndex>,
    /// What was decided and is not settled yet, by window.
    pub decided: Vec<UsageReport>,
    /// What the processes counted in windows that are not decided yet, so that it outlives them.
    pub counted: Vec<HallCounts>,
}

/// How far the windows are reported, as a holder tells the hosts that may follow it: a store that comes back
/// from an older copy lacks what was written last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedUsage {
    /// The first window that is not decided.
    pub next: WindowIndex,
    /// What was decided and is not settled yet.
    pub open: Vec<UsageReport>,
}

/// How long a new holder lets hosts tell it their counts before it decides a window: they hear of it
/// within half a second and tell once a second. One that decided sooner reported 23 requests of some 800.
const HEARD_AFTER: Duration = Duration::from_millis(1_800);
/// A report that would be late otherwise is decided this long before.
const REPORT_MARGIN: Duration = Duration::from_millis(1_000);

/// How long after its end a window is decided by a holder that has held the duty for a time; `settle`
/// after it by one that has heard of all counts.
#[must_use]
pub fn settle_after(settle: Duration, bounds: UsageBounds, held_for: Duration) -> Duration {
    if held_for >= HEARD_AFTER {
        return settle;
    }
    settle.max(bounds.due.saturating_sub(REPORT_MARGIN))
}

/// What a holder is to do about usage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing yet.
    Nothing,
    /// Write these decisions down.
    Decide(Vec<UsageReport>),
    /// Send this report, which was written down.
    Send(UsageReport),
}

impl UsageRecord {
    /// What to tell the hosts that may follow; none before a first window was chosen.
    #[must_use]
    pub fn decided_so_far(&self) -> Option<DecidedUsage> {
        Some(DecidedUsage {
            next: self.next?,
            open: self.decided.clone(),
        })
    }

    /// Adds decisions that the store lost, so that this record lacks them; whether there were any.
    pub fn add_lost(&mut self, known: &DecidedUsage) -> bool {
        let next = self.next.unwrap_or_default();
        if known.next <= next {
            return false;
        }
        let missing = known.open.iter().filter(|report| report.window >= next);
        self.decided.extend(missing.cloned());
        self.next = Some(known.next);
        true
    }

    /// Begins with a window, where none was chosen yet.
    pub fn begin_at(&mut self, window: WindowIndex) {
        self.next.get_or_insert(window);
    }

    /// What to do at a time since the beginning of 1970. A window is decided `settle` after its end:
    /// what hosts counted is known everywhere by then.
    #[must_use]
    pub fn step(
        &self,
        ledger: &UsageLedger,
        bounds: UsageBounds,
        settle: Duration,
        since_epoch: Duration,
    ) -> UsageStep {
        let reports = self.due(ledger, bounds, settle, since_epoch);
        if !reports.is_empty() {
            return UsageStep::Decide(reports);
        }
        match self.decided.first() {
            Some(report) => UsageStep::Send(report.clone()),
            None => UsageStep::Nothing,
        }
    }

    /// The windows that are to be decided. They don't wait for what is not accepted yet: sums take far
    /// less room in the row than the counts of each process that they are made of.
    fn due(
        &self,
        ledger: &UsageLedger,
        bounds: UsageBounds,
        settle: Duration,
        since_epoch: Duration,
    ) -> Vec<UsageReport> {
        let Some(next) = self.next else {
            return Vec::new();
        };
        let current = bounds.window_at(since_epoch);
        (next.max(oldest_kept(current))..current)
            .take_while(|window| bounds.end_of(*window) + settle <= since_epoch)
            .map(|window| UsageReport {
                window,
                counts: ledger.sum(window),
            })
            .collect()
    }

    /// Takes decisions in.
    pub fn decide(&mut self, reports: Vec<UsageReport>) {
        self.next = reports.last().map(|last| last.window + 1).or(self.next);
        self.decided.extend(reports);
    }

    /// Gives up reports that were not accepted for so long that the counts of their windows would no
    /// longer be kept: one that is never taken must not hold up all others, and the row is bounded.
    pub fn give_up_oldest(
        &mut self,
        bounds: UsageBounds,
        since_epoch: Duration,
    ) -> Vec<WindowIndex> {
        let oldest = oldest_kept(bounds.window_at(since_epoch));
        let is_old = |report: &UsageReport| report.window < oldest;
        let windows = self.decided.iter().filter(|report| is_old(report));
        let given_up = windows.map(|report| report.window).collect();
        self.decided.retain(|report| !is_old(report));
        given_up
    }

    /// Notes that the report of a window was accepted, or given up.
    pub fn settle(&mut self, window: WindowIndex) {
        self.decided.retain(|report| report.window != window);
    }
}
