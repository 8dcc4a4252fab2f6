//! Stores where streams run, since the hosts lose this information if all of them lose power. In each
//! group the host that feeds the others writes the row.

use {
    super::Follower,
    crate::feed::FeederChoice,
    std::time::{Duration, Instant},
    tealshore_core::clock,
    tealshore_runs::RunTrace,
    tokio::time::sleep,
};

/// Interval between writes while the runs change. Engines hold copies for only a few seconds, and streams
/// do not last much longer.
const RUNS_WRITE_INTERVAL: Duration = Duration::from_millis(700);
/// How often a starting host checks whether another host knows where streams ran.
const RUNS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The row key if there are no groups.
const ALL_HOSTS_ROW: &str = "all";

impl Follower {
    /// Restores where streams ran before this host started. Then stores where they run, while this host
    /// writes for its group.
    pub(super) async fn maintain_runs(&mut self) {
        self.restore_runs().await;
        // The first write does not wait for a run: a starting host tells from the row that the system ran before.
        let mut written: Option<Vec<RunTrace>> = None;
        loop {
            sleep(RUNS_WRITE_INTERVAL).await;
            if self.may_lack_own_rows() {
                written = None;
            }
            let now = clock::now();
            if !self.writes_for_group(now) {
                continue;
            }
            let running = self.state.runs.log.lock().running_in_group(now);
            let has_change = written
                .as_ref()
                .is_none_or(|written| running.iter().any(|run| !written.contains(&run.trace)));
            if !has_change {
                continue;
            }
            let group = self.group_row_key();
            let request = self.state.protocol.write_runs_call(&group, &running);
            match self.write(request).await {
                Ok(()) => {
                    self.record_recovery();
                    written = Some(running.into_iter().map(|run| run.trace).collect());
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Whether this host writes for its group: it is the group's relay or, without groups, has no feeder.
    pub(super) fn writes_for_group(&self, now: Instant) -> bool {
        let is_fed = matches!(self.state.feeder(now), FeederChoice::Peer(..));
        let writes = if self.state.peers.is_grouped() {
            self.state.peers.is_relay(now)
        } else {
            !is_fed
        };
        // During an outage no host feeds others, so all of them would attempt to write.
        writes && self.state.feed.reaches_store()
    }

    /// The key of the group's row.
    pub(super) fn group_row_key(&self) -> String {
        self.state.peers.group().unwrap_or(ALL_HOSTS_ROW).to_owned()
    }

    /// Restores where streams ran before this host started: from another host or, if no host knows, from
    /// the store. At the first start of the whole system there are no runs.
    async fn restore_runs(&mut self) {
        if !self.state.options.host.is_first_start {
            self.load_earlier_runs().await;
        }
        self.state.runs.mark_restored();
    }

    async fn load_earlier_runs(&mut self) {
        let started = clock::now();
        while clock::elapsed(started) < self.start_timeout(clock::now()) {
            if self.read_runs_from_peers().await {
                return;
            }
            sleep(RUNS_POLL_INTERVAL).await;
        }
        while let Err(failure) = self.read_full_set().await {
            self.pause_after(&failure).await;
        }
    }
}
