//! Distribution of store data among hosts. One host of a group, the feeder, reads the store and sends what it reads to
//! the other hosts in datagrams. A host without a feeder reads the store itself.
//!
//! There is no agreement protocol. Each host chooses its feeder independently, from the latest state that it received
//! from each peer. Two feeders at once, or none for a moment, only cost extra store calls. Datagrams carry the store's
//! own versions and times, so a delayed or lost datagram never makes old data look new.

mod choice;
mod era;
mod progress;
mod recovery;
mod store_clock;

use {
    crate::{
        edge::{EraNamed, Revision, RowSet, StoreEra, StoreTime, UpstreamChange, era_of},
        view::RowOrigin,
    },
    parking_lot::Mutex,
    postcard::experimental::serialized_size,
    serde::{Deserialize, Serialize},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        protection::{Protection, enabled},
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};
pub use {
    choice::{FeederCandidate, FeederChoice, MAX_GROUP_HOSTS, choose_feeder, hosts_before, rank},
    era::{KnownEra, LowestRevision, RESTORE_GRACE},
    progress::SetProgress,
    recovery::{KnowledgeAtRestore, Recovery, RecoveryEvidence},
    store_clock::StoreClockOffset,
};

/// Maximum age of a feeder's watermark. A host whose feeder exceeds it reads the store itself.
///
/// This detects a feeder that is cut off from the store. Detection and the store call that follows take much less than
/// the time within which a leaving upstream has to stop receiving new work and a configuration has to be in force.
pub const MAX_WATERMARK_AGE: Duration = Duration::from_millis(1_200);
/// Maximum watermark age for the host that ranks second, the deputy. It is below [`MAX_WATERMARK_AGE`], so that the
/// deputy takes over first. With one bound for all, every host would call the store at the same instant. Watermarks are
/// sent every 500 ms and reach the last host some 200 ms later.
pub const MAX_DEPUTY_WATERMARK_AGE: Duration = Duration::from_millis(850);

/// How up to date a host's copy of one row set is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetWatermark {
    /// The version up to which all changes are known.
    pub revision: Revision,
    /// A version at or after the newest known change. A host that knows the set as of this version or a later one has
    /// missed no change.
    pub changed: Revision,
    /// The latest store time at which the set is known to have had this content.
    pub written: StoreTime,
}

/// How up to date a host's copy of the store is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWatermark {
    /// Watermark of the configuration.
    pub configuration: SetWatermark,
    /// Watermark of the upstreams.
    pub upstreams: SetWatermark,
}

impl StoreWatermark {
    /// Returns the watermark of a set, or `None` for a set that feeders do not distribute.
    #[must_use]
    pub fn of(&self, set: RowSet) -> Option<SetWatermark> {
        match set {
            RowSet::Configuration => Some(self.configuration),
            RowSet::Upstreams => Some(self.upstreams),
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                None
            }
        }
    }

    /// The store time up to which both sets are known: the earlier of the two.
    #[must_use]
    pub fn written(&self) -> StoreTime {
        self.configuration.written.min(self.upstreams.written)
    }

    /// The store era in which both sets are known: the earlier of the two.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        let configuration = era_of(self.configuration.revision);
        configuration.min(era_of(self.upstreams.revision))
    }
}

/// Upstream changes, as a feeder sends them to other hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// The changes follow this version.
    pub after: Revision,
    /// The changes are complete up to this version.
    pub revision: Revision,
    /// Each change with its version, in ascending order.
    pub changes: Vec<(Revision, UpstreamChange)>,
}

impl UpstreamDelta {
    /// Splits the changes into parts of at most `part_bytes` bytes. Each part starts at the version where the previous
    /// one ends. Changes of one version stay in one part, even where that exceeds the limit.
    #[must_use]
    pub fn into_parts(mut self, part_bytes: usize) -> Vec<Self> {
        self.changes.sort_by_key(|(revision, _)| *revision);
        let mut parts: Vec<Self> = Vec::new();
        let mut bytes = 0;
        for change in self.changes {
            let size = serialized_size(&change).unwrap_or(part_bytes);
            bytes += size;
            match parts.last_mut() {
                Some(part) if bytes <= part_bytes || part.revision == change.0 => {
                    part.revision = change.0;
                    part.changes.push(change);
                }
                last => {
                    bytes = size;
                    let after = last.map_or(self.after, |last| last.revision);
                    parts.push(Self {
                        after,
                        revision: change.0,
                        changes: vec![change],
                    });
                }
            }
        }
        if let Some(last) = parts.last_mut() {
            last.revision = self.revision;
        }
        parts
    }
}

/// How up to date this host's copy of the store is, and the age of that data.
#[derive(Default)]
pub struct Feed {
    configuration: Mutex<SetProgress>,
    upstreams: Mutex<SetProgress>,
    clock: Mutex<StoreClockOffset>,
    era: Mutex<KnownEra>,
    lowest_revision: Mutex<LowestRevision>,
    recovery: Mutex<Recovery>,
    /// Set when a store call of this host fails because the store is unavailable to it; cleared when the store answers
    /// with rows. Other failures leave it unchanged, such as a refusal because of too many calls or a failed call about
    /// the lease of the duties.
    is_in_outage: AtomicBool,
    configuration_updates: Notify,
    upstreams_updates: Notify,
    /// Notified once both sets are known.
    sets_known: Notify,
}

impl Feed {
    /// Returns how up to date the copy of a set is.
    pub fn progress(&self, set: RowSet) -> SetProgress {
        self.set(set)
            .map_or_else(SetProgress::default, |progress| *progress.lock())
    }

    /// Advances a set to another watermark. Returns whether the set's watermark changed.
    pub fn advance(&self, set: RowSet, watermark: SetWatermark) -> bool {
        let Some(progress) = self.set(set) else {
            return false;
        };
        self.record_revision(watermark.revision);
        let mut progress = progress.lock();
        let before = progress.watermark();
        progress.advance(watermark);
        let has_changed = progress.watermark() != before;
        drop(progress);
        if before.is_none() && self.watermark().is_some() {
            self.sets_known.notify_waiters();
        }
        has_changed
    }

    /// Waits until both sets are known, or until the given instant.
    pub async fn wait_until_known(&self, until: Instant) {
        let notified = self.sets_known.notified();
        let remaining = until.saturating_duration_since(clock::now());
        if self.watermark().is_none() && !remaining.is_zero() {
            // The result is the same whether the notification or the timeout ends the wait.
            let _ = timeout(remaining, notified).await;
        }
    }

    /// Returns whether changes that follow `revision` can be applied without a gap. Always false if `revision` is of
    /// another era than the known set.
    pub fn has_no_gap_before(&self, set: RowSet, revision: Revision) -> bool {
        self.progress(set).watermark().is_some_and(|watermark| {
            let is_same_era = era_of(watermark.revision) == era_of(revision);
            is_same_era && watermark.revision >= revision
        })
    }

    /// Records the revision as of which the store answered, about any set.
    pub fn record_revision(&self, revision: Revision) {
        self.lowest_revision.lock().record(revision);
    }

    /// Returns whether a row may predate a restore of the store.
    pub fn origin_of(&self, revision: Revision) -> RowOrigin {
        if self.lowest_revision.lock().precedes(revision) {
            RowOrigin::WrittenSinceRestore
        } else {
            RowOrigin::MayPredateRestore
        }
    }

    /// Whether a row was written after the first answer that this host knows of in the store's current era, to which a
    /// restore led.
    pub fn is_written_since_restore(&self, revision: Revision) -> bool {
        let era = era_of(revision);
        era > 0 && era == self.era() && self.lowest_revision.lock().precedes(revision)
    }

    /// The latest store era that this host knows of.
    pub fn era(&self) -> StoreEra {
        self.era.lock().era()
    }

    /// Records a store era. Returns whether it is later than the one known so far.
    pub fn record_era(&self, era: StoreEra) -> bool {
        self.era.lock().record(era, clock::now())
    }

    /// Returns the era to which a store answer belongs, or `None` if that era is earlier than the known one.
    pub fn era_of_answer(&self, named: EraNamed) -> Option<StoreEra> {
        self.era.lock().accepted_era(named)
    }

    /// Returns whether rows of a restored store may still be older than what this host knew before the restore.
    pub fn is_in_restore_grace(&self, now: Instant) -> bool {
        self.era.lock().is_in_restore_grace(now)
    }

    /// The revision from which on the store's configuration is known to be complete.
    pub fn recovery_point(&self) -> Revision {
        self.recovery.lock().point()
    }

    /// Records from which revision on the store's configuration is complete. Returns whether that tells more than was
    /// known.
    pub fn record_recovery_point(&self, point: Revision) -> bool {
        self.recovery.lock().record(point)
    }

    /// Records until when operators may write again what the store lost, and what this host knew before.
    pub fn expect_rewrites(&self, until: Instant, knowledge: KnowledgeAtRestore) {
        self.recovery.lock().expect_rewrites(until, knowledge);
    }

    /// What this host knew of the configuration when it learned of the store's last restore.
    pub fn knowledge_at_restore(&self) -> KnowledgeAtRestore {
        self.recovery.lock().knowledge()
    }

    /// Whether the known configuration lacks nothing that operators wrote up to then.
    pub fn is_configuration_complete(&self) -> bool {
        if !enabled(Protection::RecoveryPoint) {
            return true;
        }
        let known = self.configuration.lock().watermark();
        known.is_some_and(|known| {
            let is_of_known_era = era_of(known.revision) == self.era();
            is_of_known_era && self.recovery.lock().covers(known.revision)
        })
    }

    /// The revision as of which the configuration is known, if that was not complete before and an answer given at
    /// `moment` shows that it is now, as operators have had the time to write again what was lost.
    pub fn revision_complete_by_time(&self, moment: Instant) -> Option<Revision> {
        if self.is_configuration_complete() {
            return None;
        }
        let known = self.configuration.lock().watermark()?;
        let is_complete =
            era_of(known.revision) == self.era() && self.recovery.lock().is_rewritten_by(moment);
        is_complete.then_some(known.revision)
    }

    /// How long a watch of a set may last at most, so that its end shows without delay that the configuration is complete.
    pub fn max_watch_time(&self, set: RowSet, now: Instant) -> Option<Duration> {
        if set != RowSet::Configuration || self.is_configuration_complete() {
            return None;
        }
        let left = self.recovery.lock().time_for_rewrites(now);
        left.filter(|left| !left.is_zero())
    }

    /// The watermark of both sets, or `None` until both have been read.
    pub fn watermark(&self) -> Option<StoreWatermark> {
        Some(StoreWatermark {
            configuration: self.configuration.lock().watermark()?,
            upstreams: self.upstreams.lock().watermark()?,
        })
    }

    /// Records that the store answered a call of this host with rows. `written` is the store time of the answer.
    pub fn record_answer(&self, written: StoreTime, asked: Instant, arrived: Instant) {
        self.clock.lock().observe(written, asked, arrived);
        self.is_in_outage.store(false, Ordering::Relaxed);
    }

    /// Records that a store call of this host failed because the store is unavailable to it.
    pub fn record_failure(&self) {
        self.is_in_outage.store(true, Ordering::Relaxed);
    }

    /// Returns whether this host can act as a feeder: no store call has failed in an outage since the last answer
    /// with rows.
    pub fn reaches_store(&self) -> bool {
        !self.is_in_outage.load(Ordering::Relaxed)
    }

    /// Records the store time that another host sent; it may be later than the true one. It is used only while this
    /// host has not observed the store time yet.
    pub fn observe_peer_time(&self, store_time: StoreTime, asked: Instant, arrived: Instant) {
        let mut clock = self.clock.lock();
        if clock.time_at(arrived).is_none() {
            clock.observe(store_time, asked, arrived);
        }
    }

    /// Estimates the store time at an instant. The estimate may be late but is never early; it is `None` until the
    /// store time has been observed.
    pub fn store_time(&self, now: Instant) -> Option<StoreTime> {
        self.clock.lock().time_at(now)
    }

    /// Converts a store time to an instant of this host that is never later than the true one, so that data never
    /// appears younger than it is.
    pub fn to_local_instant(&self, written: StoreTime, now: Instant) -> Option<Instant> {
        if !enabled(Protection::RelayedAge) {
            return Some(now);
        }
        self.clock.lock().to_local_instant(written, now)
    }

    /// Returns whether data as of a store time is recent enough to rely on.
    pub fn is_recent(&self, written: StoreTime, now: Instant) -> bool {
        self.to_local_instant(written, now)
            .is_some_and(|moment| now.saturating_duration_since(moment) <= MAX_WATERMARK_AGE)
    }

    /// Wakes the tasks that wait for an update of a set.
    pub fn notify(&self) {
        self.configuration_updates.notify_one();
        self.upstreams_updates.notify_one();
    }

    /// Waits for an update of a set, or until the given instant. Sets that feeders do not distribute have no updates,
    /// so the wait lasts until then.
    pub async fn wait_for_update(&self, set: RowSet, until: Instant) {
        let remaining = until.saturating_duration_since(clock::now());
        let updates = match set {
            RowSet::Configuration => &self.configuration_updates,
            RowSet::Upstreams => &self.upstreams_updates,
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                return sleep(remaining).await;
            }
        };
        // The result is the same whether an update or the timeout ends the wait.
        let _ = timeout(remaining, updates.notified()).await;
    }

    fn set(&self, set: RowSet) -> Option<&Mutex<SetProgress>> {
        match set {
            RowSet::Configuration => Some(&self.configuration),
            RowSet::Upstreams => Some(&self.upstreams),
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                None
            }
        }
    }
}
