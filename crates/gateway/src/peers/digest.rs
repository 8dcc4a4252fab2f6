//! What a relay last sent the other groups of its own, so that digests carry what changed.

use {
    super::{
        groups::worse,
        message::{GroupDigest, GroupMember, HostAddress, ServiceUse, UpstreamWork},
    },
    crate::{
        feed::StoreWatermark,
        run_trace::{Fingerprint, RunTrace},
        view::{Condition, Work},
    },
    postcard::experimental::serialized_size,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, HostId},
    tealshore_duties::{lease::LeaseNews, usage::WindowCounts},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
};

/// How often all is sent: what a lost digest said is known again after this.
const FULL_INTERVAL: Duration = Duration::from_secs(2);
/// The most bytes of entries of a kind in one part of what is sent: more could outgrow a datagram.
pub(super) const PART_BYTES: usize = 16_000;
/// How long a run that was sent is not sent again: as long as hosts count it as running.
const RUN_REMEMBERED: Duration = Duration::from_secs(5);

/// The sums of a group at one moment.
#[derive(Clone, Debug, Default)]
pub struct GroupSums {
    /// Its hosts, by name.
    pub members: Vec<GroupMember>,
    /// The sums of work by upstream.
    pub work: BTreeMap<EngineId, (Work, Condition)>,
    /// The sums of what was used of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// Streams that began since the last digest.
    pub runs: Vec<RunTrace>,
}

impl GroupSums {
    /// Adds what one host has at upstreams.
    pub fn add_work(&mut self, work: &[UpstreamWork]) {
        for entry in work {
            let sum = self
                .work
                .entry(entry.upstream.clone())
                .or_insert((Work::default(), Condition::Healthy));
            sum.0.add(entry.work);
            sum.1 = worse(sum.1, entry.condition);
        }
    }

    /// Adds what one host used of the retry budgets.
    pub fn add_budgets(&mut self, budgets: &[ServiceUse]) {
        for entry in budgets {
            let known = self.budgets.iter_mut();
            match known.into_iter().find(|sum| sum.service == entry.service) {
                Some(sum) => sum.add(entry),
                None => self.budgets.push(entry.clone()),
            }
        }
    }
}

/// Who sends a digest, and how far its knowledge of the store goes.
#[derive(Clone, Debug)]
pub struct DigestSource {
    /// The relay.
    pub host: HostId,
    /// Its hall, which is the group.
    pub hall: String,
    /// Where it takes datagrams.
    pub address: std::net::SocketAddr,
    /// What its link carries, in Mbit/s.
    pub link_mbps: u32,
    /// Its process.
    pub incarnation: u64,
    /// How far its knowledge of the store goes.
    pub watermark: Option<StoreWatermark>,
    /// Whether its last call to the store was answered.
    pub reaches_store: bool,
    /// The relays of other groups that it knows of.
    pub relays: Vec<HostAddress>,
    /// The lease of the duties, where it holds that or gave it up.
    pub lease: Option<LeaseNews>,
    /// What its hosts counted for customers in the last windows.
    pub usage: Vec<WindowCounts>,
    /// What it knows of requests that crash upstreams.
    pub crashes: Vec<CrashUpdate>,
}

/// What a relay last sent the other groups.
#[derive(Default)]
pub struct LastDigest {
    sequence: u64,
    sent_at: Option<Instant>,
    full_sent_at: Option<Instant>,
    members: Vec<GroupMember>,
    work: BTreeMap<EngineId, (Work, Condition)>,
    repeats: u32,
    watermark: Option<StoreWatermark>,
    runs: HashMap<Fingerprint, (RunTrace, Instant)>,
    crashes: Vec<(Fingerprint, UpdateSize)>,
}

impl LastDigest {
    /// The next digest; none while nothing changed that others wait for, and the heartbeat is not
    /// due.
    pub fn next(
        &mut self,
        source: DigestSource,
        mut sums: GroupSums,
        heartbeat: Duration,
        now: Instant,
    ) -> Option<GroupDigest> {
        let is_whole = is_past(self.full_sent_at, FULL_INTERVAL, now);
        sums.members.sort_by(|a, b| a.host.cmp(&b.host));
        let members_changed = sums.members != self.members;
        let runs = self.new_runs(sums.runs, now);
        let work = if is_whole {
            entries(&sums.work)
        } else {
            self.changed_work(&sums.work)
        };
        let crashes = source
            .crashes
            .iter()
            .map(|news| (news.request, news.size()));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable();
        let crashes_changed = crashes != self.crashes;
        // Requests come all the time; only repeats are sent at once.
        let repeats = sums.budgets.iter().map(|entry| entry.used.repeats).sum();
        let is_due = is_whole
            || members_changed
            || crashes_changed
            || !runs.is_empty()
            || !work.is_empty()
            || repeats != self.repeats
            || source.watermark != self.watermark
            || is_past(self.sent_at, heartbeat, now);
        if !is_due {
            return None;
        }
        self.sent_at = Some(now);
        if is_whole {
            self.full_sent_at = Some(now);
        }
        self.sequence += 1;
        self.members.clone_from(&sums.members);
        self.work = sums.work;
        self.repeats = repeats;
        self.watermark = source.watermark;
        self.crashes = crashes;
        Some(GroupDigest {
            group: source.hall,
            relay: source.host,
            relay_address: source.address,
            link_mbps: source.link_mbps,
            incarnation: source.incarnation,
            sequence: self.sequence,
            members: (is_whole || members_changed).then_some(sums.members),
            is_whole,
            work,
            budgets: sums.budgets,
            runs,
            watermark: source.watermark,
            reaches_store: source.reaches_store,
            relays: source.relays,
            lease: source.lease,
            crashes: if is_whole || crashes_changed {
                source.crashes
            } else {
                Vec::new()
            },
            usage: if is_whole { source.usage } else { Vec::new() },
        })
    }

    /// The next digest in parts that a datagram carries each; none where none is due.
    pub fn next_parts(
        &mut self,
        source: DigestSource,
        sums: GroupSums,
        heartbeat: Duration,
        now: Instant,
    ) -> Vec<GroupDigest> {
        let Some(digest) = self.next(source, sums, heartbeat, now) else {
            return Vec::new();
        };
        let parts = split(digest, PART_BYTES);
        self.sequence = parts.last().map_or(self.sequence, |part| part.sequence);
        parts
    }

    /// Lets the next digest send all: this host was not the relay meanwhile.
    pub fn forget(&mut self) {
        self.full_sent_at = None;
    }

    fn changed_work(&self, now: &BTreeMap<EngineId, (Work, Condition)>) -> Vec<UpstreamWork> {
        let ended = self.work.keys().filter(|id| !now.contains_key(*id));
        let ended = ended.map(UpstreamWork::none_at);
        let changed = now
            .iter()
            .filter(|(id, entry)| self.work.get(*id) != Some(*entry))
            .map(entry_of);
        changed.chain(ended).collect()
    }

    fn new_runs(&mut self, runs: Vec<RunTrace>, now: Instant) -> Vec<RunTrace> {
        self.runs
            .retain(|_, (_, sent)| now.saturating_duration_since(*sent) <= RUN_REMEMBERED);
        let mut new = Vec::new();
        for run in runs {
            let sent = self.runs.get(&run.fingerprint);
            if sent.is_none_or(|(sent, _)| *sent != run) {
                self.runs.insert(run.fingerprint, (run.clone(), now));
                new.push(run);
            }
        }
        new
    }
}

/// Divides a digest: the parts behind the first carry changes, so that a receiver applies each as a digest of
/// its own. Only work and streams are divided; the first part keeps all else.
fn split(mut digest: GroupDigest, part_bytes: usize) -> Vec<GroupDigest> {
    let mut work = pieces(std::mem::take(&mut digest.work), part_bytes).into_iter();
    let mut runs = pieces(std::mem::take(&mut digest.runs), part_bytes).into_iter();
    let mut following = GroupDigest {
        members: None,
        is_whole: false,
        crashes: Vec::new(),
        usage: Vec::new(),
        ..digest.clone()
    };
    digest.work = work.next().unwrap_or_default();
    digest.runs = runs.next().unwrap_or_default();
    let mut parts = vec![digest];
    while work.len() > 0 || runs.len() > 0 {
        following.sequence += 1;
        parts.push(GroupDigest {
            work: work.next().unwrap_or_default(),
            runs: runs.next().unwrap_or_default(),
            ..following.clone()
        });
    }
    parts
}

/// Divides entries into pieces of at most so many bytes, or of one entry.
pub(super) fn pieces<T: Serialize>(entries: Vec<T>, piece_bytes: usize) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        let size = serialized_size(&entry).unwrap_or(piece_bytes);
        bytes += size;
        match pieces.last_mut() {
            Some(piece) if bytes <= piece_bytes => piece.push(entry),
            Some(_) | None => {
                bytes = size;
                pieces.push(vec![entry]);
            }
        }
    }
    pieces
}

fn is_past(moment: Option<Instant>, interval: Duration, now: Instant) -> bool {
    moment.is_none_or(|moment| now.saturating_duration_since(moment) >= interval)
}

fn entries(work: &BTreeMap<EngineId, (Work, Condition)>) -> Vec<UpstreamWork> {
    work.iter().map(entry_of).collect()
}

fn entry_of((id, (work, condition)): (&EngineId, &(Work, Condition))) -> UpstreamWork {
    UpstreamWork {
        upstream: id.clone(),
        work: *work,
        condition: *condition,
    }
}
