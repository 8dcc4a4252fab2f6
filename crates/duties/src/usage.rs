//! The usage of customers, counted on all hosts and reported once per window of time.
//!
//! Each process counts the requests that started on it and sends its counts to the others. Counts of a
//! process only grow, so they are merged by their maximum: messages may be lost, repeated or reordered,
//! and the counts of a process that ended are kept. The holder of the duty decides the sums of a window
//! once and stores them before it reports them, so that every report of a window is the same.

mod record;

pub use record::{DecidedUsage, UsageRecord, UsageReport, UsageStep, settle_delay};
use {
    crate::lease::ProcessId,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
    tealshore_core::ids::{CustomerId, HallId},
};

/// The index of a window: the number of windows between the Unix epoch and its start.
pub type WindowIndex = u64;
/// Number of requests by customer.
pub type Counts = BTreeMap<CustomerId, u64>;

/// Maximum number of windows in a ledger: one minute with windows of five seconds, much more than the
/// allowed delay of a report.
const MAX_WINDOWS: usize = 12;

/// The durations of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub due: Duration,
}

impl UsageTiming {
    /// Returns the window that contains a time since the Unix epoch.
    #[must_use]
    pub fn window_at(&self, since_epoch: Duration) -> WindowIndex {
        let window_ms = self.window.as_millis().max(1);
        u64::try_from(since_epoch.as_millis() / window_ms).unwrap_or(u64::MAX)
    }

    /// Returns the end of a window as a time since the Unix epoch.
    #[must_use]
    pub fn window_end(&self, window: WindowIndex) -> Duration {
        let window_ms = u64::try_from(self.window.as_millis().max(1)).unwrap_or(u64::MAX);
        Duration::from_millis(window_ms.saturating_mul(window.saturating_add(1)))
    }
}

/// The counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: WindowIndex,
    /// Requests that started in the window, by customer.
    pub counts: Counts,
}

/// The counts of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessCounts {
    /// The process.
    pub process: ProcessId,
    /// Its counts by window.
    pub windows: Vec<WindowCounts>,
}

/// The counts of one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCounts {
    /// The hall.
    pub hall: HallId,
    /// Sums of the whole hall, as reported by one of its hosts.
    pub told: Vec<WindowCounts>,
    /// Counts reported by single processes of the hall.
    pub processes: Vec<ProcessCounts>,
}

/// The known counts of one hall in one window.
#[derive(Clone, Debug, Default)]
struct HallWindow {
    /// Sums of the whole hall, as reported by one of its hosts.
    reported: Counts,
    processes: HashMap<ProcessId, Counts>,
}

impl HallWindow {
    /// Returns for each customer the larger of the reported sum and the sum over the known processes.
    fn sum(&self) -> Counts {
        let mut sum = Counts::new();
        for counts in self.processes.values() {
            for (customer, count) in counts {
                *sum.entry(customer.clone()).or_default() += count;
            }
        }
        merge_counts(&mut sum, &self.reported);
        sum
    }
}

/// The counts of all processes, as far as this process knows them.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    windows: BTreeMap<WindowIndex, BTreeMap<HallId, HallWindow>>,
}

impl UsageLedger {
    /// Counts a request that started on a process of a hall.
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
        self.drop_excess_windows();
    }

    /// Merges the counts of a process of a hall.
    pub fn merge(&mut self, hall: &HallId, process: &ProcessId, reported: &WindowCounts) {
        let processes = &mut self.entry(hall, reported.window).processes;
        let counts = processes.entry(process.clone()).or_default();
        merge_counts(counts, &reported.counts);
        self.drop_excess_windows();
    }

    /// Merges the sums of a hall.
    pub fn merge_hall(&mut self, hall: &HallId, reported: &WindowCounts) {
        merge_counts(
            &mut self.entry(hall, reported.window).reported,
            &reported.counts,
        );
        self.drop_excess_windows();
    }

    /// Merges stored counts, as returned by [`Self::counts_from`].
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

    /// Returns the counts of one process of a hall, starting with window `from`.
    #[must_use]
    pub fn process_counts(
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

    /// Returns the sums of a hall, starting with window `from`.
    #[must_use]
    pub fn hall_counts(&self, hall: &HallId, from: WindowIndex) -> Vec<WindowCounts> {
        let windows = self.windows.range(from..);
        let windows = windows.filter_map(|(window, halls)| {
            Some(WindowCounts {
                window: *window,
                counts: halls.get(hall)?.sum(),
            })
        });
        windows.collect()
    }

    /// Returns all known counts to be stored, starting with window `from`.
    #[must_use]
    pub fn counts_from(&self, from: WindowIndex) -> Vec<HallCounts> {
        let mut by_hall: BTreeMap<HallId, HallCounts> = BTreeMap::new();
        for (window, halls) in self.windows.range(from..) {
            for (hall, known) in halls {
                let entry = by_hall.entry(hall.clone()).or_insert_with(|| HallCounts {
                    hall: hall.clone(),
                    told: Vec::new(),
                    processes: Vec::new(),
                });
                entry.add_window(*window, known);
            }
        }
        by_hall.into_values().collect()
    }

    /// Returns the sums of a window over all halls.
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

    /// Returns the number of processes whose own counts of a window are known.
    #[must_use]
    pub fn processes(&self, window: WindowIndex) -> usize {
        let halls = self.windows.get(&window).into_iter();
        halls
            .flat_map(BTreeMap::values)
            .map(|hall| hall.processes.len())
            .sum()
    }

    /// Drops all windows before `window`.
    pub fn drop_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }

    fn entry(&mut self, hall: &HallId, window: WindowIndex) -> &mut HallWindow {
        let halls = self.windows.entry(window).or_default();
        halls.entry(hall.clone()).or_default()
    }

    fn drop_excess_windows(&mut self) {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }
}

impl HallCounts {
    fn add_window(&mut self, window: WindowIndex, known: &HallWindow) {
        if !known.reported.is_empty() {
            self.told.push(WindowCounts {
                window,
                counts: known.reported.clone(),
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

/// Returns the oldest window that a ledger keeps while `current` is the newest one.
fn oldest_retained(current: WindowIndex) -> WindowIndex {
    let others_retained = u64::try_from(MAX_WINDOWS - 1).unwrap_or(u64::MAX);
    current.saturating_sub(others_retained)
}

/// Merges counts by their maximum: counts of one process only grow, so the larger one is the later one.
fn merge_counts(known: &mut Counts, reported: &Counts) {
    for (customer, count) in reported {
        let known = known.entry(customer.clone()).or_default();
        *known = (*known).max(*count);
    }
}
