//! How the hosts share what the store says: one host of a group reads the store and feeds
//! the others by datagrams; a host that is not fed reads the store itself.
//!
//! Nothing is agreed on. Each host chooses its feeder by itself, from what it last heard of
//! all; two feeders, or none for a moment, only cost calls. What a feeder tells carries the
//! store's own versions and times, so a late or lost datagram is never taken for news.

mod choice;
mod clock;
mod era;
mod progress;

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
    tealshore_core::protection::{Protection, enabled},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};
pub use {
    choice::{Contender, FeederChoice, GROUP_HOSTS, choose_feeder, hosts_before, rank},
    clock::StoreClockFloor,
    era::{KnownEra, RESTORE_GRACE},
    progress::SetProgress,
};

/// The age of a feeder's watermark past which a host reads the store itself. A feeder that is cut
/// off from the store is noticed after this; with the call that follows, it stays well below
/// the time after which a leaving upstream gets no new work and a configuration is in force.
pub const FED_BOUND: Duration = Duration::from_millis(1_200);
/// The age past which the host that ranks second does so: it takes over before all others, which
/// would else call the store in the same instant. A watermark is told each 500 ms and reaches the
/// last host some 200 ms later.
pub const DEPUTY_BOUND: Duration = Duration::from_millis(850);

/// How far a host's knowledge of one set goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetWatermark {
    /// The version up to which changes are known.
    pub revision: Revision,
    /// A version at or after the newest change that is known: who knows the set as of this
    /// version or a later one has missed none.
    pub changed: Revision,
    /// The store's time at which the set was last known to be so.
    pub written: StoreTime,
}

/// How far a host's knowledge of the store goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWatermark {
    /// Of the configuration.
    pub configuration: SetWatermark,
    /// Of the upstreams.
    pub upstreams: SetWatermark,
}

impl StoreWatermark {
    /// The watermark on one of the sets that are fed.
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

    /// The time up to which both sets are known.
    #[must_use]
    pub fn written(&self) -> StoreTime {
        self.configuration.written.min(self.upstreams.written)
    }

    /// The era of the store in which both sets are known.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        let configuration = era_of(self.configuration.revision);
        configuration.min(era_of(self.upstreams.revision))
    }
}

/// Changed upstreams, as a feeder sends them on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamDelta {
    /// The version after which they changed.
    pub after: Revision,
    /// The version up to which these are all changes.
    pub revision: Revision,
    /// Each change with its version, in order.
    pub changes: Vec<(Revision, UpstreamChange)>,
}

impl UpstreamDelta {
    /// The same changes in parts of at most so many bytes, each of which begins where the one before ends.
    /// Changes of one version stay together.
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

/// What this host knows of the store, and since when.
#[derive(Default)]
pub struct Feed {
    configuration: Mutex<SetProgress>,
    upstreams: Mutex<SetProgress>,
    clock: Mutex<StoreClockFloor>,
    era: Mutex<KnownEra>,
    /// The last call of this host to the store failed.
    is_cut_off: AtomicBool,
    configuration_updates: Notify,
    upstreams_updates: Notify,
    /// Both sets are known.
    known: Notify,
}

impl Feed {
    /// How far the knowledge of a set goes.
    pub fn progress(&self, set: RowSet) -> SetProgress {
        self.set(set)
            .map_or_else(SetProgress::default, |progress| *progress.lock())
    }

    /// Notes that a set is known as another watermark says; whether that is more than before.
    pub fn advance(&self, set: RowSet, watermark: SetWatermark) -> bool {
        let Some(progress) = self.set(set) else {
            return false;
        };
        let mut progress = progress.lock();
        let before = progress.watermark();
        progress.advance(watermark);
        let is_more = progress.watermark() != before;
        drop(progress);
        if before.is_none() && self.watermark().is_some() {
            self.known.notify_waiters();
        }
        is_more
    }

    /// Waits until both sets are known, or until a moment.
    pub async fn wait_until_known(&self, until: Instant) {
        let known = self.known.notified();
        let left = until.saturating_duration_since(Instant::now());
        if self.watermark().is_none() && !left.is_zero() {
            // Whether they are known or the time's end ends the wait makes no difference.
            let _ = timeout(left, known).await;
        }
    }

    /// Whether changes after a version would leave no gap. Those of an earlier era are none.
    pub fn knows(&self, set: RowSet, revision: Revision) -> bool {
        self.progress(set).watermark().is_some_and(|watermark| {
            let is_same_era = era_of(watermark.revision) == era_of(revision);
            is_same_era && watermark.revision >= revision
        })
    }

    /// Whether a row of a set may be older than a restore of the store.
    pub fn origin_of(&self, set: RowSet, revision: Revision) -> RowOrigin {
        if self.progress(set).is_written_since_restore(revision) {
            RowOrigin::WrittenSinceRestore
        } else {
            RowOrigin::MayPredateRestore
        }
    }

    /// The latest era of the store that this host knows of.
    pub fn era(&self) -> StoreEra {
        self.era.lock().era()
    }

    /// Notes an era of the store; whether it is later than the one that was known.
    pub fn note_era(&self, era: StoreEra) -> bool {
        self.era.lock().note(era, Instant::now())
    }

    /// The era of an answer of the store; none where it is of an earlier era than is known.
    pub fn era_of_answer(&self, named: EraNamed) -> Option<StoreEra> {
        self.era.lock().of_answer(named)
    }

    /// Whether rows of the store may be older than what was known before.
    pub fn is_in_restore_grace(&self, now: Instant) -> bool {
        self.era.lock().is_in_restore_grace(now)
    }

    /// How far this host's knowledge goes; none before both sets were read.
    pub fn watermark(&self) -> Option<StoreWatermark> {
        Some(StoreWatermark {
            configuration: self.configuration.lock().watermark()?,
            upstreams: self.upstreams.lock().watermark()?,
        })
    }

    /// Notes an answer of the store to a call of this host.
    pub fn note_answer(&self, written: StoreTime, asked: Instant, arrived: Instant) {
        self.clock.lock().observe(written, asked, arrived);
        self.is_cut_off.store(false, Ordering::Relaxed);
    }

    /// Notes that a call of this host to the store failed.
    pub fn note_failure(&self) {
        self.is_cut_off.store(true, Ordering::Relaxed);
    }

    /// Whether this host could feed others.
    pub fn reaches_store(&self) -> bool {
        !self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Records the store's time, or a later one, as another host told it. It only counts for a
    /// host that has never heard the store itself.
    pub fn observe_peer(&self, store_time: StoreTime, asked: Instant, arrived: Instant) {
        let mut clock = self.clock.lock();
        if clock.time_at(arrived).is_none() {
            clock.observe(store_time, asked, arrived);
        }
    }

    /// The store's time at a moment, or a later one; none before an answer was seen.
    pub fn store_time(&self, now: Instant) -> Option<StoreTime> {
        self.clock.lock().time_at(now)
    }

    /// The latest moment of this host that surely was not after a time of the store.
    pub fn moment(&self, written: StoreTime, now: Instant) -> Option<Instant> {
        if !enabled(Protection::RelayedAge) {
            return Some(now);
        }
        self.clock.lock().moment(written, now)
    }

    /// Whether a watermark is young enough to rely on.
    pub fn is_young(&self, written: StoreTime, now: Instant) -> bool {
        self.moment(written, now)
            .is_some_and(|moment| now.saturating_duration_since(moment) <= FED_BOUND)
    }

    /// Wakes all that wait for an update.
    pub fn notify(&self) {
        self.configuration_updates.notify_one();
        self.upstreams_updates.notify_one();
    }

    /// Waits for an update of a set, or until a moment. Of sets that are not fed there are none.
    pub async fn wait_for_update(&self, set: RowSet, until: Instant) {
        let left = until.saturating_duration_since(Instant::now());
        let updates = match set {
            RowSet::Configuration => &self.configuration_updates,
            RowSet::Upstreams => &self.upstreams_updates,
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                return sleep(left).await;
            }
        };
        // Whether an update or the time's end ends the wait makes no difference.
        let _ = timeout(left, updates.notified()).await;
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
