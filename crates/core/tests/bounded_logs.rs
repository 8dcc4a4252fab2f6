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
struct StoppedReader(Receiver<()>);

impl Write for StoppedReader {
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
struct Collected(Arc<Mutex<String>>);

impl Write for Collected {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8_lossy(buffer);
        self.0.lock().push_str(&text);
        Ok(buffer.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Collected {
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

#[test]
fn a_reader_that_has_stopped_blocks_nobody() {
    let (_keep, stopped) = channel();
    let budget = LineBudget {
        info_per_s: 1_000_000,
        warn_per_s: 1_000_000,
    };
    let output = BoundedOutput::start(budget, StoppedReader(stopped));
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
fn lines_past_the_budget_are_counted_and_warnings_still_come() {
    const LINES: usize = 100;
    let collected = Collected::default();
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
    let left_out: usize = text
        .lines()
        .filter_map(|line| line.split("count=").nth(1)?.parse::<usize>().ok())
        .sum();
    assert!(left_out > 0, "{text}");
    assert_eq!(written + left_out, LINES, "{text}");
}
