//! Keeps the store's list of hosts: a host that starts and can't reach its seeds finds the others
//! by it. One of them is enough, since hosts tell each other of all; so only the host that feeds
//! the others lists itself.

use {
    super::{CallFailure, Follower},
    crate::feed::FeederChoice,
    std::time::{Duration, Instant},
    tealshore_core::spread::with_jitter,
    tokio::time::sleep,
};

/// How often a host looks whether it is to be listed: by then hosts that start have heard each
/// other by their seeds.
const HOSTS_INTERVAL: Duration = Duration::from_millis(700);
/// How many times the interval is doubled, at most, while a host is alone.
const MOST_DOUBLINGS: u32 = 4;

impl Follower {
    /// Lists this host while it feeds others, and reads who else is listed then; a host that is
    /// alone looks again and again.
    pub(super) async fn keep_hosts(&mut self) {
        let mut is_listed = false;
        let mut looks_alone = 0;
        loop {
            sleep(with_jitter(HOSTS_INTERVAL * (1 << looks_alone))).await;
            if self.may_lack_own_rows() {
                is_listed = false;
            }
            let now = Instant::now();
            let is_alone = self.state.peers.is_alone(now);
            let feeds = self.state.feeder(now) == FeederChoice::Itself;
            let is_due = is_alone || (feeds && !is_listed);
            if !is_due {
                continue;
            }
            match self.list_and_look().await {
                Ok(()) => {
                    is_listed = true;
                    looks_alone = if is_alone {
                        (looks_alone + 1).min(MOST_DOUBLINGS)
                    } else {
                        0
                    };
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Writes this host's row and reads those of the others.
    async fn list_and_look(&mut self) -> Result<(), CallFailure> {
        let own = self.state.peers.own_record();
        self.write(self.state.protocol.write_host_call(&own))
            .await?;
        self.read_full_set().await
    }
}
