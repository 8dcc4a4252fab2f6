//! Follows a set: by the watermark of the host that feeds this one, or else by watches of its own.

use {
    super::{CallFailure, Follower, apply::LogRows},
    crate::{
        edge::{Change, Revision, RowSet, era_of, number_of},
        feed::{FeederChoice, SetWatermark, UpstreamDelta},
        peers::Reach,
    },
    std::time::{Duration, Instant},
    tealshore_core::{
        protection::{Protection, enabled},
        spread::with_jitter,
    },
    tokio::time::sleep,
};

/// How long a watch waits for changes where other hosts may rely on it: its end shows them
/// that the feeder still reaches the store.
const SHARED_WATCH: Duration = Duration::from_millis(500);
/// How long the store may take beyond that where other hosts rely on this one.
const SHARED_PATIENCE: Duration = Duration::from_millis(800);
/// After a change, more of them are let gather for this long, so that they come by one call.
const GATHERING: Duration = Duration::from_millis(250);
/// A host that reads changes for itself, on the watermark of its feeder, lets them gather longer:
/// all others read them as well.
const SHARED_GATHERING: Duration = Duration::from_millis(500);
/// How often the host that ranks second looks at the store while its feeder is silent.
const LATE_INTERVAL: Duration = Duration::from_millis(300);
/// How long a host waits for the one that reads changes for its hall. With the
/// call of its own that follows, it stays below half of the time in which a configuration has
/// to be in force.
const HALL_PATIENCE: Duration = Duration::from_millis(700);
/// How often it looks whether that one knows the change; about the time that its call takes.
const HALL_INTERVAL: Duration = Duration::from_millis(40);
/// How long a host that has just read a set waits for a feeder. It stays below half of the time in
/// which a leaving upstream gets no new work.
const FEEDER_PATIENCE: Duration = Duration::from_millis(800);
/// Changes that a feeder sent on arrive a little later than its watermark may.
const DELTA_DELAY: Duration = Duration::from_millis(40);

/// Where a set is learned from.
pub(super) enum Source {
    /// From the store.
    Store,
    /// From a feeder, but changes were missed: the store tells them.
    Behind,
    /// From a feeder that has been silent for a while: this host looks at the store before all
    /// others would.
    Late,
    /// From a feeder, without a gap.
    Fed {
        /// How far its knowledge goes.
        watermark: SetWatermark,
        /// A moment at which this was so.
        moment: Instant,
    },
}

impl Follower {
    /// Follows the set for as long as the process lives.
    pub(super) async fn follow(&mut self) {
        self.start_from_peers().await;
        // What another host gave is all as of a version: the store is asked for what is newer.
        let mut is_whole = self.newest() > 0;
        loop {
            // A set of an earlier era says nothing of what the store has now.
            is_whole = is_whole && !self.is_of_earlier_era();
            let now = Instant::now();
            if self.set == RowSet::Upstreams {
                self.state.view.upstreams.end_grace(now);
            }
            let result = match self.source(now) {
                _ if self.must_confirm(now) => self.confirm_configuration().await,
                Source::Fed { watermark, moment } => {
                    self.be_fed(watermark, moment).await;
                    continue;
                }
                Source::Store if !is_whole => self.read_full_set().await,
                Source::Store => self.watch_and_gather().await,
                Source::Late => self.look_for_feeder().await,
                Source::Behind => self.catch_up(is_whole).await,
            };
            match result {
                Ok(()) if !is_whole => {
                    is_whole = true;
                    self.await_feeder().await;
                }
                Ok(()) => {}
                Err(failure) => {
                    is_whole = is_whole && !failure.needs_whole();
                    self.pause_after(&failure).await;
                }
            }
        }
    }

    /// Whether the configuration in force is still one of an earlier era, though operators have had the time
    /// to write it again: it may be lost, and a lower one in its place.
    fn must_confirm(&self, now: Instant) -> bool {
        let feed = &self.state.feed;
        let is_known = self.set == RowSet::Configuration && self.state.view.version() > 0;
        is_known
            && era_of(self.state.view.configuration_revision()) < feed.era()
            && self.confirmed_in != feed.era()
            && !feed.is_in_restore_grace(now)
    }

    /// Reads what the store has in place of a configuration of an earlier era.
    async fn confirm_configuration(&mut self) -> Result<(), CallFailure> {
        self.read_full_set().await?;
        self.confirmed_in = self.state.feed.era();
        log::info!(
            "view: configuration of an earlier era version={} era={}",
            self.state.view.version(),
            self.confirmed_in
        );
        Ok(())
    }

    /// Where the set is learned from now.
    pub(super) fn source(&self, now: Instant) -> Source {
        let feed = &self.state.feed;
        let Some(known) = feed.progress(self.set).watermark() else {
            return Source::Store;
        };
        let FeederChoice::Peer(_, watermark) = self.state.feeder(now) else {
            return Source::Store;
        };
        let Some(watermark) = watermark.of(self.set) else {
            return Source::Store;
        };
        match feed.moment(watermark.written, now) {
            Some(moment) if now > moment + self.state.fed_bound(now) => Source::Late,
            Some(_) if known.revision < watermark.changed => Source::Behind,
            Some(moment) => Source::Fed { watermark, moment },
            None => Source::Store,
        }
    }

    /// Waits a moment for a feeder before this host watches a set that it has just read: hosts that
    /// start together hear each other some 0.4 s later, once their seeds have started.
    async fn await_feeder(&mut self) {
        let until = Instant::now() + FEEDER_PATIENCE;
        loop {
            let now = Instant::now();
            let is_fed = !matches!(self.source(now), Source::Store);
            let feeds =
                self.state.feeder(now) == FeederChoice::Itself && !self.state.peers.is_alone(now);
            if now >= until || is_fed || feeds {
                return;
            }
            let wake_at = until.min(now + HALL_INTERVAL);
            self.state.feed.wait_for_update(self.set, wake_at).await;
        }
    }

    async fn be_fed(&mut self, watermark: SetWatermark, moment: Instant) {
        let now = Instant::now();
        let is_change = self.state.feed.advance(self.set, watermark);
        self.confirm(moment);
        if self.failures > 0 {
            self.note_regained();
        }
        if is_change && self.state.peers.is_grouped() && self.state.peers.is_relay(now) {
            // The group waits for it.
            self.state.peers.send_on(None);
        }
        let until = moment + self.state.fed_bound(now);
        self.state.feed.wait_for_update(self.set, until).await;
    }

    /// Learns the changes that were missed from another host or from the store, unless they
    /// arrive meanwhile.
    async fn catch_up(&mut self, is_whole: bool) -> Result<(), CallFailure> {
        sleep(DELTA_DELAY).await;
        if self.catch_up_from_hall().await {
            sleep(SHARED_GATHERING).await;
            return Ok(());
        }
        if let Source::Behind = self.source(Instant::now()) {
            if !is_whole {
                return self.read_full_set().await;
            }
            self.watch(Duration::ZERO).await?;
            // The other hosts of the hall wait for this one to know it.
            self.state.peers.wake_sender();
            let is_relay =
                self.state.peers.is_grouped() && self.state.peers.is_relay(Instant::now());
            if !is_relay {
                // While a relay let changes gather, its group would hear nothing from it.
                sleep(SHARED_GATHERING).await;
            }
        }
        Ok(())
    }

    /// Learns what changed from another host, of the own hall unless this host has lost the store;
    /// whether it did. The host that reads for its hall does not wait for others.
    async fn catch_up_from_hall(&mut self) -> bool {
        let until = Instant::now() + HALL_PATIENCE;
        loop {
            let now = Instant::now();
            let is_over = now >= until || !matches!(self.source(now), Source::Behind);
            // A whole set is read by one host of all, and not by one of each hall.
            let needs_full_set = self.is_of_earlier_era();
            if is_over || (self.state.reads_for_hall(now) && !needs_full_set) {
                return false;
            }
            let reach = if self.state.feed.reaches_store() && !needs_full_set {
                Reach::OwnHall
            } else {
                Reach::Everywhere
            };
            if self.learn_from_peers(reach).await {
                return true;
            }
            sleep(with_jitter(HALL_INTERVAL)).await;
        }
    }

    /// How long a watch waits for changes.
    fn watch_time(&self) -> Duration {
        self.unless_alone(SHARED_WATCH, self.state.options.store.watch)
    }

    /// How long the store may take beyond that before a watch counts as silent.
    fn patience(&self) -> Duration {
        self.unless_alone(SHARED_PATIENCE, self.state.options.store.timeout)
    }

    /// A bound of the settings, or a shorter one where other hosts may rely on this one.
    fn unless_alone(&self, shared: Duration, of_settings: Duration) -> Duration {
        if self.state.peers.is_alone(Instant::now()) {
            of_settings
        } else {
            shared.min(of_settings)
        }
    }

    /// Watches the set, and lets further changes gather after some.
    async fn watch_and_gather(&mut self) -> Result<(), CallFailure> {
        // Others hear no less often of a set that changes.
        let wait = if self.has_gathered {
            self.watch_time().saturating_sub(GATHERING)
        } else {
            self.watch_time()
        };
        self.has_gathered = self.watch(wait).await?;
        if self.has_gathered {
            sleep(GATHERING).await;
        }
        Ok(())
    }

    /// Asks the store how far the set goes, without waiting for a change: the feeder may speak
    /// again at any time, and a group that this host relays to waits.
    async fn look_for_feeder(&mut self) -> Result<(), CallFailure> {
        self.watch(Duration::ZERO).await?;
        let now = Instant::now();
        if self.state.peers.is_grouped() && self.state.peers.is_relay(now) {
            self.state.peers.send_on(None);
        }
        let until = now + LATE_INTERVAL;
        self.state.feed.wait_for_update(self.set, until).await;
        Ok(())
    }

    /// Waits for changes once, takes them in and sends them on; whether there were any.
    async fn watch(&mut self, wait: Duration) -> Result<bool, CallFailure> {
        let bound = if enabled(Protection::WatchTimeout) {
            wait + self.patience()
        } else {
            Duration::MAX / 4
        };
        let after = self.newest();
        if self.is_of_earlier_era() {
            return Err(CallFailure::NewEra);
        }
        let protocol = &self.state.protocol;
        let request = protocol.watch_call(self.set, number_of(after), wait);
        let (page, written) = self.page(request, bound).await?;
        if era_of(page.revision) != era_of(after) {
            return Err(CallFailure::NewEra);
        }
        let is_change = !page.changes.is_empty();
        let watermark = SetWatermark {
            revision: page.revision,
            changed: if is_change { page.revision } else { 0 },
            written: written.store_time,
        };
        let delta = self.upstream_delta(after, page.revision, &page.changes);
        self.apply_rows(page.changes, LogRows::Each);
        self.state.feed.advance(self.set, watermark);
        self.confirm(written.moment);
        self.note_regained();
        if self.state.feeder(Instant::now()) == FeederChoice::Itself {
            self.state.peers.send_on(delta);
        }
        Ok(is_change)
    }

    /// The changes of upstreams as they are sent on; none of another set, which each host
    /// reads for itself.
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
