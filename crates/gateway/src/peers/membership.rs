//! Fleet membership: the state received from each host, hosts that were only advertised, and the
//! receivers of this host's datagrams.

use {
    super::{
        CandidateHost, HostAddress, Peer, Peers, REMOVAL_FACTOR, Receivers,
        message::{Finding, GroupDigest, PeerDelta, PeerState, UpstreamWork},
    },
    crate::{topology::Distance, view::Condition},
    rand::seq::SliceRandom,
    std::{
        net::{IpAddr, SocketAddr},
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::HallId},
    tealshore_duties::lease::ProcessId,
};

impl Peers {
    /// Returns the number of hosts known now, this one included.
    pub(super) fn hosts_known(&self) -> usize {
        let candidates = self.candidates.lock().len();
        let others = {
            let known = self.known.lock();
            let in_group = known.values();
            in_group
                .filter(|peer| self.is_in_group(&peer.state.hall))
                .count()
        };
        let elsewhere = self.groups.lock().hosts();
        let unreadable = self.unreadable.lock().len();
        others + elsewhere + candidates + unreadable + 1
    }

    /// Returns whether at least half of all known hosts are live, this one included.
    pub fn sees_at_least_half(&self, now: Instant) -> bool {
        (self.live_peers(now) + 1) * 2 >= self.hosts_known()
    }

    /// Records a host whose datagrams can't be decoded because their layout version differs.
    pub fn record_unreadable(&self, address: SocketAddr, now: Instant) {
        self.candidates.lock().remove(&address);
        self.unreadable.lock().insert(address.ip(), now);
    }

    /// Returns the largest number of hosts known at any one time, this one included. It does not
    /// shrink, because a host that is cut off from the others must not claim their shares for
    /// itself.
    pub fn max_known_hosts(&self) -> usize {
        let now = self.hosts_known();
        self.max_known_hosts
            .fetch_max(now, Ordering::Relaxed)
            .max(now)
    }

    /// Applies a state datagram. Returns the unhealthy upstreams that its sender reports.
    pub fn apply_state(&self, state: PeerState, now: Instant) -> Vec<Finding> {
        if state.host == self.own.id {
            return Vec::new();
        }
        self.candidates.lock().remove(&state.peers_address);
        for host in &state.named {
            self.add_candidate(host.address, Some(&host.hall));
        }
        let reported_hosts = usize::try_from(state.fleet_hosts).unwrap_or(usize::MAX);
        self.max_known_hosts
            .fetch_max(reported_hosts, Ordering::Relaxed);
        let findings = findings(&state.work);
        let mut known = self.known.lock();
        let before = known.get(&state.host);
        if before.is_some_and(|before| before.state.is_newer_than(&state)) {
            return Vec::new();
        }
        if before.is_none_or(|before| before.state.incarnation != state.incarnation) {
            // Newcomers are answered together a moment later. When many hosts start at once, an
            // immediate answer to each would cause a storm of datagrams.
            self.newcomers.lock().push(HostAddress {
                hall: state.hall.clone(),
                address: state.peers_address,
            });
            self.newcomer_arrived.notify_one();
        }
        let previous_phase = before.map(|before| before.state.phase);
        if previous_phase != Some(state.phase) {
            log::info!(
                "peers: host phase changed host={} hall={} phase={:?} before={previous_phase:?}",
                state.host,
                state.hall,
                state.phase
            );
        }
        let lends = before.is_some_and(|before| before.lends);
        let cut_off_services = before.and_then(|before| before.cut_off_services.clone());
        self.record_evidence(&state);
        let peer = Peer {
            state,
            last_seen: now,
            lends,
            cut_off_services,
        };
        known.insert(peer.state.host.clone(), peer);
        findings
    }

    /// Applies changes of a peer's state. Returns the unhealthy upstreams that the peer reports.
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
        peer.last_seen = now;
        peer.state.apply(change);
        self.record_evidence(&peer.state);
        findings
    }

    fn record_evidence(&self, state: &PeerState) {
        let process = ProcessId {
            host: state.host.clone(),
            incarnation: state.incarnation,
        };
        let mut evidence = self.evidence.lock();
        evidence.record_process(&process, &state.hall, &state.budgets);
    }

    /// Applies a digest of another group. Returns the unhealthy upstreams that its hosts report.
    pub fn apply_digest(&self, digest: &GroupDigest, now: Instant) -> Vec<Finding> {
        if digest.group == self.own.hall || !self.groups.lock().apply(digest, now) {
            return Vec::new();
        }
        let mut evidence = self.evidence.lock();
        evidence.record_group(&digest.group, &digest.budgets);
        drop(evidence);
        if let Some(members) = &digest.members {
            let mut candidates = self.candidates.lock();
            for member in members {
                candidates.remove(&member.peers_address);
            }
        }
        findings(&digest.work)
    }

    pub(super) fn address_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.options.address.port())
    }

    pub(super) fn add_candidate(&self, address: SocketAddr, hall: Option<&HallId>) {
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
        let candidate = CandidateHost {
            hall: hall.cloned(),
            expires_at: clock::now() + self.options.silence * REMOVAL_FACTOR,
        };
        self.candidates.lock().entry(address).or_insert(candidate);
    }

    /// Removes hosts that have been silent for long, and returns the destinations of datagrams.
    pub(super) fn receivers(&self, now: Instant) -> Receivers {
        let max_silence = self.options.silence * REMOVAL_FACTOR;
        let mut known = self.known.lock();
        known.retain(|host, peer| {
            let is_kept = now.saturating_duration_since(peer.last_seen) <= max_silence;
            if !is_kept {
                log::info!("peers: silent host removed host={host}");
            }
            is_kept
        });
        self.groups.lock().remove_silent(max_silence, now);
        let is_recent =
            |last_seen: &mut Instant| now.saturating_duration_since(*last_seen) <= max_silence;
        self.unreadable
            .lock()
            .retain(|_, last_seen| is_recent(last_seen));
        let mut candidates = self.candidates.lock();
        candidates.retain(|_, host| {
            let is_elsewhere = host
                .hall
                .as_ref()
                .is_some_and(|hall| !self.is_in_group(hall));
            host.expires_at > now && !is_elsewhere
        });
        let mut needs_full_state: Vec<(SocketAddr, Option<HallId>)> = candidates
            .iter()
            .map(|(address, host)| (*address, host.hall.clone()))
            .collect();
        needs_full_state.extend(self.take_newcomers());
        let in_group = known
            .values()
            .filter(|peer| self.is_in_group(&peer.state.hall));
        let (other_regions, same_region): (Vec<&Peer>, Vec<&Peer>) = in_group.partition(|peer| {
            let distance = self.topology.distance(&self.own.hall, &peer.state.hall);
            distance == Distance::OtherRegion
        });
        let addresses = |peers: Vec<&Peer>| {
            let addresses = peers.into_iter().map(|peer| peer.state.peers_address);
            addresses.collect()
        };
        Receivers {
            same_region: addresses(same_region),
            other_regions: addresses(other_regions),
            needs_full_state,
        }
    }

    pub(super) fn take_newcomers(
        &self,
    ) -> impl Iterator<Item = (SocketAddr, Option<HallId>)> + use<> {
        let newcomers = std::mem::take(&mut *self.newcomers.lock());
        let newcomers = newcomers.into_iter();
        newcomers.map(|host| (host.address, Some(host.hall)))
    }

    /// Returns whether a datagram of another host of this hall has arrived.
    pub(super) fn has_seen_own_hall(&self) -> bool {
        let known = self.known.lock();
        known.values().any(|peer| peer.state.hall == self.own.hall)
    }

    /// Returns the datagram addresses of the hosts of a hall, or of all hosts if no hall is given.
    pub(super) fn group_addresses(&self, hall: Option<&str>) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let group = known
            .values()
            .filter(|peer| hall.is_none_or(|hall| hall == peer.state.hall));
        group.map(|peer| peer.state.peers_address).collect()
    }

    /// Returns the datagram addresses of the group's hosts that were heard from in the last
    /// `within`.
    pub(super) fn live_in_group(&self, within: Duration, now: Instant) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let live = known.values().filter(|peer| {
            let silent = now.saturating_duration_since(peer.last_seen);
            silent <= within && self.is_in_group(&peer.state.hall)
        });
        live.map(|peer| peer.state.peers_address).collect()
    }

    /// Returns up to `count` random other hosts, those of `hall` first. In a grouped fleet only
    /// hosts of `hall` are returned, if it is given; otherwise hosts of other halls fill up the
    /// list.
    pub(super) fn sample_peers(&self, hall: Option<&HallId>, count: usize) -> Vec<HostAddress> {
        let mut addresses = self.known_addresses();
        let of_hall = |host: &HostAddress| hall.is_none_or(|hall| host.hall == *hall);
        if self.is_grouped() {
            addresses.retain(of_hall);
        }
        let mut random = rand::rng();
        addresses.shuffle(&mut random);
        addresses.sort_by_key(|host| !of_hall(host));
        addresses.truncate(count);
        addresses
    }

    pub(super) fn known_addresses(&self) -> Vec<HostAddress> {
        let now = clock::now();
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

/// Extracts the unhealthy upstreams from a host's work entries.
fn findings(work: &[UpstreamWork]) -> Vec<Finding> {
    let unhealthy = work
        .iter()
        .filter(|entry| entry.condition != Condition::Healthy);
    let findings = unhealthy.map(|entry| Finding {
        upstream: entry.upstream.clone(),
        condition: entry.condition,
    });
    findings.collect()
}
