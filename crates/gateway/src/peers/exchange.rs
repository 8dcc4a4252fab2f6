//! Sends this host's datagrams and receives those of the others.

mod apply;

use {
    super::{
        Audience, COALESCE, KNOWN_PEERS_TO_NEWCOMERS, Receivers,
        digest::PART_BYTES,
        duties::send_usage,
        extension::Extension,
        last_state::SentState,
        limits::{apply_limit_news, remove_unused_limits, send_changed_limits, send_permit_asks},
        message::{Datagram, HostPhase, PeerState, Unreadable},
        outgoing::{PeerSocket, own_state},
        relay::relay,
        snapshot::serve_snapshots,
    },
    crate::state::GatewayState,
    apply::apply_datagram,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::HallId,
    tokio::{net::TcpListener, time::sleep},
};

/// The largest datagram that is read, in bytes: the most that UDP carries.
const DATAGRAM_BOUND_BYTES: usize = 64 * 1024;

/// A host that starts and has not met its hall yet introduces itself again after this: its seeds
/// may start a moment later than it does.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(40);
/// For how long it does so.
const INTRODUCED_AFTER: Duration = Duration::from_secs(2);
/// How long a host lets others that start gather before it answers them together.
const NEWCOMERS_GATHER: Duration = Duration::from_millis(4);

/// Sends and receives for as long as the process lives.
///
/// # Errors
/// The address can't be used.
pub async fn start(state: &Arc<GatewayState>) -> std::io::Result<()> {
    let socket = Arc::new(PeerSocket::bind(state).await?);
    tokio::spawn(send(state.clone(), socket.clone()));
    tokio::spawn(relay(state.clone(), socket.clone()));
    tokio::spawn(send_usage(state.clone(), socket.clone()));
    tokio::spawn(send_permit_asks(state.clone(), socket.clone()));
    tokio::spawn(send_changed_limits(state.clone(), socket.clone()));
    tokio::spawn(remove_unused_limits(state.clone()));
    tokio::spawn(receive(state.clone(), socket));
    let listener = TcpListener::bind(state.options.peers.address).await?;
    tokio::spawn(serve_snapshots(state.clone(), listener));
    Ok(())
}

async fn send(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let started = Instant::now();
    let heartbeat = state.options.peers.heartbeat;
    let mut last = SentState::new(started);
    let mut last_far = SentState::for_other_regions(started);
    let mut far_due = started;
    loop {
        let now = Instant::now();
        send_waiting_deltas(&state, &socket).await;
        let Receivers {
            heard,
            heard_far,
            unheard,
        } = state.peers.receivers(now);
        let own = own_state(&state, now);
        log_phase(&state, last.phase(), own.phase, now);
        introduce(&state, &socket, &own, unheard).await;
        tell(&socket, &mut last, &own, &heard, now).await;
        // Hosts of other regions send little to the same engines, so that its load can wait for the
        // heartbeat; what a promise or a caller's return depends on can't, nor the store's time.
        let is_urgent = state.peers.is_feeder()
            || last_far.is_full_due(own.phase, now)
            || last_far.has_urgent_change(&own);
        if heard_far.is_empty() {
            far_due = now + heartbeat;
        } else if is_urgent || now >= far_due {
            tell(&socket, &mut last_far, &own, &heard_far, now).await;
            far_due = now + heartbeat;
        }
        let until = far_due.min(Instant::now() + heartbeat);
        wait_for_update(&state, &socket, started, until).await;
        sleep(COALESCE).await;
    }
}

/// Tells hosts what changed since they were last told, or the whole state where that is due.
async fn tell(
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

/// Waits for an update or the next heartbeat; answers hosts that start meanwhile.
async fn wait_for_update(
    state: &GatewayState,
    socket: &PeerSocket,
    started: Instant,
    until: Instant,
) {
    let peers = &state.peers;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let has_met = peers.has_met_hall();
        let is_introduced = has_met || started.elapsed() > INTRODUCED_AFTER;
        let wait = if is_introduced {
            left
        } else {
            left.min(INTRODUCE_INTERVAL)
        };
        tokio::select! {
            () = peers.updates.notified() => return,
            () = peers.newcomer_came.notified() => {
                sleep(NEWCOMERS_GATHER).await;
                let own = own_state(state, Instant::now());
                let newcomers = peers.take_newcomers().collect();
                introduce(state, socket, &own, newcomers).await;
            }
            () = sleep(wait) => {
                if is_introduced {
                    return;
                }
                let own = own_state(state, Instant::now());
                let Receivers { unheard, .. } = peers.receivers(Instant::now());
                introduce(state, socket, &own, unheard).await;
            }
        }
    }
}

/// Sends changes of upstreams on.
async fn send_waiting_deltas(state: &GatewayState, socket: &PeerSocket) {
    let waiting = state.peers.take_waiting_deltas().into_iter();
    let parts = waiting.flat_map(|(delta, audience)| {
        let parts = delta.into_parts(PART_BYTES).into_iter();
        parts.map(move |part| (part, audience))
    });
    for (delta, audience) in parts {
        let group = state.peers.group_addresses(state.peers.group());
        if audience == Audience::Fleet && state.peers.is_grouped() {
            let relays = state.peers.digest_targets(Instant::now());
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

/// Tells hosts that don't know this one its whole state, and names others of their halls.
async fn introduce(
    state: &GatewayState,
    socket: &PeerSocket,
    own: &PeerState,
    unheard: Vec<(SocketAddr, Option<HallId>)>,
) {
    let mut by_hall: HashMap<Option<HallId>, Vec<SocketAddr>> = HashMap::new();
    for (address, hall) in unheard {
        by_hall.entry(hall).or_default().push(address);
    }
    for (hall, addresses) in by_hall {
        let mut introduction = own.clone();
        introduction.named = state
            .peers
            .some_known_peers(hall.as_ref(), KNOWN_PEERS_TO_NEWCOMERS);
        let datagram = Datagram::State(Box::new(introduction));
        socket.send_to_all(&datagram, &addresses).await;
    }
}

/// Logs that this host began or ceased to take traffic, or to do so by a fresh view.
fn log_phase(state: &GatewayState, before: Option<HostPhase>, phase: HostPhase, now: Instant) {
    if before == Some(phase) {
        return;
    }
    log::info!(
        "peers: own phase={phase:?} before={before:?} configuration={} view_age_ms={:?}",
        state.view.version(),
        state.view.age(now).map(|age| age.as_millis())
    );
}

async fn receive(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let mut buffer = vec![0; DATAGRAM_BOUND_BYTES];
    loop {
        let Ok((length, sender)) = socket.receive(&mut buffer).await else {
            sleep(COALESCE).await;
            continue;
        };
        match Extension::read(&buffer[..length]) {
            Ok((datagram, extension)) => {
                apply_limit_news(&state, &extension.limits, false);
                for known in &extension.bad_answers {
                    state.rollouts.record_bad_answers(known);
                }
                if let Some(decided) = &extension.decided_usage {
                    state.duties.merge_decided(decided);
                }
                apply_datagram(&state, &socket, datagram, extension, sender).await;
            }
            Err(cause) => {
                state.metrics.unreadable_datagrams.inc();
                log::warn!(
                    "peers: datagram unreadable peer={sender} cause={cause:?} bytes={length}"
                );
                if let Unreadable::OtherVersion(_) = cause {
                    state.peers.note_unreadable(sender, Instant::now());
                }
            }
        }
    }
}
