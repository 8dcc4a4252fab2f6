//! Gossip between the hosts of the system, carried in UDP datagrams: host identity and phase, work
//! at each upstream, upstreams that look dead, and the store revisions that the sender has applied.
//!
//! A host sends what changed to the hosts of its group at each heartbeat, and immediately when a
//! stream starts or ends. It sends its full state at longer intervals, which repairs whatever lost
//! datagrams left out of date. A small fleet is a single group. In a large fleet each hall is a
//! group, and one host per group, the relay, exchanges aggregated digests with the relays of the
//! other groups and forwards theirs to its own group.

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
mod prompt_parts;
mod relay;
mod run_inquiry;
mod shares;
mod snapshot;
mod sums;
mod tunnels;

use {
    crate::{
        edge::{HostRecord, Revision},
        feed::{FeederCandidate, FeederChoice, MAX_GROUP_HOSTS, UpstreamDelta, rank},
        options::{HostOptions, PeerOptions},
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
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
    tealshore_duties::lease::ProcessId,
    tealshore_runs::RunTrace,
    tokio::sync::Notify,
};
pub use {
    addresses::SourceScope,
    digest::{DigestSource, GroupSums, LastDigest},
    duties::usage_receivers,
    extension::{ConfigurationReport, Extension, MAX_DATAGRAM_LIMITS},
    last_state::SentState,
    lenders::UpstreamLender,
    message::{
        Datagram, Finding, GroupDigest, GroupMember, HostAddress, HostPhase, PeerDelta, PeerState,
        PermitAsk, PermitLoan, ServiceUse, Unreadable, UpstreamWork,
    },
    run_inquiry::AskedHost,
    shares::{Share, divide_into_shares},
    snapshot::{
        InvalidNameIndex, PackedUpstreams, SNAPSHOT_CACHE_TIME, SetSnapshot, SnapshotCache,
        SnapshotRows, for_earlier_builds, max_snapshot_connections, packed_upstreams_path,
        restore_key_requirement, snapshot_path,
    },
    tunnels::{
        FOUND_HEADER, FOUND_REFUSED, FOUND_UNANSWERED, FOUND_UNKNOWN, TUNNEL_ID_HEADER, TunnelHost,
        UPSTREAM_HEADER, parse_tunnel_end_path, parse_tunnel_id, tunnel_end_path,
    },
};
pub(crate) use {exchange::start, outgoing::PeerSocket, run_inquiry::ask_about_runs};

/// Maximum number of streams in a datagram, which keeps it well below the UDP size limit.
const MAX_DATAGRAM_RUNS: usize = 200;
/// Maximum number of upstreams in a datagram.
const MAX_DATAGRAM_UPSTREAMS: usize = 400;
/// Changes within this interval are sent in one datagram.
const COALESCE_DELAY: Duration = Duration::from_millis(10);
/// A silent peer keeps receiving datagrams for this multiple of the silence timeout.
const REMOVAL_FACTOR: u32 = 12;
/// Number of other hosts that a state datagram advertises, so that every host discovers all others.
const MAX_ADVERTISED_PEERS: usize = 4;
/// Number of other hosts advertised to a host that has just started.
const MAX_ADVERTISED_PEERS_TO_NEWCOMERS: usize = 24;
/// Maximum number of streams of the group that a relay queues for its next digest.
const MAX_QUEUED_GROUP_RUNS: usize = 2_000;
/// Maximum number of digests that a relay queues for forwarding.
const MAX_QUEUED_DIGESTS: usize = 200;

/// Destinations of this host's datagrams.
struct Receivers {
    /// Hosts of the group that have sent datagrams, in the same region.
    same_region: Vec<SocketAddr>,
    /// The same, in other regions.
    other_regions: Vec<SocketAddr>,
    /// Hosts that were only advertised by others, or that have just started; they need the full
    /// state. The hall is `None` if the host was advertised without one.
    needs_full_state: Vec<(SocketAddr, Option<HallId>)>,
}

struct Peer {
    state: PeerState,
    last_seen: Instant,
    /// Whether the peer runs a build that lends permits.
    lends: bool,
    /// The services from whose upstreams the peer is cut off; `None` if it offers no tunnels.
    cut_off_services: Option<Vec<ServiceId>>,
}

/// A host that was advertised or configured, but has not sent a datagram yet.
struct CandidateHost {
    hall: Option<HallId>,
    /// The host is contacted until this time.
    expires_at: Instant,
}

/// The source from which this host receives store updates.
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

/// The receivers of forwarded upstream changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Audience {
    /// The relay forwards the changes to its own group.
    Group,
    /// The host that read the changes sends them to its group and to the relays of the other
    /// groups.
    Fleet,
}

/// This host's view of the other hosts of the fleet.
pub struct Peers {
    own: HostOptions,
    options: PeerOptions,
    topology: Topology,
    incarnation: u64,
    sequence: AtomicU64,
    known: Mutex<HashMap<HostId, Peer>>,
    /// Hosts that were advertised or configured, but have not sent a datagram yet.
    candidates: Mutex<HashMap<SocketAddr, CandidateHost>>,
    /// Hosts whose datagrams have another layout version, with the time of the last one. They still
    /// count when shared budgets are divided among all hosts.
    unreadable: Mutex<HashMap<IpAddr, Instant>>,
    /// State of the other groups, if the fleet is divided into groups.
    groups: Mutex<Groups>,
    /// Evidence that the other hosts collected about roll-outs in progress.
    evidence: Mutex<EvidenceLedger>,
    /// Signals a change that must be sent immediately.
    updates: Notify,
    /// Signals a new run, which is reported without waiting for further changes.
    run_began: Notify,
    /// Hosts that have just started and need the full state.
    newcomers: Mutex<Vec<HostAddress>>,
    newcomer_arrived: Notify,
    /// Streams that started in the group since the last digest.
    group_runs: Mutex<Vec<RunTrace>>,
    /// Digests of other groups, queued for forwarding to this host's group.
    waiting_digests: Mutex<Vec<GroupDigest>>,
    /// Upstream changes, queued for forwarding.
    waiting_deltas: Mutex<Vec<(UpstreamDelta, Audience)>>,
    /// Upstreams with a changed limit that has not been sent yet.
    pending_limits: Mutex<HashMap<EngineId, Audience>>,
    limits_changed: Notify,
    /// Notified when this host knows more of the parts of prompts that crash upstreams.
    pub parts_changed: Notify,
    /// Permit requests that have not been sent yet, with their destinations.
    asks: PermitAskQueue,
    /// The feeder chosen most recently.
    feeder: Mutex<Feeder>,
    /// The services from whose upstreams this host is cut off, as its last datagram reported them.
    cut_off_sent: Mutex<Vec<ServiceId>>,
    max_known_hosts: AtomicUsize,
}

impl Peers {
    /// Creates the peer state of a host that knows only its configured seeds.
    #[must_use]
    pub fn new(own: &HostOptions, options: &PeerOptions, topology: &Topology) -> Self {
        let peers = Self {
            own: own.clone(),
            options: options.clone(),
            topology: topology.clone(),
            incarnation: rand::rng().random(),
            sequence: AtomicU64::new(0),
            known: Mutex::default(),
            candidates: Mutex::default(),
            unreadable: Mutex::default(),
            groups: Mutex::default(),
            evidence: Mutex::default(),
            updates: Notify::new(),
            run_began: Notify::new(),
            newcomers: Mutex::default(),
            newcomer_arrived: Notify::new(),
            group_runs: Mutex::default(),
            waiting_digests: Mutex::default(),
            waiting_deltas: Mutex::default(),
            pending_limits: Mutex::default(),
            limits_changed: Notify::new(),
            parts_changed: Notify::new(),
            asks: PermitAskQueue::default(),
            feeder: Mutex::default(),
            cut_off_sent: Mutex::default(),
            max_known_hosts: AtomicUsize::new(1),
        };
        for seed in &options.seeds {
            peers.add_candidate(peers.address_at(*seed), None);
        }
        peers
    }

    /// Returns the identity of this process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        ProcessId {
            host: self.own.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Adds a host that the store lists.
    pub fn add(&self, host: &HostRecord) {
        self.add_candidate(host.peers_address, None);
    }

    /// Returns this host's entry for the store.
    #[must_use]
    pub fn own_record(&self, recovery_point: Revision) -> HostRecord {
        HostRecord {
            host: self.own.id.clone(),
            peers_address: self.options.address,
            recovery_point,
        }
    }

    /// Wakes the sender, so that changes of this host's state are sent immediately.
    pub fn wake_sender(&self) {
        self.updates.notify_one();
    }

    /// Wakes the sender to report a new run.
    pub fn announce_run(&self) {
        self.run_began.notify_one();
    }

    /// Queues upstream changes for the fleet, and wakes the sender so that they are sent
    /// immediately, followed by this host's store watermark.
    pub fn publish_store_progress(&self, delta: Option<UpstreamDelta>) {
        let delta = delta.map(|delta| (delta, Audience::Fleet));
        self.waiting_deltas.lock().extend(delta);
        self.updates.notify_one();
    }

    /// Queues upstream changes from another group for forwarding to this host's group.
    fn queue_group_delta(&self, delta: UpstreamDelta) {
        self.waiting_deltas.lock().push((delta, Audience::Group));
        self.updates.notify_one();
    }

    /// Returns whether no other host is live.
    pub fn is_alone(&self, now: Instant) -> bool {
        let known = self.known.lock();
        !known.values().any(|peer| self.is_live(peer, now))
    }

    /// Returns the live hosts of the group that have a store watermark and are not leaving. Hosts
    /// that have not loaded their first configuration are included, although they take no traffic
    /// yet.
    pub fn feeder_candidates(&self, now: Instant) -> Vec<FeederCandidate> {
        let known = self.known.lock();
        let staying = known
            .values()
            .filter(|peer| self.is_live(peer, now) && self.is_in_group(&peer.state.hall))
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

    /// Returns the live relays of the other groups.
    pub fn relays(&self, now: Instant) -> Vec<FeederCandidate> {
        if !self.is_grouped() {
            return Vec::new();
        }
        self.groups.lock().relays(self.options.silence, now)
    }

    /// Returns whether this host ranks before all live hosts.
    pub fn ranks_first(&self, now: Instant) -> bool {
        self.hosts_before(now) == 0
    }

    /// Returns the number of live hosts that rank before this one.
    pub fn hosts_before(&self, now: Instant) -> usize {
        let own = rank(&self.own.id, self.own.link_mbps);
        let known = self.known.lock();
        let live_hosts = known.values().filter(|peer| self.is_live(peer, now));
        let before = live_hosts.filter(|peer| rank(&peer.state.host, peer.state.link_mbps) < own);
        before.count()
    }

    /// Returns the number of other live hosts, seen directly or in the digest of their group.
    pub fn live_peers(&self, now: Instant) -> usize {
        let elsewhere = self.groups.lock().fresh_hosts(self.options.silence, now);
        let known = self.known.lock();
        let direct = known.values().filter(|peer| self.is_counted(peer, now));
        direct.count() + elsewhere
    }

    /// Returns whether the fleet is large enough for each hall to be a group of its own.
    pub fn is_grouped(&self) -> bool {
        self.max_known_hosts.load(Ordering::Relaxed) > MAX_GROUP_HOSTS
    }

    /// Returns the hall whose hosts this one sends to directly, or `None` if it sends to all hosts.
    pub fn group(&self) -> Option<&str> {
        self.is_grouped().then_some(self.own.hall.as_str())
    }

    fn is_in_group(&self, hall: &HallId) -> bool {
        self.group().is_none_or(|group| group == hall)
    }

    /// Records which host feeds this one.
    pub fn set_feeder(&self, chosen: &FeederChoice) {
        let now = match chosen {
            FeederChoice::Peer(host, _) => Feeder::Host(host.clone()),
            FeederChoice::ThisHost => Feeder::Itself,
            FeederChoice::NoFeeder => Feeder::Nobody,
        };
        let mut feeder = self.feeder.lock();
        if *feeder != now {
            log::info!("feed: feeder changed feeder={now} before={feeder}");
            *feeder = now;
        }
    }

    /// Returns whether this host reads the store on behalf of others.
    fn is_feeder(&self) -> bool {
        *self.feeder.lock() == Feeder::Itself
    }

    /// Returns whether `host` is the feeder chosen most recently.
    fn is_fed_by(&self, host: &HostId) -> bool {
        matches!(&*self.feeder.lock(), Feeder::Host(feeder) if feeder == host)
    }

    /// Returns whether the most recent choice found no feeder.
    fn has_no_feeder(&self) -> bool {
        *self.feeder.lock() == Feeder::Nobody
    }

    /// Takes the queued upstream changes.
    fn take_waiting_deltas(&self) -> Vec<(UpstreamDelta, Audience)> {
        std::mem::take(&mut *self.waiting_deltas.lock())
    }
}
