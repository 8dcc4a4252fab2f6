//! Logging never blocks, and a flood of informational lines does not suppress warnings.

use {
    logforth::record::Level,
    parking_lot::Mutex,
    std::{
        io::Write,
        sync::{
            Arc,
            mpsc::{Receiver, channel},
        },
        time::Duration,
    },
    tealshore_core::logs::{BoundedOutput, LineBudget},
};

const WAIT: Duration = Duration::from_secs(20);

/// An output whose reader has stalled: a write does not return.
struct StalledReader(Receiver<()>);

impl Write for StalledReader {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        // Blocks until the test ends.
        let _ = self.0.recv();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<String>>);

impl Write for CapturedOutput {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8_lossy(buffer);
        self.0.lock().push_str(&text);
        Ok(buffer.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl CapturedOutput {
    fn wait_for(&self, wanted: &str) -> String {
        let began = std::time::Instant::now();
        loop {
            let text = self.0.lock().clone();
            if text.contains(wanted) {
                return text;
            }
            assert!(
                began.elapsed() < WAIT,
                "{wanted:?} was not written within {WAIT:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// An output that writes one line for each message, and all once the sender is gone.
struct SlowReader(StalledReader, CapturedOutput);
impl Write for SlowReader {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.write(buffer)?;
        self.1.write(buffer)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    let (_keep, stopped) = channel();
    let budget = LineBudget {
        info_per_s: 1_000_000,
        warn_per_s: 1_000_000,
    };
    let output = BoundedOutput::start(budget, StalledReader(stopped));
    let (done, ended) = channel();
    std::thread::spawn(move || {
        for line in 0..20_000 {
            output.write_line(Level::Info, format!("line {line}\n"));
        }
        done.send(()).unwrap();
    });
    ended.recv_timeout(WAIT).expect("write_line blocked");
}

#[test]
fn lines_over_budget_are_counted_and_warnings_are_still_written() {
    const LINES: usize = 100;
    let collected = CapturedOutput::default();
    let budget = LineBudget {
        info_per_s: 1,
        warn_per_s: 1_000,
    };
    let output = BoundedOutput::start(budget, collected.clone());
    for line in 0..LINES {
        output.write_line(Level::Info, format!("good {line}\n"));
    }
    output.write_line(Level::Warn, "bad\n".to_owned());
    output.write_line(Level::Warn, "last\n".to_owned());
    let text = collected.wait_for("last\n");
    assert!(text.contains("bad\n"));
    let written = text.matches("good").count();
    let dropped: usize = text
        .lines()
        .filter_map(|line| line.split("count=").nth(1)?.parse::<usize>().ok())
        .sum();
    assert!(dropped > 0, "{text}");
    assert_eq!(written + dropped, LINES, "{text}");
}

#[test]
fn urgent_lines_are_written_although_ordinary_ones_fill_the_queue() {
    let (release, stopped) = channel();
    let collected = CapturedOutput::default();
    let budget = LineBudget {
        info_per_s: 1_000_000,
        warn_per_s: 1_000_000,
    };
    let reader = SlowReader(StalledReader(stopped), collected.clone());
    let output = BoundedOutput::start(budget, reader);
    for line in 0..20_000 {
        output.write_line(Level::Info, format!("line {line}\n"));
    }
    output.write_urgent_line("urgent\n".to_owned());
    assert!(!output.wait_until_written(), "the reader stands still");
    // Two lines are read: the one that was being written, and the next.
    release.send(()).unwrap();
    release.send(()).unwrap();
    assert!(collected.wait_for("urgent\n").lines().count() <= 2);
    drop(release);
    assert!(output.wait_until_written());
    let text = collected.0.lock().clone();
    assert!(text.lines().count() > 500, "{text}");
}
