//! What hosts send each other.

use {
    crate::{
        budget::BudgetUse,
        feed::{StoreWatermark, UpstreamNews},
        run_trace::RunTrace,
        view::{Condition, Work},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tealshore_core::ids::{EngineId, HallId, HostId, ServiceId},
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
    /// Whether it says anything.
    #[must_use]
    pub fn is_worth_telling(&self) -> bool {
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

/// What a host used of the retry budget of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceId,
    /// What was used.
    pub used: BudgetUse,
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
    /// What it used of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// The streams that run on it.
    pub runs: Vec<RunTrace>,
    /// Some other hosts' addresses for datagrams.
    pub named: Vec<SocketAddr>,
}

/// What changed of a host's state since it was last told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerChange {
    /// The host.
    pub host: HostId,
    /// Its process.
    pub incarnation: u64,
    /// Counts the datagrams of an incarnation.
    pub sequence: u64,
    /// How far its knowledge of the store goes; none while it can't tell.
    pub watermark: Option<StoreWatermark>,
    /// Its work at upstreams where that changed, as it is now.
    pub work: Vec<UpstreamWork>,
    /// What it used of the retry budgets, where it repeated sends since.
    pub budgets: Vec<ServiceUse>,
    /// The streams that began on it since.
    pub runs: Vec<RunTrace>,
}

/// What hosts send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// The whole state of the sender.
    State(Box<PeerState>),
    /// What changed of it.
    Change(PeerChange),
    /// Changed upstreams, from a feeder.
    Upstreams(UpstreamNews),
}

impl PeerState {
    /// Whether this came from the same process as `other`, and later.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }

    /// Takes in what changed since.
    pub fn apply(&mut self, change: PeerChange) {
        self.sequence = change.sequence;
        self.watermark = change.watermark;
        for entry in change.work {
            self.work.retain(|known| known.upstream != entry.upstream);
            if entry.is_worth_telling() {
                self.work.push(entry);
            }
        }
        for entry in change.budgets {
            self.budgets.retain(|known| known.service != entry.service);
            self.budgets.push(entry);
        }
    }
}
