//! What the hosts of this system tell each other, in datagrams: who they are, whether they
//! take traffic, what they have at each upstream, which upstreams seem dead to them, and how
//! far they know the store.
//!
//! At each heartbeat, and at once when a stream begins or ends, a host tells the hosts of its group
//! what changed; now and then it tells its whole state, which mends what lost datagrams left wrong.
//! A small fleet is one group. Of a large one each hall is a group, and one host of each, its
//! relay, exchanges sums with the relays of the others and passes theirs on to its group.

mod addresses;
mod digest;
mod exchange;
mod groups;
mod last_state;
mod message;
mod relay;
mod snapshot;

use {
    crate::{
        budget::Pool,
        edge::HostRecord,
        feed::{Contender, FeederChoice, GROUP_HOSTS, UpstreamDelta, rank},
        options::{HostOptions, PeerOptions},
        run_trace::RunTrace,
        view::{Condition, Work},
    },
    groups::Groups,
    parking_lot::Mutex,
    rand::{RngExt, seq::SliceRandom},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::atomic::{AtomicU64, AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
    tokio::sync::Notify,
};
pub use {
    addresses::Reach,
    digest::{DigestSource, GroupSums, LastDigest},
    exchange::start,
    last_state::LastState,
    message::{
        Datagram, Finding, GroupDigest, GroupMember, HostAddress, HostPhase, PeerDelta, PeerState,
        ServiceUse, Unreadable, UpstreamWork,
    },
    snapshot::{SetSnapshot, SnapshotRows, path_of},
};

/// The most streams that a datagram tells of, so that it stays well below what UDP carries.
const RUNS_BOUND: usize = 200;
/// The most upstreams whose work it tells of.
const UPSTREAMS_BOUND: usize = 400;
/// News within this time leave together.
const COALESCE: Duration = Duration::from_millis(10);
/// Silent peers are told of this host this many times longer than they are believed.
const FORGET_FACTOR: u32 = 12;
/// How many other hosts a state names, so that all come to know all.
const KNOWN_PEERS_TOLD: usize = 4;
/// How many it names to a host that has just started.
const KNOWN_PEERS_TO_NEWCOMERS: usize = 24;
/// The most streams of its group that a relay keeps until it tells them.
const GROUP_RUNS_BOUND: usize = 2_000;
/// The most digests that a relay keeps until it passes them on.
const RELAYED_BOUND: usize = 200;

/// Where datagrams go.
struct Receivers {
    /// To hosts of the group that were heard, and know this one.
    heard: Vec<SocketAddr>,
    /// To hosts that were only named, or that have just started: they need the whole state. The
    /// hall of those that were named without it is not known.
    unheard: Vec<(SocketAddr, Option<HallId>)>,
}

struct Peer {
    state: PeerState,
    heard: Instant,
}

/// A host that was named and not heard yet.
struct UnmetHost {
    hall: Option<HallId>,
    /// It is tried until then.
    until: Instant,
}

/// Who feeds this host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Feeder {
    #[default]
    Nobody,
    Itself,
    Host(HostId),
}

impl std::fmt::Display for Feeder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Nobody => "-",
            Self::Itself => "itself",
            Self::Host(host) => host,
        })
    }
}

/// To whom changes of upstreams are sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// To the group, by its relay.
    Group,
    /// To the group, and to the relays of the others, by the host that read them.
    Fleet,
}

/// The other hosts.
pub struct Peers {
    own: HostOptions,
    options: PeerOptions,
    incarnation: u64,
    sequence: AtomicU64,
    known: Mutex<HashMap<HostId, Peer>>,
    named: Mutex<HashMap<SocketAddr, UnmetHost>>,
    /// Hosts whose datagrams have another layout, with when they were last heard: they have their
    /// parts of what all hosts share.
    unreadable: Mutex<HashMap<IpAddr, Instant>>,
    /// The other groups, where the fleet has some.
    groups: Mutex<Groups>,
    updates: Notify,
    /// Hosts that have just started, to be told the whole state.
    newcomers: Mutex<Vec<HostAddress>>,
    newcomer_came: Notify,
    /// Streams that began in the group, for the digest.
    group_runs: Mutex<Vec<RunTrace>>,
    /// Digests of other groups that wait to be passed on to the group.
    waiting_digests: Mutex<Vec<GroupDigest>>,
    /// Changes of upstreams that wait to be sent on.
    waiting_deltas: Mutex<Vec<(UpstreamDelta, Audience)>>,
    /// Who feeds this host, as far as it was chosen last.
    feeder: Mutex<Feeder>,
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
            unreadable: Mutex::default(),
            groups: Mutex::default(),
            updates: Notify::new(),
            newcomers: Mutex::default(),
            newcomer_came: Notify::new(),
            group_runs: Mutex::default(),
            waiting_digests: Mutex::default(),
            waiting_deltas: Mutex::default(),
            feeder: Mutex::default(),
            most_hosts: AtomicUsize::new(1),
        };
        for seed in &options.seeds {
            peers.name(peers.address_at(*seed), None);
        }
        peers
    }

    /// Takes in a host that the store lists.
    pub fn add(&self, host: &HostRecord) {
        self.name(host.peers_address, None);
    }

    /// This host as the store is to keep it.
    #[must_use]
    pub fn own_record(&self) -> HostRecord {
        HostRecord {
            host: self.own.id.clone(),
            peers_address: self.options.address,
        }
    }

    /// Wakes the sender, so that what changed of this host leaves at once.
    pub fn wake_sender(&self) {
        self.updates.notify_one();
    }

    /// Lets this host's watermark on the store leave at once, with changes of upstreams before it.
    pub fn send_on(&self, delta: Option<UpstreamDelta>) {
        let delta = delta.map(|delta| (delta, Audience::Fleet));
        self.waiting_deltas.lock().extend(delta);
        self.updates.notify_one();
    }

    /// Lets changes of upstreams that came from another group leave for the own one.
    fn send_on_to_group(&self, delta: UpstreamDelta) {
        self.waiting_deltas.lock().push((delta, Audience::Group));
        self.updates.notify_one();
    }

    /// Whether no other host was heard a moment ago.
    pub fn is_alone(&self, now: Instant) -> bool {
        let known = self.known.lock();
        !known.values().any(|peer| self.is_believed(peer, now))
    }

    /// The hosts of the group that were heard a moment ago, know the store and don't stop. Before
    /// the first configuration they take no traffic yet.
    pub fn contenders(&self, now: Instant) -> Vec<Contender> {
        let known = self.known.lock();
        let staying = known
            .values()
            .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall))
            .filter(|peer| peer.state.phase != HostPhase::Leaving);
        let contenders = staying.filter_map(|peer| {
            Some(Contender {
                host: peer.state.host.clone(),
                hall: peer.state.hall.clone(),
                link_mbps: peer.state.link_mbps,
                watermark: peer.state.watermark?,
                reaches_store: peer.state.reaches_store,
            })
        });
        contenders.collect()
    }

    /// The relays of the other groups that were heard a moment ago.
    pub fn relays(&self, now: Instant) -> Vec<Contender> {
        if !self.is_grouped() {
            return Vec::new();
        }
        self.groups.lock().relays(self.options.silence, now)
    }

    /// Whether this host ranks before all that were heard a moment ago.
    pub fn ranks_first(&self, now: Instant) -> bool {
        self.hosts_before(now) == 0
    }

    /// How many of the hosts that were heard a moment ago rank before this one.
    pub fn hosts_before(&self, now: Instant) -> usize {
        let own = rank(&self.own.id, self.own.link_mbps);
        let known = self.known.lock();
        let believed = known.values().filter(|peer| self.is_believed(peer, now));
        let before = believed.filter(|peer| rank(&peer.state.host, peer.state.link_mbps) < own);
        before.count()
    }

    /// Whether the hosts are so many that each hall is a group of its own.
    pub fn is_grouped(&self) -> bool {
        self.most_hosts.load(Ordering::Relaxed) > GROUP_HOSTS
    }

    /// The hall whose hosts this one tells directly; none where it tells all hosts.
    pub fn group(&self) -> Option<&str> {
        self.is_grouped().then_some(self.own.hall.as_str())
    }

    fn is_in_group(&self, hall: &HallId) -> bool {
        self.group().is_none_or(|group| group == hall)
    }

    /// Notes which host feeds this one.
    pub fn note_feeder(&self, chosen: &FeederChoice) {
        let now = match chosen {
            FeederChoice::Peer(host, _) => Feeder::Host(host.clone()),
            FeederChoice::Itself => Feeder::Itself,
            FeederChoice::Nobody => Feeder::Nobody,
        };
        let mut feeder = self.feeder.lock();
        if *feeder != now {
            log::info!("feed: feeder={now} before={feeder}");
            *feeder = now;
        }
    }

    /// Whether a host was last chosen as the feeder of this one.
    fn is_fed_by(&self, host: &HostId) -> bool {
        matches!(&*self.feeder.lock(), Feeder::Host(feeder) if feeder == host)
    }

    /// Whether no host was last chosen as the feeder of this one.
    fn has_no_feeder(&self) -> bool {
        *self.feeder.lock() == Feeder::Nobody
    }

    /// How many hosts are known now, this one included.
    fn hosts_known(&self) -> usize {
        let unheard = self.named.lock().len();
        let others = {
            let known = self.known.lock();
            let in_group = known.values();
            in_group
                .filter(|peer| self.is_in_group(&peer.state.hall))
                .count()
        };
        let elsewhere = self.groups.lock().hosts();
        let unreadable = self.unreadable.lock().len();
        others + elsewhere + unheard + unreadable + 1
    }

    /// Notes a host whose datagrams can't be read as they have another layout.
    pub fn note_unreadable(&self, address: SocketAddr, now: Instant) {
        self.named.lock().remove(&address);
        self.unreadable.lock().insert(address.ip(), now);
    }

    /// The most hosts that there ever were at once, this one included, as far as is known. A
    /// host that is cut off from the others must not take their parts for its own.
    pub fn most_hosts(&self) -> usize {
        let now = self.hosts_known();
        self.most_hosts.fetch_max(now, Ordering::Relaxed).max(now)
    }

    /// What the other hosts have at each upstream.
    pub fn work(&self, now: Instant) -> HashMap<EngineId, Work> {
        let mut sums: HashMap<EngineId, Work> = HashMap::new();
        self.groups
            .lock()
            .add_work(&mut sums, self.options.silence, now);
        let known = self.known.lock();
        for peer in known.values().filter(|peer| self.is_counted(peer, now)) {
            for entry in &peer.state.work {
                let sum = sums.entry(entry.upstream.clone()).or_default();
                sum.add(entry.work);
            }
        }
        sums
    }

    /// What the other hosts used of the retry budget of a service, as far as they were heard.
    pub fn budget_pool(&self, service: &ServiceId, now: Instant) -> Pool {
        let mut pool = Pool::unheard(self.most_hosts());
        let mut add = |budgets: &[ServiceUse]| {
            let of_service = budgets.iter().filter(|entry| entry.service == *service);
            for entry in of_service {
                pool.used.add(entry.used);
            }
        };
        let mut heard = 0;
        for (hosts, budgets) in self.groups.lock().budgets(self.options.silence, now) {
            heard += hosts;
            add(&budgets);
        }
        let known = self.known.lock();
        for peer in known.values().filter(|peer| self.is_counted(peer, now)) {
            heard += 1;
            add(&peer.state.budgets);
        }
        pool.heard = heard;
        pool
    }

    /// Takes in a datagram; what its sender found of upstreams that are not sound.
    pub fn apply_state(&self, state: PeerState, now: Instant) -> Vec<Finding> {
        if state.host == self.own.id {
            return Vec::new();
        }
        self.named.lock().remove(&state.peers_address);
        for host in &state.named {
            self.name(host.address, Some(&host.hall));
        }
        let told = usize::try_from(state.fleet_hosts).unwrap_or(usize::MAX);
        self.most_hosts.fetch_max(told, Ordering::Relaxed);
        let findings = findings(&state.work);
        let mut known = self.known.lock();
        let before = known.get(&state.host);
        if before.is_some_and(|before| before.state.is_newer_than(&state)) {
            return Vec::new();
        }
        if before.is_none_or(|before| before.state.incarnation != state.incarnation) {
            // LastState a moment later, together with others: where many hosts start at once, an answer
            // to each of them at once would be a storm of datagrams.
            self.newcomers.lock().push(HostAddress {
                hall: state.hall.clone(),
                address: state.peers_address,
            });
            self.newcomer_came.notify_one();
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
    pub fn apply_delta(&self, change: PeerDelta, now: Instant) -> Vec<Finding> {
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

    /// Takes in a digest of another group; what its hosts found of upstreams that are not sound.
    pub fn apply_digest(&self, digest: &GroupDigest, now: Instant) -> Vec<Finding> {
        if digest.group == self.own.hall || !self.groups.lock().apply(digest, now) {
            return Vec::new();
        }
        if let Some(members) = &digest.members {
            let mut named = self.named.lock();
            for member in members {
                named.remove(&member.peers_address);
            }
        }
        findings(&digest.work)
    }

    /// Whether what a peer told of itself is counted: not where the digest of its group counts it.
    fn is_counted(&self, peer: &Peer, now: Instant) -> bool {
        let is_by_digest = || {
            let groups = self.groups.lock();
            groups.is_fresh(&peer.state.hall, self.options.silence, now)
        };
        self.is_believed(peer, now) && (peer.state.hall == self.own.hall || !is_by_digest())
    }

    fn is_believed(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.heard) <= self.options.silence
    }

    fn address_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.options.address.port())
    }

    fn name(&self, address: SocketAddr, hall: Option<&HallId>) {
        let is_elsewhere = hall.is_some_and(|hall| !self.is_in_group(hall));
        if address == self.options.address || is_elsewhere {
            return;
        }
        let is_known = {
            let known = self.known.lock();
            known
                .values()
                .any(|peer| peer.state.peers_address == address)
        };
        if is_known || self.groups.lock().has_address(address) {
            return;
        }
        let named = UnmetHost {
            hall: hall.cloned(),
            until: Instant::now() + self.options.silence * FORGET_FACTOR,
        };
        self.named.lock().entry(address).or_insert(named);
    }

    /// The changes of upstreams that wait to be sent on.
    fn take_waiting_deltas(&self) -> Vec<(UpstreamDelta, Audience)> {
        std::mem::take(&mut *self.waiting_deltas.lock())
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
        self.groups.lock().forget(forget, now);
        let is_recent = |heard: &mut Instant| now.saturating_duration_since(*heard) <= forget;
        self.unreadable.lock().retain(|_, heard| is_recent(heard));
        let mut named = self.named.lock();
        named.retain(|_, host| {
            let is_elsewhere = host
                .hall
                .as_ref()
                .is_some_and(|hall| !self.is_in_group(hall));
            host.until > now && !is_elsewhere
        });
        let mut unheard: Vec<(SocketAddr, Option<HallId>)> = named
            .iter()
            .map(|(address, host)| (*address, host.hall.clone()))
            .collect();
        unheard.extend(self.take_newcomers());
        let in_group = known
            .values()
            .filter(|peer| self.is_in_group(&peer.state.hall));
        Receivers {
            heard: in_group.map(|peer| peer.state.peers_address).collect(),
            unheard,
        }
    }

    fn take_newcomers(&self) -> impl Iterator<Item = (SocketAddr, Option<HallId>)> + use<> {
        let newcomers = std::mem::take(&mut *self.newcomers.lock());
        let newcomers = newcomers.into_iter();
        newcomers.map(|host| (host.address, Some(host.hall)))
    }

    /// Whether a host of the own hall was heard.
    fn has_met_hall(&self) -> bool {
        let known = self.known.lock();
        known.values().any(|peer| peer.state.hall == self.own.hall)
    }

    /// Where the hosts of a hall take datagrams; those of all hosts where no hall is given.
    fn group_addresses(&self, hall: Option<&str>) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let group = known
            .values()
            .filter(|peer| hall.is_none_or(|hall| hall == peer.state.hall));
        group.map(|peer| peer.state.peers_address).collect()
    }

    /// Some other hosts, of a hall as far as there are any and it is known; of all others, too,
    /// where all hosts tell each other.
    fn some_known_peers(&self, hall: Option<&HallId>, count: usize) -> Vec<HostAddress> {
        let mut names = self.addresses_known();
        let of_hall = |host: &HostAddress| hall.is_none_or(|hall| host.hall == *hall);
        if self.is_grouped() {
            names.retain(of_hall);
        }
        let mut random = rand::rng();
        names.shuffle(&mut random);
        names.sort_by_key(|host| !of_hall(host));
        names.truncate(count);
        names
    }

    fn addresses_known(&self) -> Vec<HostAddress> {
        let now = Instant::now();
        let elsewhere = self.groups.lock().members(self.options.silence, now);
        let elsewhere = elsewhere.into_iter().map(|(hall, member)| HostAddress {
            hall,
            address: member.peers_address,
        });
        let known = self.known.lock();
        let direct = known.values().map(|peer| HostAddress {
            hall: peer.state.hall.clone(),
            address: peer.state.peers_address,
        });
        direct.chain(elsewhere).collect()
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
