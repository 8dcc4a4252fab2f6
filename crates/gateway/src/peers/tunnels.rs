//! Tunnels between hosts: which hosts offer them, and the names that a request for one uses.

use {
    super::{HostPhase, Peers},
    crate::{topology::Distance, view::UpstreamRecord},
    rand::seq::SliceRandom,
    std::{net::SocketAddr, time::Instant},
    tealshore_core::ids::{HallId, HostId, ServiceId},
    tealshore_paths::TunnelId,
};

/// Header with the id of the upstream to which a tunnel is requested.
pub const UPSTREAM_HEADER: &str = "tealshore-upstream";
/// Header with the id that the requesting host gives to the tunnel, by which it asks later how the tunnel ended.
pub const TUNNEL_ID_HEADER: &str = "tealshore-tunnel-id";
/// Path, followed by the id of a tunnel, that a host answers with 200 if the upstream ended the tunnel.
const TUNNEL_END_PATH: &str = "/tunnel-ends/";
/// Header that tells what the asked host found of an upstream to which it opens no tunnel.
pub const FOUND_HEADER: &str = "tealshore-found";
/// The value for an upstream that refuses connections.
pub const FOUND_REFUSED: &str = "refused";
/// The value for an upstream that the asked host does not know. Hosts of earlier builds do not tell it.
pub const FOUND_UNKNOWN: &str = "unknown";
/// The value for an upstream that does not answer.
pub const FOUND_UNANSWERED: &str = "unanswered";

/// Returns the path at which a host tells whether the upstream ended a tunnel.
#[must_use]
pub fn tunnel_end_path(tunnel: TunnelId) -> String {
    format!("{TUNNEL_END_PATH}{tunnel:016x}")
}

/// Parses the id of the tunnel from such a path.
#[must_use]
pub fn parse_tunnel_end_path(path: &str) -> Option<TunnelId> {
    parse_tunnel_id(path.strip_prefix(TUNNEL_END_PATH)?)
}

/// Parses the id of a tunnel.
#[must_use]
pub fn parse_tunnel_id(text: &str) -> Option<TunnelId> {
    TunnelId::from_str_radix(text, 16).ok()
}

/// A host that may open tunnels for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelHost {
    /// The name of the host.
    pub host: HostId,
    /// The address at which it opens tunnels.
    pub address: SocketAddr,
}

/// A host and the distances of a tunnel through it, the longer one first.
struct Ranked {
    distances: (Distance, Distance),
    host: TunnelHost,
}

impl Peers {
    /// Returns up to `count` hosts to ask for a tunnel to an upstream, in this order, without those in `excluded`. Each is the nearer one of two
    /// random hosts, so that the nearest host does not get all tunnels of a hall that is cut off. Hosts of other
    /// groups come last, since it is not known which of them offer tunnels. Returns none if this host offers no tunnels,
    /// as all hosts offer them at the same port.
    #[must_use]
    pub fn tunnel_hosts(
        &self,
        upstream: &UpstreamRecord,
        excluded: &[HostId],
        count: usize,
        now: Instant,
    ) -> Vec<TunnelHost> {
        let Some(own_address) = self.options.tunnel_address else {
            return Vec::new();
        };
        let mut pool = self.offering_hosts(upstream, own_address.port(), now);
        let mut hosts = Vec::with_capacity(count);
        pool.retain(|ranked| !excluded.contains(&ranked.host.host));
        pool.shuffle(&mut rand::rng());
        while hosts.len() < count
            && let Some(first) = pool.pop()
        {
            let nearer = match pool.pop() {
                Some(second) if second.distances < first.distances => {
                    pool.push(first);
                    second
                }
                Some(second) => {
                    pool.push(second);
                    first
                }
                None => first,
            };
            hosts.push(nearer.host);
            pool.shuffle(&mut rand::rng());
        }
        let mut in_other_groups = self.groups.lock().members(self.options.silence, now);
        in_other_groups.retain(|(_, member)| {
            member.phase == HostPhase::Serving && !excluded.contains(&member.host)
        });
        in_other_groups.shuffle(&mut rand::rng());
        let in_other_groups = in_other_groups.into_iter().map(|(_, member)| TunnelHost {
            host: member.host,
            address: SocketAddr::new(member.peers_address.ip(), own_address.port()),
        });
        hosts.extend(in_other_groups.take(count - hosts.len()));
        hosts
    }

    /// Returns the hosts that offer tunnels and reach upstreams of the service directly.
    fn offering_hosts(&self, upstream: &UpstreamRecord, port: u16, now: Instant) -> Vec<Ranked> {
        let known = self.known.lock();
        let offering = known.values().filter(|peer| {
            let cut_off = peer.cut_off_services.as_ref();
            let reaches_service = cut_off.is_some_and(|lost| !lost.contains(&upstream.service));
            reaches_service && peer.state.phase.takes_traffic() && self.is_live(peer, now)
        });
        let ranked = offering.map(|peer| Ranked {
            distances: self.tunnel_distances(&peer.state.hall, &upstream.hall),
            host: TunnelHost {
                host: peer.state.host.clone(),
                address: SocketAddr::new(peer.state.peers_address.ip(), port),
            },
        });
        ranked.collect()
    }

    fn tunnel_distances(&self, host: &HallId, upstream: &HallId) -> (Distance, Distance) {
        let to_host = self.topology.distance(&self.own.hall, host);
        let to_upstream = self.topology.distance(host, upstream);
        (to_host.max(to_upstream), to_host.min(to_upstream))
    }

    /// Records the services from whose upstreams a host that offers tunnels is cut off; `None` if it offers none.
    pub fn set_cut_off_services(&self, host: &HostId, services: Option<Vec<ServiceId>>) {
        if let Some(peer) = self.known.lock().get_mut(host) {
            if peer.cut_off_services != services {
                log::info!(
                    "peers: paths of host changed host={host} cut_off={services:?} before={:?}",
                    peer.cut_off_services
                );
            }
            peer.cut_off_services = services;
        }
    }
}
