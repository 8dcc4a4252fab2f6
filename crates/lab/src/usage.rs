//! What processes use, by the operating system's own accounts.

use {
    eyre::{WrapErr, eyre},
    std::{fs, time::Duration},
};

/// The unit of processor time in `/proc` (USER_HZ, which Linux fixes at 100 for programs).
const TICK: Duration = Duration::from_millis(10);
/// The unit of memory in `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, its own and the kernel's for it.
    pub cpu: Duration,
    /// The kernel's part of it.
    pub kernel: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
}

/// Reads what a process has used.
///
/// # Errors
/// The process is gone.
pub fn usage_of(pid: i32) -> eyre::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("process is gone")?;
    // The name may hold spaces; the fields after its parenthesis do not.
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u32>().ok())
            .unwrap_or(0)
    };
    let statm = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: u64 = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    Ok(Usage {
        cpu: TICK * (ticks(11) + ticks(12)),
        kernel: TICK * ticks(12),
        resident_bytes: pages * PAGE_BYTES,
    })
}

/// Bytes that went over the loopback interface since the machine started, with all headers.
///
/// # Errors
/// The kernel does not tell.
pub fn loopback_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let line = line.ok_or_else(|| eyre!("no loopback interface"))?;
    line.split_whitespace()
        .next()
        .and_then(|bytes| bytes.parse().ok())
        .ok_or_else(|| eyre!("no count of bytes"))
}
