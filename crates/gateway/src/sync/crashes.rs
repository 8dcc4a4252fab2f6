//! Stores which requests and parts of prompts crash upstreams, so that the information survives the loss of all hosts. In each group the
//! host that feeds the others writes the row.

use {
    super::Follower,
    crate::edge::StoredCrashes,
    std::time::Duration,
    tealshore_core::{clock, ids::Fingerprint},
    tealshore_quarantine::{
        news::{CrashUpdate, UpdateSize},
        parts::{RunId, news::PartCrashReport},
    },
    tokio::time::{sleep, timeout},
};

/// Interval between writes while the reports change. A request that crashes upstreams does so about once a second.
const CRASHES_WRITE_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum interval between writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How often a starting host checks whether another host has sent the reports.
const CRASHES_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Follower {
    /// Restores the reports from before this host started. Then stores the current ones while this host writes for
    /// its group.
    pub(super) async fn maintain_crashes(&mut self) {
        self.restore_crashes().await;
        let mut written = WrittenSizes::default();
        loop {
            self.wait_for_write().await;
            if self.may_lack_own_rows() {
                written = WrittenSizes::default();
            }
            let now = clock::now();
            let crashes = &self.state.crashes;
            let (requests, parts) = (crashes.suspects(now), crashes.suspicious_part_reports(now));
            let sizes = WrittenSizes::of(&requests, &parts);
            let store_time = self.state.feed.store_time(now);
            let (Some(store_time), true) = (store_time, sizes != written) else {
                continue;
            };
            if !self.writes_for_group(now) {
                continue;
            }
            let stored = StoredCrashes {
                written: store_time,
                requests,
                parts,
            };
            let group = self.group_row_key();
            let request = self.state.protocol.write_crashes_call(&group, &stored);
            match self.write(request).await {
                Ok(()) => {
                    self.record_recovery();
                    log::info!(
                        "quarantine: crash reports stored requests={} parts={}",
                        stored.requests.len(),
                        stored.parts.len()
                    );
                    written = sizes;
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Waits until reports are written again: less long if they concern parts of prompts, as many requests may have
    /// them after all hosts have restarted.
    async fn wait_for_write(&self) {
        sleep(MIN_WRITE_INTERVAL).await;
        let parts_changed = self.state.crashes.parts_changed.notified();
        let _ = timeout(CRASHES_WRITE_INTERVAL - MIN_WRITE_INTERVAL, parts_changed).await;
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
        let started = clock::now();
        while clock::elapsed(started) < self.start_timeout(clock::now()) {
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

/// How much the written reports hold, to detect whether there is more.
#[derive(Default, PartialEq, Eq)]
struct WrittenSizes {
    requests: Vec<(Fingerprint, UpdateSize)>,
    /// The number of possible causes of each crash.
    parts: Vec<(RunId, usize)>,
}

impl WrittenSizes {
    fn of(requests: &[CrashUpdate], parts: &[PartCrashReport]) -> Self {
        let requests = requests.iter();
        let requests = requests.map(|update| (update.request, update.size()));
        let parts = parts.iter();
        let parts = parts.map(|report| (report.run, report.causes.len()));
        let mut sizes = Self {
            requests: requests.collect(),
            parts: parts.collect(),
        };
        sizes.requests.sort_unstable();
        sizes.parts.sort_unstable();
        sizes
    }
}
