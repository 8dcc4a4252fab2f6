//! Asks other hosts which runs of a request they know, before a copy of a run's memory is used for a caller who
//! resumes a stream.

use {
    super::{GroupMember, HostPhase, Peer, Peers, snapshot::with_status},
    crate::{
        connection::{CallBounds, CallFailure, short_call},
        state::GatewayState,
    },
    bytes::Bytes,
    futures::future::join_all,
    http::{Request, Response, StatusCode, Uri, header},
    rand::seq::{IndexedRandom, SliceRandom},
    serde::{Deserialize, Serialize},
    std::{
        convert::Infallible,
        future::ready,
        io::ErrorKind,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        http::{Body, full},
        ids::{HostId, ProcessId},
    },
    tealshore_runs::{ContentMatch, HostReply, Inquiry, RunOrigin, RunReport},
    tokio::{net::TcpStream, time::timeout},
};

/// Path of an inquiry; the two digests follow. A new layout of the answer needs a new path.
const INQUIRY_PATH: &str = "/run-reports/";
/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// Number of hosts that are asked besides that of the run. One datagram that reports a run may be lost, two rarely are.
const WITNESSES: usize = 2;

/// The reply to an inquiry.
#[derive(Serialize, Deserialize)]
struct Reply {
    process: ProcessId,
    runs: Vec<RunReport>,
    /// Whether runs of other hosts may be missing.
    is_partial: bool,
}

/// A host that is asked which runs it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskedHost {
    /// The name of the host.
    pub host: HostId,
    /// The address at which it replies.
    pub address: SocketAddr,
}

impl AskedHost {
    fn of(peer: &Peer) -> Self {
        Self {
            host: peer.state.host.clone(),
            address: peer.state.peers_address,
        }
    }

    fn of_member(member: &GroupMember) -> Self {
        Self {
            host: member.host.clone(),
            address: member.peers_address,
        }
    }
}

/// Asks the host of a run, a few others, and all that were not heard lately, which runs of a request they know.
pub async fn ask_about_runs(
    state: &GatewayState,
    wanted: ContentMatch,
    run: &RunOrigin,
) -> Inquiry {
    let peers = &state.peers;
    let now = clock::now();
    let run_host = &run.process.host;
    let mut asked = peers.witnesses(run_host, now);
    let has_witnesses = !asked.is_empty();
    let unheard = peers.unheard_hosts(now);
    let unheard_names = unheard.iter().map(|asked| asked.host.clone()).collect();
    asked.extend(unheard.into_iter().filter(|asked| asked.host != *run_host));
    let is_own_host = *run_host == peers.own.id;
    if !is_own_host {
        asked.push(AskedHost {
            host: run_host.clone(),
            address: run.address,
        });
    }
    let max_wait = peers.options.run_inquiry;
    let asking = asked.into_iter().map(|asked| ask(asked, wanted, max_wait));
    let mut replies = join_all(asking).await;
    if is_own_host {
        // Only an earlier process of this host can be meant: this one knows its own runs.
        replies.push(HostReply::Runs {
            process: peers.process(),
            runs: Vec::new(),
            is_partial: false,
        });
    }
    Inquiry {
        replies,
        has_witnesses,
        unheard: unheard_names,
        loss: None,
    }
}

async fn ask(asked: AskedHost, wanted: ContentMatch, max_wait: Duration) -> HostReply {
    let AskedHost { host, address } = asked;
    let path = format!(
        "{INQUIRY_PATH}{:016x}/{:016x}",
        wanted.fingerprint, wanted.content
    );
    let request = Request::get(path).header(header::HOST, address.to_string());
    let Ok(request) = request.body(Bytes::new()) else {
        return HostReply::Silent(host);
    };
    let stream = match timeout(max_wait, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return HostReply::NotListening(host);
        }
        Ok(Err(_)) | Err(_) => return HostReply::Silent(host),
    };
    let bounds = CallBounds {
        timeout: max_wait,
        answer_bytes: MAX_REPLY_BYTES,
    };
    match short_call(ready(Ok::<_, Infallible>(stream)), request, bounds).await {
        Ok((StatusCode::OK, body)) => read_reply(host, &body),
        Ok(_) | Err(CallFailure::Invalid) => HostReply::Unreadable(host),
        Err(CallFailure::Closed | CallFailure::TimedOut) => HostReply::Silent(host),
    }
}

fn read_reply(host: HostId, body: &[u8]) -> HostReply {
    match postcard::from_bytes::<Reply>(body) {
        Ok(Reply {
            process,
            runs,
            is_partial,
        }) if process.host == host => HostReply::Runs {
            process,
            runs,
            is_partial,
        },
        // Another host has the address now.
        Ok(_) | Err(_) => HostReply::Unreadable(host),
    }
}

/// Answers an inquiry. Returns `None` for requests of other kinds.
pub(super) fn answer_inquiry(state: &GatewayState, uri: &Uri) -> Option<Response<Body>> {
    let wanted = parse_path(uri.path())?;
    let now = clock::now();
    let log = state.runs.log.lock();
    let reply = Reply {
        process: state.peers.process(),
        runs: log.recent(wanted, now),
        is_partial: log.is_partial(now) || !state.runs.is_restored(),
    };
    drop(log);
    match postcard::to_stdvec(&reply) {
        Ok(bytes) => {
            state.metrics.count_peer_bytes("run-reports", bytes.len());
            Some(Response::new(full(bytes)))
        }
        Err(error) => {
            log::error!("peers: failed to encode run reports error={error}");
            Some(with_status(StatusCode::INTERNAL_SERVER_ERROR))
        }
    }
}

fn parse_path(path: &str) -> Option<ContentMatch> {
    let (fingerprint, content) = path.strip_prefix(INQUIRY_PATH)?.split_once('/')?;
    Some(ContentMatch {
        fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
        content: u64::from_str_radix(content, 16).ok()?,
    })
}

impl Peers {
    /// Returns a few hosts besides that of a run that were heard lately. In a fleet of groups one of them is of the run's
    /// group, which learned of the run first.
    #[must_use]
    pub fn witnesses(&self, run_host: &HostId, now: Instant) -> Vec<AskedHost> {
        let near_run = self.random_host_of_group(run_host, now).into_iter();
        let near_here = self.heard_hosts(run_host, now);
        near_run.chain(near_here).take(WITNESSES).collect()
    }

    /// Returns a random other host of the group of a host, if that is not this host's group.
    fn random_host_of_group(&self, of_host: &HostId, now: Instant) -> Option<AskedHost> {
        let members = self.groups.lock().members(self.options.silence, now);
        let mut with_host = members.iter().filter(|(_, member)| member.host == *of_host);
        let (hall, _) = with_host.next()?;
        let others: Vec<_> = members
            .iter()
            .filter(|(of_hall, member)| of_hall == hall && member.host != *of_host)
            .collect();
        let (_, member) = others.choose(&mut rand::rng())?;
        Some(AskedHost::of_member(member))
    }

    /// Returns the hosts that were heard lately, except one and those that are starting, the nearest first.
    fn heard_hosts(&self, except: &HostId, now: Instant) -> Vec<AskedHost> {
        let known = self.known.lock();
        let mut heard: Vec<&Peer> = known
            .values()
            .filter(|peer| !self.is_unheard(peer, now) && peer.state.host != *except)
            .filter(|peer| peer.state.phase != HostPhase::Starting)
            .collect();
        heard.shuffle(&mut rand::rng());
        heard.sort_by_key(|peer| self.topology.distance(&self.own.hall, &peer.state.hall));
        heard.into_iter().map(AskedHost::of).collect()
    }

    /// Returns the hosts that were not heard lately, and a random one of each group that was not, which knows of the
    /// runs of its group.
    #[must_use]
    pub fn unheard_hosts(&self, now: Instant) -> Vec<AskedHost> {
        let silent_groups = self.groups.lock().silent_groups(self.options.silence, now);
        let of_groups = silent_groups.iter().filter_map(|members| {
            let member = members.choose(&mut rand::rng())?;
            Some(AskedHost::of_member(member))
        });
        let known = self.known.lock();
        let unheard = known.values().filter(|peer| self.is_unheard(peer, now));
        of_groups.chain(unheard.map(AskedHost::of)).collect()
    }

    /// Whether two heartbeats of a host or more are missing.
    fn is_unheard(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.last_seen) > self.options.heartbeat * 2
    }
}
