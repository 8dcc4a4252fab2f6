//! Learns a set of rows from other hosts: what has changed from a host of the own hall, so that
//! one call to the store serves the hall; and all of it at a start, or where the store can't be
//! reached.

use {
    super::{
        Follower,
        apply::{LogRows, apply_configuration, apply_rollout_order, apply_upstream},
        follow::Source,
    },
    crate::{
        connection::{TransferBounds, transfer},
        edge::{Revision, RowSet, UpstreamChange},
        peers::{
            PackedUpstreams, Reach, SetSnapshot, SnapshotRows, packed_upstreams_path, path_of,
        },
        view::{Applied, RowOrigin, UpstreamChanges},
    },
    bytes::Bytes,
    http::{Request, StatusCode, header},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{ids::EngineId, spread::with_jitter},
};

/// The bounds of a call for a set. One that still arrives is not given up for its size: the same
/// bytes from the store would take the link as long.
const SNAPSHOT_BOUNDS: TransferBounds = TransferBounds {
    silence: Duration::from_millis(400),
    timeout: Duration::from_secs(2),
    answer_bytes: 16 * 1024 * 1024,
};
/// How many hosts are asked before the attempt is given up.
const HOSTS_ASKED: usize = 2;
/// So many of the hosts that start together, the first by rank of those that hear each other, read
/// a set of many pages without a pause.
const FULL_READERS: usize = 3;
/// How many times as long as a page took the others wait before the next one.
const PAGE_WAIT_FACTOR: u32 = 4;
/// How often a host that starts looks whether another one knows a set.
const START_INTERVAL: Duration = Duration::from_millis(10);
/// How long a host that starts lets others be heard before it takes itself for the first: where
/// others live, one of them answers within some 10 ms. Callers whose streams were cut wait meanwhile.
const START_GATHER: Duration = Duration::from_millis(25);
/// How long a host that starts waits for one that ranks before it, and then reads the store.
const START_PATIENCE: Duration = Duration::from_millis(70);
/// The same at the first start of the whole system, when no caller waits yet: processes start
/// within some 0.3 s of each other.
const FIRST_START_GATHER: Duration = Duration::from_millis(500);
/// The same for one that waits for another.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(2_500);

impl Follower {
    /// Learns more of the set from another host than this one knows; whether it did.
    pub(super) async fn learn_from_peers(&mut self, reach: Reach) -> bool {
        let known = self.newest();
        if !self.is_given_by_peers() {
            return false;
        }
        let peers = &self.state.peers;
        let sources = peers.snapshot_sources(self.set, known, reach, Instant::now());
        for source in sources.into_iter().take(HOSTS_ASKED) {
            if self.learn_from(source).await {
                return true;
            }
        }
        false
    }

    /// Whether hosts that follow the set give it to others.
    fn is_given_by_peers(&self) -> bool {
        match self.set {
            RowSet::Configuration | RowSet::Upstreams => true,
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => {
                false
            }
        }
    }

    async fn learn_from(&mut self, source: SocketAddr) -> bool {
        let asked = Instant::now();
        let Some((snapshot, configuration_row)) = fetch(self.set, self.newest(), source).await
        else {
            log::info!(
                "feed: no snapshot set={} peer={source} took_ms={}",
                self.set.name(),
                asked.elapsed().as_millis()
            );
            return false;
        };
        let known = self.newest();
        if snapshot.watermark.revision <= known || snapshot.rows.leaves_gap_after(known) {
            return false;
        }
        log::info!(
            "feed: snapshot set={} peer={source} extent={} rows={} known={known} revision={} took_ms={}",
            self.set.name(),
            snapshot.rows.extent(),
            snapshot.rows.count(),
            snapshot.watermark.revision,
            asked.elapsed().as_millis()
        );
        self.apply_snapshot(snapshot, configuration_row, asked);
        true
    }

    /// Waits, as a host that starts, for one that knows the set, learns it there, and waits until
    /// its feeder is heard. Where none is heard in time, this host reads the store: at once where
    /// it can expect to be the first, a little later where others that start rank before it.
    pub(super) async fn start_from_peers(&mut self) {
        let started = Instant::now();
        loop {
            if self.newest() == 0 && self.learn_from_peers(Reach::Everywhere).await {
                // Others that start wait for one that knows the set.
                self.state.peers.wake_sender();
            }
            let now = Instant::now();
            let is_fed = match self.source(now) {
                Source::Fed { .. } | Source::Behind | Source::Late => true,
                Source::Store => false,
            };
            let waited = now.saturating_duration_since(started);
            if is_fed || waited >= self.start_patience(now) {
                log::info!(
                    "feed: started set={} fed={is_fed} revision={} waited_ms={}",
                    self.set.name(),
                    self.newest(),
                    waited.as_millis()
                );
                return;
            }
            let until = now + with_jitter(START_INTERVAL);
            self.state.feed.wait_for_update(self.set, until).await;
        }
    }

    /// Between two pages of a set that this host does not know yet: lets the hosts that rank before it
    /// read, for some times as long as its last page took, and learns the set from the first that
    /// knows it; whether it did. Where all hosts start at once, each would else read every page, and
    /// all of them would wait for the store and their links that much longer.
    pub(super) async fn learn_between_pages(&mut self, page_took: Duration) -> bool {
        let is_known = self.newest() > 0 && !self.is_of_earlier_era();
        if is_known || !self.is_given_by_peers() {
            return false;
        }
        let until = Instant::now() + page_took * PAGE_WAIT_FACTOR;
        loop {
            if self.learn_from_peers(Reach::Everywhere).await {
                self.state.peers.wake_sender();
                return true;
            }
            let now = Instant::now();
            if now >= until || self.state.peers.hosts_before(now) < FULL_READERS {
                return false;
            }
            let wake_at = until.min(now + with_jitter(START_INTERVAL));
            self.state.feed.wait_for_update(self.set, wake_at).await;
        }
    }

    /// How long a host that starts waits for one that knows the set.
    pub(super) fn start_patience(&self, now: Instant) -> Duration {
        let peers = &self.state.peers;
        let is_first_start = self.state.options.host.is_first_start;
        if !peers.is_alone(now) && !peers.ranks_first(now) {
            return if is_first_start {
                FIRST_START_PATIENCE
            } else {
                START_PATIENCE
            };
        }
        if is_first_start {
            FIRST_START_GATHER
        } else {
            START_GATHER
        }
    }

    /// Learns from another host where streams run; whether one told.
    pub(super) async fn learn_runs(&self) -> bool {
        let now = Instant::now();
        let sources = self
            .state
            .peers
            .snapshot_sources(RowSet::Runs, 0, Reach::Everywhere, now);
        for source in sources.into_iter().take(HOSTS_ASKED) {
            let snapshot = fetch(RowSet::Runs, 0, source).await;
            if let Some(SnapshotRows::Runs(runs)) = snapshot.map(|(snapshot, _)| snapshot.rows) {
                log::info!("feed: runs peer={source} runs={}", runs.len());
                let now = Instant::now();
                for run in runs {
                    self.state.runs.restore(run, now);
                }
                return true;
            }
        }
        false
    }

    /// Takes in what another host knows; `configuration_row` is the version of the configuration's row.
    fn apply_snapshot(
        &mut self,
        snapshot: SetSnapshot,
        configuration_row: Revision,
        asked: Instant,
    ) {
        let SetSnapshot {
            watermark,
            store_time,
            rows,
        } = snapshot;
        let state = self.state.clone();
        let feed = &state.feed;
        feed.observe_peer(store_time, asked, Instant::now());
        match rows {
            SnapshotRows::Configuration {
                configuration,
                rollout_orders,
            } => {
                if let Some(configuration) = configuration {
                    let age = RowOrigin::MayPredateRestore;
                    let applied =
                        apply_configuration(&state, configuration_row, configuration, age);
                    if applied == Applied::Unconfirmed {
                        // The store tells whether it was written since.
                        self.confirmed_in = 0;
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
            SnapshotRows::UpstreamChanges(changes) => self.apply_changes(changes),
            SnapshotRows::Runs(_) => {}
        }
        feed.advance(self.set, watermark);
        if let Some(moment) = feed.moment(watermark.written, Instant::now()) {
            self.confirm(moment);
        }
    }

    fn apply_changes(&self, changes: UpstreamChanges) {
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

/// Fetches a set from another host, or of the upstreams what changed after a version that is known. With it
/// comes the version of the configuration's row; 0 from a host of an earlier build, and of another set.
async fn fetch(
    set: RowSet,
    known: Revision,
    source: SocketAddr,
) -> Option<(SetSnapshot, Revision)> {
    if set == RowSet::Upstreams {
        let after = (known > 0).then_some(known);
        let (status, body) = get(&packed_upstreams_path(after), source).await?;
        if status.is_success() {
            let packed: PackedUpstreams = postcard::from_bytes(&body).ok()?;
            return packed.unpack().ok().map(|snapshot| (snapshot, 0));
        }
        if status != StatusCode::NOT_FOUND {
            return None;
        }
        // A host of an earlier build.
    }
    let (status, body) = get(&path_of(set), source).await?;
    if !status.is_success() {
        return None;
    }
    let (snapshot, rest) = postcard::take_from_bytes(&body).ok()?;
    let (configuration_row, _) = postcard::take_from_bytes(rest).unwrap_or_default();
    Some((snapshot, configuration_row))
}

async fn get(path: &str, source: SocketAddr) -> Option<(StatusCode, Bytes)> {
    let request = Request::get(path).header(header::HOST, source.to_string());
    let request = request.body(Bytes::new()).ok()?;
    transfer(source, request, SNAPSHOT_BOUNDS).await
}
