//! Sends this host's datagrams and receives those of other hosts.

mod apply;

use {
    super::{
        Audience, COALESCE_DELAY, MAX_ADVERTISED_PEERS_TO_NEWCOMERS, Receivers,
        digest::MAX_PART_BYTES,
        duties::send_usage,
        extension::Extension,
        last_state::SentState,
        limits::{
            apply_limit_updates, remove_unused_limits, send_changed_limits, send_permit_asks,
        },
        message::{Datagram, HostPhase, PeerState, Unreadable},
        outgoing::{PeerSocket, own_state},
        prompt_parts::{apply_part_reports, send_part_changes},
        relay::relay,
        snapshot::serve_snapshots,
    },
    crate::{state::GatewayState, view::ViewFacts},
    apply::apply_datagram,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::HallId},
    tokio::{net::TcpListener, time::sleep},
};

/// Largest datagram that can be received, in bytes: the UDP limit.
const MAX_RECEIVED_BYTES: usize = 64 * 1024;

/// Interval at which a starting host that has not heard from its hall yet introduces itself again:
/// its seeds may start slightly later than the host itself.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(40);
/// Time after the start in which a host repeats its introduction.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a host collects other starting hosts, to answer them together.
const NEWCOMER_BATCH_DELAY: Duration = Duration::from_millis(4);

/// Starts the tasks that send and receive for the lifetime of the process, and returns their socket.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub(crate) async fn start(state: &Arc<GatewayState>) -> std::io::Result<Arc<PeerSocket>> {
    let socket = Arc::new(PeerSocket::bind(state).await?);
    tokio::spawn(send(state.clone(), socket.clone()));
    tokio::spawn(relay(state.clone(), socket.clone()));
    tokio::spawn(send_usage(state.clone(), socket.clone()));
    tokio::spawn(send_permit_asks(state.clone(), socket.clone()));
    tokio::spawn(send_changed_limits(state.clone(), socket.clone()));
    tokio::spawn(remove_unused_limits(state.clone()));
    tokio::spawn(send_part_changes(state.clone(), socket.clone()));
    tokio::spawn(receive(state.clone(), socket.clone()));
    let listener = TcpListener::bind(state.options.peers.address).await?;
    tokio::spawn(serve_snapshots(state.clone(), listener));
    Ok(socket)
}

async fn send(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let started = clock::now();
    let heartbeat = state.options.peers.heartbeat;
    let mut last = SentState::new(started);
    let mut last_other_regions = SentState::for_other_regions(started);
    let mut other_regions_due = started;
    loop {
        let now = clock::now();
        send_waiting_deltas(&state, &socket).await;
        let Receivers {
            same_region,
            other_regions,
            needs_full_state,
        } = state.peers.receivers(now);
        let own = own_state(&state, now);
        log_phase(&state, last.phase(), own.phase, now);
        introduce(&state, &socket, &own, needs_full_state).await;
        send_state(&socket, &mut last, &own, &same_region, now).await;
        // Hosts of other regions send little to the same engines, so load updates can wait for the
        // heartbeat. A feeder's store watermark and the changes that `has_urgent_change` lists are
        // sent immediately: guarantees of the whole fleet, such as the retry budget, and callers
        // that return to another host depend on them.
        let is_urgent = state.peers.is_feeder()
            || last_other_regions.is_full_due(own.phase, now)
            || last_other_regions.has_urgent_change(&own);
        if other_regions.is_empty() {
            other_regions_due = now + heartbeat;
        } else if is_urgent || now >= other_regions_due {
            send_state(&socket, &mut last_other_regions, &own, &other_regions, now).await;
            other_regions_due = now + heartbeat;
        }
        let until = other_regions_due.min(clock::now() + heartbeat);
        let wake = wait_for_update(&state, &socket, started, until).await;
        if wake == Wake::Change {
            tokio::select! {
                () = sleep(COALESCE_DELAY) => {}
                () = state.peers.run_began.notified() => {}
            }
        }
    }
}

/// Sends hosts the changes since the previous datagram, or the full state if that is due.
async fn send_state(
    socket: &PeerSocket,
    last: &mut SentState,
    own: &PeerState,
    receivers: &[SocketAddr],
    now: Instant,
) {
    let datagram = if last.is_full_due(own.phase, now) {
        last.record_full(own, now);
        Datagram::State(Box::new(own.clone()))
    } else {
        Datagram::Delta(last.delta(own))
    };
    socket.send_to_all(&datagram, receivers).await;
}

/// Why the sender stopped waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// A run began.
    Run,
    /// Something else changed, or the next heartbeat is due.
    Change,
}

/// Waits for an update or the next heartbeat, and answers starting hosts in the meantime.
async fn wait_for_update(
    state: &GatewayState,
    socket: &PeerSocket,
    started: Instant,
    until: Instant,
) -> Wake {
    let peers = &state.peers;
    loop {
        let left = until.saturating_duration_since(clock::now());
        let has_seen_hall = peers.has_seen_own_hall();
        let is_introduced = has_seen_hall || clock::elapsed(started) > INTRODUCTION_PERIOD;
        let wait = if is_introduced {
            left
        } else {
            left.min(INTRODUCE_INTERVAL)
        };
        tokio::select! {
            biased;
            () = peers.run_began.notified() => return Wake::Run,
            () = peers.updates.notified() => return Wake::Change,
            () = peers.newcomer_arrived.notified() => {
                sleep(NEWCOMER_BATCH_DELAY).await;
                let own = own_state(state, clock::now());
                let newcomers = peers.take_newcomers().collect();
                introduce(state, socket, &own, newcomers).await;
            }
            () = sleep(wait) => {
                if is_introduced {
                    return Wake::Change;
                }
                let own = own_state(state, clock::now());
                let Receivers { needs_full_state, .. } = peers.receivers(clock::now());
                introduce(state, socket, &own, needs_full_state).await;
            }
        }
    }
}

/// Sends the queued upstream changes.
async fn send_waiting_deltas(state: &GatewayState, socket: &PeerSocket) {
    let waiting = state.peers.take_waiting_deltas().into_iter();
    let parts = waiting.flat_map(|(delta, audience)| {
        let parts = delta.into_parts(MAX_PART_BYTES).into_iter();
        parts.map(move |part| (part, audience))
    });
    for (delta, audience) in parts {
        let group = state.peers.group_addresses(state.peers.group());
        if audience == Audience::Fleet && state.peers.is_grouped() {
            let relays = state.peers.digest_targets(clock::now());
            let datagram = Datagram::Upstreams {
                delta: delta.clone(),
                is_for_group: true,
            };
            socket.send_to_all(&datagram, &relays).await;
        }
        let datagram = Datagram::Upstreams {
            delta,
            is_for_group: false,
        };
        socket.send_to_all(&datagram, &group).await;
    }
}

/// Sends the full state to hosts that don't know this one yet, along with addresses of other hosts
/// in their halls.
async fn introduce(
    state: &GatewayState,
    socket: &PeerSocket,
    own: &PeerState,
    needs_full_state: Vec<(SocketAddr, Option<HallId>)>,
) {
    let mut by_hall: HashMap<Option<HallId>, Vec<SocketAddr>> = HashMap::new();
    for (address, hall) in needs_full_state {
        by_hall.entry(hall).or_default().push(address);
    }
    for (hall, addresses) in by_hall {
        let mut introduction = own.clone();
        introduction.named = state
            .peers
            .sample_peers(hall.as_ref(), MAX_ADVERTISED_PEERS_TO_NEWCOMERS);
        let datagram = Datagram::State(Box::new(introduction));
        socket.send_to_all(&datagram, &addresses).await;
    }
}

/// Logs a change of this host's phase.
fn log_phase(state: &GatewayState, before: Option<HostPhase>, phase: HostPhase, now: Instant) {
    if before == Some(phase) {
        return;
    }
    log::info!(
        "peers: own phase changed phase={phase:?} before={before:?} {}",
        ViewFacts::of(&state.view, now)
    );
}

async fn receive(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let mut buffer = vec![0; MAX_RECEIVED_BYTES];
    loop {
        let Ok((length, sender)) = socket.receive(&mut buffer).await else {
            sleep(COALESCE_DELAY).await;
            continue;
        };
        match Extension::read(&buffer[..length]) {
            Ok((datagram, extension)) => {
                apply_limit_updates(&state, &extension.limits, false);
                for known in &extension.bad_answers {
                    state.rollouts.record_bad_answers(known);
                }
                if let Some(decided) = &extension.decided_usage {
                    state.duties.merge_decided(decided);
                }
                let reports = &extension.part_crashes;
                apply_part_reports(&state, &datagram, reports, sender);
                apply_datagram(&state, &socket, datagram, extension, sender).await;
            }
            Err(cause) => {
                state.metrics.unreadable_datagrams.inc();
                log::warn!(
                    "peers: datagram unreadable peer={sender} cause={cause:?} bytes={length}"
                );
                if let Unreadable::OtherVersion(_) = cause {
                    state.peers.record_unreadable(sender, clock::now());
                }
            }
        }
    }
}
