//! The datagrams that hosts exchange, and their encoding.

use {
    super::shares::Share,
    crate::{
        budget::BudgetUse,
        duties::UsageUpdate,
        feed::{StoreWatermark, UpstreamDelta},
        rollout::RolloutReport,
        view::{Condition, Work},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
    tealshore_duties::{lease::LeaseSummary, usage::WindowCounts},
    tealshore_quarantine::news::CrashUpdate,
    tealshore_rates::LimitUpdate,
    tealshore_runs::RunTrace,
};

/// Whether a host takes traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostPhase {
    /// The host has no view yet, or its view is too old.
    Starting,
    /// The host takes traffic.
    Serving,
    /// The host takes traffic, but its view may be out of date; callers should prefer other hosts.
    Stale,
    /// The host is shutting down.
    Leaving,
}

impl HostPhase {
    /// Returns whether a host in this phase takes traffic.
    #[must_use]
    pub fn takes_traffic(self) -> bool {
        match self {
            Self::Serving | Self::Stale => true,
            Self::Starting | Self::Leaving => false,
        }
    }
}

/// A host's work at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWork {
    /// The upstream.
    pub upstream: EngineId,
    /// The work of the host at the upstream.
    pub work: Work,
    /// The condition of the upstream as observed by the host.
    pub condition: Condition,
}

impl UpstreamWork {
    /// Returns an entry that reports no work at an upstream.
    #[must_use]
    pub fn no_work_at(upstream: &EngineId) -> Self {
        Self {
            upstream: upstream.clone(),
            work: Work::default(),
            condition: Condition::Healthy,
        }
    }

    /// Returns the work that counts on other hosts. Each host limits its own plain calls, so they count there only;
    /// hosts of earlier builds report them for upstreams that they found unhealthy.
    #[must_use]
    pub fn shared_work(&self) -> Work {
        if self.work.memory_tokens > 0 {
            self.work
        } else {
            Work::default()
        }
    }

    /// Returns whether the entry differs from a healthy upstream without work.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.condition != Condition::Healthy || self.work.memory_tokens > 0
    }
}

/// An upstream that a peer reports as unhealthy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The upstream.
    pub upstream: EngineId,
    /// The condition that the peer observed.
    pub condition: Condition,
}

/// A host's use of the retry budget of a service, and the state of the service's roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceId,
    /// The use of the retry budget.
    pub used: BudgetUse,
    /// Progress of the roll-out and evidence from answers, or `None` before the first roll-out.
    pub rollout: Option<RolloutReport>,
}

impl ServiceUse {
    /// Adds another host's report on the same service.
    pub fn add(&mut self, other: &Self) {
        self.used.add(other.used);
        match (&mut self.rollout, &other.rollout) {
            (Some(sum), Some(report)) => sum.add(report),
            (sum @ None, Some(report)) => *sum = Some(report.clone()),
            (Some(_) | None, None) => {}
        }
    }
}

/// The full state of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerState {
    /// Name of the host.
    pub host: HostId,
    /// Hall of the host.
    pub hall: HallId,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for datagrams.
    pub peers_address: SocketAddr,
    /// Whether it takes traffic.
    pub phase: HostPhase,
    /// Random number drawn at the start of the process; identifies the process.
    pub incarnation: u64,
    /// Sequence number of the datagram within the incarnation.
    pub sequence: u64,
    /// Work of the host at upstreams.
    pub work: Vec<UpstreamWork>,
    /// Store revisions that the host has applied, or `None` while they are unknown.
    pub watermark: Option<StoreWatermark>,
    /// Whether the host's last store call was answered.
    pub reaches_store: bool,
    /// Link capacity in Mbit/s.
    pub link_mbps: u32,
    /// Number of hosts that the host knows, itself included.
    pub fleet_hosts: u32,
    /// Use of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// Streams running on the host.
    pub runs: Vec<RunTrace>,
    /// A sample of other hosts, of the receiver's hall if that is known.
    pub named: Vec<HostAddress>,
    /// Offset of the host's clock from the store's time; positive if the host is ahead. `None` if
    /// no duty needs it.
    pub clock_offset_ms: Option<i64>,
    /// The lease of the duties, if the host holds it or has released it.
    pub lease: Option<LeaseSummary>,
    /// Requests known to crash upstreams, or `None` until the host has learned what was known
    /// before its start.
    pub crashes: Option<Vec<CrashUpdate>>,
}

/// The datagram address of a host and its hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// Hall of the host.
    pub hall: HallId,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// A host of a group, as reported by the relay of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Name of the host.
    pub host: HostId,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for datagrams.
    pub peers_address: SocketAddr,
    /// Whether it takes traffic.
    pub phase: HostPhase,
}

/// The aggregated state of a group, sent by its relay to the other groups. Sums are absolute, so a
/// digest from another relay of the same group replaces the previous one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The hall that forms the group.
    pub group: HallId,
    /// The relay that sent the digest.
    pub relay: HostId,
    /// Datagram address of the relay.
    pub relay_address: SocketAddr,
    /// Link capacity of the relay in Mbit/s.
    pub link_mbps: u32,
    /// Random number drawn at the start of the relay's process.
    pub incarnation: u64,
    /// Sequence number of the digest within the incarnation.
    pub sequence: u64,
    /// All hosts of the group; `None` if they are unchanged and the digest is not a full one.
    pub members: Option<Vec<GroupMember>>,
    /// Whether `work` is complete; otherwise it contains only changed entries.
    pub is_whole: bool,
    /// Total work of the hosts at each upstream, with the worst condition that any of them
    /// observed.
    pub work: Vec<UpstreamWork>,
    /// Use of the retry budgets by the group.
    pub budgets: Vec<ServiceUse>,
    /// Streams that started on hosts of the group.
    pub runs: Vec<RunTrace>,
    /// Store revisions that the relay has applied.
    pub watermark: Option<StoreWatermark>,
    /// Whether the relay's last store call was answered.
    pub reaches_store: bool,
    /// Known relays of other groups.
    pub relays: Vec<HostAddress>,
    /// The lease of the duties, if the relay holds it or has released it.
    pub lease: Option<LeaseSummary>,
    /// Usage per customer in the most recent windows; only in full digests.
    pub usage: Vec<WindowCounts>,
    /// Requests known to the relay to crash upstreams; only if they changed or in full digests.
    pub crashes: Vec<CrashUpdate>,
}

/// The changes of a host's state since its previous datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerDelta {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// Sequence number of the datagram within the incarnation.
    pub sequence: u64,
    /// Store revisions that the host has applied, or `None` while they are unknown.
    pub watermark: Option<StoreWatermark>,
    /// Whether the host's last store call was answered.
    pub reaches_store: bool,
    /// Current work at the upstreams where it changed.
    pub work: Vec<UpstreamWork>,
    /// Use of the retry budget and state of the roll-out, of the services for which the host has
    /// repeated sends or the roll-out has changed since the previous datagram.
    pub budgets: Vec<ServiceUse>,
    /// Streams of the host that started or moved to another engine since the previous datagram.
    pub runs: Vec<RunTrace>,
    /// The lease of the duties, if the host holds it or has released it.
    pub lease: Option<LeaseSummary>,
    /// Updates since the previous datagram about requests that crash upstreams.
    pub crashes: Vec<CrashUpdate>,
}

/// A message between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The full state of the sender.
    State(Box<PeerState>),
    /// The changes of the sender's state.
    Delta(PeerDelta),
    /// Upstream changes from a feeder.
    Upstreams {
        /// The changes.
        delta: UpstreamDelta,
        /// Whether the receiver is the relay of another group and forwards the changes to that
        /// group.
        is_for_group: bool,
    },
    /// The digest of another group, addressed to the relay of the receiving group.
    Digest {
        /// The digest.
        digest: Box<GroupDigest>,
        /// Whether a host that is not the relay has already forwarded the digest once.
        is_passed_on: bool,
    },
    /// Digests of other groups, forwarded by the relay of the receiver's group.
    Relayed {
        /// The digests.
        digests: Vec<GroupDigest>,
        /// The hosts to which the receiver forwards the digests.
        share: Option<Share>,
    },
    /// Usage per customer counted by the sender, for the hosts that may hold the duties.
    Usage(UsageUpdate),
    /// Limits that upstreams declared or withdrew, for hosts that lend permits.
    Limits {
        /// The limits.
        #[serde(rename = "news")]
        updates: Vec<LimitUpdate>,
        /// Whether the receiver is the relay of another group and forwards the limits to that
        /// group.
        is_for_group: bool,
    },
    /// Asks the lender of an upstream for permits.
    PermitAsk(PermitAsk),
    /// The lender's answer to a `PermitAsk`.
    PermitLoan(PermitLoan),
}

/// A request for permits to send to an upstream that declares a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The requesting host.
    pub host: HostId,
    /// The upstream.
    pub upstream: EngineId,
    /// Request number, repeated in the answer.
    pub number: u32,
    /// Number of permits that the host could use now.
    pub wanted: u32,
    /// Number of requests sent without a permit since the previous ask.
    pub owed: u32,
    /// The limit known to the requesting host.
    pub limit: LimitUpdate,
}

/// Permits to send to an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitLoan {
    /// The upstream.
    pub upstream: EngineId,
    /// Number of the ask that this answers.
    pub number: u32,
    /// Number of permits; each is valid for one request.
    pub permits: u32,
    /// Validity of the permits in milliseconds.
    pub valid_ms: u32,
    /// Time until the host should ask again, in milliseconds.
    pub wait_ms: u32,
    /// The limit known to the lender.
    pub limit: Option<LimitUpdate>,
}

/// Layout version of the datagrams, their first byte. During a rolling upgrade hosts of two
/// versions run side by side; each counts and drops the datagrams of the other version.
const LAYOUT_VERSION: u8 = 6;

/// The reason why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The datagram has another layout version, or is empty (`None`).
    OtherVersion(Option<u8>),
    /// The datagram is truncated or corrupt.
    Damaged,
}

impl Datagram {
    /// Returns the value of the `kind` label in metrics.
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

    /// Encodes the datagram.
    ///
    /// # Errors
    /// Returns an error if a value can't be serialized, which does not occur for these types.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![LAYOUT_VERSION])
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the layout version differs or the bytes are corrupt.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Unreadable> {
        Self::split(bytes).map(|(datagram, _)| datagram)
    }

    /// Decodes a datagram and returns it with the remaining bytes.
    ///
    /// # Errors
    /// Returns an error if the layout version differs or the bytes are corrupt.
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
    /// Returns whether this state comes from the same process as `other` and is at least as recent.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }

    /// Merges a delta into the state.
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
