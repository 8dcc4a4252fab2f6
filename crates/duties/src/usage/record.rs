//! The stored record of decided and reported windows.

use {
    super::{Counts, HallCounts, UsageLedger, UsageTiming, WindowIndex, oldest_retained},
    serde::{Deserialize, Serialize},
    std::{ops::Range, time::Duration},
};

/// The reported sums of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowIndex,
    /// Requests that started in the window, by customer.
    pub counts: Counts,
}

/// The progress of usage reports, stored in the row of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The first window that is not decided; `None` until reporting starts.
    pub next: Option<WindowIndex>,
    /// Decided reports that are not settled yet, in the order of their windows.
    pub decided: Vec<UsageReport>,
    /// Counts of windows that are not decided yet, stored so that they survive the processes that hold them.
    pub counted: Vec<HallCounts>,
}

/// The progress of usage reports, which a holder sends to its possible successors: after a restore from an
/// older copy, the store lacks the last writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedUsage {
    /// The first window that is not decided.
    pub next: WindowIndex,
    /// Decided reports that are not settled yet.
    pub open: Vec<UsageReport>,
}

/// How long a new holder collects counts before it decides a window. Hosts learn of a new holder within
/// half a second and send their counts once per second.
const COUNT_COLLECTION_TIME: Duration = Duration::from_millis(1_800);
/// Time before the due time of a report at which its window is decided at the latest.
const REPORT_MARGIN: Duration = Duration::from_millis(1_000);

/// Returns the time from the end of a window until it is decided. A holder that has held the duty for long
/// enough to receive all counts waits for `settle`; a new holder waits until `REPORT_MARGIN` before the
/// report is due, if that is later.
#[must_use]
pub fn settle_delay(settle: Duration, timing: UsageTiming, held_for: Duration) -> Duration {
    if held_for >= COUNT_COLLECTION_TIME {
        return settle;
    }
    settle.max(timing.due.saturating_sub(REPORT_MARGIN))
}

/// The next step of the holder for usage reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// There is nothing to do yet.
    Nothing,
    /// Store these reports as decided.
    Decide(Vec<UsageReport>),
    /// Send this report, which was stored before.
    Send(UsageReport),
}

impl UsageRecord {
    /// Returns the progress to send to possible successors; `None` until reporting starts.
    #[must_use]
    pub fn decided_usage(&self) -> Option<DecidedUsage> {
        Some(DecidedUsage {
            next: self.next?,
            open: self.decided.clone(),
        })
    }

    /// Adds decisions that the store lost and that are therefore missing in this record. Returns whether there
    /// were any.
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

    /// Starts reporting at a window, unless reporting has started already.
    pub fn start_at(&mut self, window: WindowIndex) {
        self.next.get_or_insert(window);
    }

    /// Returns the next step at a time since the Unix epoch. A window is decided `settle` after its end, when
    /// the counts of all hosts have been received.
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

    /// Returns the reports of the windows that are due to be decided. They don't wait until earlier reports are
    /// accepted: sums take much less space in the row than the counts of all processes.
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

    /// Leaves out the undecided windows that another holder may have decided by `moment`, a time since the Unix
    /// epoch, at the earliest `settle` after their end. Returns them.
    pub fn leave_out_decidable(
        &mut self,
        timing: UsageTiming,
        settle: Duration,
        moment: Duration,
    ) -> Option<Range<WindowIndex>> {
        let next = self.next?;
        let first_kept = timing.window_at(moment.checked_sub(settle)?);
        (first_kept > next).then(|| {
            self.next = Some(first_kept);
            next..first_kept
        })
    }

    /// Adds decided reports.
    pub fn decide(&mut self, reports: Vec<UsageReport>) {
        self.next = reports.last().map(|last| last.window + 1).or(self.next);
        self.decided.extend(reports);
    }

    /// Drops reports whose windows are older than those that a ledger keeps, and returns these windows. A
    /// report that is never accepted must not block all others, and the size of the row is limited.
    pub fn drop_expired(&mut self, timing: UsageTiming, since_epoch: Duration) -> Vec<WindowIndex> {
        let oldest = oldest_retained(timing.window_at(since_epoch));
        let is_old = |report: &UsageReport| report.window < oldest;
        let windows = self.decided.iter().filter(|report| is_old(report));
        let given_up = windows.map(|report| report.window).collect();
        self.decided.retain(|report| !is_old(report));
        given_up
    }

    /// Records that the report of a window was accepted or dropped.
    pub fn mark_settled(&mut self, window: WindowIndex) {
        self.decided.retain(|report| report.window != window);
    }
}
