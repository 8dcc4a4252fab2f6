//! Resource usage of processes and of the loopback interface, read from `/proc`.

use {
    eyre::{WrapErr, eyre},
    std::{fs, time::Duration},
};

/// The unit of CPU time in `/proc`: USER_HZ, which Linux fixes at 100 for user space.
const TICK: Duration = Duration::from_millis(10);
/// The page size, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time in user and kernel mode.
    pub cpu: Duration,
    /// CPU time in kernel mode.
    pub kernel: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
}

/// Reads the resource usage of a process.
///
/// # Errors
/// Fails if the process no longer exists.
pub fn usage_of(pid: i32) -> eyre::Result<Usage> {
    let stat =
        fs::read_to_string(format!("/proc/{pid}/stat")).wrap_err("the process no longer exists")?;
    // The program name, in parentheses, may contain spaces; the fields after it don't.
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

/// Returns the bytes received on the loopback interface since the machine started, including headers.
///
/// # Errors
/// Fails if `/proc/net/dev` can't be read or has no such count.
pub fn loopback_bytes() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let line = line.ok_or_else(|| eyre!("/proc/net/dev lists no loopback interface"))?;
    line.split_whitespace()
        .next()
        .and_then(|bytes| bytes.parse().ok())
        .ok_or_else(|| eyre!("/proc/net/dev has no byte count for the loopback interface"))
}
