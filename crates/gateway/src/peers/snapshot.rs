//! Snapshots of whole row sets, which a host serves to hosts that can't read the set from the store or don't have to.

mod encoded;
mod packed;

use {
    super::run_inquiry::answer_inquiry,
    crate::{
        edge::{Revision, RowSet, StoreTime},
        feed::SetWatermark,
        rollout::RolloutOrder,
        state::GatewayState,
        view::{Configuration, Customer, UpstreamChanges, UpstreamRecord},
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
    tealshore_core::{
        clock,
        http::{Body, ServerOptions, empty, full, serve},
        ids::CustomerId,
    },
    tealshore_runs::RunTrace,
    tokio::net::TcpListener,
};
pub use {
    encoded::{SNAPSHOT_CACHE_TIME, SnapshotCache},
    packed::{InvalidNameIndex, PackedUpstreams},
};

/// Minimum number of hosts that are served at once.
///
/// All hosts of a hall that start together, or learn that a set changed, ask the first host that has it, and would fill
/// a slow link for many seconds. Hosts that are not served in time go on to another host or to the store.
const MIN_CONNECTIONS: usize = 4;
/// Link capacity in Mbit/s per connection, about what the slow link of an asking host takes.
const MBPS_PER_CONNECTION: u32 = 5;

/// How long hosts that start are told of a loss of all hosts, which is longer than callers wait.
const LOSS_RETENTION: Duration = Duration::from_secs(600);

/// Returns how many hosts a host serves at once, given the capacity of its link.
#[must_use]
pub fn max_snapshot_connections(link_mbps: u32) -> usize {
    let by_link = usize::try_from(link_mbps / MBPS_PER_CONNECTION).unwrap_or(usize::MAX);
    by_link.max(MIN_CONNECTIONS)
}

/// Rows of a set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SnapshotRows {
    /// What operators wrote.
    Configuration {
        /// The configuration in force; `None` while the store holds none.
        configuration: Option<Configuration>,
        /// The newest rollout order of each service that has one.
        rollout_orders: Vec<RolloutOrder>,
    },
    /// All listed upstreams, each with the version of its row.
    Upstreams(Vec<(Revision, UpstreamRecord)>),
    /// Where streams run, on all hosts. This set has no watermark, since no host follows it.
    Runs(Vec<RunTrace>),
    /// Upstream changes after a version that the asking host has.
    UpstreamChanges(UpstreamChanges),
}

impl SnapshotRows {
    /// Returns whether changes between `known` and these rows are missing.
    #[must_use]
    pub fn leaves_gap_after(&self, known: Revision) -> bool {
        match self {
            Self::UpstreamChanges(changes) => changes.after > known,
            Self::Configuration { .. } | Self::Upstreams(_) | Self::Runs(_) => false,
        }
    }

    /// Returns whether these are all rows or only changes, as logs name it.
    #[must_use]
    pub fn extent(&self) -> &'static str {
        match self {
            Self::UpstreamChanges(_) => "changes",
            Self::Configuration { .. } | Self::Upstreams(_) | Self::Runs(_) => "full",
        }
    }

    /// Returns the number of rows.
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

/// A host's copy of a set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetSnapshot {
    /// How up to date the copy is. Rows may be newer than the watermark, never older.
    pub watermark: SetWatermark,
    /// The store time now, or a later one. A host that has never reached the store computes the age of the watermark
    /// from it, so an error makes the data appear older, never younger.
    pub store_time: StoreTime,
    /// The rows.
    pub rows: SnapshotRows,
}

impl SetSnapshot {
    /// Returns the upstream changes after a version that another host has, or all upstreams if the changes since then
    /// are not available. `None` until this host has read the upstreams.
    fn of_upstreams(state: &GatewayState, after: Option<Revision>, now: Instant) -> Option<Self> {
        // The watermark is read first, so that rows that change meanwhile are newer than it.
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

    /// Moves the store time to the end of the time for which the snapshot is served from the cache, so that the data
    /// appears older rather than younger than it is.
    fn postdated_by(mut self, after: Duration) -> Self {
        self.store_time += after;
        self
    }

    /// Returns this host's copy of a set; `None` until the set was read, and for sets that hosts don't serve.
    pub fn of(state: &GatewayState, set: RowSet, now: Instant) -> Option<Self> {
        // The watermark is read first, so that rows that change meanwhile are newer than it.
        let watermark = state.feed.progress(set).watermark();
        let (watermark, rows) = match set {
            RowSet::Configuration => {
                let configuration = state.view.configuration();
                let configuration = configuration.map(|known| for_earlier_builds(&known));
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
                let runs = SnapshotRows::Runs(state.runs.log.lock().running(now));
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

/// A key that no request can carry.
const UNUSABLE_KEY: &str = "\0";

/// Returns the configuration as snapshots carry it. Earlier builds ask for no key where the configuration holds none, so
/// one is added if there are customers without any.
#[must_use]
pub fn for_earlier_builds(configuration: &Configuration) -> Configuration {
    let mut configuration = configuration.clone();
    if configuration.requires_keys && configuration.customers.is_empty() {
        let customer = Customer {
            name: CustomerId::new(),
            priority: None,
        };
        configuration
            .customers
            .insert(UNUSABLE_KEY.to_owned(), customer);
    }
    configuration
}

/// Completes a configuration that a snapshot carried. Returns whether requests may be admitted by it: an earlier build
/// does not tell whether there are customers if none has a key.
#[must_use]
pub fn restore_key_requirement(
    configuration: &mut Configuration,
    requires_keys: Option<bool>,
) -> bool {
    let has_keys = !configuration.customers.is_empty();
    configuration.customers.remove(UNUSABLE_KEY);
    configuration.requires_keys = has_keys || requires_keys == Some(true);
    has_keys || requires_keys.is_some()
}

/// The path of a set's snapshot.
pub fn snapshot_path(set: RowSet) -> String {
    format!("/{}", set.name())
}

/// The path of the packed upstreams. A host of an earlier build answers 404, and serves them under [`snapshot_path`].
const PACKED_UPSTREAMS_PATH: &str = "/packed/upstreams";
/// Query prefix of the version that the asking host has.
const AFTER_QUERY: &str = "after=";

/// The path and query of the packed upstreams: the changes after a version that the asking host has, or all upstreams.
pub fn packed_upstreams_path(after: Option<Revision>) -> String {
    match after {
        Some(after) => format!("{PACKED_UPSTREAMS_PATH}?{AFTER_QUERY}{after}"),
        None => PACKED_UPSTREAMS_PATH.to_owned(),
    }
}

/// Parses the version that the asking host has from the query, if there is one.
fn parse_after(uri: &Uri) -> Option<Revision> {
    uri.query()?.strip_prefix(AFTER_QUERY)?.parse().ok()
}

/// Serves snapshots to other hosts for as long as the process lives.
pub async fn serve_snapshots(state: Arc<GatewayState>, listener: TcpListener) {
    let options = ServerOptions {
        max_connections: max_snapshot_connections(state.options.host.link_mbps),
        ..ServerOptions::default()
    };
    let encoded = Arc::new(SnapshotCache::default());
    let handler = move |request: Request<Incoming>| {
        let response = respond(&state, &encoded, request.uri());
        async move { response }
    };
    serve(listener, options, handler, pending()).await;
}

fn respond(state: &GatewayState, encoded: &SnapshotCache, uri: &Uri) -> Response<Body> {
    let path_and_query = uri.path_and_query().map_or("", PathAndQuery::as_str);
    if let Some(answer) = answer_inquiry(state, uri) {
        return answer;
    }
    let now = clock::now();
    match encoded.get_or_encode(path_and_query, now, || encode(state, uri, now)) {
        Some(bytes) => {
            state.metrics.count_peer_bytes("snapshot", bytes.len());
            Response::new(full(bytes))
        }
        // 404 would mean that this build does not know the path.
        None if uri.path() == PACKED_UPSTREAMS_PATH => with_status(StatusCode::SERVICE_UNAVAILABLE),
        None => with_status(StatusCode::NOT_FOUND),
    }
}

/// Encodes the requested set; `None` if this host doesn't have it.
fn encode(state: &GatewayState, uri: &Uri, now: Instant) -> Option<Bytes> {
    let path = uri.path();
    let encoding = if path == PACKED_UPSTREAMS_PATH {
        let snapshot = SetSnapshot::of_upstreams(state, parse_after(uri), now)?;
        postcard::to_stdvec(&PackedUpstreams::pack(
            snapshot.postdated_by(SNAPSHOT_CACHE_TIME),
        )?)
    } else {
        let mut sets = [RowSet::Configuration, RowSet::Upstreams, RowSet::Runs].into_iter();
        let set = sets.find(|set| snapshot_path(*set) == path)?;
        let snapshot = SetSnapshot::of(state, set, now)?;
        let encoding = postcard::to_stdvec(&snapshot.postdated_by(SNAPSHOT_CACHE_TIME));
        encoding.and_then(|bytes| match set {
            // Hosts of an earlier build ignore what follows the set.
            RowSet::Configuration => {
                let configuration = state.view.configuration();
                let requires_keys = configuration.map(|known| known.requires_keys);
                postcard::to_extend(&state.view.configuration_revision(), bytes)
                    .and_then(|bytes| postcard::to_extend(&state.configuration_report(now), bytes))
                    .and_then(|bytes| postcard::to_extend(&requires_keys, bytes))
            }
            RowSet::Runs => {
                let log = state.runs.log.lock();
                let loss = log.loss(LOSS_RETENTION, now);
                postcard::to_extend(&log.all(now), bytes)
                    .and_then(|bytes| postcard::to_extend(&loss, bytes))
            }
            RowSet::Upstreams
            | RowSet::Hosts
            | RowSet::Rollouts
            | RowSet::Duties
            | RowSet::Crashes => Ok(bytes),
        })
    };
    match encoding {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("peers: failed to encode snapshot path={path} error={error}");
            None
        }
    }
}

/// Returns an empty response.
pub(super) fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
