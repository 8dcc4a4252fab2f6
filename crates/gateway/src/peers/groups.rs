//! State of the other groups of hosts, received in the digests of their relays.

use {
    super::message::{GroupDigest, GroupMember, HostAddress, ServiceUse},
    crate::{
        feed::FeederCandidate,
        view::{Condition, Work},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HallId, HostId},
};

/// Number of hosts of a group that receive digests while the relay of the group is unknown.
const UNKNOWN_RELAY_TARGETS: usize = 2;

/// A group, as last reported by its relay.
struct Group {
    relay: FeederCandidate,
    relay_address: SocketAddr,
    incarnation: u64,
    sequence: u64,
    last_seen: Instant,
    members: Vec<GroupMember>,
    /// Whether the relay runs a build that lends permits.
    lends: bool,
    /// Hosts of the group whose build does not lend permits.
    not_lending: Vec<HostId>,
    work: HashMap<EngineId, Work>,
    budgets: Vec<ServiceUse>,
}

/// The state of all other groups.
#[derive(Default)]
pub struct Groups {
    known: HashMap<HallId, Group>,
    /// The relay of each group as last advertised by another relay. Used while the group's own digests are
    /// missing.
    advertised: HashMap<HallId, SocketAddr>,
}

impl Groups {
    /// Applies a digest. Returns whether it was newer than the previous one of its relay.
    pub fn apply(&mut self, digest: &GroupDigest, now: Instant) -> bool {
        for relay in &digest.relays {
            self.advertised.insert(relay.hall.clone(), relay.address);
        }
        let before = self.known.get(&digest.group);
        let is_old = before.is_some_and(|before| {
            before.incarnation == digest.incarnation && before.sequence >= digest.sequence
        });
        if is_old {
            return false;
        }
        if before.is_none_or(|before| before.relay.host != digest.relay) {
            log::info!(
                "peers: relay changed group={} host={} before={}",
                digest.group,
                digest.relay,
                before.map_or("-", |before| before.relay.host.as_str())
            );
        }
        let group = self
            .known
            .entry(digest.group.clone())
            .or_insert_with(|| Group::of(digest, now));
        group.apply(digest, now);
        true
    }

    /// Records whether the relay of a group lends permits, and which hosts of the group don't.
    pub fn set_lends_permits(&mut self, hall: &HallId, lends: bool, not_lending: &[HostId]) {
        if let Some(group) = self.known.get_mut(hall) {
            group.lends = lends;
            let members = group.members.iter();
            let of_group = members.filter(|member| not_lending.contains(&member.host));
            group.not_lending = of_group.map(|member| member.host.clone()).collect();
        }
    }

    /// Returns whether the relay of a group lends permits.
    pub fn lends(&self, hall: &HallId) -> bool {
        self.known.get(hall).is_some_and(|group| group.lends)
    }

    /// Returns the hosts of a group that don't lend permits.
    pub fn not_lending(&self, hall: &HallId) -> Vec<HostId> {
        let group = self.known.get(hall);
        group.map_or_else(Vec::new, |group| group.not_lending.clone())
    }

    /// Returns the hosts of all live groups that take traffic and lend permits.
    pub fn lenders(&self, silence: Duration, now: Instant) -> Vec<(HallId, GroupMember)> {
        let lending = self.fresh(silence, now).filter(|(_, group)| group.lends);
        lending
            .flat_map(|(hall, group)| {
                let serving = group.members.iter();
                let serving = serving.filter(|member| {
                    member.phase.takes_traffic() && !group.not_lending.contains(&member.host)
                });
                serving.map(|member| (hall.clone(), member.clone()))
            })
            .collect()
    }

    /// Returns the live relays that lend permits.
    pub fn lending_relays(&self, silence: Duration, now: Instant) -> Vec<SocketAddr> {
        let lending = self.fresh(silence, now).filter(|(_, group)| group.lends);
        lending.map(|(_, group)| group.relay_address).collect()
    }

    /// Returns the number of hosts in all live groups.
    pub fn fresh_hosts(&self, silence: Duration, now: Instant) -> usize {
        let fresh = self.fresh(silence, now);
        fresh.map(|(_, group)| group.members.len()).sum()
    }

    /// Removes groups that have been silent for longer than `max_silence`.
    pub fn remove_silent(&mut self, max_silence: Duration, now: Instant) {
        self.known.retain(|hall, group| {
            let is_kept = now.saturating_duration_since(group.last_seen) <= max_silence;
            if !is_kept {
                log::info!("peers: silent group removed group={hall}");
            }
            is_kept
        });
    }

    /// Returns whether a digest of the group arrived within the `silence` timeout.
    pub fn is_fresh(&self, hall: &HallId, silence: Duration, now: Instant) -> bool {
        let group = self.known.get(hall);
        group.is_some_and(|group| group.is_fresh(silence, now))
    }

    /// Returns the number of hosts in the other groups.
    pub fn hosts(&self) -> usize {
        self.known.values().map(|group| group.members.len()).sum()
    }

    /// Returns whether a host of another group has this datagram address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        let mut members = self.known.values().flat_map(|group| &group.members);
        members.any(|member| member.peers_address == address)
    }

    /// Returns the hosts of each group of which no digest arrived within the `silence` timeout.
    pub fn silent_groups(&self, silence: Duration, now: Instant) -> Vec<Vec<GroupMember>> {
        let silent = self.known.values();
        let silent = silent.filter(|group| !group.is_fresh(silence, now));
        silent.map(|group| group.members.clone()).collect()
    }

    /// Returns the hosts of all live groups.
    pub fn members(&self, silence: Duration, now: Instant) -> Vec<(HallId, GroupMember)> {
        let fresh = self.fresh(silence, now);
        fresh
            .flat_map(|(hall, group)| {
                let members = group.members.iter();
                members.map(|member| (hall.clone(), member.clone()))
            })
            .collect()
    }

    /// Adds the work of the other live groups to the sums by upstream.
    pub fn add_work(&self, sums: &mut HashMap<EngineId, Work>, silence: Duration, now: Instant) {
        for (_, group) in self.fresh(silence, now) {
            for (upstream, work) in &group.work {
                sums.entry(upstream.clone()).or_default().add(*work);
            }
        }
    }

    /// Returns the retry budget use of each live group, with the number of its hosts.
    pub fn budgets(&self, silence: Duration, now: Instant) -> Vec<(usize, Vec<ServiceUse>)> {
        let fresh = self.fresh(silence, now);
        fresh
            .map(|(_, group)| (group.members.len(), group.budgets.clone()))
            .collect()
    }

    /// Returns the live relays.
    pub fn relays(&self, silence: Duration, now: Instant) -> Vec<FeederCandidate> {
        let fresh = self.fresh(silence, now);
        fresh.map(|(_, group)| group.relay.clone()).collect()
    }

    /// Returns the datagram addresses of the live relays, to advertise them to other relays.
    pub fn relay_addresses(&self, silence: Duration, now: Instant) -> Vec<HostAddress> {
        let fresh = self.fresh(silence, now);
        fresh
            .map(|(hall, group)| HostAddress {
                hall: hall.clone(),
                address: group.relay_address,
            })
            .collect()
    }

    /// Returns the destinations of digests for the other groups: the relay of each group and, for a
    /// group that has been silent, its advertised relay and some of its hosts. `direct` contains
    /// hosts of other groups that sent datagrams to this host directly.
    pub fn targets(
        &self,
        direct: &[HostAddress],
        silence: Duration,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut halls: Vec<&HallId> = self.known.keys().chain(self.advertised.keys()).collect();
        halls.extend(direct.iter().map(|host| &host.hall));
        halls.sort();
        halls.dedup();
        let mut targets = Vec::new();
        for hall in halls {
            match self.known.get(hall) {
                Some(group) if group.is_fresh(silence, now) => targets.push(group.relay_address),
                group => {
                    targets.extend(self.advertised.get(hall));
                    let direct = direct.iter().filter(|host| host.hall == *hall);
                    targets.extend(direct.map(|host| host.address).take(UNKNOWN_RELAY_TARGETS));
                    let members = group.into_iter().flat_map(|group| &group.members);
                    let members = members.map(|member| member.peers_address);
                    targets.extend(members.take(UNKNOWN_RELAY_TARGETS));
                }
            }
        }
        targets.sort();
        targets.dedup();
        targets
    }

    fn fresh(&self, silence: Duration, now: Instant) -> impl Iterator<Item = (&HallId, &Group)> {
        let all = self.known.iter();
        all.filter(move |(_, group)| group.is_fresh(silence, now))
    }
}

impl Group {
    fn of(digest: &GroupDigest, now: Instant) -> Self {
        Self {
            relay: relay_of(digest),
            relay_address: digest.relay_address,
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            last_seen: now,
            members: Vec::new(),
            lends: false,
            not_lending: Vec::new(),
            work: HashMap::new(),
            budgets: Vec::new(),
        }
    }

    fn apply(&mut self, digest: &GroupDigest, now: Instant) {
        self.relay = relay_of(digest);
        self.relay_address = digest.relay_address;
        self.incarnation = digest.incarnation;
        self.sequence = digest.sequence;
        self.last_seen = now;
        if let Some(members) = &digest.members {
            self.members.clone_from(members);
        }
        if digest.is_whole {
            self.work.clear();
        }
        for entry in &digest.work {
            let work = entry.shared_work();
            if work == Work::default() {
                self.work.remove(&entry.upstream);
            } else {
                self.work.insert(entry.upstream.clone(), work);
            }
        }
        self.budgets.clone_from(&digest.budgets);
    }

    fn is_fresh(&self, silence: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen) <= silence
    }
}

fn relay_of(digest: &GroupDigest) -> FeederCandidate {
    FeederCandidate {
        host: digest.relay.clone(),
        hall: digest.group.clone(),
        link_mbps: digest.link_mbps,
        watermark: digest.watermark.unwrap_or_default(),
        reaches_store: digest.reaches_store && digest.watermark.is_some(),
    }
}

/// Returns the worse of two conditions.
#[must_use]
pub fn worse(one: Condition, other: Condition) -> Condition {
    match (one, other) {
        (worse @ Condition::Replaced(_), _) | (_, worse @ Condition::Replaced(_)) => worse,
        (worse @ Condition::Suspected(_), _) | (_, worse @ Condition::Suspected(_)) => worse,
        (worse @ Condition::Failing(_), _) | (_, worse @ Condition::Failing(_)) => worse,
        (Condition::Healthy, Condition::Healthy) => Condition::Healthy,
    }
}
