//! Follows a set of rows, either by the watermark of the host that feeds this one or by watching the store.

use {
    super::{
        Follower, StoreCallFailure,
        apply::{ConfigurationSource, LogRows},
    },
    crate::{
        edge::{Change, Revision, RowSet, era_of, row_number_of},
        feed::{FeederChoice, SetWatermark, UpstreamDelta},
        peers::SourceScope,
        view::ViewSource,
    },
    std::time::{Duration, Instant},
    tealshore_core::{
        clock,
        ids::HostId,
        protection::{Protection, enabled},
        spread::with_jitter,
    },
    tokio::time::sleep,
};

/// How long a watch waits for changes if other hosts may rely on this host. The end of each watch shows them
/// that the feeder still reaches the store.
const SHARED_WATCH_TIME: Duration = Duration::from_millis(500);
/// How much longer than that the store may take to answer if other hosts rely on this host.
const SHARED_WATCH_MARGIN: Duration = Duration::from_millis(800);
/// Delay after a change, so that further changes are returned by the same call.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Delay after a change for a host that reads changes itself when its feeder's watermark advances. It is
/// longer, since all other hosts read the changes as well.
const SHARED_BATCH_DELAY: Duration = Duration::from_millis(500);
/// How often the host that ranks second polls the store while its feeder is silent.
const SILENT_FEEDER_INTERVAL: Duration = Duration::from_millis(300);
/// How long a host waits for the host that reads changes for its hall. Together with its own call after
/// that, the delay stays below half of the time within which a configuration has to be in force.
const HALL_READER_TIMEOUT: Duration = Duration::from_millis(700);
/// How often that host is checked for the change; about the duration of its call.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// How long a host that has just read a set waits for a feeder. This is less than half of the time within
/// which a leaving upstream has to stop receiving new work.
const FEEDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Changes forwarded by a feeder may arrive this much later than its watermark.
const DELTA_DELAY: Duration = Duration::from_millis(40);

/// Where a set is updated from.
pub(super) enum Source {
    /// The store.
    Store,
    /// A feeder, but changes were missed and have to be read.
    Behind,
    /// A feeder that has been silent for a while, but not long enough for the other hosts to stop relying on
    /// it. This host polls the store meanwhile.
    FeederSilent,
    /// A feeder, without missed changes.
    Fed {
        /// The feeder.
        feeder: HostId,
        /// The feeder's watermark.
        watermark: SetWatermark,
        /// A time at which the watermark was current.
        moment: Instant,
    },
}

impl Follower {
    /// Follows the set until the process ends.
    pub(super) async fn follow(&mut self) {
        self.start_from_peers().await;
        // A set from another host is complete as of its revision; only later changes are read from the
        // store.
        let mut is_fully_read = self.known_revision() > 0;
        loop {
            // A set from an earlier era does not show what the store contains now.
            is_fully_read = is_fully_read && !self.is_from_earlier_era();
            let now = clock::now();
            if self.set == RowSet::Upstreams {
                self.state.view.upstreams.end_grace(now);
            }
            if self.set == RowSet::Configuration {
                self.adopt_reported_configuration().await;
            }
            let result = match self.source(now) {
                _ if self.must_confirm(now) => self.confirm_configuration().await,
                Source::Fed {
                    feeder,
                    watermark,
                    moment,
                } => {
                    self.follow_feeder(feeder, watermark, moment).await;
                    continue;
                }
                Source::Store if !is_fully_read => self.read_full_set().await,
                Source::Store => self.watch_and_batch().await,
                Source::FeederSilent => self.poll_store().await,
                Source::Behind => self.catch_up(is_fully_read).await,
            };
            match result {
                Ok(()) if !is_fully_read => {
                    is_fully_read = true;
                    self.await_feeder().await;
                }
                Ok(()) => {}
                Err(failure) => {
                    is_fully_read = is_fully_read && !failure.needs_full_read();
                    self.pause_after(&failure).await;
                }
            }
        }
    }

    /// Fetches the configuration of a host that reported a newer one than this host has.
    async fn adopt_reported_configuration(&mut self) {
        if let Some(source) = self.state.take_newer_configuration_source() {
            self.adopt_newer_configuration(source).await;
        }
    }

    /// Whether the configuration in force is still from an earlier era after the time that operators have to
    /// rewrite it. The store may have lost it and contain a lower version.
    fn must_confirm(&self, now: Instant) -> bool {
        let feed = &self.state.feed;
        let is_known = self.set == RowSet::Configuration && self.state.view.version() > 0;
        is_known
            && era_of(self.state.view.configuration_revision()) < feed.era()
            && self.confirmed_era != feed.era()
            && !feed.is_in_restore_grace(now)
    }

    /// Reads the store's current configuration to replace one from an earlier era.
    async fn confirm_configuration(&mut self) -> Result<(), StoreCallFailure> {
        self.read_full_set().await?;
        self.confirmed_era = self.state.feed.era();
        log::info!(
            "view: configuration re-read after store restore version={} era={}",
            self.state.view.version(),
            self.confirmed_era
        );
        Ok(())
    }

    /// Where the set is updated from at `now`.
    pub(super) fn source(&self, now: Instant) -> Source {
        let feed = &self.state.feed;
        let Some(known) = feed.progress(self.set).watermark() else {
            return Source::Store;
        };
        let FeederChoice::Peer(feeder, watermark) = self.state.feeder(now) else {
            return Source::Store;
        };
        let Some(watermark) = watermark.of(self.set) else {
            return Source::Store;
        };
        match feed.to_local_instant(watermark.written, now) {
            Some(moment) if now > moment + self.state.fed_bound(now) => Source::FeederSilent,
            Some(_) if known.revision < watermark.changed => Source::Behind,
            Some(moment) => Source::Fed {
                feeder,
                watermark,
                moment,
            },
            None => Source::Store,
        }
    }

    /// Waits for a feeder before this host starts to watch a set that it has just read. Hosts that start
    /// together receive each other's messages about 0.4 s later, once their seeds are running.
    async fn await_feeder(&mut self) {
        let until = clock::now() + FEEDER_TIMEOUT;
        loop {
            let now = clock::now();
            let is_fed = !matches!(self.source(now), Source::Store);
            let is_feeder =
                self.state.feeder(now) == FeederChoice::ThisHost && !self.state.peers.is_alone(now);
            if now >= until || is_fed || is_feeder {
                return;
            }
            let wake_at = until.min(now + POLL_INTERVAL);
            self.state.feed.wait_for_update(self.set, wake_at).await;
        }
    }

    async fn follow_feeder(&mut self, feeder: HostId, watermark: SetWatermark, moment: Instant) {
        let now = clock::now();
        let is_change = self.state.feed.advance(self.set, watermark);
        self.confirm(moment, &ViewSource::Feeder(feeder));
        if self.failures > 0 {
            self.record_recovery();
        }
        if is_change && self.state.peers.is_grouped() && self.state.peers.is_relay(now) {
            // The other hosts of the group depend on this relay for the watermark.
            self.state.peers.publish_store_progress(None);
        }
        let until = moment + self.state.fed_bound(now);
        self.state.feed.wait_for_update(self.set, until).await;
    }

    /// Obtains missed changes from another host or from the store, unless they arrive in the meantime.
    async fn catch_up(&mut self, is_fully_read: bool) -> Result<(), StoreCallFailure> {
        sleep(DELTA_DELAY).await;
        if self.catch_up_from_hall().await {
            sleep(SHARED_BATCH_DELAY).await;
            return Ok(());
        }
        if let Source::Behind = self.source(clock::now()) {
            if !is_fully_read {
                return self.read_full_set().await;
            }
            self.watch(Duration::ZERO).await?;
            // The other hosts of the hall wait for this one to have the changes.
            self.state.peers.wake_sender();
            let is_relay = self.state.peers.is_grouped() && self.state.peers.is_relay(clock::now());
            if !is_relay {
                // A relay does not delay, since its group would receive nothing in the meantime.
                sleep(SHARED_BATCH_DELAY).await;
            }
        }
        Ok(())
    }

    /// Obtains the changes from another host and returns whether it did. The source is a host of the same
    /// hall, or any host if this one can't reach the store or needs the full set. The host that reads
    /// changes for its hall does not wait for others.
    async fn catch_up_from_hall(&mut self) -> bool {
        let until = clock::now() + HALL_READER_TIMEOUT;
        loop {
            let now = clock::now();
            let is_finished = now >= until || !matches!(self.source(now), Source::Behind);
            // A full set is read by one host in total, rather than by one in each hall.
            let needs_full_set = self.is_from_earlier_era();
            if is_finished || (self.state.reads_for_hall(now) && !needs_full_set) {
                return false;
            }
            let reach = if self.state.feed.reaches_store() && !needs_full_set {
                SourceScope::OwnHall
            } else {
                SourceScope::AllHalls
            };
            if self.read_from_peers(reach).await {
                return true;
            }
            sleep(with_jitter(POLL_INTERVAL)).await;
        }
    }

    /// How long a watch waits for changes.
    fn watch_time(&self) -> Duration {
        let time = self.shorter_if_shared(SHARED_WATCH_TIME, self.state.options.store.watch);
        let max_time = self.state.feed.max_watch_time(self.set, clock::now());
        max_time.map_or(time, |max_time| time.min(max_time))
    }

    /// How much longer than that the store may take before the watch counts as silent.
    fn watch_margin(&self) -> Duration {
        self.shorter_if_shared(SHARED_WATCH_MARGIN, self.state.options.store.timeout)
    }

    /// The configured time limit, or the shorter one if other hosts may rely on this host.
    fn shorter_if_shared(&self, shared: Duration, from_settings: Duration) -> Duration {
        if self.state.peers.is_alone(clock::now()) {
            from_settings
        } else {
            shared.min(from_settings)
        }
    }

    /// Watches the set. After changes, delays the next watch so that further ones are batched.
    async fn watch_and_batch(&mut self) -> Result<(), StoreCallFailure> {
        // A host that lost its feeder, or that stood still, learns at once what it missed. It may take itself for alone
        // then, and a watch of that length would keep it from hearing its feeder.
        let wait = if !self.is_recent(clock::now()) {
            Duration::ZERO
        } else if self.has_batched {
            // The delay counts towards the watch time, so that other hosts get updates of a changing set as
            // often as of any other.
            self.watch_time().saturating_sub(BATCH_DELAY)
        } else {
            self.watch_time()
        };
        self.has_batched = self.watch(wait).await?;
        if self.has_batched {
            sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    /// Whether the set is known as of a recent time.
    fn is_recent(&self, now: Instant) -> bool {
        let feed = &self.state.feed;
        let watermark = feed.progress(self.set).watermark();
        watermark.is_none_or(|watermark| feed.is_recent(watermark.written, now))
    }

    /// Reads the set's current revision from the store without waiting for a change: the feeder may return
    /// at any time, and the group waits if this host is its relay.
    async fn poll_store(&mut self) -> Result<(), StoreCallFailure> {
        self.watch(Duration::ZERO).await?;
        let now = clock::now();
        if self.state.peers.is_grouped() && self.state.peers.is_relay(now) {
            self.state.peers.publish_store_progress(None);
        }
        let until = now + SILENT_FEEDER_INTERVAL;
        self.state.feed.wait_for_update(self.set, until).await;
        Ok(())
    }

    /// Makes one watch call, applies the changes and publishes them. Returns whether there were any.
    async fn watch(&mut self, wait: Duration) -> Result<bool, StoreCallFailure> {
        let time_limit = if enabled(Protection::WatchTimeout) {
            wait + self.watch_margin()
        } else {
            Duration::MAX / 4
        };
        let after = self.known_revision();
        if self.is_from_earlier_era() {
            return Err(StoreCallFailure::NewEra);
        }
        let protocol = &self.state.protocol;
        let request = protocol.watch_call(self.set, row_number_of(after), wait);
        let (page, written) = self.page(request, time_limit).await?;
        if era_of(page.revision) != era_of(after) {
            return Err(StoreCallFailure::NewEra);
        }
        let is_change = !page.changes.is_empty();
        let watermark = SetWatermark {
            revision: page.revision,
            changed: if is_change { page.revision } else { 0 },
            written: written.store_time,
        };
        let delta = self.upstream_delta(after, page.revision, &page.changes);
        self.apply_rows(page.changes, LogRows::Each, ConfigurationSource::Watch);
        self.state.feed.advance(self.set, watermark);
        self.confirm(written.moment, &ViewSource::Store);
        self.record_recovery();
        if self.state.feeder(clock::now()) == FeederChoice::ThisHost {
            self.state.peers.publish_store_progress(delta);
        }
        Ok(is_change)
    }

    /// The upstream changes to publish; `None` for other sets, which each host reads itself.
    fn upstream_delta(
        &self,
        after: Revision,
        revision: Revision,
        changes: &[(Revision, Change)],
    ) -> Option<UpstreamDelta> {
        if self.set != RowSet::Upstreams || changes.is_empty() {
            return None;
        }
        let changes = changes
            .iter()
            .filter_map(|(revision, change)| match change {
                Change::Upstream(change) => Some((*revision, change.clone())),
                Change::Configuration(_)
                | Change::Host(_)
                | Change::Runs(_)
                | Change::RolloutOrder(_)
                | Change::Rollout(_)
                | Change::Duties(_)
                | Change::Crashes(_)
                | Change::Unreadable(_) => None,
            });
        Some(UpstreamDelta {
            after,
            revision,
            changes: changes.collect(),
        })
    }
}
