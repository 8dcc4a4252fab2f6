//! Incremental group digests: tracks what a relay last sent to the other groups.

use {
    super::{
        groups::worse,
        message::{GroupDigest, GroupMember, HostAddress, ServiceUse, UpstreamWork},
    },
    crate::{
        feed::StoreWatermark,
        view::{Condition, Work},
    },
    postcard::experimental::serialized_size,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, Fingerprint, HostId, RequestId},
    tealshore_duties::{lease::LeaseSummary, usage::WindowCounts},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
    tealshore_runs::RunTrace,
};

/// Interval between full digests, and so the time until the content of a lost digest is repaired.
const FULL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of the entries of one kind in a part; a larger part could exceed the datagram size.
pub(super) const MAX_PART_BYTES: usize = 16_000;
/// A run is not sent again within this time, the time for which hosts count it as running.
const RUN_DEDUP_INTERVAL: Duration = Duration::from_secs(5);

/// The aggregated state of a group at one moment.
#[derive(Clone, Debug, Default)]
pub struct GroupSums {
    /// Hosts of the group; `LastDigest::next` sorts them by name.
    pub members: Vec<GroupMember>,
    /// Total work and worst condition by upstream.
    pub work: BTreeMap<EngineId, (Work, Condition)>,
    /// Total use of the retry budgets.
    pub budgets: Vec<ServiceUse>,
    /// Streams that started since the last digest.
    pub runs: Vec<RunTrace>,
}

impl GroupSums {
    /// Adds the work of one host.
    pub fn add_work(&mut self, work: &[UpstreamWork]) {
        for entry in work {
            let sum = self
                .work
                .entry(entry.upstream.clone())
                .or_insert((Work::default(), Condition::Healthy));
            sum.0.add(entry.shared_work());
            sum.1 = worse(sum.1, entry.condition);
        }
    }

    /// Adds the retry budget use of one host.
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

/// The relay that sends a digest, and the parts of the digest that come from the relay itself.
#[derive(Clone, Debug)]
pub struct DigestSource {
    /// Name of the relay.
    pub host: HostId,
    /// Hall of the relay, which is the group.
    pub hall: String,
    /// Datagram address.
    pub address: std::net::SocketAddr,
    /// Link capacity in Mbit/s.
    pub link_mbps: u32,
    /// Incarnation of the relay's process.
    pub incarnation: u64,
    /// Store revisions that the relay has applied.
    pub watermark: Option<StoreWatermark>,
    /// Whether the last store call was answered.
    pub reaches_store: bool,
    /// Known relays of other groups.
    pub relays: Vec<HostAddress>,
    /// The lease of the duties, if the relay holds it or has released it.
    pub lease: Option<LeaseSummary>,
    /// Usage per customer counted by the group in the most recent windows.
    pub usage: Vec<WindowCounts>,
    /// Known requests that crash upstreams.
    pub crashes: Vec<CrashUpdate>,
}

/// The state last sent to the other groups.
#[derive(Default)]
pub struct LastDigest {
    sequence: u64,
    sent_at: Option<Instant>,
    full_sent_at: Option<Instant>,
    members: Vec<GroupMember>,
    work: BTreeMap<EngineId, (Work, Condition)>,
    repeats: u32,
    watermark: Option<StoreWatermark>,
    runs: HashMap<RequestId, (RunTrace, Instant)>,
    crashes: Vec<(Fingerprint, UpdateSize)>,
}

impl LastDigest {
    /// Returns the next digest, or `None` if nothing relevant changed and the heartbeat is not due.
    pub fn next(
        &mut self,
        source: DigestSource,
        mut sums: GroupSums,
        heartbeat: Duration,
        now: Instant,
    ) -> Option<GroupDigest> {
        let is_whole = has_elapsed(self.full_sent_at, FULL_INTERVAL, now);
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
            .map(|update| (update.request, update.size()));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_unstable();
        let crashes_changed = crashes != self.crashes;
        // Request counts change constantly, so only repeats make a digest due immediately.
        let repeats = sums.budgets.iter().map(|entry| entry.used.repeats).sum();
        let is_due = is_whole
            || members_changed
            || crashes_changed
            || !runs.is_empty()
            || !work.is_empty()
            || repeats != self.repeats
            || source.watermark != self.watermark
            || has_elapsed(self.sent_at, heartbeat, now);
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

    /// Returns the next digest in parts that each fit a datagram; empty if no digest is due.
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
        let parts = split(digest, MAX_PART_BYTES);
        self.sequence = parts.last().map_or(self.sequence, |part| part.sequence);
        parts
    }

    /// Makes the next digest a full one. Called while this host is not the relay.
    pub fn request_full(&mut self) {
        self.full_sent_at = None;
    }

    fn changed_work(&self, now: &BTreeMap<EngineId, (Work, Condition)>) -> Vec<UpstreamWork> {
        let ended = self.work.keys().filter(|id| !now.contains_key(*id));
        let ended = ended.map(UpstreamWork::no_work_at);
        let changed = now
            .iter()
            .filter(|(id, entry)| self.work.get(*id) != Some(*entry))
            .map(work_entry);
        changed.chain(ended).collect()
    }

    fn new_runs(&mut self, runs: Vec<RunTrace>, now: Instant) -> Vec<RunTrace> {
        self.runs
            .retain(|_, (_, sent)| now.saturating_duration_since(*sent) <= RUN_DEDUP_INTERVAL);
        let mut new = Vec::new();
        for run in runs {
            let sent = self.runs.get(&run.request);
            if sent.is_none_or(|(sent, _)| *sent != run) {
                self.runs.insert(run.request.clone(), (run.clone(), now));
                new.push(run);
            }
        }
        new
    }
}

/// Splits a digest into parts. All parts after the first are incremental, so that a receiver
/// applies each as a separate digest. Only work and streams are split. Members, usage and crashes
/// stay in the first part; all other fields are repeated in each part, where budgets replace those
/// of the previous one.
fn split(mut digest: GroupDigest, part_bytes: usize) -> Vec<GroupDigest> {
    let mut work = chunks_by_size(std::mem::take(&mut digest.work), part_bytes).into_iter();
    let mut runs = chunks_by_size(std::mem::take(&mut digest.runs), part_bytes).into_iter();
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

/// Splits entries into chunks of at most `chunk_bytes`; a larger entry gets a chunk of its own.
pub(super) fn chunks_by_size<T: Serialize>(entries: Vec<T>, chunk_bytes: usize) -> Vec<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        let size = serialized_size(&entry).unwrap_or(chunk_bytes);
        bytes += size;
        match chunks.last_mut() {
            Some(chunk) if bytes <= chunk_bytes => chunk.push(entry),
            Some(_) | None => {
                bytes = size;
                chunks.push(vec![entry]);
            }
        }
    }
    chunks
}

fn has_elapsed(moment: Option<Instant>, interval: Duration, now: Instant) -> bool {
    moment.is_none_or(|moment| now.saturating_duration_since(moment) >= interval)
}

fn entries(work: &BTreeMap<EngineId, (Work, Condition)>) -> Vec<UpstreamWork> {
    work.iter().map(work_entry).collect()
}

fn work_entry((id, (work, condition)): (&EngineId, &(Work, Condition))) -> UpstreamWork {
    UpstreamWork {
        upstream: id.clone(),
        work: *work,
        condition: *condition,
    }
}
