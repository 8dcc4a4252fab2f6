//! Applies row changes to the view.

use {
    super::Follower,
    crate::{
        edge::{Change, Revision, RowSet, StoredCrashes, UpstreamChange, era_of},
        feed::{RecoveryEvidence, SetWatermark, UpstreamDelta},
        rollout::{RolloutOrder, RolloutRecord},
        state::GatewayState,
        view::{Applied, Configuration, RowOrigin, ViewFacts},
    },
    std::{
        fmt::{Display, Formatter},
        net::SocketAddr,
        time::Duration,
    },
    tealshore_core::{clock, ids::EngineId},
    tealshore_quarantine::{
        news::CrashUpdate,
        parts::{log::Audience, news::PartCrashReport},
    },
};

/// Whether rows are logged one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogRows {
    /// Each row that changed something is logged.
    Each,
    /// No row is logged: they form the first full set of this host, and one line gives their
    /// number.
    Counted,
}

/// How this host received a configuration, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfigurationSource {
    /// It read the full set from the store.
    FullRead,
    /// The store reported it as a change.
    Watch,
    /// The host at this address served it.
    Snapshot(SocketAddr),
}

impl Display for ConfigurationSource {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::FullRead => formatter.write_str("full-read"),
            Self::Watch => formatter.write_str("watch"),
            Self::Snapshot(address) => write!(formatter, "snapshot:{address}"),
        }
    }
}

impl Follower {
    /// Applies rows. `log` selects whether each changed row is logged.
    pub(super) fn apply_rows(
        &self,
        changes: Vec<(Revision, Change)>,
        log: LogRows,
        source: ConfigurationSource,
    ) {
        for (revision, change) in changes {
            self.apply_row(revision, change, log, source);
        }
    }

    fn apply_row(
        &self,
        revision: Revision,
        change: Change,
        log: LogRows,
        source: ConfigurationSource,
    ) {
        match change {
            Change::Configuration(configuration) => {
                let origin = self.state.feed.origin_of(revision);
                apply_configuration(&self.state, revision, *configuration, origin, source);
            }
            Change::Upstream(change) => apply_upstream(&self.state, revision, change, log),
            Change::Host(host) => {
                self.state.peers.add(&host);
                let point = host.recovery_point;
                self.state
                    .record_recovery_point(point, RecoveryEvidence::Stored);
            }
            Change::Runs(runs) => self.state.restore_stored_runs(runs),
            Change::RolloutOrder(order) => apply_rollout_order(&self.state, order),
            Change::Rollout(record) => {
                if apply_rollout_record(&self.state, revision, &record) {
                    self.state.peers.wake_sender();
                }
            }
            // Read and applied by the task that performs the duties.
            Change::Duties(_) => {}
            Change::Crashes(stored) => self.apply_stored_crashes(stored),
            Change::Unreadable(reason) => {
                self.state.metrics.unreadable_rows.inc();
                log::error!(
                    "view: row unreadable set={} revision={revision} reason={reason}",
                    self.set.name()
                );
            }
        }
    }

    /// Applies the crash reports that a group of hosts stored, aged by the time since they were
    /// written.
    fn apply_stored_crashes(&self, stored: StoredCrashes) {
        let store_time = self.state.feed.store_time(clock::now());
        let age = store_time.map_or(Duration::ZERO, |now| now.saturating_sub(stored.written));
        let requests = stored.requests.into_iter();
        let updates: Vec<CrashUpdate> = requests.map(|update| update.aged(age)).collect();
        self.state.apply_crash_updates(&updates, "store");
        let parts = stored.parts.into_iter();
        let parts: Vec<PartCrashReport> = parts.map(|report| report.aged(age)).collect();
        self.state
            .apply_part_reports(&parts, Audience::Nobody, "store");
    }
}

/// Applies changes that a feeder forwarded, unless earlier changes were missed.
pub fn apply_upstream_delta(state: &GatewayState, delta: UpstreamDelta) {
    if !state.feed.has_no_gap_before(RowSet::Upstreams, delta.after) {
        log::debug!(
            "feed: earlier changes missed set=upstreams after={} known={:?}",
            delta.after,
            state.feed.progress(RowSet::Upstreams).watermark()
        );
        return;
    }
    for (revision, change) in delta.changes {
        apply_upstream(state, revision, change, LogRows::Each);
    }
    let watermark = SetWatermark {
        revision: delta.revision,
        changed: delta.revision,
        // The feeder's own watermark carries the age of the data.
        written: Duration::ZERO,
    };
    state.feed.advance(RowSet::Upstreams, watermark);
    state.feed.notify();
}

/// The ID of the upstream that a row lists.
pub(super) fn listed_upstream(row: &(Revision, Change)) -> Option<EngineId> {
    match &row.1 {
        Change::Upstream(UpstreamChange::Listed(record)) => Some(record.id.clone()),
        Change::Upstream(UpstreamChange::Gone(_) | UpstreamChange::Unreadable { .. })
        | Change::Configuration(_)
        | Change::Host(_)
        | Change::Runs(_)
        | Change::RolloutOrder(_)
        | Change::Rollout(_)
        | Change::Duties(_)
        | Change::Crashes(_)
        | Change::Unreadable(_) => None,
    }
}

/// Applies a rollout's progress record. Returns whether it changed anything.
pub fn apply_rollout_record(
    state: &GatewayState,
    revision: Revision,
    record: &RolloutRecord,
) -> bool {
    let is_in_restore_grace = state.feed.is_in_restore_grace(clock::now());
    let rollouts = &state.rollouts;
    rollouts.apply_record(revision, record, is_in_restore_grace)
}

pub(super) fn apply_rollout_order(state: &GatewayState, order: RolloutOrder) {
    let (service, target) = (order.service.clone(), order.target.clone());
    let (revision, duration_ms) = (order.revision, order.duration.as_millis());
    let now = clock::now();
    let is_in_restore_grace = state.feed.is_in_restore_grace(now);
    if state.rollouts.apply_order(order, is_in_restore_grace, now) {
        log::info!(
            "rollout: order received service={service} target={target} duration_ms={duration_ms} order={revision}"
        );
    }
}

pub(super) fn apply_configuration(
    state: &GatewayState,
    revision: Revision,
    new: Configuration,
    origin: RowOrigin,
    source: ConfigurationSource,
) -> Applied {
    let version = new.version;
    let routes = new.route_count();
    let (keys, requires_keys) = (new.customers.len(), new.requires_keys);
    let now = clock::now();
    let is_in_restore_grace = state.feed.is_in_restore_grace(now);
    let applied = state.view.apply(new, revision, origin, is_in_restore_grace);
    let is_in_force = applied == Applied::InForce || version == state.view.version();
    if is_in_force && state.feed.is_written_since_restore(revision) {
        state.record_rewrite(revision, now);
    }
    let current_version = i64::try_from(state.view.version()).unwrap_or(i64::MAX);
    state.metrics.config_version.set(current_version);
    log::info!(
        "view: configuration received version={version} revision={revision} era={} origin={} source={source} \
         routes={routes} keys={keys} requires_keys={requires_keys} outcome={} {}",
        era_of(revision),
        origin.name(),
        applied.name(),
        ViewFacts::of(&state.view, now)
    );
    applied
}

pub(super) fn apply_upstream(
    state: &GatewayState,
    revision: Revision,
    change: UpstreamChange,
    log: LogRows,
) {
    let upstreams = &state.view.upstreams;
    match change {
        UpstreamChange::Listed(record) => {
            let (id, upstream_state) = (record.id.clone(), record.state);
            let (address, hall) = (record.address, record.hall.clone());
            let version = record.version.clone();
            if upstreams.put(revision, record) && log == LogRows::Each {
                log::info!(
                    "view: upstream row applied upstream={id} address={address} hall={hall} \
                     version={version} state={upstream_state:?} revision={revision}"
                );
            }
        }
        UpstreamChange::Gone(id) => {
            if upstreams.remove(revision, &id) {
                log::info!("view: upstream removed upstream={id} revision={revision}");
            }
        }
        UpstreamChange::Unreadable { id, reason } => {
            if upstreams.put_unreadable(revision, &id) {
                state.metrics.unreadable_rows.inc();
                log::error!(
                    "view: upstream row unreadable upstream={id} revision={revision} reason={reason:?}"
                );
            }
        }
    }
}
