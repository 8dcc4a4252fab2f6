//! The relay of a group: sends the group's aggregated state to the relays of the other groups, and
//! forwards their digests to its own group.
//!
//! Every host that considers itself the relay may act as one. The sums of two relays of a group
//! hardly differ, and receivers use the latest.

use {
    super::{
        Feeder, Groups, HostAddress, MAX_QUEUED_DIGESTS, MAX_QUEUED_GROUP_RUNS, Peers,
        digest::{DigestSource, GroupSums, LastDigest, MAX_PART_BYTES, chunks_by_size},
        extension::Extension,
        message::{Datagram, GroupDigest, GroupMember, HostPhase, PeerState},
        outgoing::{PeerSocket, own_state},
        shares::{Share, divide_into_shares},
    },
    crate::{feed::rank, state::GatewayState},
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::clock,
    tealshore_runs::RunTrace,
    tokio::time::sleep,
};

/// Interval at which a relay sends changes and forwards received digests. An update about a
/// stream reaches all halls within twice this interval.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);

/// Relays for the lifetime of the process, whenever this host is the relay of its group.
pub(super) async fn relay(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let mut last = LastDigest::default();
    loop {
        sleep(RELAY_INTERVAL).await;
        let now = clock::now();
        let peers = &state.peers;
        // Updates the largest known fleet size, so that a growing fleet is divided into groups.
        peers.max_known_hosts();
        let relayed = peers.take_waiting_digests();
        let runs = peers.take_group_runs();
        if !peers.is_grouped() || peers.relay(now).is_some() {
            last.request_full();
            continue;
        }
        let own = own_state(&state, now);
        let sums = peers.group_sums(&own, runs, now);
        let mut source = peers.digest_source(&own, now);
        source.crashes = state.crashes.updates_of_group(now);
        source.usage = state.duties.hall_usage(state.feed.store_time(now), now);
        let heartbeat = state.options.peers.heartbeat;
        let parts = last.next_parts(source, sums, heartbeat, now);
        let targets = if parts.is_empty() {
            Vec::new()
        } else {
            peers.digest_targets(now)
        };
        for digest in parts {
            let datagram = Datagram::Digest {
                digest: Box::new(digest),
                is_passed_on: false,
            };
            socket.send_to_all(&datagram, &targets).await;
        }
        for digests in chunks_by_size(relayed, MAX_PART_BYTES) {
            relay_to_group(&state, &socket, digests, now).await;
        }
    }
}

/// Sends digests of other groups to this host's group, divided into shares that receivers forward.
async fn relay_to_group(
    state: &GatewayState,
    socket: &PeerSocket,
    digests: Vec<GroupDigest>,
    now: Instant,
) {
    let group = state.peers.group_addresses(state.peers.group());
    let live = state
        .peers
        .live_in_group(state.options.peers.heartbeat * 2, now);
    let round = rand::rng().random();
    let (lending_groups, not_lending) = state.peers.lending_groups_of(&digests);
    let runs = digests
        .iter()
        .flat_map(|digest| digest.runs.iter().cloned());
    let run_origins = socket.run_origins(&runs.collect::<Vec<RunTrace>>());
    let extension = Extension {
        limits: state.limits_to_report(now),
        lending_groups,
        not_lending,
        run_origins,
        ..Extension::default()
    };
    for (receiver, share) in divide_into_shares(&group, &live, round) {
        let digests = digests.clone();
        let datagram = Datagram::Relayed { digests, share };
        socket
            .send_with_extension(&datagram, &extension, &[receiver])
            .await;
    }
}

/// Forwards digests of other groups to a share of this host's group, except to their sender.
pub(super) async fn forward_to_share(
    socket: &PeerSocket,
    digests: Vec<GroupDigest>,
    extension: &Extension,
    share: Share,
    sender: SocketAddr,
) {
    let mut receivers = socket.hall_addresses();
    receivers.retain(|host| share.contains(*host) && *host != sender);
    let datagram = Datagram::Relayed {
        digests,
        share: None,
    };
    socket
        .send_with_extension(&datagram, extension, &receivers)
        .await;
}

impl Peers {
    /// Returns the datagram address of the group's relay, or `None` if this host is the relay. The
    /// relay is the feeder. Without a feeder it is the first by rank of this host and the live hosts
    /// of the group that are not leaving.
    pub(super) fn relay(&self, now: Instant) -> Option<SocketAddr> {
        let feeder = self.feeder.lock().clone();
        let known = self.known.lock();
        let mut in_group = known
            .values()
            .filter(|peer| self.is_live(peer, now) && self.is_in_group(&peer.state.hall));
        match feeder {
            Feeder::Itself => None,
            // A feeder in another group feeds this host because this host is the relay of its own
            // group.
            Feeder::Host(feeder) => {
                let relay = in_group.find(|peer| peer.state.host == feeder);
                relay.map(|peer| peer.state.peers_address)
            }
            Feeder::Nobody => {
                let own = rank(&self.own.id, self.own.link_mbps);
                let live = in_group.filter(|peer| peer.state.phase != HostPhase::Leaving);
                let ranked = live.map(|peer| {
                    let rank = rank(&peer.state.host, peer.state.link_mbps);
                    (rank, peer.state.peers_address)
                });
                let (first, address) = ranked.min_by_key(|(rank, _)| *rank)?;
                (first < own).then_some(address)
            }
        }
    }

    /// Returns whether this host is the relay of its group.
    pub fn is_relay(&self, now: Instant) -> bool {
        self.relay(now).is_none()
    }

    /// Returns the aggregated state of the group, this host included.
    fn group_sums(&self, own: &PeerState, runs: Vec<RunTrace>, now: Instant) -> GroupSums {
        let mut sums = GroupSums {
            runs,
            ..GroupSums::default()
        };
        let known = self.known.lock();
        let live_hosts = known
            .values()
            .filter(|peer| self.is_live(peer, now) && self.is_in_group(&peer.state.hall));
        for state in live_hosts.map(|peer| &peer.state).chain([own]) {
            sums.add_work(&state.work);
            sums.add_budgets(&state.budgets);
            sums.members.push(GroupMember {
                host: state.host.clone(),
                callers_address: state.callers_address,
                peers_address: state.peers_address,
                phase: state.phase,
            });
        }
        sums.runs.extend(own.runs.iter().cloned());
        drop(known);
        self.include_departed_evidence(&mut sums, own);
        sums
    }

    /// Replaces the roll-out evidence in the sums by that of all processes of the hall, including
    /// processes that have ended.
    fn include_departed_evidence(&self, sums: &mut GroupSums, own: &PeerState) {
        let ledger = self.evidence.lock();
        for entry in &mut sums.budgets {
            let Some(report) = &mut entry.rollout else {
                continue;
            };
            let order = report.evidence.order;
            let mut evidence = ledger.sum_of_hall(&entry.service, order, &own.hall);
            let of_service = own.budgets.iter().find(|it| it.service == entry.service);
            if let Some(own_report) = of_service.and_then(|it| it.rollout.as_ref()) {
                evidence.add(&own_report.evidence);
            }
            report.evidence = evidence;
        }
    }

    fn digest_source(&self, own: &PeerState, now: Instant) -> DigestSource {
        DigestSource {
            host: own.host.clone(),
            hall: own.hall.clone(),
            address: own.peers_address,
            link_mbps: own.link_mbps,
            incarnation: own.incarnation,
            watermark: own.watermark,
            reaches_store: own.reaches_store,
            relays: self
                .groups
                .lock()
                .relay_addresses(self.options.silence, now),
            lease: own.lease.clone(),
            usage: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Returns the destinations of this group's digests.
    pub(super) fn digest_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let direct: Vec<HostAddress> = {
            let known = self.known.lock();
            let elsewhere = known
                .values()
                .filter(|peer| !self.is_in_group(&peer.state.hall));
            let elsewhere = elsewhere.map(|peer| HostAddress {
                hall: peer.state.hall.clone(),
                address: peer.state.peers_address,
            });
            elsewhere.collect()
        };
        let groups: &Groups = &self.groups.lock();
        let mut targets = groups.targets(&direct, self.options.silence, now);
        targets.retain(|target| *target != self.options.address);
        targets
    }

    /// Queues streams that started on a host of the group for the next digest.
    pub(super) fn queue_group_runs(&self, runs: &[RunTrace]) {
        let mut queued = self.group_runs.lock();
        let free = MAX_QUEUED_GROUP_RUNS.saturating_sub(queued.len());
        queued.extend(runs.iter().take(free).cloned());
    }

    fn take_group_runs(&self) -> Vec<RunTrace> {
        std::mem::take(&mut *self.group_runs.lock())
    }

    /// Queues a digest of another group for forwarding.
    pub(super) fn queue_digest(&self, digest: GroupDigest) {
        let mut waiting = self.waiting_digests.lock();
        if waiting.len() < MAX_QUEUED_DIGESTS {
            waiting.push(digest);
        }
    }

    fn take_waiting_digests(&self) -> Vec<GroupDigest> {
        std::mem::take(&mut *self.waiting_digests.lock())
    }
}
