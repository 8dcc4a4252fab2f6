//! Sends this host's datagrams and takes in those of the others.

use {
    super::{
        COALESCE, Receivers, TOLD_RUNS, TOLD_UPSTREAMS,
        message::{Datagram, Finding, HostPhase, PeerChange, PeerState, ServiceUse, UpstreamWork},
        snapshot::serve_snapshots,
        told::Told,
    },
    crate::{run_trace::RunTrace, state::GatewayState, sync::apply_news, view::Condition},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
    tealshore_core::ids::HostId,
    tokio::{
        net::{TcpListener, UdpSocket},
        time::{sleep, timeout},
    },
};

/// The largest datagram that is read, in bytes: the most that UDP carries.
const DATAGRAM_BOUND_BYTES: usize = 64 * 1024;
/// The largest datagram that is sent, in bytes: UDP carries a little more.
const SENT_BOUND_BYTES: usize = 60_000;

/// Tells and hears for as long as the process lives.
///
/// # Errors
/// The address can't be used.
pub async fn start(state: &Arc<GatewayState>) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(state.options.peers.address).await?);
    tokio::spawn(tell(state.clone(), socket.clone()));
    tokio::spawn(hear(state.clone(), socket));
    let listener = TcpListener::bind(state.options.peers.address).await?;
    tokio::spawn(serve_snapshots(state.clone(), listener));
    Ok(())
}

async fn tell(state: Arc<GatewayState>, socket: Arc<UdpSocket>) {
    let mut told = Told::nothing(Instant::now());
    loop {
        let now = Instant::now();
        for news in state.peers.take_waiting_news() {
            let fed = state.peers.group_addresses(state.group());
            send_to_all(&socket, &Datagram::Upstreams(news), &fed).await;
        }
        let Receivers { heard, unheard } = state.peers.receivers(now);
        let own = own_state(&state, now);
        log_phase(&state, told.phase(), own.phase, now);
        if told.is_whole_due(own.phase, now) {
            told.note_whole(&own, now);
            let whole = Datagram::State(Box::new(own));
            send_to_all(&socket, &whole, &heard).await;
            send_to_all(&socket, &whole, &unheard).await;
        } else {
            let change = Datagram::Change(told.change(&own));
            send_to_all(&socket, &Datagram::State(Box::new(own)), &unheard).await;
            send_to_all(&socket, &change, &heard).await;
        }
        // Whether news or the heartbeat's time ends the wait makes no difference.
        let _ = timeout(state.options.peers.heartbeat, state.peers.news.notified()).await;
        sleep(COALESCE).await;
    }
}

/// The whole state of this host.
fn own_state(state: &GatewayState, now: Instant) -> PeerState {
    let peers = &state.peers;
    let all = state.view.upstreams.all();
    let work = all.iter().filter_map(|upstream| {
        let own = upstream.own_work();
        let told = UpstreamWork {
            upstream: upstream.record.id.clone(),
            work: own,
            condition: upstream.condition_here(now),
        };
        told.is_worth_telling().then_some(told)
    });
    let budgets = state.budget_use(now).into_iter();
    let budgets = budgets.map(|(service, used)| ServiceUse { service, used });
    PeerState {
        host: peers.own.id.clone(),
        hall: peers.own.hall.clone(),
        callers_address: peers.own.callers_address,
        peers_address: peers.options.address,
        phase: state.phase(now),
        incarnation: peers.incarnation,
        sequence: peers.sequence.fetch_add(1, Ordering::Relaxed),
        work: work.take(TOLD_UPSTREAMS).collect(),
        watermark: state.own_watermark(),
        budgets: budgets.collect(),
        runs: state.runs.own(now).into_iter().take(TOLD_RUNS).collect(),
        named: peers.some_names(),
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

async fn send_to_all(socket: &UdpSocket, datagram: &Datagram, receivers: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    if bytes.len() > SENT_BOUND_BYTES {
        log::warn!("peers: datagram too large bytes={}", bytes.len());
        return;
    }
    for receiver in receivers {
        // A datagram that is not sent is one that is lost: the next one mends it.
        let _ = socket.send_to(&bytes, receiver).await;
    }
}

async fn hear(state: Arc<GatewayState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BOUND_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(COALESCE).await;
            continue;
        };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(Datagram::State(peer)) => apply_state(&state, *peer),
            Ok(Datagram::Change(change)) => apply_change(&state, change),
            Ok(Datagram::Upstreams(news)) => apply_news(&state, news),
            Err(_) => log::warn!("peers: datagram unreadable bytes={length}"),
        }
    }
}

fn apply_state(state: &GatewayState, mut peer: PeerState) {
    let sender = peer.host.clone();
    let runs = std::mem::take(&mut peer.runs);
    let findings = state.peers.apply_state(peer, Instant::now());
    note_told(state, &sender, runs, &findings);
}

fn apply_change(state: &GatewayState, mut change: PeerChange) {
    let sender = change.host.clone();
    let runs = std::mem::take(&mut change.runs);
    let findings = state.peers.apply_change(change, Instant::now());
    note_told(state, &sender, runs, &findings);
}

/// Notes what a peer told of its runs and of upstreams, and wakes what waits for its watermark on
/// the store.
fn note_told(state: &GatewayState, sender: &HostId, runs: Vec<RunTrace>, findings: &[Finding]) {
    let now = Instant::now();
    for run in runs {
        state.runs.hear(run, now);
    }
    for finding in findings {
        take_over(state, finding, sender);
    }
    if state.peers.is_fed_by(sender) {
        state.feed.notify();
    }
}

/// Takes over what a peer found, unless this host found the same. It is not told on:
/// suspicions of suspicions would never end.
fn take_over(state: &GatewayState, finding: &Finding, sender: &HostId) {
    let now = Instant::now();
    let Some(upstream) = state.view.upstreams.get(&finding.upstream) else {
        return;
    };
    let is_news = match finding.condition {
        Condition::Healthy => false,
        Condition::Suspected => !upstream.is_suspected(now) && upstream.suspect_for_peer(now),
        Condition::Replaced => upstream.replaced_for_peer(now),
    };
    if is_news {
        log::debug!(
            "upstream: unsound upstream={} condition={:?} peer={sender}",
            finding.upstream,
            finding.condition
        );
    }
}
