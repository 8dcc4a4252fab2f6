//! Applies the datagrams of other hosts.

use {
    crate::{
        feed::RecoveryEvidence,
        peers::{
            extension::Extension,
            limits::{answer_permit_ask, apply_limit_updates},
            message::{
                Datagram, Finding, GroupDigest, HostPhase, PeerDelta, PeerState, ServiceUse,
            },
            outgoing::PeerSocket,
            relay::forward_to_share,
        },
        state::GatewayState,
        sync::{apply_rollout_record, apply_upstream_delta},
        view::Condition,
    },
    std::{net::SocketAddr, sync::Arc},
    tealshore_core::{clock, ids::HostId},
    tealshore_duties::lease::LeaseSummary,
    tealshore_runs::{KnownRun, RunLocation, RunOrigin, RunTrace},
};

/// Applies a datagram of another host and its extension.
pub(super) async fn apply_datagram(
    state: &Arc<GatewayState>,
    socket: &PeerSocket,
    datagram: Datagram,
    extension: Extension,
    sender: SocketAddr,
) {
    match datagram {
        Datagram::State(peer) => {
            let host = peer.host.clone();
            match &extension.configuration {
                Some(report) => state.apply_configuration_report(report, peer.peers_address),
                None => apply_unreported_configuration(state, &peer),
            }
            apply_state(state, *peer, extension.run_origins);
            state.peers.set_lends_permits(&host, extension.lends);
            let cut_off = extension.cut_off_services;
            state.peers.set_cut_off_services(&host, cut_off);
        }
        Datagram::Delta(change) => {
            if let Some(cut_off) = extension.cut_off_services {
                let host = &change.host;
                state.peers.set_cut_off_services(host, Some(cut_off));
            }
            if let Some(report) = &extension.configuration {
                state.apply_configuration_report(report, sender);
            }
            apply_delta(state, change, extension.run_origins);
        }
        Datagram::Upstreams {
            delta,
            is_for_group,
        } => {
            if is_for_group {
                state.peers.queue_group_delta(delta.clone());
            }
            apply_upstream_delta(state, delta);
        }
        Datagram::Digest {
            digest,
            is_passed_on,
        } => {
            let group = digest.group.clone();
            if let Some(report) = &extension.configuration {
                state.apply_configuration_report(report, digest.relay_address);
            }
            receive_digest(state, socket, *digest, is_passed_on, &extension).await;
            let (lends, not_lending) = (extension.lends, &extension.not_lending);
            state
                .peers
                .set_group_lends_permits(&group, lends, not_lending);
        }
        Datagram::Relayed { digests, share } => {
            if let Some(share) = share {
                forward_to_share(socket, digests.clone(), &extension, share, sender).await;
            }
            let run_origins = origins_by_digest(&digests, extension.run_origins);
            for (digest, run_origins) in digests.into_iter().zip(run_origins) {
                let group = digest.group.clone();
                let lends = extension.lending_groups.contains(&group);
                apply_digest(state, digest, run_origins);
                let not_lending = &extension.not_lending;
                state
                    .peers
                    .set_group_lends_permits(&group, lends, not_lending);
            }
        }
        Datagram::Usage(update) => state.duties.record_usage(&update),
        Datagram::Limits {
            updates,
            is_for_group,
        } => apply_limit_updates(state, &updates, is_for_group),
        Datagram::PermitAsk(ask) => answer_permit_ask(state, socket, &ask, sender).await,
        Datagram::PermitLoan(loan) => state.apply_loan(&loan),
    }
}

/// Applies the state of a host of an earlier build, which says nothing of its configuration: if it serves by the store's
/// current era, it takes the restored configuration for complete.
fn apply_unreported_configuration(state: &GatewayState, peer: &PeerState) {
    let Some(watermark) = peer.watermark.filter(|_| peer.phase == HostPhase::Serving) else {
        return;
    };
    if watermark.era() > 0 && watermark.era() == state.feed.era() {
        let point = watermark.configuration.revision;
        state.record_recovery_point(point, RecoveryEvidence::Peer);
    }
}

/// Applies the digest of another group and forwards it: as the relay to the group, otherwise once
/// to the relay.
async fn receive_digest(
    state: &GatewayState,
    socket: &PeerSocket,
    digest: GroupDigest,
    is_passed_on: bool,
    extension: &Extension,
) {
    let relay = state.peers.relay(clock::now());
    match relay {
        None => state.peers.queue_digest(digest.clone()),
        Some(relay) if !is_passed_on => {
            let datagram = Datagram::Digest {
                digest: Box::new(digest.clone()),
                is_passed_on: true,
            };
            socket
                .send_with_extension(&datagram, extension, &[relay])
                .await;
        }
        Some(_) => {}
    }
    apply_digest(state, digest, extension.run_origins.clone());
}

fn apply_digest(
    state: &GatewayState,
    mut digest: GroupDigest,
    run_origins: Vec<Option<RunOrigin>>,
) {
    apply_rollout_reports(state, &digest.budgets);
    apply_lease_summary(state, digest.lease.as_ref());
    state.duties.record_hall_usage(&digest.group, &digest.usage);
    state.apply_crash_updates(&digest.crashes, &digest.relay);
    let runs = with_origins(std::mem::take(&mut digest.runs), run_origins);
    let findings = state.peers.apply_digest(&digest, clock::now());
    let sender = Sender {
        host: &digest.relay,
        runs_on: RunLocation::OtherGroup,
        reaches_store: digest.reaches_store,
    };
    apply_reports(state, &sender, runs, &findings);
}

fn apply_state(state: &GatewayState, mut peer: PeerState, run_origins: Vec<Option<RunOrigin>>) {
    apply_rollout_reports(state, &peer.budgets);
    apply_lease_summary(state, peer.lease.as_ref());
    if let Some(crashes) = peer.crashes.take() {
        state.apply_crash_updates(&crashes, &peer.host);
        state.crashes.mark_restored();
    }
    if let Some(offset_ms) = peer.clock_offset_ms {
        state
            .duties
            .record_clock_offset(&peer.host, offset_ms, clock::now());
    }
    let host = peer.host.clone();
    let sender = Sender {
        host: &host,
        runs_on: RunLocation::InGroup,
        reaches_store: peer.reaches_store,
    };
    let runs = std::mem::take(&mut peer.runs);
    if state.peers.is_in_group(&peer.hall) {
        state.peers.queue_group_runs(&runs);
    }
    let findings = state.peers.apply_state(peer, clock::now());
    apply_reports(state, &sender, with_origins(runs, run_origins), &findings);
}

fn apply_delta(state: &GatewayState, mut delta: PeerDelta, run_origins: Vec<Option<RunOrigin>>) {
    apply_rollout_reports(state, &delta.budgets);
    apply_lease_summary(state, delta.lease.as_ref());
    state.apply_crash_updates(&delta.crashes, &delta.host);
    let host = delta.host.clone();
    let sender = Sender {
        host: &host,
        runs_on: RunLocation::InGroup,
        reaches_store: delta.reaches_store,
    };
    let runs = std::mem::take(&mut delta.runs);
    state.peers.queue_group_runs(&runs);
    let findings = state.peers.apply_delta(delta, clock::now());
    apply_reports(state, &sender, with_origins(runs, run_origins), &findings);
}

/// Divides the origins of all runs in several digests among these digests.
fn origins_by_digest(
    digests: &[GroupDigest],
    origins: Vec<Option<RunOrigin>>,
) -> Vec<Vec<Option<RunOrigin>>> {
    let mut origins = origins.into_iter();
    let by_digest = digests.iter().map(|digest| {
        let of_digest = origins.by_ref().take(digest.runs.len());
        of_digest.collect()
    });
    by_digest.collect()
}

/// Adds their origins to the runs of a datagram. Hosts of an earlier build send none.
fn with_origins(runs: Vec<RunTrace>, mut origins: Vec<Option<RunOrigin>>) -> Vec<KnownRun> {
    if origins.len() != runs.len() {
        origins.clear();
    }
    let origins = origins.into_iter().chain(std::iter::repeat(None));
    let runs = runs.into_iter().zip(origins);
    runs.map(|(trace, origin)| KnownRun { trace, origin })
        .collect()
}

/// Applies the lease summary of the host that holds the duties or has released them.
fn apply_lease_summary(state: &GatewayState, summary: Option<&LeaseSummary>) {
    if let Some(summary) = summary {
        state.duties.record_lease_summary(summary, clock::now());
    }
}

/// Applies roll-out progress. Changes are sent on immediately, because the sender may not reach all
/// hosts.
fn apply_rollout_reports(state: &GatewayState, entries: &[ServiceUse]) {
    for report in entries.iter().filter_map(|entry| entry.rollout.as_ref()) {
        if apply_rollout_record(state, report.revision, &report.record) {
            state.peers.wake_sender();
        }
    }
}

/// The sender of a datagram.
struct Sender<'a> {
    host: &'a HostId,
    /// Location of the reported runs.
    runs_on: RunLocation,
    /// Whether the sender's last store call was answered.
    reaches_store: bool,
}

/// Records a peer's runs and its findings about upstreams, and wakes the tasks that wait for its
/// store watermark. While this host has no feeder, the watermark of any host that reaches the store
/// counts.
fn apply_reports(
    state: &GatewayState,
    sender: &Sender<'_>,
    runs: Vec<KnownRun>,
    findings: &[Finding],
) {
    let now = clock::now();
    state.record_peer_runs(runs, sender.runs_on, now);
    for finding in findings {
        apply_finding(state, finding, sender.host);
    }
    let may_feed = sender.reaches_store && state.peers.has_no_feeder();
    if may_feed || state.peers.is_fed_by(sender.host) {
        state.feed.notify();
    }
}

/// Applies a peer's finding about an upstream. It is not sent on, because suspicions based on
/// suspicions would circulate forever.
fn apply_finding(state: &GatewayState, finding: &Finding, sender: &HostId) {
    let Some(upstream) = state.view.upstreams.get(&finding.upstream) else {
        return;
    };
    if !upstream.apply_peer_condition(finding.condition, clock::now()) {
        return;
    }
    if matches!(finding.condition, Condition::Failing(_)) {
        state
            .metrics
            .failing_upstreams
            .with_label_values(&["peer"])
            .inc();
    }
    log::debug!(
        "upstream: condition reported by peer upstream={} condition={:?} peer={sender}",
        finding.upstream,
        finding.condition
    );
}
