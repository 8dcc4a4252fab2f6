//! Writes log lines to an output without ever blocking the caller.
//!
//! Lines pass through bounded queues to a writer thread. A line that exceeds the rate limit of its
//! level or finds its queue full is dropped and counted; the count is logged later. Urgent lines have
//! a queue of their own, which is written first, and no rate limit.

use {
    crate::clock,
    logforth::{
        Append, Diagnostic, Error,
        record::{Level, Record},
    },
    std::{
        collections::VecDeque,
        fmt,
        io::Write,
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

/// The target of urgent records. Their number must be bounded by what they report.
pub const URGENT_TARGET: &str = "urgent";

/// The capacity of each queue in front of the writer thread.
const QUEUE_LINES: usize = 512;
/// The longest wait of a flush. A reader that stands still must not hold up the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
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

/// The lines that wait for the writer thread.
#[derive(Default)]
struct Queues {
    urgent: VecDeque<String>,
    ordinary: VecDeque<String>,
    /// Whether the writer thread has taken a line that is not written yet.
    is_writing: bool,
    /// Whether no further line will come.
    is_closed: bool,
}

impl Queues {
    fn next(&mut self) -> Option<String> {
        self.urgent
            .pop_front()
            .or_else(|| self.ordinary.pop_front())
    }

    fn is_written(&self) -> bool {
        self.urgent.is_empty() && self.ordinary.is_empty() && !self.is_writing
    }
}

/// The queues, and signals between the threads that use them.
#[derive(Default)]
struct Shared {
    queues: Mutex<Queues>,
    has_lines: Condvar,
    is_written: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        // Each change of the queues is complete in itself.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line. Returns whether there was room.
    fn push(&self, line: String, is_urgent: bool) -> bool {
        let mut queues = self.lock();
        let queue = if is_urgent {
            &mut queues.urgent
        } else {
            &mut queues.ordinary
        };
        if queue.len() >= QUEUE_LINES {
            return false;
        }
        queue.push_back(line);
        drop(queues);
        self.has_lines.notify_one();
        true
    }

    /// Waits for the next line to write; `None` if no further one will come.
    fn wait_for_next(&self) -> Option<String> {
        let mut queues = self.lock();
        queues.is_writing = false;
        loop {
            if let Some(line) = queues.next() {
                queues.is_writing = true;
                return Some(line);
            }
            self.is_written.notify_all();
            if queues.is_closed {
                return None;
            }
            let waited = self.has_lines.wait(queues);
            queues = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// A log appender that never blocks.
pub struct BoundedOutput {
    shared: Arc<Shared>,
    budget: LineBudget,
    window: Mutex<BudgetWindow>,
    dropped: AtomicU64,
}

impl BoundedOutput {
    /// Starts a thread that writes the lines to `output`, and returns the appender that feeds it.
    pub fn start(budget: LineBudget, output: impl Write + Send + 'static) -> Self {
        let shared = Arc::<Shared>::default();
        let written = shared.clone();
        std::thread::spawn(move || write_lines(&written, output));
        Self {
            shared,
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
        if !self.is_within_budget(level) || !self.shared.push(line, false) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.shared.push(dropped_line(dropped), false) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }

    /// Queues a line that is written before all ordinary ones, or drops and counts it.
    pub fn write_urgent_line(&self, line: String) {
        if !self.shared.push(line, true) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for a short time until all lines are written. Returns whether they are.
    pub fn wait_until_written(&self) -> bool {
        let queues = self.shared.lock();
        let is_unwritten = |queues: &mut Queues| !queues.is_written();
        let waited = self
            .shared
            .is_written
            .wait_timeout_while(queues, FLUSH_TIMEOUT, is_unwritten);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
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

fn write_lines(shared: &Shared, mut output: impl Write) {
    while let Some(line) = shared.wait_for_next() {
        // A closed output must not stop the service, so write errors are ignored.
        let _ = output.write_all(line.as_bytes());
        let _ = output.flush();
    }
}

impl Drop for BoundedOutput {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.has_lines.notify_one();
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
        if record.target() == URGENT_TARGET {
            self.write_urgent_line(line);
        } else {
            self.write_line(record.level(), line);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        // A reader that stands still is no error of the process.
        self.wait_until_written();
        Ok(())
    }
}
