//! All that the parts of this host share.

mod choice;
mod limits;
mod notices;
mod store_heads;

pub use limits::Closed;

use {
    crate::{
        budget::{BudgetUse, RetryBudget},
        capacity::Capacity,
        crashes::Crashes,
        duties::Duties,
        edge::Protocol,
        feed::{
            Contender, DEPUTY_BOUND, FED_BOUND, Feed, FeederChoice, choose_feeder, hosts_before,
        },
        limits::Limits,
        metrics::GatewayMetrics,
        options::{GatewayOptions, StaleKeyPolicy},
        pace::{Pace, RemainingWork},
        peers::{HostPhase, Peers},
        read_rate::ReadRate,
        rollout::Rollouts,
        runs::Runs,
        stop::Stop,
        view::{Upstream, View},
    },
    parking_lot::{Mutex, RwLock},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    store_heads::StoreHeads,
    tealshore_core::{
        ids::{CustomerId, ServiceId},
        protection::{Protection, enabled},
    },
    tealshore_notices::{Notices, UnknownWords},
    tokio::sync::Semaphore,
};

/// What is left of the bound on the age of keys for a request that is on its way.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(400);

/// How long after its start a host lets requests wait for its first view, which it has some 50 ms
/// after its start: callers come back in the instant in which hosts that died are there again.
const FIRST_VIEW_PATIENCE: Duration = Duration::from_millis(250);

/// The part of the longest answer that is kept with each answer: what was seen some hundred
/// answers ago no longer counts.
const LONGEST_KEPT: f64 = 0.99;

/// All that the parts of this host share.
pub struct GatewayState {
    started: Instant,
    /// The settings.
    pub options: GatewayOptions,
    /// Translates the deployment's protocol.
    pub protocol: Arc<dyn Protocol>,
    /// What this host believes about the outside.
    pub view: View,
    /// How far this host's knowledge of the store goes.
    pub feed: Feed,
    /// The other hosts.
    pub peers: Peers,
    /// Streams that ran a short time ago.
    pub runs: Runs,
    /// Requests that crash upstreams.
    pub crashes: Crashes,
    /// What upstreams said of themselves in their answers.
    notices: RwLock<Notices>,
    /// The limits that upstreams name for all hosts together.
    pub limits: Limits,
    /// Words of upstreams that the adapter does not know.
    unknown_words: Mutex<UnknownWords>,
    /// What the heads of the store's answers said.
    store_heads: StoreHeads,
    /// Roll-outs of versions.
    pub rollouts: Rollouts,
    /// Duties that one host holds at a time.
    pub duties: Duties,
    /// What it remembers for orders of engines.
    pub capacity: Capacity,
    /// What it counts.
    pub metrics: GatewayMetrics,
    /// The planned stop.
    pub stop: Stop,
    /// Room for request bodies, in bytes.
    pub body_room: Arc<Semaphore>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    read_rates: Mutex<HashMap<ServiceId, ReadRate>>,
    paces: Mutex<HashMap<ServiceId, Pace>>,
    longest_answers: Mutex<HashMap<ServiceId, Duration>>,
}

impl GatewayState {
    /// The state of a host that knows nothing yet.
    ///
    /// # Errors
    /// A metric can't be made.
    pub fn new(options: GatewayOptions, protocol: Arc<dyn Protocol>) -> eyre::Result<Self> {
        let peers = Peers::new(&options.host, &options.peers, &options.topology);
        Ok(Self {
            started: Instant::now(),
            duties: Duties::new(options.duties.clone(), peers.process(), &options.host.hall),
            peers,
            view: View::default(),
            feed: Feed::default(),
            runs: Runs::default(),
            crashes: Crashes::default(),
            notices: RwLock::default(),
            limits: Limits::default(),
            unknown_words: Mutex::default(),
            store_heads: StoreHeads::default(),
            rollouts: Rollouts::new(rand::random()),
            capacity: Capacity::default(),
            metrics: GatewayMetrics::new()?,
            stop: Stop::default(),
            body_room: Arc::new(Semaphore::new(options.host.body_bytes)),
            budgets: Mutex::default(),
            read_rates: Mutex::default(),
            paces: Mutex::default(),
            longest_answers: Mutex::default(),
            protocol,
            options,
        })
    }

    /// Waits for the first view of a host that has just started; no longer than that takes where
    /// the store or another host tells it.
    pub async fn wait_for_first_view(&self) {
        let until = self.started + FIRST_VIEW_PATIENCE;
        self.feed.wait_until_known(until).await;
    }

    /// Whether a request with a key may be sent on by what is known of keys.
    pub fn trusts_keys(&self, now: Instant) -> bool {
        match self.options.bounds.stale_keys {
            StaleKeyPolicy::Refuse => self.is_view_fresh(now),
            StaleKeyPolicy::Serve => self.view.configuration().is_some(),
        }
    }

    /// Whether what is known of keys is young enough to be sure of it.
    pub fn is_view_fresh(&self, now: Instant) -> bool {
        let bound = self.options.bounds.key_age.saturating_sub(KEY_AGE_MARGIN);
        self.view
            .age(now)
            .is_some_and(|age| age <= bound || !enabled(Protection::KeyAge))
    }

    /// Whether this host takes traffic, for its peers and for callers' addresses.
    pub fn phase(&self, now: Instant) -> HostPhase {
        if self.stop.is_requested() {
            HostPhase::Leaving
        } else if self.is_view_fresh(now) {
            HostPhase::Serving
        } else if self.trusts_keys(now) {
            HostPhase::Stale
        } else {
            HostPhase::Starting
        }
    }

    /// This host as one that may feed others; none while it stops or knows too little.
    fn own_contender(&self, now: Instant) -> Option<Contender> {
        let host = &self.options.host;
        if self.phase(now) == HostPhase::Leaving {
            return None;
        }
        Some(Contender {
            host: host.id.clone(),
            hall: host.hall.clone(),
            link_mbps: host.link_mbps,
            watermark: self.feed.watermark()?,
            reaches_store: self.feed.reaches_store(),
        })
    }

    /// Which host tells this one what the store says.
    pub fn feeder(&self, now: Instant) -> FeederChoice {
        let mut group = self.peers.contenders(now);
        group.extend(self.own_contender(now));
        let mut relays = self.peers.relays(now);
        let eras = group.iter().chain(&relays).map(|it| it.watermark.era());
        self.note_era(eras.max().unwrap_or_default(), "peer");
        let era = self.feed.era();
        for contenders in [&mut group, &mut relays] {
            contenders.retain(|contender| {
                let watermark = contender.watermark;
                // What is known in an earlier era may be lost.
                watermark.era() >= era && self.feed.is_young(watermark.written(), now)
            });
        }
        let chosen = choose_feeder(&self.options.host.id, &group, &relays);
        self.peers.note_feeder(&chosen);
        chosen
    }

    /// The age past which this host no longer relies on what its feeder tells.
    pub fn fed_bound(&self, now: Instant) -> Duration {
        let host = &self.options.host;
        if self.own_contender(now).is_none_or(|own| !own.reaches_store) {
            return FED_BOUND;
        }
        let is_second = |others: &[Contender]| {
            let readers = others.iter().filter(|other| other.reaches_store);
            hosts_before(&host.id, host.link_mbps, readers) == 1
        };
        let is_relay = self.peers.is_grouped() && self.peers.is_relay(now);
        let is_deputy = is_second(&self.peers.contenders(now))
            || (is_relay && is_second(&self.peers.relays(now)));
        if is_deputy { DEPUTY_BOUND } else { FED_BOUND }
    }

    /// Whether this host reads changed configurations from the store for its hall: the first by
    /// rank of those in the hall that take traffic and reach the store.
    pub fn reads_for_hall(&self, now: Instant) -> bool {
        let host = &self.options.host;
        if self.feed.watermark().is_none() || !self.feed.reaches_store() {
            return false;
        }
        let contenders = self.peers.contenders(now);
        let in_hall = contenders
            .iter()
            .filter(|other| other.hall == host.hall && other.reaches_store);
        hosts_before(&host.id, host.link_mbps, in_hall) == 0
    }

    /// Counts for its customer a request that an upstream began.
    pub fn count_begun(&self, customer: Option<&CustomerId>) {
        let Some(customer) = customer else {
            return;
        };
        let now = Instant::now();
        self.duties.count(customer, self.feed.store_time(now), now);
    }

    /// Notes a caller's request for the budget of its service.
    pub fn note_request(&self, service: &ServiceId) {
        let mut budgets = self.budgets.lock();
        self.budget(&mut budgets, service)
            .note_request(Instant::now());
    }

    /// How fast the engines of a service read prompts.
    pub fn read_rate(&self, service: &ServiceId) -> ReadRate {
        let rates = self.read_rates.lock();
        rates.get(service).copied().unwrap_or_default()
    }

    /// Notes how long a stream waited for its first event.
    pub fn observe_read(&self, service: &ServiceId, tokens: u64, wait: Duration) {
        let mut rates = self.read_rates.lock();
        let rate = rates.entry(service.clone()).or_default();
        rate.observe(tokens, wait);
    }

    /// Records a stream that ended well: its events and the time from the first to the last.
    pub fn record_stream(
        &self,
        service: &ServiceId,
        events: u64,
        took: Duration,
        output_tokens: u64,
    ) {
        let mut paces = self.paces.lock();
        let pace = paces.entry(service.clone()).or_default();
        pace.observe(events, took, output_tokens);
    }

    /// The least time in which a stream of a service may end; none where too little is known.
    pub fn least_time(&self, service: &ServiceId, work: RemainingWork) -> Option<Duration> {
        let pace = self.paces.lock().get(service).copied()?;
        pace.least_time(work, self.read_rate(service))
    }

    /// Notes how long a whole answer of a service took.
    pub fn note_whole_answer(&self, service: &ServiceId, took: Duration) {
        let mut longest = self.longest_answers.lock();
        let known = longest.entry(service.clone()).or_default();
        *known = took.max(known.mul_f64(LONGEST_KEPT));
    }

    /// How long answers of a service take at most, as far as was seen here a short time ago.
    pub fn longest_answer(&self, service: &ServiceId) -> Duration {
        let longest = self.longest_answers.lock();
        longest.get(service).copied().unwrap_or_default()
    }

    /// Takes one repeat from the budget of a service.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let now = Instant::now();
        let pool = self.peers.budget_pool(service, now);
        let mut budgets = self.budgets.lock();
        let taken = self.budget(&mut budgets, service).take(now, &pool);
        drop(budgets);
        if taken {
            self.peers.wake_sender();
        }
        taken
    }

    /// Gives back a repeat that reached no upstream: it is none for those that count arrivals.
    pub fn give_back_retry(&self, service: &ServiceId) {
        let mut budgets = self.budgets.lock();
        self.budget(&mut budgets, service).give_back();
    }

    /// Requests of callers for a service that came to this host within the window of its budget.
    pub fn requests_here(&self, service: &ServiceId, now: Instant) -> u32 {
        let mut budgets = self.budgets.lock();
        let budget = budgets.get_mut(service);
        budget.map_or(0, |budget| budget.used(now).requests)
    }

    /// What this host used of the budget of each service, for its peers.
    pub fn budget_use(&self, now: Instant) -> Vec<(ServiceId, BudgetUse)> {
        let mut budgets = self.budgets.lock();
        let all = budgets.iter_mut();
        let used = all.map(|(service, budget)| (service.clone(), budget.used(now)));
        used.filter(|(_, used)| *used != BudgetUse::default())
            .collect()
    }

    fn budget<'a>(
        &self,
        budgets: &'a mut HashMap<ServiceId, RetryBudget>,
        service: &ServiceId,
    ) -> &'a mut RetryBudget {
        budgets
            .entry(service.clone())
            .or_insert_with(|| self.new_budget())
    }

    fn new_budget(&self) -> RetryBudget {
        let bounds = self.options.bounds.retries;
        let seed = rand::random();
        if self.options.host.is_first_start {
            RetryBudget::with_draw_seed(bounds, seed)
        } else {
            RetryBudget::started_again(bounds, seed, self.started)
        }
    }

    /// Notes that an upstream seems dead, and tells the peers.
    pub fn suspect(&self, upstream: &Upstream, cause: &str) {
        if upstream.suspect(Instant::now()) {
            let record = &upstream.record;
            log::warn!(
                "upstream: suspected upstream={} address={} hall={} cause={cause}",
                record.id,
                record.address,
                record.hall
            );
            self.peers.wake_sender();
        }
    }

    /// Notes that an upstream answered with a failure what another one then did, and tells the peers.
    /// A request that fails everywhere speaks against no upstream.
    pub fn note_failing(&self, upstream: &Upstream, did_it: &Upstream) {
        log::warn!(
            "upstream: failing upstream={} hall={} did_it={}",
            upstream.record.id,
            upstream.record.hall,
            did_it.record.id
        );
        upstream.note_failing(Instant::now());
        self.metrics
            .failing_upstreams
            .with_label_values(&["here"])
            .inc();
        self.peers.wake_sender();
    }

    /// Notes that another incarnation has an upstream's address.
    pub fn note_replaced(&self, upstream: &Upstream) {
        let now = Instant::now();
        if !upstream.is_suspected(now) {
            log::warn!("upstream: replaced upstream={}", upstream.record.id);
        }
        upstream.gone_for_good(now);
        self.peers.wake_sender();
    }
}
