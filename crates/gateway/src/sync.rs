//! Keeps the view in step with the platform's store: reads each set of rows whole, then is
//! fed by another host or watches the set itself; after any doubt it reads the set whole again.

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
        state::GatewayState,
        view::MISSING_ROW_GRACE,
    },
    apply::LogRows,
    bytes::Bytes,
    calls::{CallFailure, StoreAnswer, StoreCalls},
    duties::DutyKeeper,
    http::{Request, Response},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::EngineId,
};
pub use {
    apply::{apply_rollout_record, apply_upstream_delta},
    pause::FailedCall,
};

/// The set by which a host tries a store that is away; the followers of the others wait for it.
const TRIED_SET: RowSet = RowSet::Configuration;
/// How often one page is asked for while the store refuses calls.
const PAGE_TRIES: u32 = 6;

/// A store that was away for this long may have let rows lapse of upstreams that live.
const LAPSE_AFTER: Duration = Duration::from_millis(2_500);

/// Follows one set of rows.
struct Follower {
    state: Arc<GatewayState>,
    set: RowSet,
    calls: StoreCalls,
    failures: u32,
    /// The cause of the last failure; none while the store answers.
    cause: Option<&'static str>,
    /// Changes were let gather after the last watch.
    has_gathered: bool,
    /// The era in which this host last wrote rows of the set, or was about to.
    written_in: StoreEra,
    /// The era in which the store was last asked for a configuration that it may have lost.
    confirmed_in: StoreEra,
    /// When the store was lost; none while it answers.
    lost_at: Option<Instant>,
}

/// Follows the configuration and the upstreams for as long as the process lives, and keeps in
/// the store who the hosts are and where streams run.
pub fn start(state: &Arc<GatewayState>) {
    for set in [RowSet::Configuration, RowSet::Upstreams] {
        let mut follower = Follower::new(state.clone(), set);
        tokio::spawn(async move { follower.follow().await });
    }
    let mut hosts = Follower::new(state.clone(), RowSet::Hosts);
    tokio::spawn(async move { hosts.keep_hosts().await });
    let mut runs = Follower::new(state.clone(), RowSet::Runs);
    tokio::spawn(async move { runs.keep_runs().await });
    let mut rollouts = Follower::new(state.clone(), RowSet::Rollouts);
    tokio::spawn(async move { rollouts.lead_rollouts().await });
    tokio::spawn(rollouts::review::review_rollouts(state.clone()));
    let mut crashes = Follower::new(state.clone(), RowSet::Crashes);
    tokio::spawn(async move { crashes.keep_crashes().await });
    let duties = Follower::new(state.clone(), RowSet::Duties);
    if let Some(mut keeper) = DutyKeeper::new(duties) {
        tokio::spawn(async move { keeper.keep().await });
    }
}

/// When the store wrote an answer.
#[derive(Clone, Copy)]
struct Written {
    /// By the store's clock.
    store_time: StoreTime,
    /// By this host's; a little earlier rather than later.
    moment: Instant,
}

/// What reading a whole set gave.
struct FullRead {
    /// The version as of which it was read.
    revision: Revision,
    /// A version at or after its newest change.
    changed: Revision,
    /// How many rows it has.
    rows: usize,
    /// How many upstreams it lacks that were known.
    gone: usize,
}

impl Follower {
    fn new(state: Arc<GatewayState>, set: RowSet) -> Self {
        Self {
            calls: StoreCalls::new(state.options.store.address),
            state,
            set,
            failures: 0,
            cause: None,
            has_gathered: false,
            written_in: 0,
            confirmed_in: 0,
            lost_at: None,
        }
    }

    /// The version up to which the set is known; 0 before it was read.
    fn newest(&self) -> Revision {
        let watermark = self.state.feed.progress(self.set).watermark();
        watermark.map_or(0, |watermark| watermark.revision)
    }

    /// Whether the store came back from an older copy since the set was read.
    fn is_of_earlier_era(&self) -> bool {
        let newest = self.newest();
        newest > 0 && era_of(newest) < self.state.feed.era()
    }

    /// Whether the store came back from an older copy since this was last asked, so that it may lack rows that
    /// this host wrote.
    fn may_lack_own_rows(&mut self) -> bool {
        let era = self.state.feed.era();
        std::mem::replace(&mut self.written_in, era) < era
    }

    async fn write(&mut self, request: Request<Bytes>) -> Result<(), CallFailure> {
        let bound = self.state.options.store.timeout;
        let answer = self.call(request, bound).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        let refusal = StoreRefusal::Busy(answer.status);
        Err(CallFailure::Refused(refusal))
    }

    /// Reads the whole set and takes it in.
    async fn read_full_set(&mut self) -> Result<(), CallFailure> {
        let mut after_key: Option<String> = None;
        let mut present: Vec<EngineId> = Vec::new();
        let mut first: Option<(Revision, Written)> = None;
        let mut newest_row: Revision = 0;
        let mut rows = 0;
        let log = self.row_logging();
        loop {
            let asked = Instant::now();
            let (page, written) = self.list(after_key.as_deref()).await?;
            rows += page.changes.len();
            let versions = page.changes.iter().map(|(revision, _)| *revision);
            newest_row = versions.max().unwrap_or_default().max(newest_row);
            let (revision, written) = *first.get_or_insert((page.revision, written));
            if era_of(page.revision) != era_of(revision) {
                return Err(CallFailure::NewEra);
            }
            present.extend(page.changes.iter().filter_map(apply::upstream_of));
            self.apply_rows(page.changes, log);
            after_key = page.next_key;
            if after_key.is_none() {
                let gone = self.finish_full_read(revision, written, &present);
                let changed = match self.set {
                    // Its one row is never dropped, so its version is that of the last change.
                    RowSet::Configuration => newest_row,
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
            if self.learn_between_pages(asked.elapsed()).await {
                return Ok(());
            }
        }
    }

    /// Reads one page of the set. While the store refuses calls because there are too many,
    /// the same page is asked for again: to begin anew would only make more of them.
    async fn list(&mut self, after_key: Option<&str>) -> Result<(Page, Written), CallFailure> {
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

    /// Takes in that the whole set was read; how many upstreams it lacked.
    fn finish_full_read(
        &self,
        revision: Revision,
        written: Written,
        present: &[EngineId],
    ) -> usize {
        match self.set {
            RowSet::Configuration => {
                self.confirm(written.moment);
                0
            }
            RowSet::Upstreams => self.retain(revision, present),
            RowSet::Hosts | RowSet::Runs | RowSet::Rollouts | RowSet::Duties | RowSet::Crashes => 0,
        }
    }

    /// Whether the rows of a whole set are logged one by one.
    pub(super) fn row_logging(&self) -> LogRows {
        if self.newest() == 0 {
            LogRows::Counted
        } else {
            LogRows::Each
        }
    }

    fn record_full_read(&mut self, read: &FullRead, written: Written) {
        let FullRead {
            revision,
            changed,
            rows,
            gone,
        } = *read;
        log::info!(
            "view: read whole set={} rows={rows} revision={revision} changed={changed} gone={gone}",
            self.set.name()
        );
        let watermark = SetWatermark {
            revision,
            changed,
            written: written.store_time,
        };
        let is_first = self.newest() == 0;
        self.state.feed.advance(self.set, watermark);
        if is_first {
            // Others that start wait for one that knows the set.
            self.state.peers.wake_sender();
        }
        self.note_regained();
    }

    /// Drops the upstreams that a whole set lacks; how many it lacks.
    fn retain(&self, revision: Revision, present: &[EngineId]) -> usize {
        let upstreams = &self.state.view.upstreams;
        let was_away = self
            .lost_at
            .is_some_and(|lost_at| lost_at.elapsed() >= LAPSE_AFTER);
        if was_away {
            let until = Instant::now() + MISSING_ROW_GRACE;
            return upstreams.retain_lapsed(revision, present, until);
        }
        upstreams.retain(revision, present)
    }

    fn confirm(&self, moment: Instant) {
        if self.set == RowSet::Configuration && self.state.view.version() > 0 {
            self.state.view.confirm(moment);
        }
    }

    /// Makes a call and reads its answer as a page; tells when the store wrote it.
    async fn page(
        &mut self,
        request: Request<Bytes>,
        bound: Duration,
    ) -> Result<(Page, Written), CallFailure> {
        let asked = Instant::now();
        let newest = self.newest();
        let answer = self.call(request, bound).await?;
        let page = self
            .state
            .protocol
            .read_page(self.set, answer.era, answer.status, &answer.body)
            .map_err(CallFailure::Refused)?;
        if page.revision < newest {
            let revision = page.revision;
            return Err(CallFailure::Stale { revision });
        }
        let arrived = Instant::now();
        let feed = &self.state.feed;
        feed.record_answer(page.store_time, asked, arrived);
        let moment = feed.to_local_instant(page.store_time, arrived);
        let written = Written {
            store_time: page.store_time,
            moment: moment.unwrap_or(asked),
        };
        Ok((page, written))
    }

    async fn call(
        &mut self,
        request: Request<Bytes>,
        bound: Duration,
    ) -> Result<StoreAnswer, CallFailure> {
        let asked = Instant::now();
        let result = self.calls.call(request, bound).await;
        let result = result.and_then(|answer| self.read_head(answer));
        if result.is_ok() {
            self.state
                .metrics
                .store_call_seconds
                .with_label_values(&[self.set.name()])
                .observe(asked.elapsed().as_secs_f64());
        }
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

    /// Reads the head of an answer, whatever the answer is.
    fn read_head(&mut self, answer: Response<Bytes>) -> Result<StoreAnswer, CallFailure> {
        let (head, body) = answer.into_parts();
        let read = self.state.protocol.read_store_head(&head.headers);
        let Some(era) = self.state.note_store_head(&read, self.set) else {
            self.calls.disconnect();
            return Err(CallFailure::EarlierEra);
        };
        Ok(StoreAnswer {
            era,
            status: head.status,
            body,
        })
    }
}
