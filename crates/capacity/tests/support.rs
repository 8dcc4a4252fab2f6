//! A simulated platform that starts and ends engines as ordered, with simulated time.
#![allow(missing_docs, reason = "a helper of tests")]

use {
    std::time::{Duration, Instant},
    tealshore_capacity::{
        Decision, Demand, EngineKind, EngineOrder, Fleet, HallFleet, HoldReason, ListedEngines,
        Observation, Planner, Policy, Scaling, Sizing,
    },
    tealshore_core::ids::{HallId, ServiceId},
};

pub const HALLS: [&str; 3] = ["a", "b", "c"];
pub const BOOT: Duration = Duration::from_secs(4);
const DRAIN: Duration = Duration::from_secs(3);

/// Engines that start serving, or end, at a later time.
struct Pending {
    due_at: Instant,
    hall: HallId,
    kind: EngineKind,
    starts: u32,
    ends: u32,
}

pub struct Platform {
    pub now: Instant,
    pub fleet: Fleet,
    pub ordered: Vec<EngineOrder>,
    pub refused: Vec<EngineOrder>,
    pub scaling: Scaling,
    pub demand: Demand,
    pub hold: Option<HoldReason>,
    /// Preemptible engines are unavailable in this hall.
    pub unavailable_in: Option<&'static str>,
    /// Preemptible engines are unavailable in all halls.
    pub has_no_preemptible: bool,
    /// Orders get no answer.
    pub is_unreachable: bool,
    /// Orders are accepted, but no engines start.
    pub starts_no_engines: bool,
    pub planner: Planner,
    pub policy: Policy,
    pub decisions: Vec<Decision>,
    pending: Vec<Pending>,
}

pub fn policy() -> Policy {
    Policy {
        least_on_demand: 4,
        reserve: 0.5,
        sizing: Sizing::Utilisation,
        spare_hall: false,
        shrink_after: Duration::from_secs(30),
    }
}

/// Returns work whose prompts fully utilise the given number of engines.
pub fn demand_for(engines: f64) -> Demand {
    Demand {
        streams_per_s: engines,
        prompt_tokens: 5_000.0,
        tokens_per_ms: 5.0,
        running: 1,
        ..Demand::default()
    }
}

impl Platform {
    /// Creates a platform with the given number of on-demand engines in each hall.
    pub fn new(engines_per_hall: u32) -> Self {
        let hall = HallFleet {
            on_demand: ListedEngines {
                serving: engines_per_hall,
                leaving: 0,
            },
            ..HallFleet::default()
        };
        Self {
            now: Instant::now(),
            fleet: HALLS.map(|name| (name.to_owned(), hall)).into(),
            ordered: Vec::new(),
            refused: Vec::new(),
            scaling: Scaling {
                least_engines: 1,
                most_engines: 152,
                boot: BOOT,
                preemptible_price: Some(0.22),
                hall_prices: [("a".to_owned(), 0.85), ("b".to_owned(), 1.2)].into(),
            },
            demand: Demand::default(),
            hold: None,
            unavailable_in: None,
            has_no_preemptible: false,
            is_unreachable: false,
            starts_no_engines: false,
            planner: Planner::default(),
            policy: policy(),
            decisions: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Runs for the given number of seconds, with a decision after each.
    pub fn run(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.apply_pending();
            let decisions = self.decide();
            for decision in &decisions {
                self.order(&decision.order);
            }
            self.decisions.extend(decisions);
        }
    }

    fn decide(&mut self) -> Vec<Decision> {
        let service = ServiceId::from("writers");
        let seen = Observation {
            service: &service,
            scaling: &self.scaling,
            fleet: &self.fleet,
            ordered: &self.ordered,
            refused: &self.refused,
            demand: self.demand,
            unchanged_for: Duration::from_secs(1),
            hold: self.hold,
        };
        self.planner.decide(&seen, &self.policy, self.now)
    }

    fn order(&mut self, order: &EngineOrder) {
        if self.is_unreachable {
            return;
        }
        let available = self.listed(&order.hall, order.kind).serving + self.starting(order);
        let has_no_preemptible =
            self.has_no_preemptible || self.unavailable_in == Some(order.hall.as_str());
        for known in [&mut self.ordered, &mut self.refused] {
            known.retain(|known| known.hall != order.hall || known.kind != order.kind);
        }
        if order.engines > available && order.kind == EngineKind::Preemptible && has_no_preemptible
        {
            self.refused.push(order.clone());
            return;
        }
        self.ordered.push(order.clone());
        let starts = order.engines.saturating_sub(available);
        let ends = available.saturating_sub(order.engines);
        if starts > 0 && !self.starts_no_engines {
            self.schedule(order, BOOT, starts, 0);
        }
        let listed = self
            .fleet
            .entry(order.hall.clone())
            .or_default()
            .engines_mut(order.kind);
        listed.serving -= ends.min(listed.serving);
        listed.leaving += ends;
        self.schedule(order, DRAIN, 0, ends);
    }

    fn schedule(&mut self, order: &EngineOrder, after: Duration, starts: u32, ends: u32) {
        self.pending.push(Pending {
            due_at: self.now + after,
            hall: order.hall.clone(),
            kind: order.kind,
            starts,
            ends,
        });
    }

    fn starting(&self, order: &EngineOrder) -> u32 {
        let matching = self
            .pending
            .iter()
            .filter(|pending| pending.hall == order.hall && pending.kind == order.kind);
        matching.map(|pending| pending.starts).sum()
    }

    fn apply_pending(&mut self) {
        let now = self.now;
        let (due, remaining) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.due_at <= now);
        self.pending = remaining;
        let due: Vec<Pending> = due;
        for pending in due {
            let listed = self
                .fleet
                .entry(pending.hall)
                .or_default()
                .engines_mut(pending.kind);
            listed.serving += pending.starts;
            listed.leaving = listed.leaving.saturating_sub(pending.ends);
        }
    }

    pub fn listed(&self, hall: &str, kind: EngineKind) -> ListedEngines {
        self.fleet
            .get(hall)
            .copied()
            .unwrap_or_default()
            .engines(kind)
    }

    pub fn serving(&self, kind: EngineKind) -> u32 {
        HALLS
            .iter()
            .map(|hall| self.listed(hall, kind).serving)
            .sum()
    }

    /// Reclaims all preemptible engines of a hall.
    pub fn reclaim(&mut self, hall: &str) {
        self.fleet.entry(hall.to_owned()).or_default().preemptible = ListedEngines::default();
    }
}
