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
mod duties;
mod evidence;
mod exchange;
mod extension;
mod groups;
mod last_state;
mod lenders;
mod limits;
mod membership;
mod message;
mod outgoing;
mod relay;
mod shares;
mod snapshot;
mod sums;

use {
    crate::{
        edge::HostRecord,
        feed::{FeederCandidate, FeederChoice, MAX_GROUP_HOSTS, UpstreamDelta, rank},
        options::{HostOptions, PeerOptions},
        run_trace::RunTrace,
        topology::Topology,
    },
    evidence::EvidenceLedger,
    groups::Groups,
    limits::PermitAskQueue,
    parking_lot::Mutex,
    rand::RngExt,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::atomic::{AtomicU64, AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HallId, HostId},
    tealshore_duties::lease::ProcessId,
    tokio::sync::Notify,
};
pub use {
    addresses::SourceScope,
    digest::{DigestSource, GroupSums, LastDigest},
    duties::usage_receivers,
    exchange::start,
    extension::{Extension, LIMITS_BOUND},
    last_state::SentState,
    lenders::UpstreamLender,
    message::{
        Datagram, Finding, GroupDigest, GroupMember, HostAddress, HostPhase, PeerDelta, PeerState,
        PermitAsk, PermitLoan, ServiceUse, Unreadable, UpstreamWork,
    },
    shares::{Share, divide_into_shares},
    snapshot::{
        InvalidNameIndex, PackedUpstreams, SNAPSHOT_CACHE_TIME, SetSnapshot, SnapshotCache,
        SnapshotRows, max_snapshot_connections, packed_upstreams_path, snapshot_path,
    },
};

/// The most streams in a datagram, so that it stays well below what UDP carries.
const RUNS_BOUND: usize = 200;
/// The most upstreams in a datagram.
const UPSTREAMS_BOUND: usize = 400;
/// Changes within this time leave together.
const COALESCE: Duration = Duration::from_millis(10);
/// A silent peer is sent datagrams this many times longer than it is believed.
const FORGET_FACTOR: u32 = 12;
/// How many other hosts a state names, so that all come to know all.
const KNOWN_PEERS_TOLD: usize = 4;
/// How many it names to a host that has just started.
const KNOWN_PEERS_TO_NEWCOMERS: usize = 24;
/// The most streams of its group that a relay keeps until its next digest.
const GROUP_RUNS_BOUND: usize = 2_000;
/// The most digests that a relay keeps until it passes them on.
const RELAYED_BOUND: usize = 200;

/// Where datagrams go.
struct Receivers {
    /// To hosts of the group that were heard, and know this one.
    heard: Vec<SocketAddr>,
    /// To such hosts in other regions.
    heard_far: Vec<SocketAddr>,
    /// To hosts that were only named, or that have just started: they need the whole state. The
    /// hall of those that were named without it is not known.
    unheard: Vec<(SocketAddr, Option<HallId>)>,
}

struct Peer {
    state: PeerState,
    heard: Instant,
    /// It is of a build that lends permits.
    lends: bool,
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
    topology: Topology,
    incarnation: u64,
    sequence: AtomicU64,
    known: Mutex<HashMap<HostId, Peer>>,
    /// Hosts that were named and not heard yet.
    named: Mutex<HashMap<SocketAddr, UnmetHost>>,
    /// Hosts whose datagrams have another layout, with when they were last heard: they have their
    /// parts of what all hosts share.
    unreadable: Mutex<HashMap<IpAddr, Instant>>,
    /// The other groups, where the fleet has some.
    groups: Mutex<Groups>,
    /// What the other hosts saw of roll-outs that are under way.
    evidence: Mutex<EvidenceLedger>,
    /// Something changed that is to leave at once.
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
    /// Upstreams of which a limit changed that is to be told.
    pending_limits: Mutex<HashMap<EngineId, Audience>>,
    limits_changed: Notify,
    /// Asks for permits that wait to be sent, with where they go.
    asks: PermitAskQueue,
    /// Who feeds this host, as far as it was chosen last.
    feeder: Mutex<Feeder>,
    most_hosts: AtomicUsize,
}

impl Peers {
    /// The peers of a host that has heard of none.
    #[must_use]
    pub fn new(own: &HostOptions, options: &PeerOptions, topology: &Topology) -> Self {
        let peers = Self {
            own: own.clone(),
            options: options.clone(),
            topology: topology.clone(),
            incarnation: rand::rng().random(),
            sequence: AtomicU64::new(0),
            known: Mutex::default(),
            named: Mutex::default(),
            unreadable: Mutex::default(),
            groups: Mutex::default(),
            evidence: Mutex::default(),
            updates: Notify::new(),
            newcomers: Mutex::default(),
            newcomer_came: Notify::new(),
            group_runs: Mutex::default(),
            waiting_digests: Mutex::default(),
            waiting_deltas: Mutex::default(),
            pending_limits: Mutex::default(),
            limits_changed: Notify::new(),
            asks: PermitAskQueue::default(),
            feeder: Mutex::default(),
            most_hosts: AtomicUsize::new(1),
        };
        for seed in &options.seeds {
            peers.name(peers.address_at(*seed), None);
        }
        peers
    }

    /// This process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        ProcessId {
            host: self.own.id.clone(),
            incarnation: self.incarnation,
        }
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
    pub fn feeder_candidates(&self, now: Instant) -> Vec<FeederCandidate> {
        let known = self.known.lock();
        let staying = known
            .values()
            .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall))
            .filter(|peer| peer.state.phase != HostPhase::Leaving);
        let feeder_candidates = staying.filter_map(|peer| {
            Some(FeederCandidate {
                host: peer.state.host.clone(),
                hall: peer.state.hall.clone(),
                link_mbps: peer.state.link_mbps,
                watermark: peer.state.watermark?,
                reaches_store: peer.state.reaches_store,
            })
        });
        feeder_candidates.collect()
    }

    /// The relays of the other groups that were heard a moment ago.
    pub fn relays(&self, now: Instant) -> Vec<FeederCandidate> {
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

    /// How many other hosts were heard a moment ago, directly or by the relay of their group.
    pub fn hosts_heard(&self, now: Instant) -> usize {
        let elsewhere = self.groups.lock().fresh_hosts(self.options.silence, now);
        let known = self.known.lock();
        let direct = known.values().filter(|peer| self.is_counted(peer, now));
        direct.count() + elsewhere
    }

    /// Whether the hosts are so many that each hall is a group of its own.
    pub fn is_grouped(&self) -> bool {
        self.most_hosts.load(Ordering::Relaxed) > MAX_GROUP_HOSTS
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
            FeederChoice::ThisHost => Feeder::Itself,
            FeederChoice::NoFeeder => Feeder::Nobody,
        };
        let mut feeder = self.feeder.lock();
        if *feeder != now {
            log::info!("feed: feeder={now} before={feeder}");
            *feeder = now;
        }
    }

    /// Whether this host reads the store for others.
    fn is_feeder(&self) -> bool {
        *self.feeder.lock() == Feeder::Itself
    }

    /// Whether a host was last chosen as the feeder of this one.
    fn is_fed_by(&self, host: &HostId) -> bool {
        matches!(&*self.feeder.lock(), Feeder::Host(feeder) if feeder == host)
    }

    /// Whether no host was last chosen as the feeder of this one.
    fn has_no_feeder(&self) -> bool {
        *self.feeder.lock() == Feeder::Nobody
    }

    /// The changes of upstreams that wait to be sent on.
    fn take_waiting_deltas(&self) -> Vec<(UpstreamDelta, Audience)> {
        std::mem::take(&mut *self.waiting_deltas.lock())
    }
}
