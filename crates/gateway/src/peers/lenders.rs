//! Selection of the lender: the host that lends the permits of an upstream.

use {
    super::{
        Peers,
        message::{GroupDigest, HostPhase},
    },
    crate::{topology::Distance, view::UpstreamRecord},
    std::{net::SocketAddr, time::Instant},
    tealshore_core::ids::{HallId, HostId},
    tealshore_rates::{Proximity, lendable_fraction, rank},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The lender of an upstream, from this host's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamLender {
    /// This host.
    ThisHost,
    /// Another host, which receives datagrams at this address.
    Host(SocketAddr),
    /// No lender is known yet.
    NotKnown,
}

impl Peers {
    /// Returns this host's position among all live hosts that take traffic, in an order that depends on `key`, such as
    /// an upstream's id, and their number, this host included.
    pub fn position_for(&self, key: &str, now: Instant) -> (usize, usize) {
        let seed = xxh3_64(key.as_bytes());
        let own = xxh3_64_with_seed(self.own.id.as_bytes(), seed);
        let in_other_groups = self.groups.lock().members(self.options.silence, now);
        let known = self.known.lock();
        let direct = known
            .values()
            .filter(|peer| self.is_counted(peer, now) && peer.state.phase.takes_traffic());
        let direct = direct.map(|peer| &peer.state.host);
        let others = in_other_groups
            .iter()
            .filter(|(_, member)| member.phase.takes_traffic())
            .map(|(_, member)| &member.host);
        let (mut position, mut hosts) = (0, 1);
        for host in direct.chain(others) {
            hosts += 1;
            position += usize::from(xxh3_64_with_seed(host.as_bytes(), seed) < own);
        }
        (position, hosts)
    }

    /// Returns the lender of an upstream: the host that ranks first for it, of all hosts that take traffic and run a
    /// build that lends. Hosts that know of the same hosts choose the same lender.
    ///
    /// This host takes part according to its own phase, as others see it. It may be the lender and not lend yet.
    pub fn lender_of(
        &self,
        upstream: &UpstreamRecord,
        phase: HostPhase,
        now: Instant,
    ) -> UpstreamLender {
        let rank_of = |host: &HostId, hall: &HallId| {
            let proximity = self.proximity_between(hall, &upstream.hall);
            rank(&upstream.id, host, proximity)
        };
        let in_other_groups = self.groups.lock().lenders(self.options.silence, now);
        let in_other_groups = in_other_groups.iter().map(|(hall, member)| {
            let rank = rank_of(&member.host, hall);
            (rank, UpstreamLender::Host(member.peers_address))
        });
        // Other groups learn of this host from its group's relay. If the relay's build does not lend, they know of no
        // lender in this group.
        let is_announced = self.relay_lends(now);
        let this_host = (phase.takes_traffic() && is_announced).then(|| {
            (
                rank_of(&self.own.id, &self.own.hall),
                UpstreamLender::ThisHost,
            )
        });
        let known = self.known.lock();
        let in_group = known.values().filter(|peer| {
            is_announced
                && peer.lends
                && peer.state.phase.takes_traffic()
                && self.is_live(peer, now)
                && self.is_in_group(&peer.state.hall)
        });
        let in_group = in_group.map(|peer| {
            let rank = rank_of(&peer.state.host, &peer.state.hall);
            (rank, UpstreamLender::Host(peer.state.peers_address))
        });
        let all = this_host.into_iter().chain(in_other_groups).chain(in_group);
        let first = all.min_by_key(|(rank, _)| *rank);
        first.map_or(UpstreamLender::NotKnown, |(_, lender)| lender)
    }

    /// Returns whether the relay of the own group runs a build that lends. Always true without groups.
    fn relay_lends(&self, now: Instant) -> bool {
        if !self.is_grouped() {
            return true;
        }
        let Some(relay) = self.relay(now) else {
            return true;
        };
        let known = self.known.lock();
        let mut peers = known.values();
        peers.any(|peer| peer.state.peers_address == relay && peer.lends)
    }

    /// Returns the hosts of the own group that are alive and run a build that does not lend.
    pub(super) fn not_lending(&self, now: Instant) -> Vec<HostId> {
        let known = self.known.lock();
        let not_lending = known.values().filter(|peer| {
            !peer.lends && self.is_live(peer, now) && self.is_in_group(&peer.state.hall)
        });
        not_lending.map(|peer| peer.state.host.clone()).collect()
    }

    /// Records whether a host runs a build that lends.
    pub fn set_lends_permits(&self, host: &HostId, lends: bool) {
        if let Some(peer) = self.known.lock().get_mut(host) {
            peer.lends = lends;
        }
    }

    /// Records whether the relay of another group runs a build that lends, and which hosts of that group do not.
    pub fn set_group_lends_permits(&self, hall: &HallId, lends: bool, not_lending: &[HostId]) {
        self.groups
            .lock()
            .set_lends_permits(hall, lends, not_lending);
    }

    /// Returns which groups of the given digests lend, and which of their hosts do not, for hosts that receive the
    /// digests from this one.
    pub(super) fn lending_groups_of(&self, digests: &[GroupDigest]) -> (Vec<HallId>, Vec<HostId>) {
        let groups = self.groups.lock();
        let lending = digests.iter().filter(|digest| groups.lends(&digest.group));
        let lending: Vec<HallId> = lending.map(|digest| digest.group.clone()).collect();
        let not_lending = lending.iter().flat_map(|hall| groups.not_lending(hall));
        let not_lending = not_lending.collect();
        (lending, not_lending)
    }

    /// Returns the fraction of a limit that this host may lend, given how many of all known hosts are live.
    pub fn lendable_fraction(&self, now: Instant) -> f64 {
        let in_group = {
            let known = self.known.lock();
            let live = known
                .values()
                .filter(|peer| self.is_live(peer, now) && self.is_in_group(&peer.state.hall));
            live.count()
        };
        let in_other_groups = self.groups.lock().fresh_hosts(self.options.silence, now);
        lendable_fraction(in_group + in_other_groups + 1, self.hosts_known())
    }

    /// Returns how near a hall is to an upstream's hall.
    fn proximity_between(&self, hall: &HallId, upstream_hall: &HallId) -> Proximity {
        match self.topology.distance(hall, upstream_hall) {
            Distance::SameHall => Proximity::SameHall,
            Distance::SameRegion => Proximity::SameRegion,
            Distance::OtherRegion => Proximity::OtherRegion,
        }
    }
}
