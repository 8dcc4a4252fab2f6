//! What the hosts of this system tell each other, in datagrams: who they are, whether they
//! take traffic, what they have at each upstream, which upstreams seem dead to them, and how
//! far they know the store.
//!
//! At each heartbeat, and at once when a stream begins or ends, a host tells what changed;
//! now and then it tells its whole state, which mends what lost datagrams left wrong.

mod addresses;
mod exchange;
mod message;
mod snapshot;
mod told;

use {
    crate::{
        budget::Pool,
        edge::HostRecord,
        feed::{Contender, FeederChoice, UpstreamNews},
        options::{HostOptions, PeerOptions},
        view::{Condition, Work},
    },
    parking_lot::Mutex,
    rand::RngExt,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::atomic::{AtomicU64, AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId, ServiceId},
    tokio::sync::Notify,
};
pub use {
    addresses::Reach,
    exchange::start,
    message::{Datagram, Finding, HostPhase, PeerChange, PeerState, ServiceUse, UpstreamWork},
    snapshot::{SetSnapshot, SnapshotRows, path_of},
    told::Told,
};

/// The most streams that a datagram tells of, so that it stays well below what UDP carries.
const TOLD_RUNS: usize = 200;
/// The most upstreams whose work it tells of.
const TOLD_UPSTREAMS: usize = 400;
/// News within this time leave together.
const COALESCE: Duration = Duration::from_millis(10);
/// Silent peers are told of this host this many times longer than they are believed.
const FORGET_FACTOR: u32 = 12;
/// How many other hosts a datagram names, so that all come to know all.
const NAMED_PEERS: usize = 4;

/// Where datagrams go.
struct Receivers {
    /// To hosts that were heard, and know this one.
    heard: Vec<SocketAddr>,
    /// To hosts that were only named, or that have just started: they need the whole state.
    unheard: Vec<SocketAddr>,
}

struct Peer {
    state: PeerState,
    heard: Instant,
}

/// The other hosts.
pub struct Peers {
    own: HostOptions,
    options: PeerOptions,
    incarnation: u64,
    sequence: AtomicU64,
    known: Mutex<HashMap<HostId, Peer>>,
    /// Hosts that were named and not heard yet, with the time until they are tried.
    named: Mutex<HashMap<SocketAddr, Instant>>,
    news: Notify,
    /// Hosts that have just started, to be told the whole state.
    newcomers: Mutex<Vec<SocketAddr>>,
    /// Changes of upstreams that wait to be sent on.
    waiting_news: Mutex<Vec<UpstreamNews>>,
    /// The host that feeds this one, as far as it was chosen last.
    feeder: Mutex<Option<HostId>>,
    most_hosts: AtomicUsize,
}

impl Peers {
    /// The peers of a host that has heard of none.
    #[must_use]
    pub fn new(own: &HostOptions, options: &PeerOptions) -> Self {
        let peers = Self {
            own: own.clone(),
            options: options.clone(),
            incarnation: rand::rng().random(),
            sequence: AtomicU64::new(0),
            known: Mutex::default(),
            named: Mutex::default(),
            news: Notify::new(),
            newcomers: Mutex::default(),
            waiting_news: Mutex::default(),
            feeder: Mutex::default(),
            most_hosts: AtomicUsize::new(1),
        };
        for seed in &options.seeds {
            peers.name(peers.address_at(*seed));
        }
        peers
    }

    /// Takes in a host that the store lists.
    pub fn add(&self, host: &HostRecord) {
        self.name(host.peers_address);
    }

    /// This host as the store is to keep it.
    #[must_use]
    pub fn own_record(&self) -> HostRecord {
        HostRecord {
            host: self.own.id.clone(),
            peers_address: self.options.address,
        }
    }

    /// Lets the news of this host's work leave at once.
    pub fn work_changed(&self) {
        self.news.notify_one();
    }

    /// Lets this host's watermark on the store leave at once, with changes of upstreams before it.
    pub fn send_on(&self, news: Option<UpstreamNews>) {
        self.waiting_news.lock().extend(news);
        self.news.notify_one();
    }

    /// Whether no other host was heard a moment ago.
    pub fn is_alone(&self, now: Instant) -> bool {
        let known = self.known.lock();
        !known.values().any(|peer| self.is_believed(peer, now))
    }

    /// The hosts that were heard a moment ago, take traffic and reach the store.
    pub fn contenders(&self, now: Instant) -> Vec<Contender> {
        let known = self.known.lock();
        let serving = known
            .values()
            .filter(|peer| self.is_believed(peer, now))
            .filter(|peer| peer.state.phase == HostPhase::Serving);
        let contenders = serving.filter_map(|peer| {
            Some(Contender {
                host: peer.state.host.clone(),
                hall: peer.state.hall.clone(),
                watermark: peer.state.watermark?,
            })
        });
        contenders.collect()
    }

    /// Notes which host feeds this one.
    pub fn note_feeder(&self, chosen: &FeederChoice) {
        let host = match chosen {
            FeederChoice::Peer(host, _) => Some(host),
            FeederChoice::Nobody | FeederChoice::Itself => None,
        };
        let mut feeder = self.feeder.lock();
        if feeder.as_ref() != host {
            log::info!(
                "feed: feeder={} before={}",
                host.map_or("-", String::as_str),
                feeder.as_deref().unwrap_or("-")
            );
            *feeder = host.cloned();
        }
    }

    /// Whether a host was last chosen as the feeder of this one.
    fn is_fed_by(&self, host: &HostId) -> bool {
        self.feeder.lock().as_ref() == Some(host)
    }

    /// The most hosts that there ever were at once, this one included, as far as is known. A
    /// host that is cut off from the others must not take their parts for its own.
    pub fn most_hosts(&self) -> usize {
        let unheard = self.named.lock().len();
        let now = self.known.lock().len() + unheard + 1;
        self.most_hosts.fetch_max(now, Ordering::Relaxed).max(now)
    }

    /// What the other hosts have at each upstream.
    pub fn work(&self, now: Instant) -> HashMap<EngineId, Work> {
        let known = self.known.lock();
        let mut sum: HashMap<EngineId, Work> = HashMap::new();
        for peer in known.values().filter(|peer| self.is_believed(peer, now)) {
            for entry in &peer.state.work {
                let sum = sum.entry(entry.upstream.clone()).or_default();
                sum.add(entry.work);
            }
        }
        sum
    }

    /// What the other hosts used of the retry budget of a service, as far as they were heard.
    pub fn budget_pool(&self, service: &ServiceId, now: Instant) -> Pool {
        let mut pool = Pool::unheard(self.most_hosts());
        let known = self.known.lock();
        for peer in known.values().filter(|peer| self.is_believed(peer, now)) {
            pool.heard += 1;
            let of_service = peer.state.budgets.iter();
            for entry in of_service.filter(|entry| entry.service == *service) {
                pool.used.add(entry.used);
            }
        }
        pool
    }

    /// Takes in a datagram; what its sender found of upstreams that are not sound.
    pub fn apply_state(&self, state: PeerState, now: Instant) -> Vec<Finding> {
        if state.host == self.own.id {
            return Vec::new();
        }
        self.named.lock().remove(&state.peers_address);
        for address in &state.named {
            self.name(*address);
        }
        let findings = findings(&state.work);
        let mut known = self.known.lock();
        let before = known.get(&state.host);
        if before.is_some_and(|before| before.state.is_newer_than(&state)) {
            return Vec::new();
        }
        if before.is_none_or(|before| before.state.incarnation != state.incarnation) {
            // Told at the next heartbeat: where many hosts start at once, an answer to each of
            // them at once would be a storm of datagrams.
            self.newcomers.lock().push(state.peers_address);
        }
        let was = before.map(|before| before.state.phase);
        if was != Some(state.phase) {
            log::info!(
                "peers: host={} hall={} phase={:?} before={was:?}",
                state.host,
                state.hall,
                state.phase
            );
        }
        known.insert(state.host.clone(), Peer { state, heard: now });
        findings
    }

    /// Takes in what changed of a peer's state; what it found of upstreams that are not sound.
    pub fn apply_change(&self, change: PeerChange, now: Instant) -> Vec<Finding> {
        let mut known = self.known.lock();
        let Some(peer) = known.get_mut(&change.host) else {
            return Vec::new();
        };
        let is_next =
            peer.state.incarnation == change.incarnation && peer.state.sequence < change.sequence;
        if !is_next {
            return Vec::new();
        }
        let findings = findings(&change.work);
        peer.heard = now;
        peer.state.apply(change);
        findings
    }

    fn is_believed(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.heard) <= self.options.silence
    }

    fn address_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.options.address.port())
    }

    fn name(&self, address: SocketAddr) {
        if address == self.options.address {
            return;
        }
        let is_known = {
            let known = self.known.lock();
            known
                .values()
                .any(|peer| peer.state.peers_address == address)
        };
        if !is_known {
            let until = Instant::now() + self.options.silence * FORGET_FACTOR;
            self.named.lock().entry(address).or_insert(until);
        }
    }

    /// The changes of upstreams that wait to be sent on.
    fn take_waiting_news(&self) -> Vec<UpstreamNews> {
        std::mem::take(&mut *self.waiting_news.lock())
    }

    /// Drops what has been silent for long and tells where datagrams go.
    fn receivers(&self, now: Instant) -> Receivers {
        let forget = self.options.silence * FORGET_FACTOR;
        let mut known = self.known.lock();
        known.retain(|host, peer| {
            let is_kept = now.saturating_duration_since(peer.heard) <= forget;
            if !is_kept {
                log::info!("peers: forgotten host={host}");
            }
            is_kept
        });
        let mut named = self.named.lock();
        named.retain(|_, until| *until > now);
        let newcomers = std::mem::take(&mut *self.newcomers.lock());
        Receivers {
            heard: known
                .values()
                .map(|peer| peer.state.peers_address)
                .collect(),
            unheard: named.keys().copied().chain(newcomers).collect(),
        }
    }

    /// Where the hosts of a hall take datagrams; those of all hosts where no hall is given.
    fn group_addresses(&self, hall: Option<&str>) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let group = known
            .values()
            .filter(|peer| hall.is_none_or(|hall| hall == peer.state.hall));
        group.map(|peer| peer.state.peers_address).collect()
    }

    fn some_names(&self) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let count = known.len().max(1);
        let skipped = rand::rng().random_range(0..count);
        let addresses = known.values().map(|peer| peer.state.peers_address);
        addresses.skip(skipped).take(NAMED_PEERS).collect()
    }
}

/// What work at upstreams says of those that are not sound.
fn findings(work: &[UpstreamWork]) -> Vec<Finding> {
    let unsound = work
        .iter()
        .filter(|entry| entry.condition != Condition::Healthy);
    let findings = unsound.map(|entry| Finding {
        upstream: entry.upstream.clone(),
        condition: entry.condition,
    });
    findings.collect()
}
