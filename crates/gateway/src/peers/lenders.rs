//! Which host lends the permits of an upstream.

use {
    super::{
        Peers,
        message::{GroupDigest, HostPhase},
    },
    crate::{topology::Distance, view::UpstreamRecord},
    std::{net::SocketAddr, time::Instant},
    tealshore_core::ids::{HallId, HostId},
    tealshore_rates::{Nearness, part_of_rate, rank},
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
    /// The lender of an upstream: of all hosts that lend, the first by its rank for that upstream. Hosts that
    /// hear of the same hosts find the same. `lends_itself` tells whether this host lends now.
    pub fn lender_of(
        &self,
        upstream: &UpstreamRecord,
        lends_itself: bool,
        now: Instant,
    ) -> LenderOf {
        let rank_of = |host: &HostId, hall: &HallId| {
            rank(
                &upstream.id,
                host,
                self.nearness_between(hall, &upstream.hall),
            )
        };
        let itself =
            lends_itself.then(|| (rank_of(&self.own.id, &self.own.hall), LenderOf::Itself));
        let elsewhere = self.groups.lock().lenders(self.options.silence, now);
        let elsewhere = elsewhere.iter().map(|(hall, member)| {
            let rank = rank_of(&member.host, hall);
            (rank, LenderOf::Host(member.peers_address))
        });
        let is_told_by_all = !self.is_grouped() || self.group_lends(now);
        let known = self.known.lock();
        let in_group = known.values().filter(|peer| {
            peer.lends
                && is_told_by_all
                && peer.state.phase != HostPhase::Leaving
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

    /// Whether all other hosts of the own group that were heard a moment ago lend: hosts of other groups
    /// are told no more than that of them.
    pub(super) fn group_lends(&self, now: Instant) -> bool {
        let known = self.known.lock();
        let mut in_group = known
            .values()
            .filter(|peer| self.is_believed(peer, now) && self.is_in_group(&peer.state.hall));
        in_group.all(|peer| peer.lends)
    }

    /// Notes whether a host said that it lends.
    pub(super) fn note_lends(&self, host: &HostId, lends: bool) {
        if let Some(peer) = self.known.lock().get_mut(host) {
            peer.lends = lends;
        }
    }

    /// The same of all hosts of another group.
    pub(super) fn note_group_lends(&self, hall: &HallId, lends: bool) {
        self.groups.lock().note_lends(hall, lends);
    }

    /// Those groups of some digests whose hosts all lend.
    pub(super) fn lending_groups(&self, digests: &[GroupDigest]) -> Vec<HallId> {
        let groups = self.groups.lock();
        let lending = digests.iter().filter(|digest| groups.lends(&digest.group));
        lending.map(|digest| digest.group.clone()).collect()
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
        part_of_rate(in_group + elsewhere + 1, self.hosts_known())
    }

    /// How near a hall is to an upstream's.
    fn nearness_between(&self, hall: &HallId, upstream_hall: &HallId) -> Nearness {
        match self.topology.distance(hall, upstream_hall) {
            Distance::SameHall => Nearness::SameHall,
            Distance::SameRegion => Nearness::SameRegion,
            Distance::OtherRegion => Nearness::OtherRegion,
        }
    }
}
