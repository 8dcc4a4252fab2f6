//! Decides, by what this host knows of the load of all hosts, which engines to order. The host that holds the
//! duty calls this; the policy itself is in `tealshore-capacity`.

use {
    crate::{
        duties::{OrderState, PlacedOrder},
        peers::Peers,
        state::GatewayState,
        view::{Upstream, UpstreamState, Work},
    },
    parking_lot::Mutex,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_capacity::{
        Decision, Demand, EngineOrder, Fleet, HoldReason, Observation, Planner, Scaling,
    },
    tealshore_core::ids::{EngineId, HallId, ServiceId},
};

/// Weight of one stream in the moving average of prompt lengths.
const PROMPT_WEIGHT: f64 = 0.05;
/// Fraction of all hosts that must be live before engines are released.
const MIN_LIVE_FRACTION: f64 = 0.75;
/// Fraction of a hall's engines that must be healthy before any engines are released.
const MIN_HEALTHY_FRACTION: f64 = 0.5;

/// State that this host keeps for engine orders.
#[derive(Default)]
pub struct Capacity {
    planners: Mutex<HashMap<ServiceId, Planner>>,
    prompt_tokens: Mutex<HashMap<ServiceId, f64>>,
}

impl Capacity {
    /// Records the prompt length of a stream.
    pub fn record_prompt(&self, service: &ServiceId, tokens: u64) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let mut averages = self.prompt_tokens.lock();
        let average = averages.entry(service.clone()).or_insert(tokens);
        *average += (tokens - *average) * PROMPT_WEIGHT;
    }

    fn prompt_tokens(&self, service: &ServiceId) -> f64 {
        let averages = self.prompt_tokens.lock();
        averages.get(service).copied().unwrap_or_default()
    }
}

/// Returns the orders that differ from those already placed; empty if nothing needs to change.
pub fn orders_to_place(
    state: &GatewayState,
    placed: &[PlacedOrder],
    now: Instant,
) -> Vec<EngineOrder> {
    let options = state.options.engine_orders;
    let Some(configuration) = state.view.configuration().filter(|_| options.is_on) else {
        return Vec::new();
    };
    let mut orders = Vec::new();
    for (service, service_configuration) in &configuration.services {
        if let Some(scaling) = &service_configuration.scaling {
            let memory_tokens = service_configuration
                .engines
                .map_or(0, |engines| engines.memory_tokens);
            orders.extend(decide(state, service, scaling, memory_tokens, placed, now));
        }
    }
    // Orders that are still open are not placed again.
    orders.retain(|order| {
        let mut open = placed.iter().filter(|it| it.state == OrderState::Open);
        !open.any(|it| it.order == *order)
    });
    orders
}

fn decide(
    state: &GatewayState,
    service: &ServiceId,
    scaling: &Scaling,
    engine_memory_tokens: u64,
    placed: &[PlacedOrder],
    now: Instant,
) -> Vec<EngineOrder> {
    let of_service = placed.iter().filter(|it| it.order.service == *service);
    let (refused, ordered): (Vec<&PlacedOrder>, Vec<&PlacedOrder>) =
        of_service.partition(|it| it.state == OrderState::Unavailable);
    let [ordered, refused] = [ordered, refused].map(|placed| -> Vec<EngineOrder> {
        placed.into_iter().map(|it| it.order.clone()).collect()
    });
    let listed = engines_of(state, service);
    let fleet = fleet(&listed, placed, service);
    let work = total_work(&listed, &state.peers.work(now));
    let observation = Observation {
        service,
        scaling,
        fleet: &fleet,
        ordered: &ordered,
        refused: &refused,
        demand: demand(state, service, work, engine_memory_tokens, now),
        unchanged_for: unchanged_for(&listed, now),
        hold: hold(state, service, &listed, now),
    };
    let mut planners = state.capacity.planners.lock();
    let planner = planners.entry(service.clone()).or_default();
    let decisions = planner.decide(&observation, &state.options.engine_orders.policy, now);
    state.metrics.engines.show(&observation, planner.sizes());
    drop(planners);
    for decision in &decisions {
        log_order(decision, &observation);
    }
    decisions
        .into_iter()
        .map(|decision| decision.order)
        .collect()
}

fn engines_of(state: &GatewayState, service: &ServiceId) -> Vec<Arc<Upstream>> {
    let mut listed = state.view.upstreams.all();
    listed.retain(|upstream| upstream.record.service == *service);
    // Of two incarnations at one address, only the newer one counts.
    listed.sort_by_key(|upstream| std::cmp::Reverse(upstream.row));
    let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
    listed.retain(|upstream| addresses.insert(upstream.record.address));
    listed
}

/// Engines by hall. Halls for which engines were ordered are included even if no engine is listed there.
fn fleet(listed: &[Arc<Upstream>], placed: &[PlacedOrder], service: &ServiceId) -> Fleet {
    let of_service = placed.iter().filter(|it| it.order.service == *service);
    let halls = of_service.map(|it| it.order.hall.clone());
    let mut fleet: Fleet = halls.map(|hall| (hall, Default::default())).collect();
    for upstream in listed {
        let record = &upstream.record;
        let of_hall = fleet.entry(record.hall.clone()).or_default();
        let engines = of_hall.engines_mut(record.kind);
        match record.state {
            UpstreamState::Ready => engines.serving += 1,
            UpstreamState::Leaving => engines.leaving += 1,
        }
    }
    fleet
}

/// Time since an upstream was last newly listed.
fn unchanged_for(listed: &[Arc<Upstream>], now: Instant) -> Duration {
    let newest = listed.iter().map(|upstream| upstream.listed()).max();
    newest.map_or(Duration::ZERO, |newest| {
        now.saturating_duration_since(newest)
    })
}

fn total_work(listed: &[Arc<Upstream>], work_of_others: &HashMap<EngineId, Work>) -> Work {
    let mut sum = Work::default();
    for upstream in listed {
        sum.add(upstream.own_work());
        let of_others = work_of_others.get(&upstream.record.id).copied();
        sum.add(of_others.unwrap_or_default());
    }
    sum
}

fn demand(
    state: &GatewayState,
    service: &ServiceId,
    work: Work,
    engine_memory_tokens: u64,
    now: Instant,
) -> Demand {
    let of_others = state.peers.budget_pool(service, now).used.requests;
    let requests = of_others.saturating_add(state.local_requests(service, now));
    let window = state
        .options
        .bounds
        .retries
        .window
        .max(Duration::from_secs(1));
    let ms_for_1000 = state.read_rate(service).expected_ms(1_000);
    Demand {
        streams_per_s: f64::from(requests) / window.as_secs_f64(),
        prompt_tokens: state.capacity.prompt_tokens(service),
        tokens_per_ms: 1_000.0 / ms_for_1000.max(f64::MIN_POSITIVE),
        held_tokens: work.memory_tokens,
        engine_memory_tokens,
        running: work.running,
    }
}

/// Returns why no engine may be released now, if there is a reason.
fn hold(
    state: &GatewayState,
    service: &ServiceId,
    listed: &[Arc<Upstream>],
    now: Instant,
) -> Option<HoldReason> {
    if state.rollouts.has_open_rollout() {
        return Some(HoldReason::RolloutOpen);
    }
    if has_too_few_live_hosts(&state.peers, service, now) {
        return Some(HoldReason::FewHostsHeard);
    }
    has_failing_hall(listed, now).then_some(HoldReason::HallStruck)
}

fn has_too_few_live_hosts(peers: &Peers, service: &ServiceId, now: Instant) -> bool {
    let pool = peers.budget_pool(service, now);
    to_f64(pool.live_peers + 1) < to_f64(pool.hosts) * MIN_LIVE_FRACTION
}

fn has_failing_hall(listed: &[Arc<Upstream>], now: Instant) -> bool {
    let mut halls: HashMap<&HallId, (usize, usize)> = HashMap::new();
    let ready = listed
        .iter()
        .filter(|upstream| upstream.record.state == UpstreamState::Ready);
    for upstream in ready {
        let (all, healthy) = halls.entry(&upstream.record.hall).or_default();
        *all += 1;
        *healthy += usize::from(!upstream.is_suspected(now));
    }
    let mut counts = halls.into_values();
    counts.any(|(all, healthy)| to_f64(healthy) < to_f64(all) * MIN_HEALTHY_FRACTION)
}

fn log_order(decision: &Decision, observation: &Observation<'_>) {
    let order = &decision.order;
    let listed = observation
        .fleet
        .get(&order.hall)
        .copied()
        .unwrap_or_default();
    let serving: u32 = observation.fleet.values().map(|hall| hall.serving()).sum();
    log::info!(
        "engines: order decided service={} hall={} kind={} engines={} reason={} on_demand={} preemptible={} \
         leaving={} serving={serving} streams_per_s={:.1} prompt_tokens={:.0} tokens_per_ms={:.2} \
         held_tokens={} running={} hold={:?}",
        order.service,
        order.hall,
        order.kind.name(),
        order.engines,
        decision.reason.name(),
        listed.on_demand.serving,
        listed.preemptible.serving,
        listed.on_demand.leaving + listed.preemptible.leaving,
        observation.demand.streams_per_s,
        observation.demand.prompt_tokens,
        observation.demand.tokens_per_ms,
        observation.demand.held_tokens,
        observation.demand.running,
        observation.hold
    );
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of hosts and engines are far below 2^52"
)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
