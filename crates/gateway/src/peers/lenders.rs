//! Which host lends the permits of an upstream.

use {
    super::{
        Peers,
        message::{GroupDigest, HostPhase},
    },
    crate::{topology::Distance, view::UpstreamRecord},
    std::{net::SocketAddr, time::Instant},
    tealshore_core::ids::{HallId, HostId},
    tealshore_rates::{Proximity, lendable_fraction, rank},
};

/// The lender of an upstream, as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LenderOf {
    /// This host.
    Itself,
    /// Another host, which takes datagrams here.
    Host(SocketAddr),
    /// None is known yet.
    Nobody,
}

impl Peers {
    /// The lender of an upstream: of all hosts that take traffic and are of a build that lends, the first by its
    /// rank for that upstream. Hosts that hear of the same hosts find the same. This host takes part by its own
    /// phase as the others see it; it may be the lender and not lend yet.
    pub fn lender_of(&self, upstream: &UpstreamRecord, phase: HostPhase, now: Instant) -> LenderOf {
        let rank_of = |host: &HostId, hall: &HallId| {
            let nearness = self.nearness_between(hall, &upstream.hall);
            rank(&upstream.id, host, nearness)
        };
        let elsewhere = self.groups.lock().lenders(self.options.silence, now);
        let elsewhere = elsewhere.iter().map(|(hall, member)| {
            let rank = rank_of(&member.host, hall);
            (rank, LenderOf::Host(member.peers_address))
        });
        // Other groups hear of this one by its relay, and of no lender where that knows of none.
        let is_told = self.relay_lends(now);
        let itself = (phase.takes_traffic() && is_told)
            .then(|| (rank_of(&self.own.id, &self.own.hall), LenderOf::Itself));
        let known = self.known.lock();
        let in_group = known.values().filter(|peer| {
            is_told
                && peer.lends
                && peer.state.phase.takes_traffic()
                && self.is_believed(peer, now)
                && self.is_in_group(&peer.state.hall)
        });
        let in_group = in_group.map(|peer| {
            let rank = rank_of(&peer.state.host, &peer.state.hall);
            (rank, LenderOf::Host(peer.state.peers_address))
        });
        let all = itself.into_iter().chain(elsewhere).chain(in_group);
        let first = all.min_by_key(|(rank, _)| *rank);
        first.map_or(LenderOf::Nobody, |(_, lender)| lender)
    }

    /// Whether the relay of the own group is of a build that lends; always so where there are no groups.
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

    /// The hosts of the own group that were heard a moment ago and are of a build that does not lend.
    pub(super) fn not_lending(&self, now: Instant) -> Vec<HostId> {
        let known = self.known.lock();
        let not_lending = known.values().filter(|peer| {
            !peer.lends && self.is_believed(peer, now) && self.is_in_group(&peer.state.hall)
        });
        not_lending.map(|peer| peer.state.host.clone()).collect()
    }

    /// Notes whether a host is of a build that lends.
    pub fn note_lends(&self, host: &HostId, lends: bool) {
        if let Some(peer) = self.known.lock().get_mut(host) {
            peer.lends = lends;
        }
    }

    /// The same of another group: of its relay, and which of its hosts are not.
    pub fn note_group_lends(&self, hall: &HallId, lends: bool, not_lending: &[HostId]) {
        self.groups.lock().note_lends(hall, lends, not_lending);
    }

    /// What is known of the groups of some digests, for those that hear of them by this host.
    pub(super) fn lending_in(&self, digests: &[GroupDigest]) -> (Vec<HallId>, Vec<HostId>) {
        let groups = self.groups.lock();
        let lending = digests.iter().filter(|digest| groups.lends(&digest.group));
        let lending: Vec<HallId> = lending.map(|digest| digest.group.clone()).collect();
        let not_lending = lending.iter().flat_map(|hall| groups.not_lending(hall));
        let not_lending = not_lending.collect();
        (lending, not_lending)
    }

    /// The part of a rate that this host may lend by the hosts that it hears.
    pub fn lent_part(&self, now: Instant) -> f64 {
        let in_group = {
            let known = self.known.lock();
            let believed = known
                .values()
                .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall));
            believed.count()
        };
        let elsewhere = self.groups.lock().fresh_hosts(self.options.silence, now);
        lendable_fraction(in_group + elsewhere + 1, self.hosts_known())
    }

    /// How near a hall is to an upstream's.
    fn nearness_between(&self, hall: &HallId, upstream_hall: &HallId) -> Proximity {
        match self.topology.distance(hall, upstream_hall) {
            Distance::SameHall => Proximity::SameHall,
            Distance::SameRegion => Proximity::SameRegion,
            Distance::OtherRegion => Proximity::OtherRegion,
        }
    }
}
