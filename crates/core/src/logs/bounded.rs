//! Writes log lines to an output without ever blocking the caller.
//!
//! Lines pass through a bounded queue to a writer thread. A line that exceeds the rate limit of its
//! level or finds the queue full is dropped and counted; the count is logged later.

use {
    crate::clock,
    logforth::{
        Append, Diagnostic, Error,
        record::{Level, Record},
    },
    std::{
        fmt,
        io::Write,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

/// The capacity of the queue in front of the writer thread.
const QUEUE_LINES: usize = 512;
/// The length of the window over which lines are counted against the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// The rate limits of log lines. Warnings have a limit of their own, so that a flood of
/// informational lines can't crowd them out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineBudget {
    /// The maximum number of lines per second of level info and below.
    pub info_per_s: u32,
    /// The maximum number of lines per second of level warn and above.
    pub warn_per_s: u32,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            info_per_s: 200,
            warn_per_s: 200,
        }
    }
}

struct BudgetWindow {
    started_at: Instant,
    info: u32,
    warn: u32,
}

/// A log appender that never blocks.
pub struct BoundedOutput {
    queue: SyncSender<String>,
    budget: LineBudget,
    window: Mutex<BudgetWindow>,
    dropped: AtomicU64,
}

impl BoundedOutput {
    /// Starts a thread that writes the lines to `output`, and returns the appender that feeds it.
    pub fn start(budget: LineBudget, output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&lines, output));
        Self {
            queue,
            budget,
            window: Mutex::new(BudgetWindow {
                started_at: clock::now(),
                info: 0,
                warn: 0,
            }),
            dropped: AtomicU64::new(0),
        }
    }

    /// Queues a line, or drops and counts it.
    pub fn write_line(&self, level: Level, line: String) {
        if !self.is_within_budget(level) || self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && self.queue.try_send(dropped_line(dropped)).is_err() {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }

    fn is_within_budget(&self, level: Level) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return false;
        };
        if clock::elapsed(window.started_at) >= BUDGET_WINDOW {
            *window = BudgetWindow {
                started_at: clock::now(),
                info: 0,
                warn: 0,
            };
        }
        let is_warn = level >= Level::Warn;
        let (used, bound) = if is_warn {
            (&mut window.warn, self.budget.warn_per_s)
        } else {
            (&mut window.info, self.budget.info_per_s)
        };
        *used += 1;
        *used <= bound
    }
}

fn dropped_line(count: u64) -> String {
    format!("level=WARN logs: lines dropped count={count}\n")
}

fn write_lines(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        // A closed output must not stop the service, so write errors are ignored.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
    }
}

impl fmt::Debug for BoundedOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedOutput").finish_non_exhaustive()
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let since_epoch = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!(
            "time={}.{:03} level={} {}\n",
            since_epoch.as_secs(),
            since_epoch.subsec_millis(),
            record.level().name(),
            record.payload()
        );
        self.write_line(record.level(), line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
