//! The budget of repeated sends. Each host keeps to its own part, so the sum over all hosts
//! keeps to the whole without a word between them.

use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
};

/// How finely the window is counted.
const CELLS: u32 = 20;

/// The bounds of the whole system.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the ratio that is used: requests and repeats of one window may be counted in
/// cells that differ by one.
const RATIO_PART: f64 = 0.75;

#[derive(Clone, Copy)]
struct Cell {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// One host's part of the budget for one service.
pub struct RetryBudget {
    bounds: BudgetBounds,
    cells: VecDeque<Cell>,
}

impl RetryBudget {
    /// A budget that has seen nothing.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            cells: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.cell(now).requests += 1;
    }

    /// Takes one repeat, where the part of one of `hosts` hosts allows it.
    pub fn take(&mut self, now: Instant, hosts: usize) -> bool {
        let allowed = self.allowed(now, hosts);
        let used: u32 = self.cells.iter().map(|cell| cell.repeats).sum();
        if f64::from(used) + 1.0 > allowed && enabled(Protection::RetryBudget) {
            return false;
        }
        self.cell(now).repeats += 1;
        true
    }

    /// Repeats that this host may make within the window that ends now.
    fn allowed(&mut self, now: Instant, hosts: usize) -> f64 {
        self.forget(now);
        let requests: u32 = self.cells.iter().map(|cell| cell.requests).sum();
        let share = 1.0 / f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        f64::from(requests) * self.bounds.ratio * RATIO_PART + self.bounds.slack * share
    }

    fn forget(&mut self, now: Instant) {
        let window = self.bounds.window;
        while self
            .cells
            .front()
            .is_some_and(|cell| now.saturating_duration_since(cell.began) > window)
        {
            self.cells.pop_front();
        }
    }

    fn cell(&mut self, now: Instant) -> &mut Cell {
        let span = self.bounds.window / CELLS;
        let is_current = self
            .cells
            .back()
            .is_some_and(|cell| now.saturating_duration_since(cell.began) < span);
        if !is_current {
            self.forget(now);
            self.cells.push_back(Cell {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.cells.len() - 1;
        &mut self.cells[last]
    }
}
