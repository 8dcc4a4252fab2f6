//! Writes log lines to standard output without ever blocking the caller.
//!
//! Lines pass a bounded queue to a thread that writes them. What exceeds the budget of its
//! level or finds the queue full is left out and counted; the count is written later.

use {
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

/// How many lines wait for the writer.
const QUEUE_LINES: usize = 512;
/// The span over which a budget is counted.
const BUDGET_SPAN: Duration = Duration::from_secs(1);

/// How many lines a second each kind of line may have, so that good news never crowds out bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineBudget {
    /// Lines of level info and below, a second.
    pub info_per_s: u32,
    /// Lines of level warn and above, a second.
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

struct Span {
    began: Instant,
    info: u32,
    warn: u32,
}

/// An appender that never blocks.
pub struct BoundedOutput {
    queue: SyncSender<String>,
    budget: LineBudget,
    span: Mutex<Span>,
    left_out: AtomicU64,
}

impl BoundedOutput {
    /// An appender whose lines a thread of its own writes to `output`.
    pub fn start(budget: LineBudget, output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&lines, output));
        Self {
            queue,
            budget,
            span: Mutex::new(Span {
                began: Instant::now(),
                info: 0,
                warn: 0,
            }),
            left_out: AtomicU64::new(0),
        }
    }

    /// Queues a line, or counts it as left out.
    pub fn write_line(&self, level: Level, line: String) {
        if !self.is_within_budget(level) || self.queue.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 && self.queue.try_send(left_out_line(left_out)).is_err() {
            self.left_out.fetch_add(left_out, Ordering::Relaxed);
        }
    }

    fn is_within_budget(&self, level: Level) -> bool {
        let Ok(mut span) = self.span.lock() else {
            return false;
        };
        if span.began.elapsed() >= BUDGET_SPAN {
            *span = Span {
                began: Instant::now(),
                info: 0,
                warn: 0,
            };
        }
        let is_warn = level >= Level::Warn;
        let (used, bound) = if is_warn {
            (&mut span.warn, self.budget.warn_per_s)
        } else {
            (&mut span.info, self.budget.info_per_s)
        };
        *used += 1;
        *used <= bound
    }
}

fn left_out_line(count: u64) -> String {
    format!("level=WARN logs: lines left out count={count}\n")
}

fn write_lines(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        // Where nobody reads the log, serving goes on without it.
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
