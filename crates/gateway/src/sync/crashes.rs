//! Stores which requests crash upstreams, so that the information survives the loss of all hosts. In each group the
//! host that feeds the others writes the row.

use {
    super::Follower,
    std::time::{Duration, Instant},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
    tokio::time::sleep,
};

/// Interval between writes while the reports change. A request that crashes upstreams does so about once a second.
const CRASHES_WRITE_INTERVAL: Duration = Duration::from_millis(700);
/// How often a starting host checks whether another host has sent the reports.
const CRASHES_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Follower {
    /// Restores the reports from before this host started. Then stores the current ones while this host writes for
    /// its group.
    pub(super) async fn maintain_crashes(&mut self) {
        self.restore_crashes().await;
        let mut written: Vec<(u64, UpdateSize)> = Vec::new();
        loop {
            sleep(CRASHES_WRITE_INTERVAL).await;
            if self.may_lack_own_rows() {
                written.clear();
            }
            let now = Instant::now();
            let suspects = self.state.crashes.suspects(now);
            let sizes = report_sizes(&suspects);
            let store_time = self.state.feed.store_time(now);
            let (Some(store_time), true) = (store_time, sizes != written) else {
                continue;
            };
            if !self.writes_for_group(now) {
                continue;
            }
            let group = self.group_row_key();
            let protocol = &self.state.protocol;
            let request = protocol.write_crashes_call(&group, &suspects, store_time);
            match self.write(request).await {
                Ok(()) => {
                    self.record_recovery();
                    log::info!(
                        "quarantine: crash reports stored requests={}",
                        suspects.len()
                    );
                    written = sizes;
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Restores the reports from before this host started: from another host or, if no host has them, from the
    /// store. At the first start of the whole system there are none.
    async fn restore_crashes(&mut self) {
        if self.state.options.host.is_first_start {
            self.state.crashes.mark_restored();
            return;
        }
        self.load_earlier_crashes().await;
        self.state.crashes.mark_restored();
        // Starting hosts wait for a host that has the reports.
        self.state.peers.wake_sender();
    }

    async fn load_earlier_crashes(&mut self) {
        let started = Instant::now();
        while started.elapsed() < self.start_timeout(Instant::now()) {
            // A host that has the reports sends them with its state.
            if self.state.crashes.is_restored() {
                return;
            }
            sleep(CRASHES_POLL_INTERVAL).await;
        }
        while let Err(failure) = self.read_full_set().await {
            if self.state.crashes.is_restored() {
                return;
            }
            self.pause_after(&failure).await;
        }
    }
}

fn report_sizes(suspects: &[CrashUpdate]) -> Vec<(u64, UpdateSize)> {
    let mut sizes: Vec<_> = suspects
        .iter()
        .map(|update| (update.request, update.size()))
        .collect();
    sizes.sort_unstable();
    sizes
}
