//! The budget of repeated sends of all hosts.
//!
//! Each host may always use its own part, without a word from the others. What the others
//! leave over is shared as well, as long as nearly all of them are heard: each takes at most
//! its equal part of what is left in the time that an update needs to reach everybody.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    tealshore_core::protection::{Protection, enabled},
    xxhash_rust::xxh3::xxh3_64_with_seed,
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
/// Part of the slack that is used. A host that starts does not know what its former process used a
/// moment ago: where all hosts are killed, they would else use the whole slack twice in one window.
/// Hosts that took none of it for a window after a start would not go on with the first streams that
/// come to them.
const SLACK_PART: f64 = 0.5;
/// The part of all hosts that must have been heard before what they leave over is used.
const HEARD_PART: f64 = 0.75;

/// Where more hosts than this share what is left, a share below one repeat is drawn at random. Rounded down, a
/// large fleet would leave some hundred repeats unused; among few hosts the draws would stray too far.
const DRAWN_SHARE_HOSTS: usize = 100;
/// The part of what is left that is drawn in one cell: hosts hear of each other's use within two.
const DRAWN_SHARE_PART: f64 = 0.5;

/// What was used of a budget within its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

impl BudgetUse {
    /// Adds what another host used.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
    }
}

/// What a host knows of the others when it is about to repeat a send.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// The most hosts that there ever were at once, this one included.
    pub hosts: usize,
    /// Other hosts that were heard a moment ago.
    pub heard: usize,
    /// What those have used.
    pub used: BudgetUse,
}

impl Pool {
    /// A pool of which nothing was heard.
    #[must_use]
    pub fn unheard(hosts: usize) -> Self {
        Self {
            hosts,
            heard: 0,
            used: BudgetUse::default(),
        }
    }
}

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
    /// Sets the draws of this host apart from those of others.
    seed: u64,
    cells_begun: u64,
    /// When this process took the place of an earlier one.
    started_again: Option<Instant>,
}

impl RetryBudget {
    /// A budget that has seen nothing.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self::with_draw_seed(bounds, 0)
    }

    /// The same, with a number that was drawn for this host.
    #[must_use]
    pub fn with_draw_seed(bounds: BudgetBounds, seed: u64) -> Self {
        Self {
            bounds,
            cells: VecDeque::new(),
            seed,
            cells_begun: 0,
            started_again: None,
        }
    }

    /// The same, of a host whose earlier process may have used its part a moment ago.
    #[must_use]
    pub fn started_again(bounds: BudgetBounds, seed: u64, now: Instant) -> Self {
        Self {
            started_again: Some(now),
            ..Self::with_draw_seed(bounds, seed)
        }
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Instant) {
        self.cell(now).requests += 1;
    }

    /// Takes one repeat, where this host's own part allows it, or what the others leave over.
    pub fn take(&mut self, now: Instant, pool: &Pool) -> bool {
        let is_allowed = self.host_share_allows(now, pool) || self.pool_allows(now, pool);
        if !is_allowed && enabled(Protection::RetryBudget) {
            return false;
        }
        self.cell(now).repeats += 1;
        true
    }

    /// Gives back a repeat that was taken and reached no upstream.
    pub fn give_back(&mut self) {
        let mut cells = self.cells.iter_mut().rev();
        if let Some(cell) = cells.find(|cell| cell.repeats > 0) {
            cell.repeats -= 1;
        }
    }

    /// What this host used within the window that ends now.
    pub fn used(&mut self, now: Instant) -> BudgetUse {
        self.forget(now);
        let mut used = BudgetUse::default();
        for cell in &self.cells {
            used.add(BudgetUse {
                requests: cell.requests,
                repeats: cell.repeats,
            });
        }
        used
    }

    fn host_share_allows(&mut self, now: Instant, pool: &Pool) -> bool {
        let own = self.used(now);
        let slack = self.bounds.slack * SLACK_PART / to_f64(pool.hosts);
        f64::from(own.repeats) + 1.0 <= self.allowed(own.requests, slack, now)
    }

    /// Whether the whole of the hosts that were heard has something left, and this host has
    /// not yet taken its equal part of that since an update last reached everybody.
    fn pool_allows(&mut self, now: Instant, pool: &Pool) -> bool {
        let members = to_f64(pool.heard + 1);
        if members < to_f64(pool.hosts) * HEARD_PART {
            return false;
        }
        let mut whole = self.used(now);
        whole.add(pool.used);
        let slack = self.bounds.slack * SLACK_PART * members / to_f64(pool.hosts);
        let left = self.allowed(whole.requests, slack, now) - f64::from(whole.repeats);
        let equal_share = left / to_f64(pool.hosts);
        let share = if pool.hosts > DRAWN_SHARE_HOSTS && equal_share < 1.0 {
            f64::from(u8::from(
                self.share_draw(now) < equal_share * DRAWN_SHARE_PART,
            ))
        } else {
            equal_share.floor()
        };
        f64::from(self.repeats_since_update(now)) + 1.0 <= share
    }

    /// A number from 0 to 1 that is drawn anew for each cell, however often it is asked for.
    fn share_draw(&mut self, now: Instant) -> f64 {
        self.cell(now);
        let hash = xxh3_64_with_seed(&self.cells_begun.to_le_bytes(), self.seed);
        let high = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Repeats in the cell that runs and in the one before it: a cell is as long as a
    /// heartbeat between hosts may take.
    fn repeats_since_update(&self, now: Instant) -> u32 {
        let update_interval = self.bounds.window / CELLS;
        let recent = self
            .cells
            .iter()
            .filter(|cell| now.saturating_duration_since(cell.began) <= update_interval * 2);
        recent.map(|cell| cell.repeats).sum()
    }

    /// Repeats that so many requests allow, with a slack besides.
    fn allowed(&self, requests: u32, slack: f64, now: Instant) -> f64 {
        f64::from(requests) * self.bounds.ratio * self.ratio_part(now) + slack
    }

    /// The part of the ratio that is used: what an earlier process of this host left over of it, for as long as that
    /// one's repeats are counted.
    fn ratio_part(&self, now: Instant) -> f64 {
        let started = self.started_again;
        let age = started.map(|started| now.saturating_duration_since(started));
        match age {
            Some(age) if age < self.bounds.window => 1.0 - RATIO_PART,
            Some(_) | None => RATIO_PART,
        }
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
            self.cells_begun += 1;
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

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}
