//! Exchange of what hosts know of the parts of prompts that crash upstreams.

use {
    super::{COALESCE_DELAY, extension::Extension, message::Datagram, outgoing::PeerSocket},
    crate::state::GatewayState,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tealshore_core::clock,
    tealshore_quarantine::parts::{
        log::{Audience, MAX_REPORTS, UnsentReports},
        news::PartCrashReport,
    },
    tokio::time::sleep,
};

/// Delay after which changes are sent once more.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Sends changes to other hosts for as long as the process lives.
pub(super) async fn send_part_changes(state: Arc<GatewayState>, socket: Arc<PeerSocket>) {
    let peers = &state.peers;
    loop {
        peers.parts_changed.notified().await;
        // A crash and what excludes some of its parts are often learned together.
        sleep(COALESCE_DELAY).await;
        let unsent = state.crashes.take_unsent_part_reports(clock::now());
        send_unsent(&state, &socket, &unsent).await;
        // Repairs the loss of a datagram sooner than the next full state.
        let (state, socket) = (state.clone(), socket.clone());
        tokio::spawn(async move {
            sleep(REPEAT_DELAY).await;
            send_unsent(&state, &socket, &unsent.aged(REPEAT_DELAY)).await;
        });
    }
}

async fn send_unsent(state: &GatewayState, socket: &PeerSocket, unsent: &UnsentReports) {
    let peers = &state.peers;
    let to_hosts = peers.lending_addresses();
    let to_relays = peers.lending_relays(clock::now());
    send_reports(socket, &unsent.for_fleet, &to_hosts, false).await;
    send_reports(socket, &unsent.for_fleet, &to_relays, true).await;
    send_reports(socket, &unsent.for_group, &to_hosts, false).await;
}

/// Sends reports as the extension of an empty list of limits, which all builds can decode.
async fn send_reports(
    socket: &PeerSocket,
    reports: &[PartCrashReport],
    receivers: &[SocketAddr],
    is_for_group: bool,
) {
    if receivers.is_empty() {
        return;
    }
    for chunk in reports.chunks(MAX_REPORTS) {
        let datagram = Datagram::Limits {
            updates: Vec::new(),
            is_for_group,
        };
        let extension = Extension {
            part_crashes: chunk.to_vec(),
            ..Extension::default()
        };
        socket
            .send_with_extension(&datagram, &extension, receivers)
            .await;
    }
}

/// Applies the reports of a datagram. Those of another group are sent on to the own group.
pub(super) fn apply_part_reports(
    state: &GatewayState,
    datagram: &Datagram,
    reports: &[PartCrashReport],
    sender: SocketAddr,
) {
    let audience = match datagram {
        Datagram::Limits {
            is_for_group: true, ..
        }
        | Datagram::Digest { .. } => Audience::Group,
        Datagram::Limits {
            is_for_group: false,
            ..
        }
        | Datagram::State(_)
        | Datagram::Delta(_)
        | Datagram::Upstreams { .. }
        | Datagram::Relayed { .. }
        | Datagram::Usage(_)
        | Datagram::PermitAsk(_)
        | Datagram::PermitLoan(_) => Audience::Nobody,
    };
    state.apply_part_reports(reports, audience, &sender.to_string());
}
