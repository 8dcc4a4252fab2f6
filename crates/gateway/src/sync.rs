//! Keeps the view in step with the platform's store: reads each set of rows whole, then
//! waits for its changes; after any doubt it reads the set whole again.

mod calls;

use {
    crate::{
        edge::{Change, Page, Revision, RowSet, RunPlace, StoreRefusal},
        state::GatewayState,
        view::StoreClock,
    },
    bytes::Bytes,
    calls::{CallFailure, StoreCalls},
    http::{Request, StatusCode},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::EngineId,
        protection::{Protection, enabled},
        spread::spread,
    },
    tokio::time::sleep,
};

/// The pause after the first failed call; each further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// After news, more of it is let gather for at least this long, so that it comes by one call.
const SHORTEST_GATHERING: Duration = Duration::from_millis(300);
/// The longest such time: well within the bound after which a leaving upstream gets no new
/// work, and configurations are in force.
const LONGEST_GATHERING: Duration = Duration::from_millis(1_000);
/// The time by which each host makes it longer.
const GATHERING_PER_HOST: Duration = Duration::from_millis(3);
/// How often one page is asked for while the store refuses calls.
const PAGE_TRIES: u32 = 6;
/// How often a host writes where its streams run, while there is news.
const RUNS_INTERVAL: Duration = Duration::from_secs(3);

/// Follows one set of rows.
struct Follower {
    state: Arc<GatewayState>,
    set: RowSet,
    calls: StoreCalls,
    clock: StoreClock,
    newest: Revision,
    failures: u32,
}

/// Follows the configuration and the upstreams for as long as the process lives, and tells
/// the store once of this host.
pub fn start(state: &Arc<GatewayState>) {
    for set in [RowSet::Configuration, RowSet::Upstreams] {
        let mut follower = Follower::new(state.clone(), set);
        tokio::spawn(async move { follower.follow().await });
    }
    let mut hosts = Follower::new(state.clone(), RowSet::Hosts);
    tokio::spawn(async move { hosts.join().await });
    let mut runs = Follower::new(state.clone(), RowSet::Runs);
    tokio::spawn(async move { runs.keep_runs().await });
}

impl Follower {
    fn new(state: Arc<GatewayState>, set: RowSet) -> Self {
        Self {
            calls: StoreCalls::new(state.options.store.address),
            state,
            set,
            clock: StoreClock::default(),
            newest: 0,
            failures: 0,
        }
    }

    async fn follow(&mut self) {
        loop {
            let failure = match self.read_whole().await {
                Ok(()) => self.watch().await,
                Err(failure) => failure,
            };
            self.pause_after(&failure).await;
        }
    }

    /// Writes this host's row and reads those of the others, once.
    async fn join(&mut self) {
        let own = self.state.peers.own_record();
        while let Err(failure) = self.write(self.state.protocol.write_host_call(&own)).await {
            self.pause_after(&failure).await;
        }
        while let Err(failure) = self.read_whole().await {
            self.pause_after(&failure).await;
        }
    }

    /// Reads where streams ran before this host started, then keeps in the store where its
    /// own run: what all hosts know is lost when all of them lose power.
    async fn keep_runs(&mut self) {
        while let Err(failure) = self.read_whole().await {
            self.pause_after(&failure).await;
        }
        let mut written: Vec<RunPlace> = Vec::new();
        loop {
            sleep(RUNS_INTERVAL).await;
            let now = self.state.runs.own_places(Instant::now());
            let has_news = now.iter().any(|place| !written.contains(place));
            if !has_news {
                continue;
            }
            let host = &self.state.options.host.id;
            let request = self.state.protocol.write_runs_call(host, &now);
            match self.write(request).await {
                Ok(()) => {
                    self.note_regained();
                    written = now;
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    async fn write(&mut self, request: Request<Bytes>) -> Result<(), CallFailure> {
        let bound = self.state.options.store.timeout;
        let (status, _) = self.call(request, bound).await?;
        if status.is_success() {
            return Ok(());
        }
        Err(CallFailure::Refused(StoreRefusal::Busy(status)))
    }

    /// Reads the whole set and takes it in.
    async fn read_whole(&mut self) -> Result<(), CallFailure> {
        let mut after_key: Option<String> = None;
        let mut present: Vec<EngineId> = Vec::new();
        let mut first: Option<(Revision, Instant)> = None;
        loop {
            let (page, written) = self.list(after_key.as_deref()).await?;
            let (revision, written) = *first.get_or_insert((page.revision, written));
            present.extend(page.changes.iter().filter_map(upstream_of));
            self.take_in(page.changes);
            after_key = page.next_key;
            if after_key.is_none() {
                self.finish_whole(revision, written, &present);
                return Ok(());
            }
        }
    }

    /// Reads one page of the set. While the store refuses calls because there are too many,
    /// the same page is asked for again: to begin anew would only make more of them.
    async fn list(&mut self, after_key: Option<&str>) -> Result<(Page, Instant), CallFailure> {
        let bound = self.state.options.store.timeout;
        for _ in 0..PAGE_TRIES {
            let request = self.state.protocol.list_call(self.set, after_key);
            match self.page(request, bound).await {
                Err(failure @ CallFailure::Refused(StoreRefusal::Busy(_))) => {
                    self.pause_after(&failure).await;
                }
                other => return other,
            }
        }
        let request = self.state.protocol.list_call(self.set, after_key);
        self.page(request, bound).await
    }

    fn finish_whole(&mut self, revision: Revision, written: Instant, present: &[EngineId]) {
        match self.set {
            RowSet::Configuration => self.confirm(written),
            RowSet::Upstreams => {
                let gone = self.state.view.upstreams.retain(revision, present);
                log::info!(
                    "view: read whole set={} revision={revision} rows={} gone={gone}",
                    self.set.name(),
                    present.len()
                );
            }
            RowSet::Hosts | RowSet::Runs => {}
        }
        self.newest = revision;
        self.note_regained();
    }

    /// Waits for changes until a call fails.
    async fn watch(&mut self) -> CallFailure {
        let wait = self.state.options.store.watch;
        let bound = if enabled(Protection::WatchTimeout) {
            wait + self.state.options.store.timeout
        } else {
            Duration::MAX / 4
        };
        loop {
            let request = self.state.protocol.watch_call(self.set, self.newest, wait);
            match self.page(request, bound).await {
                Ok((page, written)) => {
                    let is_news = !page.changes.is_empty();
                    self.newest = page.revision;
                    self.take_in(page.changes);
                    self.confirm(written);
                    if is_news {
                        sleep(self.gathering_time()).await;
                    }
                }
                Err(failure) => return failure,
            }
        }
    }

    /// How long more news is let gather. All hosts hear of each change of an upstream, so the
    /// more hosts there are, the more news each call must bring.
    fn gathering_time(&self) -> Duration {
        let hosts = u32::try_from(self.state.peers.most_hosts()).unwrap_or(u32::MAX);
        let by_hosts = GATHERING_PER_HOST.saturating_mul(hosts);
        by_hosts.clamp(SHORTEST_GATHERING, LONGEST_GATHERING)
    }

    fn confirm(&self, written: Instant) {
        if self.set == RowSet::Configuration && self.state.view.version() > 0 {
            self.state.view.confirm(written);
        }
    }

    /// Makes a call and reads its answer as a page; tells when the store wrote it.
    async fn page(
        &mut self,
        request: Request<Bytes>,
        bound: Duration,
    ) -> Result<(Page, Instant), CallFailure> {
        let asked = Instant::now();
        let (status, body) = self.call(request, bound).await?;
        let page = self
            .state
            .protocol
            .read_page(self.set, status, &body)
            .map_err(CallFailure::Refused)?;
        if page.revision < self.newest {
            return Err(CallFailure::Stale);
        }
        let written = self
            .clock
            .written_at(page.store_time, asked, Instant::now());
        Ok((page, written))
    }

    async fn call(
        &mut self,
        request: Request<Bytes>,
        bound: Duration,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let result = self.calls.call(request, bound).await;
        let name = result
            .as_ref()
            .map_or_else(CallFailure::name, |_| "answered");
        self.state
            .metrics
            .store_calls
            .with_label_values(&[self.set.name(), name])
            .inc();
        result
    }

    fn take_in(&self, changes: Vec<(Revision, Change)>) {
        for (revision, change) in changes {
            self.take_in_one(revision, change);
        }
    }

    fn take_in_one(&self, revision: Revision, change: Change) {
        let view = &self.state.view;
        match change {
            Change::Configuration(configuration) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                let keys = configuration.customers.len();
                let outcome = if view.apply(*configuration) {
                    "in-force"
                } else {
                    "older"
                };
                self.state
                    .metrics
                    .config_version
                    .set(i64::try_from(view.version()).unwrap_or(i64::MAX));
                log::info!(
                    "view: configuration version={version} revision={revision} routes={routes} \
                     keys={keys} outcome={outcome}"
                );
            }
            Change::Upstream(record) => {
                let (id, state) = (record.id.clone(), record.state);
                let (address, hall) = (record.address, record.hall.clone());
                if view.upstreams.put(revision, record) {
                    log::info!(
                        "view: upstream upstream={id} address={address} hall={hall} \
                         state={state:?} revision={revision}"
                    );
                }
            }
            Change::UpstreamGone(id) => {
                if view.upstreams.remove(revision, &id) {
                    log::info!("view: upstream gone upstream={id} revision={revision}");
                }
            }
            Change::Host(host) => self.state.peers.add(&host),
            Change::Runs(places) => {
                let now = Instant::now();
                for place in places {
                    self.state.runs.restore(place, now);
                }
            }
            Change::Unreadable(reason) => {
                log::error!(
                    "view: row unreadable set={} revision={revision} reason={reason}",
                    self.set.name()
                );
            }
        }
    }

    async fn pause_after(&mut self, failure: &CallFailure) {
        if self.failures == 0 {
            log::warn!(
                "store: lost set={} cause={} revision={}",
                self.set.name(),
                failure.name(),
                self.newest
            );
        }
        let doubled = FIRST_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        sleep(spread(doubled.min(LONGEST_PAUSE) / 2)).await;
    }

    fn note_regained(&mut self) {
        if self.failures > 0 {
            log::info!(
                "store: regained set={} failures={} revision={}",
                self.set.name(),
                self.failures,
                self.newest
            );
        }
        self.failures = 0;
    }
}

fn upstream_of(row: &(Revision, Change)) -> Option<EngineId> {
    match &row.1 {
        Change::Upstream(record) => Some(record.id.clone()),
        Change::Configuration(_)
        | Change::UpstreamGone(_)
        | Change::Host(_)
        | Change::Runs(_)
        | Change::Unreadable(_) => None,
    }
}
