//! Keeps the view in sync with the platform's store. Each set of rows is first read in full; after that it is
//! updated from a feeder host or by watching the set in the store. It is read in full again whenever changes
//! may have been missed.

mod ambiguous_runs;
mod apply;
mod calls;
mod crashes;
mod duties;
mod follow;
mod from_peers;
mod hosts;
mod outage;
mod pause;
mod rollouts;
mod runs;

use {
    crate::{
        edge::{Page, Revision, RowSet, StoreEra, StoreRefusal, StoreTime, era_of},
        feed::SetWatermark,
        peers::PeerSocket,
        state::GatewayState,
        view::{MISSING_ROW_GRACE, ViewFacts, ViewSource},
    },
    apply::{ConfigurationSource, LogRows},
    bytes::Bytes,
    calls::{StoreAnswer, StoreCallFailure, StoreClient},
    duties::DutyRunner,
    http::{Request, Response},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::EngineId},
};
pub use {
    apply::{apply_rollout_record, apply_upstream_delta},
    pause::FailedCall,
};

/// The set used to probe an unavailable store; followers of the other sets wait until it is answered.
const PROBE_SET: RowSet = RowSet::Configuration;
/// Number of times a page is requested again while the store refuses calls as busy.
const MAX_PAGE_RETRIES: u32 = 6;

/// Rows of live upstreams may have expired in a store that was unavailable for this long.
const ROW_EXPIRY_OUTAGE: Duration = Duration::from_millis(2_500);

/// Keeps one set of rows up to date.
struct Follower {
    state: Arc<GatewayState>,
    set: RowSet,
    client: StoreClient,
    failures: u32,
    /// The cause of the last failure; `None` while the store answers.
    cause: Option<&'static str>,
    /// Whether the last watch returned changes and was followed by a batching delay.
    has_batched: bool,
    /// The era in which this host last wrote rows of the set or was about to write them.
    written_era: StoreEra,
    /// The era in which the configuration was last re-read because a restore of the store may have lost it.
    confirmed_era: StoreEra,
    /// When the store became unavailable to this host; `None` while it answers.
    unavailable_since: Option<Instant>,
}

/// Starts the tasks that follow the configuration and the upstreams, store the hosts, runs and crash reports,
/// lead rollouts and perform duties. They run until the process ends.
pub(crate) fn start(state: &Arc<GatewayState>, peer_socket: &Arc<PeerSocket>) {
    for set in [RowSet::Configuration, RowSet::Upstreams] {
        let mut follower = Follower::new(state.clone(), set);
        tokio::spawn(async move { follower.follow().await });
    }
    let mut hosts = Follower::new(state.clone(), RowSet::Hosts);
    tokio::spawn(async move { hosts.maintain_hosts().await });
    let mut runs = Follower::new(state.clone(), RowSet::Runs);
    tokio::spawn(async move { runs.maintain_runs().await });
    let mut ambiguous_runs = Follower::new(state.clone(), RowSet::Runs);
    tokio::spawn(async move { ambiguous_runs.store_ambiguous_runs().await });
    let mut rollouts = Follower::new(state.clone(), RowSet::Rollouts);
    tokio::spawn(async move { rollouts.lead_rollouts().await });
    tokio::spawn(rollouts::review::review_rollouts(state.clone()));
    let mut crashes = Follower::new(state.clone(), RowSet::Crashes);
    tokio::spawn(async move { crashes.maintain_crashes().await });
    let duties = Follower::new(state.clone(), RowSet::Duties);
    if let Some(mut runner) = DutyRunner::new(duties, peer_socket.clone()) {
        tokio::spawn(async move { runner.run().await });
    }
}

/// When the store produced an answer.
#[derive(Clone, Copy)]
struct AnswerTime {
    /// By the store's clock.
    store_time: StoreTime,
    /// By this host's clock; if inexact, it is too early rather than too late.
    moment: Instant,
}

/// Result of reading a full set.
struct FullRead {
    /// The revision at which the set was read.
    revision: Revision,
    /// A revision at or after the latest change of the set.
    changed: Revision,
    /// Number of rows in the set.
    rows: usize,
    /// Number of known upstreams that the set does not contain.
    gone: usize,
}

impl Follower {
    fn new(state: Arc<GatewayState>, set: RowSet) -> Self {
        Self {
            client: StoreClient::new(state.options.store.address),
            state,
            set,
            failures: 0,
            cause: None,
            has_batched: false,
            written_era: 0,
            confirmed_era: 0,
            unavailable_since: None,
        }
    }

    /// The revision up to which the set is known; 0 until it has been read.
    fn known_revision(&self) -> Revision {
        let watermark = self.state.feed.progress(self.set).watermark();
        watermark.map_or(0, |watermark| watermark.revision)
    }

    /// Whether the store was restored from an older copy after the set was read.
    fn is_from_earlier_era(&self) -> bool {
        let known_revision = self.known_revision();
        known_revision > 0 && era_of(known_revision) < self.state.feed.era()
    }

    /// Whether the store was restored from an older copy since the previous call of this function. In that
    /// case it may have lost rows that this host wrote.
    fn may_lack_own_rows(&mut self) -> bool {
        let era = self.state.feed.era();
        std::mem::replace(&mut self.written_era, era) < era
    }

    async fn write(&mut self, request: Request<Bytes>) -> Result<(), StoreCallFailure> {
        let time_limit = self.state.options.store.timeout;
        let answer = self.call(request, time_limit).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        let refusal = StoreRefusal::Busy(answer.status);
        Err(StoreCallFailure::Refused(refusal))
    }

    /// Reads the full set and applies it.
    async fn read_full_set(&mut self) -> Result<(), StoreCallFailure> {
        let mut after_key: Option<String> = None;
        let mut present: Vec<EngineId> = Vec::new();
        let mut first: Option<(Revision, AnswerTime)> = None;
        let mut newest_row_revision: Revision = 0;
        let mut rows = 0;
        let log = self.row_logging();
        loop {
            let sent_at = clock::now();
            let (page, written) = self.list(after_key.as_deref()).await?;
            rows += page.changes.len();
            let revisions = page.changes.iter().map(|(revision, _)| *revision);
            newest_row_revision = revisions.max().unwrap_or_default().max(newest_row_revision);
            let (revision, written) = *first.get_or_insert((page.revision, written));
            if era_of(page.revision) != era_of(revision) {
                return Err(StoreCallFailure::NewEra);
            }
            present.extend(page.changes.iter().filter_map(apply::listed_upstream));
            self.apply_rows(page.changes, log, ConfigurationSource::FullRead);
            after_key = page.next_key;
            if after_key.is_none() {
                let gone = self.remove_missing(revision, &present);
                let changed = match self.set {
                    // The only row is never deleted, so its revision is that of the last change.
                    RowSet::Configuration => newest_row_revision,
                    RowSet::Upstreams
                    | RowSet::Hosts
                    | RowSet::Runs
                    | RowSet::Rollouts
                    | RowSet::Duties
                    | RowSet::Crashes => revision,
                };
                let read = FullRead {
                    revision,
                    changed,
                    rows,
                    gone,
                };
                self.record_full_read(&read, written);
                return Ok(());
            }
            if self
                .read_from_peers_between_pages(clock::elapsed(sent_at))
                .await
            {
                return Ok(());
            }
        }
    }

    /// Reads one page of the set. While the store refuses calls because there are too many, the same page is
    /// requested again, since restarting the read would add further calls.
    async fn list(
        &mut self,
        after_key: Option<&str>,
    ) -> Result<(Page, AnswerTime), StoreCallFailure> {
        let time_limit = self.state.options.store.timeout;
        for _ in 0..MAX_PAGE_RETRIES {
            let request = self.state.protocol.list_call(self.set, after_key);
            match self.page(request, time_limit).await {
                Err(failure @ StoreCallFailure::Refused(StoreRefusal::Busy(_))) => {
                    self.pause_after(&failure).await;
                }
                other => return other,
            }
        }
        let request = self.state.protocol.list_call(self.set, after_key);
        self.page(request, time_limit).await
    }

    /// Removes known upstreams that a full set does not contain. Returns their number.
    fn remove_missing(&self, revision: Revision, present: &[EngineId]) -> usize {
        match self.set {
            RowSet::Upstreams => self.retain(revision, present),
            RowSet::Configuration
            | RowSet::Hosts
            | RowSet::Runs
            | RowSet::Rollouts
            | RowSet::Duties
            | RowSet::Crashes => 0,
        }
    }

    /// How the rows of a full set are logged.
    pub(super) fn row_logging(&self) -> LogRows {
        if self.known_revision() == 0 {
            LogRows::Counted
        } else {
            LogRows::Each
        }
    }

    fn record_full_read(&mut self, read: &FullRead, written: AnswerTime) {
        let FullRead {
            revision,
            changed,
            rows,
            gone,
        } = *read;
        log::info!(
            "view: full read completed set={} rows={rows} revision={revision} changed={changed} gone={gone}",
            self.set.name()
        );
        let watermark = SetWatermark {
            revision,
            changed,
            written: written.store_time,
        };
        let is_first = self.known_revision() == 0;
        self.state.feed.advance(self.set, watermark);
        self.confirm(written.moment, &ViewSource::Store);
        if is_first {
            // Starting hosts wait for a host that has the set.
            self.state.peers.wake_sender();
        }
        self.record_recovery();
    }

    /// Removes upstreams that are missing from a full set and returns their number. After a long outage they
    /// are given a grace period first.
    fn retain(&self, revision: Revision, present: &[EngineId]) -> usize {
        let upstreams = &self.state.view.upstreams;
        let was_unavailable = self.unavailable_since.is_some_and(|unavailable_since| {
            clock::elapsed(unavailable_since) >= ROW_EXPIRY_OUTAGE
        });
        if was_unavailable {
            let until = clock::now() + MISSING_ROW_GRACE;
            return upstreams.retain_after_outage(revision, present, until);
        }
        upstreams.retain(revision, present)
    }

    /// Records that an answer of the store, given at `moment`, showed what is known to be the newest. After a restore of
    /// the store it does so only once the store's configuration is complete.
    fn confirm(&self, moment: Instant, source: &ViewSource) {
        if self.set == RowSet::Configuration && self.state.confirms_configuration(moment) {
            self.confirm_view(moment, source);
        }
    }

    fn confirm_view(&self, moment: Instant, source: &ViewSource) {
        let view = &self.state.view;
        view.confirm(moment);
        if let Some(before) = view.set_source(source) {
            let facts = ViewFacts::of(view, clock::now());
            log::info!("view: source changed {facts} before={before}");
        }
    }

    /// Makes a call and parses its answer as a page. Also returns when the store produced the answer.
    async fn page(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<(Page, AnswerTime), StoreCallFailure> {
        let sent_at = clock::now();
        let known_revision = self.known_revision();
        let answer = self.call(request, time_limit).await?;
        let page = self
            .state
            .protocol
            .read_page(self.set, answer.era, answer.status, &answer.body)
            .map_err(StoreCallFailure::Refused)?;
        if page.revision < known_revision {
            let revision = page.revision;
            return Err(StoreCallFailure::Stale { revision });
        }
        let arrived = clock::now();
        let feed = &self.state.feed;
        feed.record_answer(page.store_time, sent_at, arrived);
        feed.record_revision(page.revision);
        let moment = feed.to_local_instant(page.store_time, arrived);
        let written = AnswerTime {
            store_time: page.store_time,
            moment: moment.unwrap_or(sent_at),
        };
        Ok((page, written))
    }

    async fn call(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<StoreAnswer, StoreCallFailure> {
        let sent_at = clock::now();
        let result = self.client.call(request, time_limit).await;
        let result = result.and_then(|answer| self.read_head(answer));
        if result.is_ok() {
            self.state
                .metrics
                .store_call_seconds
                .with_label_values(&[self.set.name()])
                .observe(clock::elapsed(sent_at).as_secs_f64());
        }
        let name = result
            .as_ref()
            .map_or_else(StoreCallFailure::name, |_| "answered");
        self.state
            .metrics
            .store_calls
            .with_label_values(&[self.set.name(), name])
            .inc();
        result
    }

    /// Processes the headers of an answer, whatever its status.
    fn read_head(&mut self, answer: Response<Bytes>) -> Result<StoreAnswer, StoreCallFailure> {
        let (head, body) = answer.into_parts();
        let read = self.state.protocol.read_store_head(&head.headers);
        let Some(era) = self.state.record_store_head(&read, self.set) else {
            self.client.disconnect();
            return Err(StoreCallFailure::EarlierEra);
        };
        Ok(StoreAnswer {
            era,
            status: head.status,
            body,
        })
    }
}
