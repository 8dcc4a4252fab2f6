//! Selection of the hosts that callers are sent to, and of the hosts that are asked for a row set.

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

/// Scope of the hosts that are asked for a row set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceScope {
    /// Hosts of the own hall that reach the store and may have a newer copy of the set than this host.
    OwnHall,
    /// All hosts that may have a newer copy and are not leaving, and the serving hosts of other groups.
    AllHalls,
}

impl Peers {
    /// Returns the addresses at which other hosts serve a set of which they may have a newer copy
    /// than `known`. The nearest come first; hosts at the same distance are in random order.
    #[must_use]
    pub fn snapshot_sources(
        &self,
        set: RowSet,
        known: Revision,
        scope: SourceScope,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let peers = self.known.lock();
        let live = peers.values().filter(|peer| self.is_live(peer, now));
        let distance = |hall: &HallId| self.topology.distance(&self.own.hall, hall);
        let mut sources: Vec<(Distance, SocketAddr)> = live
            // A host that has read the store and found no configuration in it is still starting,
            // but can serve its copy.
            .filter(|peer| peer.state.phase != HostPhase::Leaving)
            .filter(|peer| {
                // Only a host that has all sets is asked, since it can then act as this host's
                // feeder.
                let has_newer_rows = peer.state.watermark.is_some_and(|watermark| {
                    watermark
                        .of(set)
                        .is_none_or(|watermark| watermark.revision > known)
                });
                let is_local_source = peer.state.hall == self.own.hall && peer.state.reaches_store;
                has_newer_rows && (scope == SourceScope::AllHalls || is_local_source)
            })
            .map(|peer| (distance(&peer.state.hall), peer.state.peers_address))
            .collect();
        drop(peers);
        if scope == SourceScope::AllHalls {
            let in_other_groups = self.groups.lock().members(self.options.silence, now);
            let serving = in_other_groups
                .into_iter()
                .filter(|(_, member)| member.phase == HostPhase::Serving);
            sources.extend(serving.map(|(hall, member)| (distance(&hall), member.peers_address)));
        }
        sources.shuffle(&mut rand::rng());
        sources.sort_by_key(|(distance, _)| *distance);
        sources.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the addresses that a caller may use: those of hosts that serve from a fresh view,
    /// including this one, or, if there are none, those of hosts that serve from a stale view.
    ///
    /// If the caller's hall is known and the hosts near it are enough to serve its callers, only
    /// these are returned.
    #[must_use]
    pub fn callers_addresses(
        &self,
        caller_hall: Option<&HallId>,
        own_phase: HostPhase,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let hosts = self.hosts_for_callers(own_phase, now);
        match caller_hall {
            Some(hall) => self.topology.same_region_or_all(hall, hosts),
            None => hosts.into_iter().map(|(_, address)| address).collect(),
        }
    }

    fn hosts_for_callers(&self, own_phase: HostPhase, now: Instant) -> Vec<(HallId, SocketAddr)> {
        let serving = self.hosts_in_phase(HostPhase::Serving, own_phase, now);
        if serving.is_empty() || !enabled(Protection::FreshAddresses) {
            return self.hosts_in_phase(HostPhase::Stale, own_phase, now);
        }
        serving
    }

    fn hosts_in_phase(
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
        let in_other_groups = self.groups.lock().members(self.options.silence, now);
        let in_other_groups = in_other_groups
            .into_iter()
            .filter(|(_, member)| member.phase == phase)
            .map(|(hall, member)| (hall, member.callers_address));
        direct.chain(in_other_groups).chain(own).collect()
    }
}
