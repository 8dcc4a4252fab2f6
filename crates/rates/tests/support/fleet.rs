//! A step-by-step simulation of many hosts that send to one upstream with a limit. Each host runs the real
//! borrower and lender; messages between hosts are delayed or lost.

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId},
    tealshore_rates::{Borrower, Lender, Loan, PermitRequest, Proximity, lendable_fraction, rank},
};

/// The window in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;
/// How long a request waits for a permit, in milliseconds.
const QUEUE_TIMEOUT_MS: u64 = 50;
/// How long a host must be silent until other hosts treat it as gone, in milliseconds.
const SILENCE_MS: u64 = 1_600;
/// How long a host that is gone still counts as one of all hosts, in milliseconds.
const MEMBERSHIP_RETENTION_MS: u64 = 19_000;
/// How long a host lends nothing after its start, in milliseconds.
const STARTUP_QUIET_MS: u64 = 1_000;
/// The maximum delay until other hosts know that a host lends, in milliseconds.
const ANNOUNCE_DELAY_MS: u64 = 400;
/// The fraction of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.01;
/// How long a host waits for a lender's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// The rate of incoming requests as a multiple of the limit.
const DEMAND_FACTOR: f64 = 2.0;

/// Which hosts receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// All hosts.
    Even,
    /// Only one host.
    OnOne,
    /// One host at a time; it changes every five seconds.
    Moving,
}

/// The faults in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    Calm,
    /// Every three seconds one host is killed and returns two seconds later; every other time it is the lender.
    Killed,
    /// Half of the hosts are partitioned from the others for ten seconds.
    Cut,
    /// All hosts start at the moment when requests begin.
    Started,
}

/// How hosts keep the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// One host lends permits to the others.
    Lender,
    /// Each host has an equal share of the rate and a bucket of one token.
    EqualParts,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The number of hosts.
    pub hosts: usize,
    /// The limit in requests per second.
    pub per_s: f64,
    /// Which hosts receive requests.
    pub load: Load,
    /// The faults.
    pub fault: Fault,
    /// How hosts keep the limit.
    pub scheme: Scheme,
    /// The simulated time in milliseconds.
    pub duration_ms: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The maximum number of requests that the upstream received in any window.
    pub max_in_window: usize,
    /// The number of requests that the upstream received, as a fraction of what the limit allows.
    pub utilisation: f64,
}

struct Host {
    id: HostId,
    borrower: Borrower,
    lender: Lender,
    /// When the host started and, if it is down, when it was killed, in milliseconds.
    started_ms: i64,
    killed_ms: Option<u64>,
    waiting: VecDeque<u64>,
    /// The tokens of the host's own bucket, for [`Scheme::EqualParts`].
    tokens: f64,
}

enum Message {
    Ask {
        from: usize,
        number: u32,
        wanted: u32,
        owed: u32,
    },
    Loan {
        number: u32,
        loan: Loan,
    },
}

struct Fleet {
    scenario: Scenario,
    upstream: EngineId,
    began: Instant,
    hosts: Vec<Host>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    messages_sent: u64,
    random: StdRng,
    arrivals_ms: Vec<u64>,
}

/// Runs a simulation.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    for now_ms in 0..scenario.duration_ms {
        fleet.inject_faults(now_ms);
        fleet.deliver(now_ms);
        fleet.generate_requests(now_ms);
        fleet.serve_waiting(now_ms);
    }
    fleet.outcome()
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let mut random = StdRng::seed_from_u64(scenario.seed);
        let started_ms = match scenario.fault {
            Fault::Started => 0,
            Fault::Calm | Fault::Killed | Fault::Cut => -60_000,
        };
        let hosts = (0..scenario.hosts).map(|number| Host {
            id: format!("host-{number}"),
            borrower: Borrower::default(),
            lender: Lender::default(),
            started_ms,
            killed_ms: None,
            waiting: VecDeque::new(),
            tokens: random.random(),
        });
        Self {
            hosts: hosts.collect(),
            scenario,
            upstream: "upstream".to_owned(),
            began: Instant::now(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            random,
            arrivals_ms: Vec::new(),
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.began + Duration::from_millis(now_ms)
    }

    fn inject_faults(&mut self, now_ms: u64) {
        if self.scenario.fault != Fault::Killed {
            return;
        }
        if now_ms % 3_000 == 1_500 {
            let lender = self.lender_known_to(0, now_ms).unwrap_or_default();
            let targets_lender = now_ms % 6_000 == 1_500;
            let victim = if targets_lender {
                lender
            } else {
                self.random.random_range(0..self.hosts.len())
            };
            self.hosts[victim].killed_ms.get_or_insert(now_ms);
            self.hosts[victim].waiting.clear();
        }
        for host in &mut self.hosts {
            if host
                .killed_ms
                .is_some_and(|killed| now_ms >= killed + 2_000)
            {
                host.killed_ms = None;
                host.started_ms = i64::try_from(now_ms).unwrap();
                host.borrower = Borrower::default();
                host.lender = Lender::default();
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let half = self.hosts.len() / 2;
        let is_during = (8_000..18_000).contains(&now_ms);
        self.scenario.fault == Fault::Cut && is_during && (one < half) != (other < half)
    }

    /// Returns whether a host considers another one alive and knows that it lends.
    fn sees_as_lender(&self, host: usize, other: usize, now_ms: u64) -> bool {
        let other_host = &self.hosts[other];
        let age_ms = i64::try_from(now_ms).unwrap() - other_host.started_ms;
        let announce_delay_ms = if host == other { 0 } else { ANNOUNCE_DELAY_MS };
        let lends = age_ms >= i64::try_from(STARTUP_QUIET_MS + announce_delay_ms).unwrap();
        let is_known_dead = other_host
            .killed_ms
            .is_some_and(|killed| now_ms >= killed + SILENCE_MS || host == other);
        let is_cut_off = self.is_partitioned(host, other, now_ms)
            && self.is_partitioned(host, other, now_ms.saturating_sub(SILENCE_MS));
        lends && !is_known_dead && !is_cut_off
    }

    fn lender_known_to(&self, host: usize, now_ms: u64) -> Option<usize> {
        let candidates =
            (0..self.hosts.len()).filter(|other| self.sees_as_lender(host, *other, now_ms));
        candidates.min_by_key(|other| {
            let id = &self.hosts[*other].id;
            rank(&self.upstream, id, Proximity::SameHall)
        })
    }

    fn fraction_known_to(&self, host: usize, now_ms: u64) -> f64 {
        let hosts = self.hosts.len();
        let is_silent = |other: &usize| {
            self.is_partitioned(host, *other, now_ms)
                && self.is_partitioned(host, *other, now_ms.saturating_sub(SILENCE_MS))
        };
        let silent_hosts = (0..hosts).filter(is_silent).count();
        // The partition ends before the hosts on the other side are dropped from the count of all hosts.
        const { assert!(MEMBERSHIP_RETENTION_MS > 10_000) };
        lendable_fraction(hosts - silent_hosts, hosts)
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let is_lost = self.random.random::<f64>() < DATAGRAM_LOSS;
        if is_lost || self.is_partitioned(from, to, now_ms) {
            return;
        }
        let due_ms = now_ms + self.random.random_range(1..4);
        self.messages_sent += 1;
        self.messages
            .insert((due_ms, self.messages_sent), (to, message));
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now_ms {
                return;
            }
            let (to, message) = entry.remove();
            if self.hosts[to].killed_ms.is_none() {
                self.receive(to, message, now_ms);
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message, now_ms: u64) {
        let now = self.at(now_ms);
        match message {
            Message::Loan { number, loan } => {
                let upstream = self.upstream.clone();
                let borrower = &mut self.hosts[to].borrower;
                borrower.record_loan(&upstream, number, loan, now);
            }
            Message::Ask {
                from,
                number,
                wanted,
                owed,
            } => {
                let is_lender = self.lender_known_to(to, now_ms) == Some(to);
                let loan = if is_lender {
                    self.lend(to, from, wanted, owed, now_ms)
                } else {
                    Loan {
                        permits: 0,
                        valid: Duration::ZERO,
                        wait: Duration::from_millis(50),
                    }
                };
                self.send(to, from, Message::Loan { number, loan }, now_ms);
            }
        }
    }

    fn lend(
        &mut self,
        lender: usize,
        requester: usize,
        wanted: u32,
        owed: u32,
        now_ms: u64,
    ) -> Loan {
        let now = self.at(now_ms);
        let per_s = self.scenario.per_s * self.fraction_known_to(lender, now_ms);
        let jitter = self.random.random();
        let host = self.hosts[requester].id.clone();
        let request = PermitRequest {
            host: &host,
            wanted,
            owed,
        };
        let upstream = self.upstream.clone();
        let lender = &mut self.hosts[lender].lender;
        lender.lend(&upstream, per_s, request, jitter, now)
    }

    fn generate_requests(&mut self, now_ms: u64) {
        let per_ms = self.scenario.per_s * DEMAND_FACTOR / 1_000.0;
        if self.random.random::<f64>() >= per_ms {
            return;
        }
        let count = self.hosts.len();
        let host = match self.scenario.load {
            Load::Even => self.random.random_range(0..count),
            Load::OnOne => 0,
            Load::Moving => usize::try_from(now_ms / 5_000).unwrap() % count,
        };
        if self.hosts[host].killed_ms.is_none() {
            self.hosts[host]
                .waiting
                .push_back(now_ms + QUEUE_TIMEOUT_MS);
        }
    }

    fn serve_waiting(&mut self, now_ms: u64) {
        for host in 0..self.hosts.len() {
            while self.hosts[host]
                .waiting
                .front()
                .is_some_and(|until| *until < now_ms)
            {
                self.hosts[host].waiting.pop_front();
            }
            let part = self.scenario.per_s / 1_000.0 / self.hosts.len() as f64;
            self.hosts[host].tokens = (self.hosts[host].tokens + part).min(1.0);
            while !self.hosts[host].waiting.is_empty() && self.may_send(host, now_ms) {
                self.hosts[host].waiting.pop_front();
                self.arrivals_ms.push(now_ms);
            }
        }
    }

    fn may_send(&mut self, host: usize, now_ms: u64) -> bool {
        let now = self.at(now_ms);
        if self.scenario.scheme == Scheme::EqualParts {
            let has_token = self.hosts[host].tokens >= 1.0;
            if has_token {
                self.hosts[host].tokens -= 1.0;
            }
            return has_token;
        }
        let upstream = self.upstream.clone();
        if self.hosts[host].borrower.take(&upstream, now) {
            return true;
        }
        let ask = self.hosts[host]
            .borrower
            .request_permits(&upstream, ASK_TIMEOUT, now);
        let Some(ask) = ask else {
            return false;
        };
        match self.lender_known_to(host, now_ms) {
            Some(lender) if lender == host => {
                let loan = self.lend(host, host, ask.wanted, ask.owed, now_ms);
                let borrower = &mut self.hosts[host].borrower;
                borrower.record_loan(&upstream, ask.number, loan, now);
                self.hosts[host].borrower.take(&upstream, now)
            }
            Some(lender) => {
                let message = Message::Ask {
                    from: host,
                    number: ask.number,
                    wanted: ask.wanted,
                    owed: ask.owed,
                };
                self.send(host, lender, message, now_ms);
                false
            }
            None => false,
        }
    }

    fn outcome(&self) -> Outcome {
        let mut max_in_window = 0;
        let mut first = 0;
        for (last, at_ms) in self.arrivals_ms.iter().enumerate() {
            while self.arrivals_ms[first] + WINDOW_MS <= *at_ms {
                first += 1;
            }
            max_in_window = max_in_window.max(last - first + 1);
        }
        let allowed = self.scenario.per_s * self.scenario.duration_ms as f64 / 1_000.0;
        Outcome {
            max_in_window,
            utilisation: self.arrivals_ms.len() as f64 / allowed,
        }
    }
}
