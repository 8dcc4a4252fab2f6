//! Stores the runs of callers who asked for the same as others, before such a caller has an event.
//!
//! If all hosts are lost, the store alone can tell that a run which it holds may not be the only one of its content.

use {
    super::Follower,
    std::{collections::HashSet, time::Duration},
    tealshore_core::{
        clock,
        ids::{HostId, RequestId},
    },
    tokio::time::sleep,
};

/// How often the log is searched for runs that became ambiguous by the reports of other hosts.
const AMBIGUITY_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Pause of each host between two writes, for each host of the fleet: all hosts together write at this rate.
const WRITE_PAUSE_PER_HOST: Duration = Duration::from_millis(5);
/// Longest pause of a host between two writes.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(250);

/// The key of a host's row, which differs from the keys of groups.
fn row_key(host: &HostId) -> String {
    format!("host/{host}")
}

impl Follower {
    /// Stores the ambiguous runs whenever there are new ones.
    pub(super) async fn store_ambiguous_runs(&mut self) {
        let key = row_key(&self.state.options.host.id);
        let mut stored: HashSet<RequestId> = HashSet::new();
        loop {
            let runs = &self.state.runs;
            runs.wait_ambiguity(AMBIGUITY_POLL_INTERVAL).await;
            if self.may_lack_own_rows() {
                stored.clear();
            }
            let began = clock::now();
            let ambiguous = self.state.runs.log.lock().ambiguous(began);
            let attempts = ambiguous.iter().map(|run| run.trace.request.clone());
            let attempts: HashSet<RequestId> = attempts.collect();
            if attempts.is_subset(&stored) {
                continue;
            }
            let request = self.state.protocol.write_runs_call(&key, &ambiguous);
            match self.write(request).await {
                Ok(()) => {
                    self.record_recovery();
                    log::info!(
                        "runs: ambiguous runs stored runs={} new={} took_ms={}",
                        attempts.len(),
                        attempts.difference(&stored).count(),
                        clock::elapsed(began).as_millis()
                    );
                    stored.clone_from(&attempts);
                    self.state.runs.record_stored(attempts);
                }
                Err(failure) => {
                    self.pause_after(&failure).await;
                    self.state.runs.report_ambiguity();
                }
            }
            sleep(self.write_pause()).await;
        }
    }

    fn write_pause(&self) -> Duration {
        let hosts = self.state.peers.max_known_hosts();
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        WRITE_PAUSE_PER_HOST
            .saturating_mul(hosts)
            .min(MAX_WRITE_PAUSE)
    }
}
