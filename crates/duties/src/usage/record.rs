//! Which windows are decided and reported.

use {
    super::{Counts, HallCounts, UsageLedger, UsageTiming, WindowIndex, oldest_retained},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

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

/// How long a new holder lets hosts send it their counts before it decides a window: they record_summary of it
/// within half a second and send once a second.
const COUNT_COLLECTION_TIME: Duration = Duration::from_millis(1_800);
/// A report that would be late otherwise is decided this long before.
const REPORT_MARGIN: Duration = Duration::from_millis(1_000);

/// How long after its end a window is decided by a holder that has held the duty for a time; `settle`
/// after it by one that has heard of all counts.
#[must_use]
pub fn settle_delay(settle: Duration, timing: UsageTiming, held_for: Duration) -> Duration {
    if held_for >= COUNT_COLLECTION_TIME {
        return settle;
    }
    settle.max(timing.due.saturating_sub(REPORT_MARGIN))
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
    pub fn decided_usage(&self) -> Option<DecidedUsage> {
        Some(DecidedUsage {
            next: self.next?,
            open: self.decided.clone(),
        })
    }

    /// Adds decisions that the store lost, so that this record lacks them; whether there were any.
    pub fn add_missing(&mut self, known: &DecidedUsage) -> bool {
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
    pub fn start_at(&mut self, window: WindowIndex) {
        self.next.get_or_insert(window);
    }

    /// What to do at a time since the beginning of 1970. A window is decided `settle` after its end:
    /// what hosts counted is known everywhere by then.
    #[must_use]
    pub fn step(
        &self,
        ledger: &UsageLedger,
        timing: UsageTiming,
        settle: Duration,
        since_epoch: Duration,
    ) -> UsageStep {
        let reports = self.due_reports(ledger, timing, settle, since_epoch);
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
    fn due_reports(
        &self,
        ledger: &UsageLedger,
        timing: UsageTiming,
        settle: Duration,
        since_epoch: Duration,
    ) -> Vec<UsageReport> {
        let Some(next) = self.next else {
            return Vec::new();
        };
        let current = timing.window_at(since_epoch);
        (next.max(oldest_retained(current))..current)
            .take_while(|window| timing.window_end(*window) + settle <= since_epoch)
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
    pub fn drop_expired(&mut self, timing: UsageTiming, since_epoch: Duration) -> Vec<WindowIndex> {
        let oldest = oldest_retained(timing.window_at(since_epoch));
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
