//! Applies datagrams of other hosts.

use {
    crate::{
        peers::{
            extension::Extension,
            limits::{answer_ask, apply_limit_news},
            message::{Datagram, Finding, GroupDigest, PeerDelta, PeerState, ServiceUse},
            outgoing::PeerSocket,
            relay::forward_to_share,
        },
        run_trace::RunTrace,
        runs::RunHost,
        state::GatewayState,
        sync::{apply_rollout_record, apply_upstream_delta},
        view::Condition,
    },
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tealshore_core::ids::HostId,
    tealshore_duties::lease::LeaseNews,
};

/// Applies a datagram of another host, with what stands behind it.
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
            apply_state(state, *peer);
            state.peers.note_lends(&host, extension.lends);
        }
        Datagram::Delta(change) => apply_delta(state, change),
        Datagram::Upstreams {
            delta,
            is_for_group,
        } => {
            if is_for_group {
                state.peers.send_on_to_group(delta.clone());
            }
            apply_upstream_delta(state, delta);
        }
        Datagram::Digest {
            digest,
            is_passed_on,
        } => {
            let group = digest.group.clone();
            receive_digest(state, socket, *digest, is_passed_on, &extension).await;
            let (lends, not_lending) = (extension.lends, &extension.not_lending);
            state.peers.note_group_lends(&group, lends, not_lending);
        }
        Datagram::Relayed { digests, share } => {
            if let Some(share) = share {
                forward_to_share(socket, digests.clone(), &extension, share, sender).await;
            }
            for digest in digests {
                let group = digest.group.clone();
                let lends = extension.lending_groups.contains(&group);
                apply_digest(state, digest);
                let not_lending = &extension.not_lending;
                state.peers.note_group_lends(&group, lends, not_lending);
            }
        }
        Datagram::Usage(news) => state.duties.record_usage(&news),
        Datagram::Limits { news, is_for_group } => apply_limit_news(state, &news, is_for_group),
        Datagram::PermitAsk(ask) => answer_ask(state, socket, &ask, sender).await,
        Datagram::PermitLoan(loan) => state.apply_loan(&loan),
    }
}

/// Applies the digest of another group, and lets it reach the own group.
async fn receive_digest(
    state: &GatewayState,
    socket: &PeerSocket,
    digest: GroupDigest,
    is_passed_on: bool,
    extension: &Extension,
) {
    let relay = state.peers.relay(Instant::now());
    match relay {
        None => state.peers.pass_on(digest.clone()),
        Some(relay) if !is_passed_on => {
            let datagram = Datagram::Digest {
                digest: Box::new(digest.clone()),
                is_passed_on: true,
            };
            socket.send_with(&datagram, extension, &[relay]).await;
        }
        Some(_) => {}
    }
    apply_digest(state, digest);
}

fn apply_digest(state: &GatewayState, mut digest: GroupDigest) {
    apply_rollout_news(state, &digest.budgets);
    apply_lease_news(state, digest.lease.as_ref());
    state.duties.record_hall_usage(&digest.group, &digest.usage);
    state.apply_crash_news(&digest.crashes, &digest.relay);
    let runs = std::mem::take(&mut digest.runs);
    let findings = state.peers.apply_digest(&digest, Instant::now());
    let sender = Sender {
        host: &digest.relay,
        runs_on: RunHost::Elsewhere,
        reaches_store: digest.reaches_store,
    };
    apply_common(state, &sender, runs, &findings);
}

fn apply_state(state: &GatewayState, mut peer: PeerState) {
    apply_rollout_news(state, &peer.budgets);
    apply_lease_news(state, peer.lease.as_ref());
    if let Some(crashes) = peer.crashes.take() {
        state.apply_crash_news(&crashes, &peer.host);
        state.crashes.note_restored();
    }
    if let Some(offset_ms) = peer.clock_offset_ms {
        state
            .duties
            .record_clock_offset(&peer.host, offset_ms, Instant::now());
    }
    let host = peer.host.clone();
    let sender = Sender {
        host: &host,
        runs_on: RunHost::InGroup,
        reaches_store: peer.reaches_store,
    };
    let runs = std::mem::take(&mut peer.runs);
    if state.peers.is_in_group(&peer.hall) {
        state.peers.note_group_runs(&runs);
    }
    let findings = state.peers.apply_state(peer, Instant::now());
    apply_common(state, &sender, runs, &findings);
}

fn apply_delta(state: &GatewayState, mut delta: PeerDelta) {
    apply_rollout_news(state, &delta.budgets);
    apply_lease_news(state, delta.lease.as_ref());
    state.apply_crash_news(&delta.crashes, &delta.host);
    let host = delta.host.clone();
    let sender = Sender {
        host: &host,
        runs_on: RunHost::InGroup,
        reaches_store: delta.reaches_store,
    };
    let runs = std::mem::take(&mut delta.runs);
    state.peers.note_group_runs(&runs);
    let findings = state.peers.apply_delta(delta, Instant::now());
    apply_common(state, &sender, runs, &findings);
}

/// Applies what the holder of the duties, or the one that gave them up, says of the lease.
fn apply_lease_news(state: &GatewayState, news: Option<&LeaseNews>) {
    if let Some(news) = news {
        state.duties.record_lease_news(news, Instant::now());
    }
}

/// Applies how far roll-outs are. What is new is sent on at once: the sender may not reach all hosts.
fn apply_rollout_news(state: &GatewayState, entries: &[ServiceUse]) {
    for news in entries.iter().filter_map(|entry| entry.rollout.as_ref()) {
        if apply_rollout_record(state, news.revision, &news.record) {
            state.peers.wake_sender();
        }
    }
}

/// Who sent a datagram.
struct Sender<'a> {
    host: &'a HostId,
    /// Where the runs are that it tells of.
    runs_on: RunHost,
    /// Whether its last call to the store was answered.
    reaches_store: bool,
}

/// Notes what a peer told of its runs and of upstreams, and wakes what waits for its watermark on
/// the store: while this host has no feeder, for that of any host that reaches the store.
fn apply_common(
    state: &GatewayState,
    sender: &Sender<'_>,
    runs: Vec<RunTrace>,
    findings: &[Finding],
) {
    let now = Instant::now();
    for run in runs {
        state.runs.record_peer(run, sender.runs_on, now);
    }
    for finding in findings {
        apply_finding(state, finding, sender.host);
    }
    let may_feed = sender.reaches_store && state.peers.has_no_feeder();
    if may_feed || state.peers.is_fed_by(sender.host) {
        state.feed.notify();
    }
}

/// Applies what a peer found of an upstream. It is not sent on: suspicions of suspicions would never end.
fn apply_finding(state: &GatewayState, finding: &Finding, sender: &HostId) {
    let Some(upstream) = state.view.upstreams.get(&finding.upstream) else {
        return;
    };
    if !upstream.believe(finding.condition, Instant::now()) {
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
        "upstream: unsound upstream={} condition={:?} peer={sender}",
        finding.upstream,
        finding.condition
    );
}
