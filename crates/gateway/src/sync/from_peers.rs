//! Reads a set of rows from other hosts. Changes come from a host of the same hall, so that one call to the
//! store serves the hall. The full set comes from any host at a start or while the store can't be reached.

use {
    super::{
        Follower,
        apply::{
            ConfigurationSource, LogRows, apply_configuration, apply_rollout_order, apply_upstream,
        },
        follow::Source,
    },
    crate::{
        connection::{TransferBounds, transfer},
        edge::{Revision, RowSet, UpstreamChange},
        peers::{
            ConfigurationReport, PackedUpstreams, SetSnapshot, SnapshotRows, SourceScope,
            packed_upstreams_path, restore_key_requirement, snapshot_path,
        },
        view::{Applied, RowOrigin, UpstreamChanges, ViewSource},
    },
    bytes::Bytes,
    http::{Request, StatusCode, header},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::EngineId, spread::with_jitter},
    tealshore_runs::{KnownRun, LossReport, RunReport},
};

/// Limits of a call for a set. The limit of the whole call is much longer than the idle timeout, so that a
/// large transfer that makes progress is not aborted early: the same bytes from the store would occupy the
/// link as long.
const SNAPSHOT_BOUNDS: TransferBounds = TransferBounds {
    idle_timeout: Duration::from_millis(400),
    timeout: Duration::from_secs(2),
    answer_bytes: 16 * 1024 * 1024,
};
/// Maximum number of hosts tried per attempt.
const MAX_PEERS_ASKED: usize = 2;
/// Number of hosts that read a set of many pages without pausing if hosts start together: the first by rank
/// of those that receive each other's messages.
const FULL_READERS: usize = 3;
/// The other hosts wait this many times the duration of the last page before they read the next one.
const PAGE_WAIT_FACTOR: u32 = 4;
/// How often a starting host checks whether another host has a set.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a starting host waits for messages of others before it assumes that it is the first. Where
/// other hosts run, one of them answers within about 10 ms. Callers whose streams were cut wait in the
/// meantime.
const START_DISCOVERY_TIME: Duration = Duration::from_millis(25);
/// How long a starting host waits for one that ranks before it; after that it reads the store.
const START_TIMEOUT: Duration = Duration::from_millis(70);
/// [`START_DISCOVERY_TIME`] at the first start of the whole system, when no caller is waiting yet. Processes start
/// within about 0.3 s of each other.
const FIRST_START_DISCOVERY_TIME: Duration = Duration::from_millis(500);
/// [`START_TIMEOUT`] at the first start of the whole system.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Follower {
    /// Reads a newer state of the set from another host. Returns whether one was found.
    pub(super) async fn read_from_peers(&mut self, scope: SourceScope) -> bool {
        let known = self.known_revision();
        if !self.is_served_by_peers() {
            return false;
        }
        let peers = &self.state.peers;
        let sources = peers.snapshot_sources(self.set, known, scope, clock::now());
        for source in sources.into_iter().take(MAX_PEERS_ASKED) {
            if self.read_from_peer(source).await {
                return true;
            }
        }
        false
    }

    /// Whether hosts that follow the set serve it to others.
    fn is_served_by_peers(&self) -> bool {
        match self.set {
            RowSet::Configuration | RowSet::Upstreams => true,
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                false
            }
        }
    }

    async fn read_from_peer(&mut self, source: SocketAddr) -> bool {
        let sent_at = clock::now();
        let Some(fetched) = self.fetch_from(source, sent_at).await else {
            return false;
        };
        let FetchedSet {
            snapshot,
            configuration,
        } = fetched;
        let known = self.known_revision();
        if snapshot.watermark.revision <= known || snapshot.rows.leaves_gap_after(known) {
            return false;
        }
        log::info!(
            "feed: applying snapshot set={} peer={source} extent={} rows={} known={known} revision={} took_ms={}",
            self.set.name(),
            snapshot.rows.extent(),
            snapshot.rows.count(),
            snapshot.watermark.revision,
            clock::elapsed(sent_at).as_millis()
        );
        self.apply_snapshot(snapshot, &configuration, source, sent_at);
        true
    }

    /// Fetches the set from another host, and logs a failure.
    async fn fetch_from(&self, source: SocketAddr, sent_at: Instant) -> Option<FetchedSet> {
        let fetched = fetch(self.set, self.known_revision(), source).await;
        if fetched.is_none() {
            log::info!(
                "feed: failed to fetch snapshot set={} peer={source} took_ms={}",
                self.set.name(),
                clock::elapsed(sent_at).as_millis()
            );
        }
        fetched
    }

    /// Adopts the configuration of a host that has a newer one in force, after the store lost it in a restore. What is
    /// known of the store stays as it is.
    pub(super) async fn adopt_newer_configuration(&mut self, source: SocketAddr) {
        let Some(fetched) = self.fetch_from(source, clock::now()).await else {
            return;
        };
        let SnapshotRows::Configuration {
            configuration: Some(configuration),
            ..
        } = fetched.snapshot.rows
        else {
            return;
        };
        apply_configuration(
            &self.state,
            fetched.configuration.row,
            configuration,
            RowOrigin::MayPredateRestore,
            ConfigurationSource::Snapshot(source),
        );
        self.apply_confirmation(&fetched.configuration, source);
    }

    /// Takes over as of when the host from which the configuration came knew it to be the newest.
    fn apply_confirmation(&self, fetched: &FetchedConfiguration, source: SocketAddr) {
        let Some(report) = &fetched.report else {
            return;
        };
        let state = &self.state;
        state.apply_configuration_report(report, source);
        let moment = report
            .confirmed
            .filter(|_| state.view.version() == report.version)
            .and_then(|confirmed| state.feed.to_local_instant(confirmed, clock::now()));
        if let Some(moment) = moment {
            self.confirm_view(moment, &ViewSource::Snapshot(source));
        }
    }

    /// At the start of this host, waits for a host that has the set, reads the set from it, and then waits
    /// until its feeder is known. If there is none in time, this host reads the store: at once if it
    /// appears to be the first, or a little later if other starting hosts rank before it.
    pub(super) async fn start_from_peers(&mut self) {
        let started = clock::now();
        loop {
            if self.known_revision() == 0 && self.read_from_peers(SourceScope::AllHalls).await {
                // Other starting hosts wait for a host that has the set.
                self.state.peers.wake_sender();
            }
            let now = clock::now();
            let is_fed = match self.source(now) {
                Source::Fed { .. } | Source::Behind | Source::FeederSilent => true,
                Source::Store => false,
            };
            let waited = now.saturating_duration_since(started);
            if is_fed || waited >= self.start_timeout(now) {
                log::info!(
                    "feed: startup wait ended set={} fed={is_fed} revision={} waited_ms={}",
                    self.set.name(),
                    self.known_revision(),
                    waited.as_millis()
                );
                return;
            }
            let until = now + with_jitter(START_POLL_INTERVAL);
            self.state.feed.wait_for_update(self.set, until).await;
        }
    }

    /// Called between two pages of a set that this host does not know yet. Gives the hosts that rank before
    /// it a multiple of the last page's duration to read the set, and reads it from the first of them that
    /// has it. Returns whether it did. Without this, hosts that start together would each read every page,
    /// and all of them would wait longer for the store and their links.
    pub(super) async fn read_from_peers_between_pages(&mut self, page_duration: Duration) -> bool {
        let is_known = self.known_revision() > 0 && !self.is_from_earlier_era();
        if is_known || !self.is_served_by_peers() {
            return false;
        }
        let until = clock::now() + page_duration * PAGE_WAIT_FACTOR;
        loop {
            if self.read_from_peers(SourceScope::AllHalls).await {
                self.state.peers.wake_sender();
                return true;
            }
            let now = clock::now();
            if now >= until || self.state.peers.hosts_before(now) < FULL_READERS {
                return false;
            }
            let wake_at = until.min(now + with_jitter(START_POLL_INTERVAL));
            self.state.feed.wait_for_update(self.set, wake_at).await;
        }
    }

    /// How long a starting host waits for a host that has the set.
    pub(super) fn start_timeout(&self, now: Instant) -> Duration {
        let peers = &self.state.peers;
        let is_first_start = self.state.options.host.is_first_start;
        if !peers.is_alone(now) && !peers.ranks_first(now) {
            return if is_first_start {
                FIRST_START_TIMEOUT
            } else {
                START_TIMEOUT
            };
        }
        if is_first_start {
            FIRST_START_DISCOVERY_TIME
        } else {
            START_DISCOVERY_TIME
        }
    }

    /// Reads from another host where streams run. Returns whether one answered.
    pub(super) async fn read_runs_from_peers(&self) -> bool {
        let now = clock::now();
        let sources =
            self.state
                .peers
                .snapshot_sources(RowSet::Runs, 0, SourceScope::AllHalls, now);
        for source in sources.into_iter().take(MAX_PEERS_ASKED) {
            if let Some((runs, loss)) = fetch_runs(source).await {
                log::info!(
                    "feed: received runs peer={source} runs={} lost_ms={:?}",
                    runs.len(),
                    loss.as_ref().map(|loss| loss.age.as_millis())
                );
                self.state.restore_runs(runs, loss);
                return true;
            }
        }
        false
    }

    /// Applies a snapshot from another host.
    fn apply_snapshot(
        &mut self,
        snapshot: SetSnapshot,
        fetched: &FetchedConfiguration,
        source: SocketAddr,
        sent_at: Instant,
    ) {
        let SetSnapshot {
            watermark,
            store_time,
            rows,
        } = snapshot;
        let state = self.state.clone();
        let feed = &state.feed;
        feed.observe_peer_time(store_time, sent_at, clock::now());
        match rows {
            SnapshotRows::Configuration {
                configuration,
                rollout_orders,
            } => {
                if let Some(configuration) = configuration {
                    let origin = RowOrigin::MayPredateRestore;
                    let applied = apply_configuration(
                        &state,
                        fetched.row,
                        configuration,
                        origin,
                        ConfigurationSource::Snapshot(source),
                    );
                    if applied == Applied::Unconfirmed {
                        // The store has to show whether it was written since.
                        self.confirmed_era = 0;
                    }
                }
                for order in rollout_orders {
                    apply_rollout_order(&self.state, order);
                }
            }
            SnapshotRows::Upstreams(rows) => {
                let log = self.row_logging();
                let present: Vec<EngineId> =
                    rows.iter().map(|(_, record)| record.id.clone()).collect();
                for (revision, record) in rows {
                    apply_upstream(&self.state, revision, UpstreamChange::Listed(record), log);
                }
                let upstreams = &self.state.view.upstreams;
                upstreams.retain(watermark.revision, &present);
            }
            SnapshotRows::UpstreamChanges(changes) => self.apply_upstream_changes(changes),
            SnapshotRows::Runs(_) => {}
        }
        feed.advance(self.set, watermark);
        self.apply_confirmation(fetched, source);
        if let Some(moment) = feed.to_local_instant(watermark.written, clock::now()) {
            self.confirm(moment, &ViewSource::Snapshot(source));
        }
    }

    fn apply_upstream_changes(&self, changes: UpstreamChanges) {
        let UpstreamChanges { listed, gone, .. } = changes;
        let log = LogRows::Each;
        for (revision, record) in listed {
            apply_upstream(&self.state, revision, UpstreamChange::Listed(record), log);
        }
        for (revision, id) in gone {
            apply_upstream(&self.state, revision, UpstreamChange::Gone(id), log);
        }
    }
}

/// A set that another host served.
struct FetchedSet {
    snapshot: SetSnapshot,
    configuration: FetchedConfiguration,
}

/// What a host told beside the configuration; all defaults for other sets and for hosts of an earlier build.
#[derive(Default)]
struct FetchedConfiguration {
    /// The revision of its row.
    row: Revision,
    /// What the host takes it for.
    report: Option<ConfigurationReport>,
}

/// Fetches a set from another host; for upstreams, only what changed after the known revision.
async fn fetch(set: RowSet, known: Revision, source: SocketAddr) -> Option<FetchedSet> {
    if set == RowSet::Upstreams {
        let after = (known > 0).then_some(known);
        let (status, body) = get(&packed_upstreams_path(after), source).await?;
        if status.is_success() {
            let packed: PackedUpstreams = postcard::from_bytes(&body).ok()?;
            let snapshot = packed.unpack().ok()?;
            let configuration = FetchedConfiguration::default();
            return Some(FetchedSet {
                snapshot,
                configuration,
            });
        }
        if status != StatusCode::NOT_FOUND {
            return None;
        }
        // The source runs an earlier build.
    }
    let (status, body) = get(&snapshot_path(set), source).await?;
    if !status.is_success() {
        return None;
    }
    let (mut snapshot, rest): (SetSnapshot, &[u8]) = postcard::take_from_bytes(&body).ok()?;
    let (row, rest): (Revision, &[u8]) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (report, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    if let SnapshotRows::Configuration {
        configuration: Some(configuration),
        ..
    } = &mut snapshot.rows
    {
        let (requires_keys, _) = postcard::take_from_bytes(rest).unwrap_or_default();
        if !restore_key_requirement(configuration, requires_keys) {
            return None;
        }
    }
    Some(FetchedSet {
        snapshot,
        configuration: FetchedConfiguration { row, report },
    })
}

/// Fetches the recent runs from another host, and the loss of all hosts that it knows of. A host of an earlier build
/// tells only which ones run, without their origins, or no loss.
async fn fetch_runs(source: SocketAddr) -> Option<(Vec<RunReport>, Option<LossReport>)> {
    let (status, body) = get(&snapshot_path(RowSet::Runs), source).await?;
    if !status.is_success() {
        return None;
    }
    let (snapshot, rest) = postcard::take_from_bytes::<SetSnapshot>(&body).ok()?;
    let SnapshotRows::Runs(running) = snapshot.rows else {
        return None;
    };
    if let Ok((reports, rest)) = postcard::take_from_bytes(rest) {
        let (loss, _) = postcard::take_from_bytes(rest).unwrap_or_default();
        return Some((reports, loss));
    }
    let reports = running.into_iter().map(|trace| RunReport {
        run: KnownRun {
            trace,
            origin: None,
        },
        state: None,
        age: Duration::ZERO,
    });
    Some((reports.collect(), None))
}

async fn get(path: &str, source: SocketAddr) -> Option<(StatusCode, Bytes)> {
    let request = Request::get(path).header(header::HOST, source.to_string());
    let request = request.body(Bytes::new()).ok()?;
    transfer(source, request, SNAPSHOT_BOUNDS).await
}
