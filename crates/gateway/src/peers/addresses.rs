//! Which hosts callers are sent to, and which hosts are asked for sets of rows.

use {
    super::{HostPhase, Peers},
    crate::{
        edge::{Revision, RowSet},
        topology::Distance,
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, time::Instant},
    tealshore_core::{
        ids::HallId,
        protection::{Protection, enabled},
    },
};

/// Which other hosts are asked for a set of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Those of the own hall that are known to know more than this one.
    OwnHall,
    /// All that take traffic, the nearest first.
    Everywhere,
}

impl Peers {
    /// Where other hosts give a set of which they may know more than up to a version, in a random
    /// order.
    #[must_use]
    pub fn snapshot_sources(
        &self,
        set: RowSet,
        known: Revision,
        reach: Reach,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let peers = self.known.lock();
        let believed = peers.values().filter(|peer| self.is_live(peer, now));
        let distance = |hall: &HallId| self.topology.distance(&self.own.hall, hall);
        let mut sources: Vec<(Distance, SocketAddr)> = believed
            // One that has read the store, and found no configuration in it yet, is starting.
            .filter(|peer| peer.state.phase != HostPhase::Leaving)
            .filter(|peer| {
                // Only a host that knows all sets is asked: it can feed this one from then on.
                let knows_more = peer
                    .state
                    .watermark
                    .is_some_and(|told| told.of(set).is_none_or(|told| told.revision > known));
                let is_near = peer.state.hall == self.own.hall && peer.state.reaches_store;
                knows_more && (reach == Reach::Everywhere || is_near)
            })
            .map(|peer| (distance(&peer.state.hall), peer.state.peers_address))
            .collect();
        drop(peers);
        if reach == Reach::Everywhere {
            let elsewhere = self.groups.lock().members(self.options.silence, now);
            let serving = elsewhere
                .into_iter()
                .filter(|(_, member)| member.phase == HostPhase::Serving);
            sources.extend(serving.map(|(hall, member)| (distance(&hall), member.peers_address)));
        }
        sources.shuffle(&mut rand::rng());
        sources.sort_by_key(|(distance, _)| *distance);
        sources.into_iter().map(|(_, address)| address).collect()
    }

    /// The addresses that a caller of a hall may use: those of hosts that serve by a fresh view,
    /// this one included, or where there is none, of hosts that serve by a stale one. Of these the
    /// caller gets those near it, while they are enough; all where its hall is not told.
    #[must_use]
    pub fn callers_addresses(
        &self,
        caller_hall: Option<&HallId>,
        own_phase: HostPhase,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let hosts = self.hosts_for_callers(own_phase, now);
        match caller_hall {
            Some(hall) => self.topology.near(hall, hosts),
            None => hosts.into_iter().map(|(_, address)| address).collect(),
        }
    }

    fn hosts_for_callers(&self, own_phase: HostPhase, now: Instant) -> Vec<(HallId, SocketAddr)> {
        let serving = self.hosts_in(HostPhase::Serving, own_phase, now);
        if serving.is_empty() || !enabled(Protection::FreshAddresses) {
            return self.hosts_in(HostPhase::Stale, own_phase, now);
        }
        serving
    }

    fn hosts_in(
        &self,
        phase: HostPhase,
        own_phase: HostPhase,
        now: Instant,
    ) -> Vec<(HallId, SocketAddr)> {
        let own = (self.own.hall.clone(), self.own.callers_address);
        let own = (own_phase == phase).then_some(own);
        let known = self.known.lock();
        let direct = known
            .values()
            .filter(|peer| self.is_counted(peer, now) && peer.state.phase == phase);
        let direct = direct.map(|peer| (peer.state.hall.clone(), peer.state.callers_address));
        let elsewhere = self.groups.lock().members(self.options.silence, now);
        let elsewhere = elsewhere
            .into_iter()
            .filter(|(_, member)| member.phase == phase)
            .map(|(hall, member)| (hall, member.callers_address));
        direct.chain(elsewhere).chain(own).collect()
    }
}
