//! Builds this host's own state and sends datagrams.

use {
    super::{
        MAX_ADVERTISED_PEERS, MAX_DATAGRAM_RUNS, MAX_DATAGRAM_UPSTREAMS,
        extension::Extension,
        message::{Datagram, PeerState, ServiceUse, UpstreamWork},
    },
    crate::{budget::BudgetUse, state::GatewayState},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
    tealshore_core::{clock, ids::ServiceId},
    tealshore_quarantine::log::UpdateScope,
    tealshore_runs::{RunOrigin, RunTrace},
    tokio::net::UdpSocket,
};

/// Largest datagram that is sent, in bytes; slightly below the UDP limit.
const MAX_SENT_BYTES: usize = 60_000;

/// Returns the full state of this host.
pub(super) fn own_state(state: &GatewayState, now: Instant) -> PeerState {
    let peers = &state.peers;
    let active = state.view.upstreams.active(now);
    let work = active.iter().filter_map(|upstream| {
        let entry = UpstreamWork {
            upstream: upstream.record.id.clone(),
            work: upstream.own_work(),
            condition: upstream.local_condition(now),
        };
        let work = entry.shared_work();
        entry
            .is_significant()
            .then_some(UpstreamWork { work, ..entry })
    });
    let budgets = service_uses(state, now);
    PeerState {
        host: peers.own.id.clone(),
        hall: peers.own.hall.clone(),
        callers_address: peers.own.callers_address,
        peers_address: peers.options.address,
        phase: state.phase(now),
        incarnation: peers.incarnation,
        sequence: peers.sequence.fetch_add(1, Ordering::Relaxed),
        work: work.take(MAX_DATAGRAM_UPSTREAMS).collect(),
        watermark: state.feed.watermark(),
        reaches_store: state.feed.reaches_store(),
        link_mbps: peers.own.link_mbps,
        fleet_hosts: u32::try_from(peers.hosts_known()).unwrap_or(u32::MAX),
        budgets,
        runs: own_runs(state, now),
        named: peers.sample_peers(Some(&peers.own.hall), MAX_ADVERTISED_PEERS),
        clock_offset_ms: state.duties.own_offset_ms(state.feed.store_time(now), now),
        lease: state.duties.lease_to_report(now),
        crashes: state.crashes.updates(now),
    }
}

/// Returns the newest streams that this host answers.
fn own_runs(state: &GatewayState, now: Instant) -> Vec<RunTrace> {
    let own = state.runs.log.lock().own(now).into_iter();
    let newest = own.take(MAX_DATAGRAM_RUNS);
    newest.map(|run| run.trace).collect()
}

/// Returns this host's retry budget use and roll-out reports by service.
fn service_uses(state: &GatewayState, now: Instant) -> Vec<ServiceUse> {
    let used = state.budget_use(now).into_iter();
    let mut uses: Vec<ServiceUse> = used
        .map(|(service, used)| ServiceUse {
            service,
            used,
            rollout: None,
        })
        .collect();
    for report in state.rollouts.reports() {
        let service = &report.record.service;
        match uses.iter_mut().find(|entry| entry.service == *service) {
            Some(entry) => entry.rollout = Some(report),
            None => uses.push(ServiceUse {
                service: service.clone(),
                used: BudgetUse::default(),
                rollout: Some(report),
            }),
        }
    }
    uses
}

/// The socket for datagrams between hosts, which counts the bytes sent.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    state: Arc<GatewayState>,
}

impl PeerSocket {
    /// Binds the configured address.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub(super) async fn bind(state: &Arc<GatewayState>) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(state.options.peers.address).await?,
            state: state.clone(),
        })
    }

    /// Waits for a datagram, and returns its length and sender.
    ///
    /// # Errors
    /// Returns an error if the socket fails.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// Returns the datagram addresses of the hosts of this hall.
    pub(super) fn hall_addresses(&self) -> Vec<SocketAddr> {
        let peers = &self.state.peers;
        peers.group_addresses(Some(&peers.own.hall))
    }

    /// Sends a datagram of this host, with its extension, to each receiver.
    pub(super) async fn send_to_all(&self, datagram: &Datagram, receivers: &[SocketAddr]) {
        let extension = self.extension_of(datagram);
        self.send_with_extension(datagram, &extension, receivers)
            .await;
    }

    /// Returns the extension for a datagram of this host.
    fn extension_of(&self, datagram: &Datagram) -> Extension {
        let now = clock::now();
        let (state, peers) = (&self.state, &self.state.peers);
        match datagram {
            Datagram::State(peer) => Extension {
                lends: true,
                limits: state.limits_to_report(now),
                bad_answers: state.rollouts.bad_answers(),
                cut_off_services: state.cut_off_services(now),
                part_crashes: state.crashes.part_reports(now, UpdateScope::Group),
                run_origins: self.run_origins(&peer.runs),
                configuration: state.configuration_report(now),
                ..Extension::default()
            },
            Datagram::Digest { digest, .. } => Extension {
                lends: true,
                not_lending: peers.not_lending(now),
                limits: if digest.is_whole {
                    state.limits_to_report(now)
                } else {
                    Vec::new()
                },
                decided_usage: state.duties.decided_to_report(),
                bad_answers: state.rollouts.bad_answers(),
                part_crashes: if digest.is_whole {
                    state.crashes.part_reports(now, UpdateScope::OtherGroups)
                } else {
                    Vec::new()
                },
                run_origins: self.run_origins(&digest.runs),
                configuration: state.configuration_report(now),
                ..Extension::default()
            },
            Datagram::Usage(_) => Extension {
                decided_usage: state.duties.decided_to_report(),
                ..Extension::default()
            },
            Datagram::Delta(delta) => Extension {
                cut_off_services: self.changed_cut_off_services(now),
                run_origins: self.run_origins(&delta.runs),
                configuration: state.configuration_report(now),
                ..Extension::default()
            },
            Datagram::Upstreams { .. }
            | Datagram::Relayed { .. }
            | Datagram::Limits { .. }
            | Datagram::PermitAsk(_)
            | Datagram::PermitLoan(_) => Extension::default(),
        }
    }

    /// Returns the origins of the runs in a datagram.
    pub(super) fn run_origins(&self, runs: &[RunTrace]) -> Vec<Option<RunOrigin>> {
        let log = self.state.runs.log.lock();
        log.origins(runs, clock::now())
    }

    /// Returns the services from whose upstreams this host is cut off, if there are any or the last datagram reported
    /// others.
    fn changed_cut_off_services(&self, now: Instant) -> Option<Vec<ServiceId>> {
        let services = self.state.cut_off_services(now)?;
        let mut sent = self.state.peers.cut_off_sent.lock();
        let is_due = !services.is_empty() || *sent != services;
        sent.clone_from(&services);
        is_due.then_some(services)
    }

    /// Sends a datagram to each receiver; one that is too large is logged and dropped.
    pub(super) async fn send_with_extension(
        &self,
        datagram: &Datagram,
        extension: &Extension,
        receivers: &[SocketAddr],
    ) {
        let written = datagram.to_bytes().and_then(|bytes| extension.write(bytes));
        let bytes = match written {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("peers: failed to encode datagram error={error}");
                return;
            }
        };
        if bytes.len() > MAX_SENT_BYTES {
            log::warn!("peers: datagram too large, not sent bytes={}", bytes.len());
            return;
        }
        for receiver in receivers {
            // A failed send is like a lost datagram: the next one repairs it.
            let _ = self.socket.send_to(&bytes, receiver).await;
        }
        let sent = bytes.len() * receivers.len();
        self.state.metrics.count_peer_bytes(datagram.kind(), sent);
    }
}
