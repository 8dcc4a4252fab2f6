//! Maintains the store's list of hosts, by which a starting host that can't reach its seeds finds
//! the others. One entry is enough, since hosts tell each other of all hosts, so only the host that
//! feeds the others lists itself. The entry also tells hosts that start later from which revision on
//! the configuration of a restored store is complete.

use {
    super::{Follower, StoreCallFailure},
    crate::{edge::Revision, feed::FeederChoice},
    std::time::Duration,
    tealshore_core::{clock, spread::with_jitter},
    tokio::time::sleep,
};

/// How often a host checks whether it has to be listed. By the first check, starting hosts have
/// received each other's messages by way of their seeds.
const LISTING_INTERVAL: Duration = Duration::from_millis(700);
/// How often a starting host checks whether it knows the sets, and whether the configuration is
/// complete.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of times the interval is doubled while a host is alone.
const MAX_DOUBLINGS: u32 = 4;

/// What this host last did with the list.
#[derive(Default)]
struct Listing {
    /// The recovery point in this host's entry; `None` if the store may lack the entry.
    listed_point: Option<Revision>,
    /// How often the interval was doubled.
    doublings: u32,
    /// Checks since this host last listed itself.
    checks: u32,
}

impl Follower {
    /// Lists this host while it feeds others and then reads the other listed hosts. A host that is
    /// alone repeats this at growing intervals.
    pub(super) async fn maintain_hosts(&mut self) {
        self.read_recovery_point().await;
        let mut listing = Listing::default();
        loop {
            sleep(with_jitter(LISTING_INTERVAL)).await;
            if self.may_lack_own_rows() {
                listing.listed_point = None;
            }
            if let Err(failure) = self.list_if_due(&mut listing).await {
                self.pause_after(&failure).await;
            }
        }
    }

    /// Reads the list at the start of this process if the store was restored and the configuration is
    /// not known to be complete. It is read before this host overwrites its own entry, which its
    /// previous process may have written. One host reads it for all.
    async fn read_recovery_point(&mut self) {
        loop {
            sleep(with_jitter(START_CHECK_INTERVAL)).await;
            let feed = &self.state.feed;
            if feed.watermark().is_none() {
                continue;
            }
            if feed.is_configuration_complete() {
                return;
            }
            let now = clock::now();
            if self.state.peers.is_alone(now) || self.state.feeder(now) == FeederChoice::ThisHost {
                match self.read_full_set().await {
                    Ok(()) => return,
                    Err(failure) => self.pause_after(&failure).await,
                }
            }
        }
    }

    async fn list_if_due(&mut self, listing: &mut Listing) -> Result<(), StoreCallFailure> {
        let now = clock::now();
        let is_alone = self.state.peers.is_alone(now);
        let is_feeder = self.state.feeder(now) == FeederChoice::ThisHost;
        let point = self.state.feed.recovery_point();
        listing.checks += 1;
        let is_repeated = is_alone && listing.checks >= 1 << listing.doublings;
        let has_changed = (is_alone || is_feeder) && listing.listed_point != Some(point);
        if !is_repeated && !has_changed {
            return Ok(());
        }
        self.register_and_read(point).await?;
        listing.listed_point = Some(point);
        listing.checks = 0;
        listing.doublings = if is_alone {
            (listing.doublings + 1).min(MAX_DOUBLINGS)
        } else {
            0
        };
        Ok(())
    }

    /// Writes this host's row and reads the rows of the other hosts.
    async fn register_and_read(&mut self, point: Revision) -> Result<(), StoreCallFailure> {
        let own = self.state.peers.own_record(point);
        self.write(self.state.protocol.write_host_call(&own))
            .await?;
        self.read_full_set().await
    }
}
