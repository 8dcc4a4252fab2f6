//! What customers used, counted by all hosts and reported once for each window of time.
//!
//! Each process counts what began on it, and tells the others its counts, which only grow. So counts
//! of one process are merged by their maximum, whatever order or number of messages they came by, and
//! those of a process that died stay. The sums of a window are decided once, by the holder of the
//! duty, and written down before they are reported: each later report of the window is the same.

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

/// The number of a window: how many windows lie between it and the beginning of 1970.
pub type WindowIndex = u64;
/// Requests by customer.
pub type Counts = BTreeMap<CustomerId, u64>;

/// The most windows of which counts are kept: a minute of windows of five seconds, far longer than a
/// report may come late.
const MAX_WINDOWS: usize = 12;

/// The times of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTiming {
    /// How long a window lasts.
    pub window: Duration,
    /// How long after its end a report is due.
    pub due: Duration,
}

impl UsageTiming {
    /// The window of a time since the beginning of 1970.
    #[must_use]
    pub fn window_at(&self, since_epoch: Duration) -> WindowIndex {
        let window_ms = self.window.as_millis().max(1);
        u64::try_from(since_epoch.as_millis() / window_ms).unwrap_or(u64::MAX)
    }

    /// When a window ends, since the beginning of 1970.
    #[must_use]
    pub fn window_end(&self, window: WindowIndex) -> Duration {
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
    reported: Counts,
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
        merge_counts(&mut sum, &self.reported);
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
        self.drop_excess_windows();
    }

    /// Takes in what a process of a hall counted.
    pub fn merge(&mut self, hall: &HallId, process: &ProcessId, reported: &WindowCounts) {
        let processes = &mut self.entry(hall, reported.window).processes;
        let counts = processes.entry(process.clone()).or_default();
        merge_counts(counts, &reported.counts);
        self.drop_excess_windows();
    }

    /// Takes in the sums of a hall.
    pub fn merge_hall(&mut self, hall: &HallId, reported: &WindowCounts) {
        merge_counts(
            &mut self.entry(hall, reported.window).reported,
            &reported.counts,
        );
        self.drop_excess_windows();
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

    /// The sums of a hall, from a window on.
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

    /// All that is known, from a window on, to be written down.
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

/// The oldest window of which counts are kept; the present one is one of those that are.
fn oldest_retained(current: WindowIndex) -> WindowIndex {
    let others_retained = u64::try_from(MAX_WINDOWS - 1).unwrap_or(u64::MAX);
    current.saturating_sub(others_retained)
}

/// Counts of one process only grow, so the greater one is the later one.
fn merge_counts(known: &mut Counts, reported: &Counts) {
    for (customer, count) in reported {
        let known = known.entry(customer.clone()).or_default();
        *known = (*known).max(*count);
    }
}
