//! Whole sets of rows, as one host gives them to another that can't read them from the store
//! or need not.

mod encoded;
mod packed;

use {
    crate::{
        edge::{Revision, RowSet, StoreTime},
        feed::SetWatermark,
        rollout::RolloutOrder,
        run_trace::RunTrace,
        state::GatewayState,
        view::{Configuration, UpstreamChanges, UpstreamRecord},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode, Uri, uri::PathAndQuery},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::{
        future::pending,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::http::{Body, ServerOptions, empty, full, serve},
    tokio::net::TcpListener,
};
pub use {
    encoded::{EncodedSets, SHARED_FOR},
    packed::{PackedUpstreams, UnknownName},
};

/// The least number of hosts that are given sets at once. All hosts of a hall that start together, or learn that a
/// set changed, ask the first that knows it, and would fill a slow link for many seconds. Those that wait in vain go on
/// to another host or to the store.
const LEAST_CONNECTIONS: usize = 4;
/// A host gives to one more for each such part of its link, in Mbit/s: about what a slow link of a host that asks
/// takes.
const MBPS_PER_CONNECTION: u32 = 5;

/// How many hosts are given sets at once by one with a link of so many Mbit/s.
#[must_use]
pub fn connections_for(link_mbps: u32) -> usize {
    let by_link = usize::try_from(link_mbps / MBPS_PER_CONNECTION).unwrap_or(usize::MAX);
    by_link.max(LEAST_CONNECTIONS)
}

/// The rows of a set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SnapshotRows {
    /// What operators wrote.
    Configuration {
        /// The configuration in force; none while the store holds none.
        configuration: Option<Configuration>,
        /// The newest order to roll a version out, of each service that has one.
        rollout_orders: Vec<RolloutOrder>,
    },
    /// All upstreams that are listed, each with the version of its row.
    Upstreams(Vec<(Revision, UpstreamRecord)>),
    /// Where streams run, on all hosts. It has no watermark: no host follows this set.
    Runs(Vec<RunTrace>),
    /// What changed of the upstreams after a version that the asking host knows.
    UpstreamChanges(UpstreamChanges),
}

impl SnapshotRows {
    /// Whether changes are missing between a version and what these rows tell.
    #[must_use]
    pub fn leaves_gap_after(&self, known: Revision) -> bool {
        match self {
            Self::UpstreamChanges(changes) => changes.after > known,
            Self::Configuration { .. } | Self::Upstreams(_) | Self::Runs(_) => false,
        }
    }

    /// How much of the set these rows are, in logs.
    #[must_use]
    pub fn extent(&self) -> &'static str {
        match self {
            Self::UpstreamChanges(_) => "changes",
            Self::Configuration { .. } | Self::Upstreams(_) | Self::Runs(_) => "full",
        }
    }

    /// How many rows there are.
    #[must_use]
    pub fn count(&self) -> usize {
        match self {
            Self::Configuration {
                configuration,
                rollout_orders,
            } => usize::from(configuration.is_some()) + rollout_orders.len(),
            Self::Upstreams(rows) => rows.len(),
            Self::Runs(runs) => runs.len(),
            Self::UpstreamChanges(changes) => changes.listed.len() + changes.gone.len(),
        }
    }
}

/// All that a host knows of a set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetSnapshot {
    /// How far the host's knowledge goes; the rows are as of this or newer.
    pub watermark: SetWatermark,
    /// The store's time now, or later: a host that has never reached the store dates the
    /// watermark by it, as older rather than as younger than it is.
    pub store_time: StoreTime,
    /// The rows.
    pub rows: SnapshotRows,
}

impl SetSnapshot {
    /// What changed of the upstreams after a version that another host knows, or all of them where that is not
    /// known; none before they were read.
    fn of_upstreams(state: &GatewayState, after: Option<Revision>, now: Instant) -> Option<Self> {
        // The watermark is read first: rows that change meanwhile are newer than it says.
        let watermark = state.feed.progress(RowSet::Upstreams).watermark()?;
        let upstreams = &state.view.upstreams;
        let changes = after.and_then(|after| upstreams.changes_after(after));
        Some(Self {
            watermark,
            store_time: state.feed.store_time(now)?,
            rows: changes.map_or_else(
                || SnapshotRows::Upstreams(upstreams.rows()),
                SnapshotRows::UpstreamChanges,
            ),
        })
    }

    /// The same as it may be given for a while: its time is the latest at which it is, so that what it tells counts as
    /// older rather than as younger.
    fn given_until(mut self, after: Duration) -> Self {
        self.store_time += after;
        self
    }

    /// What this host knows of a set; none before it was read, and of sets that no host gives.
    pub fn of(state: &GatewayState, set: RowSet, now: Instant) -> Option<Self> {
        // The watermark is read first: rows that change meanwhile are newer than it says.
        let watermark = state.feed.progress(set).watermark();
        let (watermark, rows) = match set {
            RowSet::Configuration => {
                let configuration = state.view.configuration();
                let configuration = configuration.map(|known| known.as_ref().clone());
                let orders = state.rollouts.orders().into_iter();
                let rows = SnapshotRows::Configuration {
                    configuration,
                    rollout_orders: orders.map(|(order, _)| order).collect(),
                };
                (watermark?, rows)
            }
            RowSet::Upstreams => return Self::of_upstreams(state, None, now),
            RowSet::Runs if !state.runs.is_restored() => return None,
            RowSet::Runs => {
                let runs = SnapshotRows::Runs(state.runs.running(now));
                (SetWatermark::default(), runs)
            }
            RowSet::Hosts | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => return None,
        };
        Some(Self {
            watermark,
            store_time: state.feed.store_time(now)?,
            rows,
        })
    }
}

/// The path under which a host gives a set.
pub fn path_of(set: RowSet) -> String {
    format!("/{}", set.name())
}

/// The path under which a host gives upstreams in few bytes. A host of a build that does not know it
/// answers 404, and gives them under [`path_of`].
const PACKED_UPSTREAMS_PATH: &str = "/packed/upstreams";
/// What stands before the version that the asking host knows.
const AFTER_QUERY: &str = "after=";

/// The path and query under which a host gives upstreams in few bytes: what changed after a version
/// that the asking host knows, or all of them.
pub fn packed_upstreams_path(after: Option<Revision>) -> String {
    match after {
        Some(after) => format!("{PACKED_UPSTREAMS_PATH}?{AFTER_QUERY}{after}"),
        None => PACKED_UPSTREAMS_PATH.to_owned(),
    }
}

/// The version that the asking host knows, where it tells one.
fn after_of(uri: &Uri) -> Option<Revision> {
    uri.query()?.strip_prefix(AFTER_QUERY)?.parse().ok()
}

/// Gives sets to other hosts for as long as the process lives.
pub async fn serve_snapshots(state: Arc<GatewayState>, listener: TcpListener) {
    let options = ServerOptions {
        max_connections: connections_for(state.options.host.link_mbps),
        ..ServerOptions::default()
    };
    let encoded = Arc::new(EncodedSets::default());
    let answering = move |request: Request<Incoming>| {
        let response = answer(&state, &encoded, request.uri());
        async move { response }
    };
    serve(listener, options, answering, pending()).await;
}

fn answer(state: &GatewayState, encoded: &EncodedSets, uri: &Uri) -> Response<Body> {
    let asked = uri.path_and_query().map_or("", PathAndQuery::as_str);
    let now = Instant::now();
    match encoded.get_or_encode(asked, now, || encode(state, uri, now)) {
        Some(bytes) => {
            state.metrics.count_peer_bytes("snapshot", bytes.len());
            Response::new(full(bytes))
        }
        // Not 404: that tells that the path is not known.
        None if uri.path() == PACKED_UPSTREAMS_PATH => with_status(StatusCode::SERVICE_UNAVAILABLE),
        None => with_status(StatusCode::NOT_FOUND),
    }
}

/// The set that is asked for; none where this host does not know it.
fn encode(state: &GatewayState, uri: &Uri, now: Instant) -> Option<Bytes> {
    let path = uri.path();
    let written = if path == PACKED_UPSTREAMS_PATH {
        let snapshot = SetSnapshot::of_upstreams(state, after_of(uri), now)?;
        postcard::to_stdvec(&PackedUpstreams::pack(snapshot.given_until(SHARED_FOR))?)
    } else {
        let mut sets = [RowSet::Configuration, RowSet::Upstreams, RowSet::Runs].into_iter();
        let set = sets.find(|set| path_of(*set) == path)?;
        let snapshot = SetSnapshot::of(state, set, now)?;
        let written = postcard::to_stdvec(&snapshot.given_until(SHARED_FOR));
        written.and_then(|bytes| match set {
            // Hosts of an earlier build pass over what stands behind a set.
            RowSet::Configuration => {
                postcard::to_extend(&state.view.configuration_revision(), bytes)
            }
            RowSet::Upstreams
            | RowSet::Hosts
            | RowSet::Runs
            | RowSet::Rollouts
            | RowSet::Duties
            | RowSet::Crashes => Ok(bytes),
        })
    };
    match written {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("peers: snapshot can't be written path={path} error={error}");
            None
        }
    }
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
