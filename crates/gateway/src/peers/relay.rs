//! What the relay of a group does: it tells the relays of the other groups the sums of its own, and
//! passes theirs on to its group.
//!
//! Any host of a group that takes itself for the relay may do so; the sums of two relays of one
//! group are alike, and the later one counts.

use {
    super::{
        Feeder, GROUP_RUNS_BOUND, Groups, HostAddress, Peers, RELAYED_BOUND,
        digest::{DigestSource, GroupSums, LastDigest, PART_BYTES, pieces},
        extension::Extension,
        message::{Datagram, GroupDigest, GroupMember, HostPhase, PeerState},
        outgoing::{PeerSocket, own_state},
        shares::{Share, divide_into_shares},
    },
    crate::{feed::rank, run_trace::RunTrace, state::GatewayState},
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How often a relay sends what changed, and passes on what it received. What a stream's host tells
/// reaches all halls within twice this.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);

/// Relays for as long as the process lives, whenever this host is the relay of its group.
pub(super) async fn relay(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let mut last = LastDigest::default();
    loop {
        sleep(RELAY_INTERVAL).await;
        let now = Instant::now();
        let peers = &state.peers;
        // Counts hosts, so that a fleet that grows is divided into groups.
        peers.most_hosts();
        let relayed = peers.take_waiting_digests();
        let runs = peers.take_group_runs();
        if !peers.is_grouped() || peers.relay(now).is_some() {
            last.forget();
            continue;
        }
        let own = own_state(&state, now);
        let sums = peers.group_sums(&own, runs, now);
        let mut source = peers.source(&own, now);
        source.crashes = state.crashes.news_of_group(now);
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
        for digests in pieces(relayed, PART_BYTES) {
            relay_to_group(&state, &socket, digests, now).await;
        }
    }
}

/// Sends digests of other groups to the own one, in shares.
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
    let extension = Extension {
        limits: state.limits_to_tell(now),
        lending_groups,
        not_lending,
        ..Extension::default()
    };
    for (receiver, share) in divide_into_shares(&group, &live, round) {
        let digests = digests.clone();
        let datagram = Datagram::Relayed { digests, share };
        socket.send_with(&datagram, &extension, &[receiver]).await;
    }
}

/// Passes digests of other groups on to a share of the own one, but not back to their sender.
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
    socket.send_with(&datagram, extension, &receivers).await;
}

impl Peers {
    /// Where the relay of the own group takes datagrams; none where this host is the relay: the
    /// first by rank of all that take traffic, or of all where none does.
    pub(super) fn relay(&self, now: Instant) -> Option<SocketAddr> {
        let feeder = self.feeder.lock().clone();
        let known = self.known.lock();
        let mut in_group = known
            .values()
            .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall));
        match feeder {
            Feeder::Itself => None,
            // One of another group feeds this host as the relay of its own.
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

    /// Whether this host is the relay of its group.
    pub fn is_relay(&self, now: Instant) -> bool {
        self.relay(now).is_none()
    }

    /// What the hosts of the group have together, this one included.
    fn group_sums(&self, own: &PeerState, runs: Vec<RunTrace>, now: Instant) -> GroupSums {
        let mut sums = GroupSums {
            runs,
            ..GroupSums::default()
        };
        let known = self.known.lock();
        let believed = known
            .values()
            .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall));
        for state in believed.map(|peer| &peer.state).chain([own]) {
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
        self.add_gone_evidence(&mut sums, own);
        sums
    }

    /// Lets the sums tell what all processes of the hall saw of roll-outs, also those that are gone.
    fn add_gone_evidence(&self, sums: &mut GroupSums, own: &PeerState) {
        let ledger = self.evidence.lock();
        for entry in &mut sums.budgets {
            let Some(news) = &mut entry.rollout else {
                continue;
            };
            let order = news.evidence.order;
            let mut evidence = ledger.sum_of_hall(&entry.service, order, &own.hall);
            let of_service = own.budgets.iter().find(|it| it.service == entry.service);
            if let Some(own_news) = of_service.and_then(|it| it.rollout.as_ref()) {
                evidence.add(&own_news.evidence);
            }
            news.evidence = evidence;
        }
    }

    fn source(&self, own: &PeerState, now: Instant) -> DigestSource {
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

    /// Where digests of the own group go.
    pub(super) fn digest_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let met: Vec<HostAddress> = {
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
        let mut targets = groups.targets(&met, self.options.silence, now);
        targets.retain(|target| *target != self.options.address);
        targets
    }

    /// Keeps streams that began on a host of the group for the next digest.
    pub(super) fn note_group_runs(&self, runs: &[RunTrace]) {
        let mut kept = self.group_runs.lock();
        let room = GROUP_RUNS_BOUND.saturating_sub(kept.len());
        kept.extend(runs.iter().take(room).cloned());
    }

    fn take_group_runs(&self) -> Vec<RunTrace> {
        std::mem::take(&mut *self.group_runs.lock())
    }

    /// Keeps a digest of another group until it is passed on.
    pub(super) fn pass_on(&self, digest: GroupDigest) {
        let mut waiting = self.waiting_digests.lock();
        if waiting.len() < RELAYED_BOUND {
            waiting.push(digest);
        }
    }

    fn take_waiting_digests(&self) -> Vec<GroupDigest> {
        std::mem::take(&mut *self.waiting_digests.lock())
    }
}
