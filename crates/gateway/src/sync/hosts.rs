//! Maintains the store's list of hosts, by which a starting host that can't reach its seeds finds
//! the others. One entry is enough, since hosts tell each other of all hosts, so only the host that
//! feeds the others lists itself.

use {
    super::{Follower, StoreCallFailure},
    crate::feed::FeederChoice,
    std::time::Duration,
    tealshore_core::{clock, spread::with_jitter},
    tokio::time::sleep,
};

/// How often a host checks whether it has to be listed. By the first check, starting hosts have
/// received each other's messages by way of their seeds.
const LISTING_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of times the interval is doubled while a host is alone.
const MAX_DOUBLINGS: u32 = 4;

impl Follower {
    /// Lists this host while it feeds others and then reads the other listed hosts. A host that is
    /// alone repeats this at growing intervals.
    pub(super) async fn maintain_hosts(&mut self) {
        let mut is_listed = false;
        let mut doublings = 0;
        loop {
            sleep(with_jitter(LISTING_INTERVAL * (1 << doublings))).await;
            if self.may_lack_own_rows() {
                is_listed = false;
            }
            let now = clock::now();
            let is_alone = self.state.peers.is_alone(now);
            let is_feeder = self.state.feeder(now) == FeederChoice::ThisHost;
            let is_due = is_alone || (is_feeder && !is_listed);
            if !is_due {
                continue;
            }
            match self.register_and_read().await {
                Ok(()) => {
                    is_listed = true;
                    doublings = if is_alone {
                        (doublings + 1).min(MAX_DOUBLINGS)
                    } else {
                        0
                    };
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Writes this host's row and reads the rows of the other hosts.
    async fn register_and_read(&mut self) -> Result<(), StoreCallFailure> {
        let own = self.state.peers.own_record();
        self.write(self.state.protocol.write_host_call(&own))
            .await?;
        self.read_full_set().await
    }
}
