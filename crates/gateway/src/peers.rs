//! What the hosts of this system tell each other, in datagrams: who they are, whether they
//! take traffic, what they have at each upstream, and which upstreams seem dead to them.
//!
//! A datagram is the whole state of its sender, so a lost one is mended by the next. One
//! goes out at each heartbeat, and at once when a stream begins or ends.

use {
    crate::{
        budget::{BudgetUse, Pool},
        edge::HostRecord,
        feed::{Contender, FeederChoice, StoreWord, UpstreamNews},
        options::{HostOptions, PeerOptions},
        runs::RunTrace,
        state::GatewayState,
        sync::take_news,
        view::{Condition, Work},
    },
    parking_lot::Mutex,
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
    tokio::{
        net::UdpSocket,
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// The largest datagram that is read, in bytes: the most that UDP carries.
const DATAGRAM_BOUND_BYTES: usize = 64 * 1024;
/// The largest datagram that is sent, in bytes: UDP carries a little more.
const SENT_BOUND_BYTES: usize = 60_000;
/// The most streams that a datagram tells of, so that it stays well below that.
const TOLD_RUNS: usize = 200;
/// The most upstreams whose work it tells of.
const TOLD_UPSTREAMS: usize = 400;
/// News within this time leave together.
const COALESCE: Duration = Duration::from_millis(10);
/// Silent peers are told of this host this many times longer than they are believed.
const FORGET_FACTOR: u32 = 12;
/// How many other hosts a datagram names, so that all come to know all.
const NAMED_PEERS: usize = 4;

/// Whether a host takes traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostPhase {
    /// It has no view yet, or one that is too old.
    Starting,
    /// It does.
    Serving,
    /// It stops.
    Leaving,
}

/// What a host has at one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamWork {
    upstream: EngineId,
    running: u32,
    unread_tokens: u64,
    memory_tokens: u64,
    condition: Condition,
}

/// An upstream of which a peer says that it is not sound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The upstream.
    pub upstream: EngineId,
    /// What the peer found.
    pub condition: Condition,
}

/// What a host used of the retry budget of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServiceUse {
    service: ServiceId,
    used: BudgetUse,
}

/// The state of a host, as a datagram carries it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerState {
    host: HostId,
    hall: HallId,
    callers_address: SocketAddr,
    peers_address: SocketAddr,
    phase: HostPhase,
    /// Drawn at the start of the process; another one is another process.
    incarnation: u64,
    /// Counts the datagrams of an incarnation.
    sequence: u64,
    work: Vec<UpstreamWork>,
    /// How far its knowledge of the store goes; none while it can't tell.
    word: Option<StoreWord>,
    /// What it used of the retry budgets.
    budgets: Vec<ServiceUse>,
    /// The streams that run on it.
    runs: Vec<RunTrace>,
    /// Some other hosts' addresses for datagrams.
    named: Vec<SocketAddr>,
}

/// What hosts send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Datagram {
    /// The state of the sender.
    State(Box<PeerState>),
    /// Changed upstreams, from a feeder.
    Upstreams(UpstreamNews),
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

    /// Lets this host's word on the store leave at once, with changes of upstreams before it.
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
                word: peer.state.word?,
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
                let work = Work {
                    running: entry.running,
                    unread_tokens: entry.unread_tokens,
                    memory_tokens: entry.memory_tokens,
                };
                sum.entry(entry.upstream.clone()).or_default().add(work);
            }
        }
        sum
    }

    /// The addresses for callers of the other hosts that take traffic.
    pub fn serving(&self, now: Instant) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let serving = known
            .values()
            .filter(|peer| self.is_believed(peer, now))
            .filter(|peer| peer.state.phase == HostPhase::Serving);
        serving.map(|peer| peer.state.callers_address).collect()
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
    pub fn take_in(&self, state: PeerState, now: Instant) -> Vec<Finding> {
        if state.host == self.own.id {
            return Vec::new();
        }
        self.named.lock().remove(&state.peers_address);
        for address in &state.named {
            self.name(*address);
        }
        let unsound = state.work.iter();
        let unsound = unsound.filter(|entry| entry.condition != Condition::Sound);
        let findings = unsound.map(|entry| Finding {
            upstream: entry.upstream.clone(),
            condition: entry.condition,
        });
        let findings = findings.collect();
        let mut known = self.known.lock();
        let before = known.get(&state.host);
        if before.is_some_and(|before| before.state.is_newer_than(&state)) {
            return Vec::new();
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

    /// Drops what has been silent for long and tells where datagrams go.
    fn receivers(&self, now: Instant) -> Vec<SocketAddr> {
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
        let heard = known.values().map(|peer| peer.state.peers_address);
        heard.chain(named.keys().copied()).collect()
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

    fn own_state(&self, state: &GatewayState, now: Instant) -> PeerState {
        let all = state.view.upstreams.all();
        let work = all.iter().filter_map(|upstream| {
            let own = upstream.own_work();
            let condition = upstream.condition_here(now);
            let is_worth_telling = condition != Condition::Sound || own.memory_tokens > 0;
            is_worth_telling.then(|| UpstreamWork {
                upstream: upstream.record.id.clone(),
                running: own.running,
                unread_tokens: own.unread_tokens,
                memory_tokens: own.memory_tokens,
                condition,
            })
        });
        let budgets = state.budget_use(now).into_iter();
        let budgets = budgets.map(|(service, used)| ServiceUse { service, used });
        PeerState {
            host: self.own.id.clone(),
            hall: self.own.hall.clone(),
            callers_address: self.own.callers_address,
            peers_address: self.options.address,
            phase: state.phase(now),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            work: work.take(TOLD_UPSTREAMS).collect(),
            word: state.own_word(),
            budgets: budgets.collect(),
            runs: state.runs.own(now).into_iter().take(TOLD_RUNS).collect(),
            named: self.some_names(),
        }
    }
}

impl PeerState {
    /// Whether this came from the same process as `other`, and later.
    fn is_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }
}

/// Tells and hears for as long as the process lives.
///
/// # Errors
/// The address can't be used.
pub async fn start(state: &Arc<GatewayState>) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(state.options.peers.address).await?);
    tokio::spawn(tell(state.clone(), socket.clone()));
    tokio::spawn(hear(state.clone(), socket));
    Ok(())
}

async fn tell(state: Arc<GatewayState>, socket: Arc<UdpSocket>) {
    loop {
        let now = Instant::now();
        let receivers = state.peers.receivers(now);
        let news = std::mem::take(&mut *state.peers.waiting_news.lock());
        for news in news {
            let fed = state.peers.group_addresses(state.group());
            send_to_all(&socket, &Datagram::Upstreams(news), &fed).await;
        }
        let own = Datagram::State(Box::new(state.peers.own_state(&state, now)));
        send_to_all(&socket, &own, &receivers).await;
        // Whether news or the heartbeat's time ends the wait makes no difference.
        let _ = timeout(state.options.peers.heartbeat, state.peers.news.notified()).await;
        sleep(COALESCE).await;
    }
}

async fn send_to_all(socket: &UdpSocket, datagram: &Datagram, receivers: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    if bytes.len() > SENT_BOUND_BYTES {
        log::warn!("peers: datagram too large bytes={}", bytes.len());
        return;
    }
    for receiver in receivers {
        // A datagram that is not sent is one that is lost: the next one mends it.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

async fn hear(state: Arc<GatewayState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BOUND_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(COALESCE).await;
            continue;
        };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(Datagram::State(peer)) => take_in_state(&state, *peer),
            Ok(Datagram::Upstreams(news)) => take_news(&state, news),
            Err(_) => log::warn!("peers: datagram unreadable bytes={length}"),
        }
    }
}

fn take_in_state(state: &GatewayState, peer: PeerState) {
    let sender = peer.host.clone();
    let now = Instant::now();
    for run in &peer.runs {
        state.runs.hear(run.clone(), now);
    }
    for finding in state.peers.take_in(peer, now) {
        take_over(state, &finding, &sender);
    }
    if state.peers.is_fed_by(&sender) {
        state.feed.notify();
    }
}

/// Takes over what a peer found, unless this host found the same. It is not told on:
/// suspicions of suspicions would never end.
fn take_over(state: &GatewayState, finding: &Finding, sender: &HostId) {
    let now = Instant::now();
    let Some(upstream) = state.view.upstreams.get(&finding.upstream) else {
        return;
    };
    let is_news = match finding.condition {
        Condition::Sound => false,
        Condition::Suspected => !upstream.is_suspected(now) && upstream.suspect_by_word(now),
        Condition::Replaced => upstream.replaced_by_word(now),
    };
    if is_news {
        log::debug!(
            "upstream: unsound upstream={} condition={:?} peer={sender}",
            finding.upstream,
            finding.condition
        );
    }
}
