//! What hosts send each other.

use {
    super::shares::Share,
    crate::{
        budget::BudgetUse,
        duties::UsageNews,
        feed::{StoreWatermark, UpstreamDelta},
        rollout::RolloutNews,
        run_trace::RunTrace,
        view::{Condition, Work},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
    tealshore_duties::{lease::LeaseNews, usage::WindowCounts},
    tealshore_quarantine::news::CrashUpdate,
    tealshore_rates::LimitUpdate,
};

/// Whether a host takes traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostPhase {
    /// It has no view yet, or one that is too old.
    Starting,
    /// It does.
    Serving,
    /// It does, by a view that may be too old; callers had better go elsewhere.
    Stale,
    /// It stops.
    Leaving,
}

impl HostPhase {
    /// Whether a host of this phase takes traffic.
    #[must_use]
    pub fn takes_traffic(self) -> bool {
        match self {
            Self::Serving | Self::Stale => true,
            Self::Starting | Self::Leaving => false,
        }
    }
}

/// What a host has at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// The upstream.
    pub upstream: EngineId,
    /// What the host has there.
    pub work: Work,
    /// What the host found of it.
    pub condition: Condition,
}

impl UpstreamWork {
    /// That nothing is left at an upstream.
    #[must_use]
    pub fn none_at(upstream: &EngineId) -> Self {
        Self {
            upstream: upstream.clone(),
            work: Work::default(),
            condition: Condition::Healthy,
        }
    }

    /// Whether it says anything.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.condition != Condition::Healthy || self.work.memory_tokens > 0
    }
}

/// An upstream of which a peer says that it is not sound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The upstream.
    pub upstream: EngineId,
    /// What the peer found.
    pub condition: Condition,
}

/// What a host says of a service: its use of the retry budget, and its roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceId,
    /// What was used.
    pub used: BudgetUse,
    /// How far its roll-out is, and what answers told; none before the first.
    pub rollout: Option<RolloutNews>,
}

impl ServiceUse {
    /// Adds what another host says of the same service.
    pub fn add(&mut self, other: &Self) {
        self.used.add(other.used);
        match (&mut self.rollout, &other.rollout) {
            (Some(sum), Some(news)) => sum.add(news),
            (sum @ None, Some(news)) => *sum = Some(news.clone()),
            (Some(_) | None, None) => {}
        }
    }
}

/// The state of a host, as a datagram carries it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerState {
    /// Its name.
    pub host: HostId,
    /// Its hall.
    pub hall: HallId,
    /// Where it takes callers.
    pub callers_address: SocketAddr,
    /// Where it takes datagrams.
    pub peers_address: SocketAddr,
    /// Whether it takes traffic.
    pub phase: HostPhase,
    /// Drawn at the start of the process; another one is another process.
    pub incarnation: u64,
    /// Counts the datagrams of an incarnation.
    pub sequence: u64,
    /// What it has at upstreams.
    pub work: Vec<UpstreamWork>,
    /// How far its knowledge of the store goes; none while it can't tell.
    pub watermark: Option<StoreWatermark>,
    /// Whether its last call to the store was answered.
    pub reaches_store: bool,
    /// What its link carries, in Mbit/s.
    pub link_mbps: u32,
    /// How many hosts it knows of, itself included.
    pub fleet_hosts: u32,
    /// What it used of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// The streams that run on it.
    pub runs: Vec<RunTrace>,
    /// Some other hosts, of the receiver's hall where it is known.
    pub named: Vec<HostAddress>,
    /// How far its time of day is ahead of the store's time; none where no duty needs it.
    pub clock_offset_ms: Option<i64>,
    /// The lease of the duties, where it holds that or gave it up.
    pub lease: Option<LeaseNews>,
    /// What it knows of requests that crash upstreams; none while it has not yet learned what was
    /// known before its start.
    pub crashes: Option<Vec<CrashUpdate>>,
}

/// Where a host of a hall takes datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// Its hall.
    pub hall: HallId,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// A host of a group, as its relay tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Its name.
    pub host: HostId,
    /// Where it takes callers.
    pub callers_address: SocketAddr,
    /// Where it takes datagrams.
    pub peers_address: SocketAddr,
    /// Whether it takes traffic.
    pub phase: HostPhase,
}

/// What the hosts of a group have together, as its relay tells the other groups. Sums are
/// absolute, so one from another relay of the same group takes the place of the last one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The hall whose hosts the group is.
    pub group: HallId,
    /// The relay that tells it.
    pub relay: HostId,
    /// Where the relay takes datagrams.
    pub relay_address: SocketAddr,
    /// What the relay's link carries, in Mbit/s.
    pub link_mbps: u32,
    /// Drawn at the start of the relay's process.
    pub incarnation: u64,
    /// Counts the digests of an incarnation.
    pub sequence: u64,
    /// All its hosts, where those changed or all is told.
    pub members: Option<Vec<GroupMember>>,
    /// Whether `work` is all that they have; else it is what changed.
    pub is_whole: bool,
    /// The sums of their work at upstreams, and the worst that one of them found there.
    pub work: Vec<UpstreamWork>,
    /// What they used of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// Streams that began on them.
    pub runs: Vec<RunTrace>,
    /// How far the relay's knowledge of the store goes.
    pub watermark: Option<StoreWatermark>,
    /// Whether the relay's last call to the store was answered.
    pub reaches_store: bool,
    /// The relays of other groups that it knows of.
    pub relays: Vec<HostAddress>,
    /// The lease of the duties, where the relay holds that or gave it up.
    pub lease: Option<LeaseNews>,
    /// What its hosts counted for customers in the last windows, where all is told.
    pub usage: Vec<WindowCounts>,
    /// What the relay knows of requests that crash upstreams, where that changed or all is told.
    pub crashes: Vec<CrashUpdate>,
}

/// What changed of a host's state since it was last told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerDelta {
    /// The host.
    pub host: HostId,
    /// Its process.
    pub incarnation: u64,
    /// Counts the datagrams of an incarnation.
    pub sequence: u64,
    /// How far its knowledge of the store goes; none while it can't tell.
    pub watermark: Option<StoreWatermark>,
    /// Whether its last call to the store was answered.
    pub reaches_store: bool,
    /// Its work at upstreams where that changed, as it is now.
    pub work: Vec<UpstreamWork>,
    /// What it used of the retry budgets, where it repeated sends since.
    pub budgets: Vec<ServiceUse>,
    /// The streams that began on it since.
    pub runs: Vec<RunTrace>,
    /// The lease of the duties, where it holds that or gave it up.
    pub lease: Option<LeaseNews>,
    /// What it learned since of requests that crash upstreams.
    pub crashes: Vec<CrashUpdate>,
}

/// What hosts send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The whole state of the sender.
    State(Box<PeerState>),
    /// What changed of it.
    Delta(PeerDelta),
    /// Changed upstreams, from a feeder.
    Upstreams {
        /// The changes.
        delta: UpstreamDelta,
        /// The receiver is the relay of another group, and passes them on to it.
        is_for_group: bool,
    },
    /// The digest of another group, to its relay.
    Digest {
        /// The digest.
        digest: Box<GroupDigest>,
        /// It came to a host that is not the relay, and was passed on once.
        is_passed_on: bool,
    },
    /// Digests of other groups, from the relay of the own one.
    Relayed {
        /// The digests.
        digests: Vec<GroupDigest>,
        /// The hosts to which the receiver passes them on.
        share: Option<Share>,
    },
    /// What the sender counted for customers, to the hosts that may hold the duties.
    Usage(UsageNews),
    /// Limits that upstreams named, or ended, to hosts that lend permits.
    Limits {
        /// The limits.
        news: Vec<LimitUpdate>,
        /// The receiver is the relay of another group, and passes them on to it.
        is_for_group: bool,
    },
    /// Asks the lender of an upstream for permits.
    PermitAsk(PermitAsk),
    /// The lender's answer.
    PermitLoan(PermitLoan),
}

/// A host asks for permits to send to an upstream that names a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Who asks.
    pub host: HostId,
    /// The upstream.
    pub upstream: EngineId,
    /// The number of the ask, which its answer repeats.
    pub number: u32,
    /// How many permits the host could use now.
    pub wanted: u32,
    /// How many requests it sent without one since it last asked.
    pub owed: u32,
    /// The limit that it knows.
    pub limit: LimitUpdate,
}

/// Permits to send to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitLoan {
    /// The upstream.
    pub upstream: EngineId,
    /// The number of the ask.
    pub number: u32,
    /// How many permits there are; each is good for one request.
    pub permits: u32,
    /// How long they hold, in milliseconds.
    pub valid_ms: u32,
    /// After which time to ask again, in milliseconds.
    pub wait_ms: u32,
    /// The limit that the lender knows.
    pub limit: Option<LimitUpdate>,
}

/// The version of the datagrams' layout, their first byte. Hosts of two versions run side by side
/// while hosts are replaced in turn; each counts and drops what the other says.
const LAYOUT_VERSION: u8 = 6;

/// Why a datagram can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// It has another layout.
    OtherVersion(Option<u8>),
    /// It is cut or damaged.
    Damaged,
}

impl Datagram {
    /// What it is called in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Delta(_) => "delta",
            Self::Upstreams { .. } => "upstreams",
            Self::Digest { .. } => "digest",
            Self::Relayed { .. } => "relayed",
            Self::Usage(_) => "usage",
            Self::Limits { .. } => "limits",
            Self::PermitAsk(_) => "permit-ask",
            Self::PermitLoan(_) => "permit-loan",
        }
    }

    /// The bytes that are sent.
    ///
    /// # Errors
    /// A value can't be written; none of these types has such.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![LAYOUT_VERSION])
    }

    /// Reads what was sent.
    ///
    /// # Errors
    /// The layout is another one, or the bytes are damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Unreadable> {
        Self::split(bytes).map(|(datagram, _)| datagram)
    }

    /// Reads what was sent; the bytes that stand behind it, too.
    ///
    /// # Errors
    /// The layout is another one, or the bytes are damaged.
    pub(super) fn split(bytes: &[u8]) -> Result<(Self, &[u8]), Unreadable> {
        match bytes.split_first() {
            Some((&LAYOUT_VERSION, rest)) => {
                postcard::take_from_bytes(rest).map_err(|_| Unreadable::Damaged)
            }
            other => Err(Unreadable::OtherVersion(other.map(|(version, _)| *version))),
        }
    }
}

impl PeerState {
    /// Whether this came from the same process as `other`, and later.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }

    /// Takes in what changed since.
    pub fn apply(&mut self, change: PeerDelta) {
        self.sequence = change.sequence;
        self.watermark = change.watermark;
        self.reaches_store = change.reaches_store;
        for entry in change.work {
            self.work.retain(|known| known.upstream != entry.upstream);
            if entry.is_significant() {
                self.work.push(entry);
            }
        }
        for entry in change.budgets {
            self.budgets.retain(|known| known.service != entry.service);
            self.budgets.push(entry);
        }
    }
}
