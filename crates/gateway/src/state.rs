//! The state that all components of this host share.

mod brittle;
mod choice;
mod limits;
mod notices;
mod paths;
mod recovery;
mod runs;
mod send_gate;
mod store_heads;
mod suspicion;
mod upstream_counts;

pub use {limits::ClosedReason, send_gate::SendBarrier};

use {
    crate::{
        budget::{BudgetUse, RetryBudget},
        capacity::Capacity,
        crashes::Crashes,
        duties::Duties,
        edge::Protocol,
        feed::{
            Feed, FeederCandidate, FeederChoice, MAX_DEPUTY_WATERMARK_AGE, MAX_WATERMARK_AGE,
            choose_feeder, hosts_before,
        },
        in_flight::InFlight,
        limits::UpstreamLimits,
        metrics::GatewayMetrics,
        options::{GatewayOptions, StaleKeyPolicy},
        pace::{Pace, RemainingWork},
        peers::{HostPhase, Peers},
        read_rate::ReadRate,
        rollout::Rollouts,
        runs::Runs,
        standstill::Standstill,
        stop::{Stop, StopEnd},
        view::View,
    },
    parking_lot::{Mutex, RwLock},
    recovery::HeardConfiguration,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    store_heads::StoreHeads,
    tealshore_core::{
        clock,
        ids::{CustomerId, ServiceId},
        protection::{Protection, enabled},
    },
    tealshore_notices::{BrittleUpstreams, Notices, UnknownHeaders},
    tealshore_paths::{Paths, TunnelEnds},
    tokio::{sync::Semaphore, time::sleep},
};

/// The part of the bound on the age of keys that is reserved for a request in transit: a request is sent on only
/// while the view is younger than the bound by this much.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(400);

/// How long after its start a host makes requests wait for its first view, which usually arrives about 50 ms
/// after the start. Callers reconnect at the moment at which hosts that crashed are up again.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a request waits for a fresh view after this process stood still.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// How often such a request checks the view.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The factor by which the longest answer time decays with each answer, so that values from a few hundred answers
/// ago no longer count.
const LONGEST_ANSWER_DECAY: f64 = 0.99;

/// The state that all components of this host share.
pub struct GatewayState {
    started: Instant,
    /// The settings of this host.
    pub options: GatewayOptions,
    /// Translates the deployment's protocol.
    pub protocol: Arc<dyn Protocol>,
    /// This host's copy of the configuration and of the upstreams.
    pub view: View,
    /// How current this host's copy of the store's rows is.
    pub feed: Feed,
    /// The other hosts.
    pub peers: Peers,
    /// Recent streams, and where they ran.
    pub runs: Runs,
    /// Requests that crash upstreams.
    pub crashes: Crashes,
    /// Notices that upstreams gave in their answers: that they want no requests for a time, or that they are leaving.
    notices: RwLock<Notices>,
    /// The upstreams that fail if they have to reject too many requests.
    brittle: RwLock<BrittleUpstreams>,
    /// The rate limits that upstreams set for all hosts together.
    pub limits: UpstreamLimits,
    /// Response headers of upstreams that the adapter does not know.
    unknown_headers_seen: Mutex<UnknownHeaders>,
    /// What was logged about headers of the store's answers.
    store_heads: StoreHeads,
    /// The newest configuration that other hosts reported after a restore of the store.
    heard_configuration: Mutex<HeardConfiguration>,
    /// The roll-outs of new versions.
    pub rollouts: Rollouts,
    /// The duties that one host at a time holds.
    pub duties: Duties,
    /// Which upstreams this host reaches directly.
    pub paths: Mutex<Paths>,
    /// The tunnels opened for other hosts that their upstream ended.
    pub tunnel_ends: Mutex<TunnelEnds>,
    /// The state for ordering engines.
    pub capacity: Capacity,
    /// When this process last stood still.
    pub standstill: Mutex<Standstill>,
    /// The metrics of this host.
    pub metrics: GatewayMetrics,
    /// The state of a planned stop.
    pub stop: Stop,
    /// The requests in flight and the connections of callers.
    pub in_flight: InFlight,
    /// The memory available for request bodies, one permit for each byte.
    pub body_memory: Arc<Semaphore>,
    /// One permit for each byte of memory that large answers of upstreams may use.
    pub answer_memory: Arc<Semaphore>,
    /// One permit for each further tunnel that this host may open for others.
    pub tunnel_permits: Arc<Semaphore>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    read_rates: Mutex<HashMap<ServiceId, ReadRate>>,
    paces: Mutex<HashMap<ServiceId, Pace>>,
    longest_answers: Mutex<HashMap<ServiceId, Duration>>,
}

impl GatewayState {
    /// Creates the state of a host that has read no configuration yet.
    ///
    /// # Errors
    /// A metric can't be created.
    pub fn new(options: GatewayOptions, protocol: Arc<dyn Protocol>) -> eyre::Result<Self> {
        let peers = Peers::new(&options.host, &options.peers, &options.topology);
        Ok(Self {
            started: clock::now(),
            duties: Duties::new(options.duties.clone(), peers.process(), &options.host.hall),
            peers,
            view: View::default(),
            feed: Feed::default(),
            runs: Runs::default(),
            crashes: Crashes::new(clock::now()),
            notices: RwLock::default(),
            brittle: RwLock::default(),
            limits: UpstreamLimits::default(),
            unknown_headers_seen: Mutex::default(),
            store_heads: StoreHeads::default(),
            heard_configuration: Mutex::default(),
            rollouts: Rollouts::new(rand::random()),
            paths: Mutex::default(),
            tunnel_ends: Mutex::default(),
            capacity: Capacity::default(),
            standstill: Mutex::new(Standstill::new(clock::now())),
            metrics: GatewayMetrics::new()?,
            stop: Stop::new(options.bounds.stop),
            in_flight: InFlight::default(),
            body_memory: Arc::new(Semaphore::new(options.host.body_bytes)),
            answer_memory: Arc::new(Semaphore::new(options.host.answer_bytes)),
            tunnel_permits: Arc::new(Semaphore::new(options.host.max_tunnels)),
            budgets: Mutex::default(),
            read_rates: Mutex::default(),
            paces: Mutex::default(),
            longest_answers: Mutex::default(),
            protocol,
            options,
        })
    }

    /// Waits for the first fresh view of a host that has just started, until `FIRST_VIEW_TIMEOUT` after its start at the
    /// latest, which is long enough to get one from the store or from another host.
    pub async fn wait_for_first_view(&self) {
        let until = self.started + FIRST_VIEW_TIMEOUT;
        self.feed.wait_until_known(until).await;
        while clock::now() < until && !self.is_view_fresh(clock::now()) {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    }

    /// Waits for a fresh view if this process has just stood still, until `CATCH_UP_TIMEOUT` at the latest: all that it
    /// lacks is an answer of the store or a word of its feeder.
    pub async fn wait_for_view_after_standstill(&self) {
        let began = clock::now();
        let is_known = self.view.configuration().is_some();
        if !is_known || !self.standstill.lock().has_just_ended(began) {
            return;
        }
        while !self.is_view_fresh(clock::now()) && clock::elapsed(began) < CATCH_UP_TIMEOUT {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    }

    /// Whether requests with a key may be sent on, given the age of the known keys and the settings for stale keys.
    pub fn accepts_keys(&self, now: Instant) -> bool {
        match self.options.bounds.stale_keys {
            StaleKeyPolicy::Refuse => self.is_view_fresh(now),
            StaleKeyPolicy::Serve => self.view.configuration().is_some(),
        }
    }

    /// Whether the view is recent enough to rely on its keys.
    pub fn is_view_fresh(&self, now: Instant) -> bool {
        let max_age = self.options.bounds.key_age.saturating_sub(KEY_AGE_MARGIN);
        self.view
            .age(now)
            .is_some_and(|age| age <= max_age || !enabled(Protection::KeyAge))
    }

    /// The phase of this host, which tells peers and callers whether it accepts traffic.
    pub fn phase(&self, now: Instant) -> HostPhase {
        if self.stop.is_requested() {
            HostPhase::Leaving
        } else if self.is_view_fresh(now) {
            HostPhase::Serving
        } else if self.accepts_keys(now) {
            HostPhase::Stale
        } else {
            HostPhase::Starting
        }
    }

    /// This host as a candidate for feeding others; `None` while it is stopping or lacks a watermark.
    fn own_feeder_candidate(&self, now: Instant) -> Option<FeederCandidate> {
        let host = &self.options.host;
        if self.phase(now) == HostPhase::Leaving {
            return None;
        }
        Some(FeederCandidate {
            host: host.id.clone(),
            hall: host.hall.clone(),
            link_mbps: host.link_mbps,
            watermark: self.feed.watermark()?,
            reaches_store: self.feed.reaches_store(),
        })
    }

    /// Chooses the host that feeds this one with the rows of the store.
    pub fn feeder(&self, now: Instant) -> FeederChoice {
        let mut group = self.peers.feeder_candidates(now);
        group.extend(self.own_feeder_candidate(now));
        let mut relays = self.peers.relays(now);
        let eras = group.iter().chain(&relays).map(|it| it.watermark.era());
        self.record_era(eras.max().unwrap_or_default(), "peer");
        let era = self.feed.era();
        for feeder_candidates in [&mut group, &mut relays] {
            feeder_candidates.retain(|feeder_candidate| {
                let watermark = feeder_candidate.watermark;
                // Rows of an earlier era may have been lost in the restore.
                watermark.era() >= era && self.feed.is_recent(watermark.written(), now)
            });
        }
        let chosen = choose_feeder(&self.options.host.id, &group, &relays);
        self.peers.set_feeder(&chosen);
        chosen
    }

    /// The age of the feeder's watermark past which this host reads the store itself. It is lower for the host that
    /// ranks second in its group or among the relays.
    pub fn fed_bound(&self, now: Instant) -> Duration {
        let host = &self.options.host;
        if self
            .own_feeder_candidate(now)
            .is_none_or(|own| !own.reaches_store)
        {
            return MAX_WATERMARK_AGE;
        }
        let ranks_second = |others: &[FeederCandidate]| {
            let readers = others.iter().filter(|other| other.reaches_store);
            hosts_before(&host.id, host.link_mbps, readers) == 1
        };
        let is_relay = self.peers.is_grouped() && self.peers.is_relay(now);
        let is_second = ranks_second(&self.peers.feeder_candidates(now))
            || (is_relay && ranks_second(&self.peers.relays(now)));
        if is_second {
            MAX_DEPUTY_WATERMARK_AGE
        } else {
            MAX_WATERMARK_AGE
        }
    }

    /// Whether this host reads changed configurations from the store for its hall: it ranks first among the hosts of
    /// the hall that accept traffic and reach the store.
    pub fn reads_for_hall(&self, now: Instant) -> bool {
        let host = &self.options.host;
        if self.feed.watermark().is_none() || !self.feed.reaches_store() {
            return false;
        }
        let feeder_candidates = self.peers.feeder_candidates(now);
        let in_hall = feeder_candidates
            .iter()
            .filter(|other| other.hall == host.hall && other.reaches_store);
        hosts_before(&host.id, host.link_mbps, in_hall) == 0
    }

    /// Counts how a request ended, if this host stops.
    pub fn count_stop_end(&self, end: StopEnd) {
        if self.stop.age().is_some() {
            let ends = &self.metrics.stop_requests;
            ends.with_label_values(&[end.name()]).inc();
        }
    }

    /// Counts a request, which an upstream has started, towards the usage of its customer.
    pub fn count_started(&self, customer: Option<&CustomerId>) {
        let Some(customer) = customer else {
            return;
        };
        let now = clock::now();
        self.duties.count(customer, self.feed.store_time(now), now);
    }

    /// Records a caller's request in the retry budget of its service.
    pub fn record_request(&self, service: &ServiceId) {
        let mut budgets = self.budgets.lock();
        self.budget(&mut budgets, service)
            .record_request(clock::now());
    }

    /// The rate at which the engines of a service process prompts.
    pub fn read_rate(&self, service: &ServiceId) -> ReadRate {
        let rates = self.read_rates.lock();
        rates.get(service).copied().unwrap_or_default()
    }

    /// Updates the prompt rate of a service with the time that a stream waited for its first event.
    pub fn observe_prompt_rate(&self, service: &ServiceId, tokens: u64, wait: Duration) {
        let mut rates = self.read_rates.lock();
        let rate = rates.entry(service.clone()).or_default();
        rate.observe(tokens, wait);
    }

    /// Records a stream that completed: its number of events and the time from the first to the last.
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

    /// The minimum time in which the remaining work of a stream may complete; `None` if too few streams were seen.
    pub fn min_duration(&self, service: &ServiceId, work: RemainingWork) -> Option<Duration> {
        let pace = self.paces.lock().get(service).copied()?;
        pace.min_duration(work, self.read_rate(service))
    }

    /// Records how long a complete answer of a service took.
    pub fn record_answer_time(&self, service: &ServiceId, took: Duration) {
        let mut longest = self.longest_answers.lock();
        let known = longest.entry(service.clone()).or_default();
        *known = took.max(known.mul_f64(LONGEST_ANSWER_DECAY));
    }

    /// The longest recent answer time of a service, as seen by this host.
    pub fn longest_answer(&self, service: &ServiceId) -> Duration {
        let longest = self.longest_answers.lock();
        longest.get(service).copied().unwrap_or_default()
    }

    /// Takes one retry from the budget of a service. Returns whether one was left.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        let pool = self.peers.budget_pool(service, now);
        let mut budgets = self.budgets.lock();
        let taken = self.budget(&mut budgets, service).take(now, &pool);
        drop(budgets);
        if taken {
            self.peers.wake_sender();
        }
        taken
    }

    /// Whether the budget has a retry left.
    pub fn may_retry(&self, service: &ServiceId) -> bool {
        let now = clock::now();
        let pool = self.peers.budget_pool(service, now);
        let mut budgets = self.budgets.lock();
        self.budget(&mut budgets, service).allows(now, &pool)
    }

    /// Returns a retry to the budget because it reached no upstream: upstreams that count arrivals do not see it.
    pub fn refund_retry(&self, service: &ServiceId) {
        let mut budgets = self.budgets.lock();
        self.budget(&mut budgets, service).refund();
    }

    /// The number of callers' requests for a service that this host received within the window of its budget.
    pub fn local_requests(&self, service: &ServiceId, now: Instant) -> u32 {
        let mut budgets = self.budgets.lock();
        let budget = budgets.get_mut(service);
        budget.map_or(0, |budget| budget.used(now).requests)
    }

    /// What this host used of the retry budget of each service, to report to its peers.
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
            RetryBudget::after_restart(bounds, seed, self.started)
        }
    }
}
