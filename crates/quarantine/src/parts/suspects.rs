//! Determines from the known crashes which parts of prompts are suspected to cause them.

use {
    super::{
        PartId,
        crash::{PartCrash, PossibleCause},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
    tealshore_core::ids::Fingerprint,
};

/// The minimum number of crashes in a row, each under a run that began after the previous crash, that quarantine a
/// part. Upstreams that crash together count once.
const MIN_SEQUENCE: usize = 3;
/// The minimum weight of the crashes that quarantine a part.
const MIN_WEIGHT: usize = 3;
/// The minimum number of requests whose crashes quarantine a part on which answers began before. Two requests that crash
/// upstreams by themselves may share such a part with all others.
const MIN_REQUESTS_AFTER_BEGIN: usize = 3;
/// The maximum number of crashes of one request that add to the weight: more of them speak against the whole request,
/// not against a part of it.
const MAX_WEIGHT_PER_REQUEST: usize = 2;
/// Hosts have exchanged within this time what they know. A quarantined part on which answers began before is first
/// tried that long after its last crash.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The number of crashes after which few more requests may be sent, from `CONTACT_TIME` later on.
const MAX_CRASHES_BEFORE_LIMIT: usize = 5;
/// The maximum number of crashes under such requests for a part to be tried. Two hosts may send a trial if messages are
/// lost, and three requests may be sent in all.
const MAX_LATE_CRASHES: usize = 1;
/// The sequence and weight from which a part is suspected.
const SUSPECT_THRESHOLD: usize = 2;

/// Index of the crash of an upstream, under all runs that it had at that time.
type CrashIndex = usize;

/// How strongly crashes incriminate a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Strength {
    /// The number of crashes in a row, each under a run that began after the previous crash.
    pub sequence: usize,
    /// The number of crashes, of which few count for each request.
    pub weight: usize,
    /// The fewest requests that explain all of these crashes.
    pub requests: usize,
    /// Whether answers began on the part before one of these crashes, so that it is an unlikely cause.
    pub began_before: bool,
}

impl Strength {
    /// Returns whether the part is quarantined.
    #[must_use]
    pub fn is_enough(self) -> bool {
        let has_requests = !self.began_before || self.requests >= MIN_REQUESTS_AFTER_BEGIN;
        self.sequence >= MIN_SEQUENCE && self.weight >= MIN_WEIGHT && has_requests
    }

    /// The measure by which parts are compared.
    pub(super) fn count(self) -> (usize, usize) {
        (self.sequence, self.weight)
    }

    fn is_suspect(self) -> bool {
        self.sequence >= SUSPECT_THRESHOLD && self.weight >= SUSPECT_THRESHOLD
    }

    fn of(part: PartId, runs: &[IndexedRun]) -> Self {
        let mut sequence = 0;
        let mut last: Option<&PartCrash> = None;
        for (_, run) in runs {
            if last.is_none_or(|last| run.follows(last)) {
                sequence += 1;
                last = Some(run);
            }
        }
        let by_request = attribute(runs);
        let weights = by_request.iter();
        let weight = weights.map(|count| (*count).min(MAX_WEIGHT_PER_REQUEST));
        Self {
            sequence,
            weight: weight.sum(),
            requests: by_request.len(),
            began_before: runs.iter().any(|(_, run)| began_before(run, part)),
        }
    }
}

/// Attributes each crash to one of the requests that ran at the upstream, beginning with the request that most crashes
/// can be attributed to. Returns the number of crashes of each of these requests.
fn attribute(runs: &[IndexedRun]) -> Vec<usize> {
    let mut crashes: HashMap<Fingerprint, BTreeSet<CrashIndex>> = HashMap::new();
    for (index, run) in runs {
        crashes.entry(run.request).or_default().insert(*index);
    }
    let mut counts = Vec::new();
    loop {
        let most = crashes
            .iter()
            .max_by_key(|(request, own)| (own.len(), **request));
        let Some((_, explained)) = most.filter(|(_, own)| !own.is_empty()) else {
            return counts;
        };
        let explained = explained.clone();
        counts.push(explained.len());
        for own in crashes.values_mut() {
            own.retain(|index| !explained.contains(index));
        }
    }
}

/// A part that is suspected to crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The part.
    pub part: PartId,
    /// The part and all others that were in each of the requests. Which of them is the cause is unknown, so only a
    /// request that has all of them is certain to have it.
    pub group: Vec<PartId>,
    /// How strongly crashes incriminate the part.
    pub strength: Strength,
    /// When the last of these crashes was detected.
    pub last: Instant,
    /// Whether the part may be tried shortly after its quarantine began: answers began on it before, no trial has crashed
    /// an upstream since, and hardly any request that was sent late.
    pub is_doubtful: bool,
}

impl Suspect {
    /// Returns whether a request with these parts has the whole group.
    #[must_use]
    pub fn is_in(&self, parts: &[PartId]) -> bool {
        self.group.iter().all(|part| parts.contains(part))
    }
}

/// A run with the index of its upstream's crash.
type IndexedRun<'a> = (CrashIndex, &'a PartCrash);

/// What the crashes show of one part.
struct Evidence<'a> {
    runs: Vec<IndexedRun<'a>>,
    group: Vec<PartId>,
    strength: Strength,
}

impl<'a> Evidence<'a> {
    fn new(part: PartId, runs: Vec<IndexedRun<'a>>) -> Self {
        Self {
            group: common_parts(&runs),
            strength: Strength::of(part, &runs),
            runs,
        }
    }

    /// Returns whether this part explains the crash of an upstream under a run without it, which was there with
    /// `other` when a run with this part was. If both are incriminated equally, each explains the other, until the
    /// next request with one of them tells which is the cause.
    fn explains_beside(&self, other: PartId, of_other: &Self) -> bool {
        self.strength.is_enough()
            && (self.group.contains(&other) || self.strength.count() >= of_other.strength.count())
    }

    /// Returns whether this part explains a crash under a run that has both parts, and answers began before on the other
    /// one only. Runs of this part that lack the other one are further evidence for that.
    fn explains_within(&self, of_other: &Self) -> bool {
        self.strength.is_enough() && of_other.strength.began_before && !self.strength.began_before
    }
}

/// The evidence on all parts, and the runs during each crash of an upstream.
struct Analysis<'a> {
    evidence: HashMap<PartId, Evidence<'a>>,
    runs_by_crash: HashMap<CrashIndex, Vec<&'a PartCrash>>,
}

impl<'a> Analysis<'a> {
    fn new(crashes: &[&'a PartCrash]) -> Self {
        let indices = crash_indices(crashes);
        let mut runs_by_part: HashMap<PartId, Vec<IndexedRun>> = HashMap::new();
        let mut runs_by_crash: HashMap<CrashIndex, Vec<&PartCrash>> = HashMap::new();
        for (run, index) in crashes.iter().zip(indices) {
            runs_by_crash.entry(index).or_default().push(run);
            for PossibleCause { part, .. } in &run.causes {
                runs_by_part.entry(*part).or_default().push((index, run));
            }
        }
        let several = runs_by_part
            .into_iter()
            .filter(|(_, runs)| runs.len() >= SUSPECT_THRESHOLD);
        Self {
            evidence: several
                .map(|(part, runs)| (part, Evidence::new(part, runs)))
                .collect(),
            runs_by_crash,
        }
    }

    /// Returns whether another part is the better explanation of the crash under a run with this part.
    fn is_explained(&self, part: PartId, own: &Evidence, (index, run): IndexedRun) -> bool {
        let is_within = run.causes.iter().any(|cause| {
            let evidence = self.evidence.get(&cause.part);
            evidence.is_some_and(|other| other.explains_within(own))
        });
        let beside = self.runs_by_crash.get(&index).into_iter().flatten();
        let mut causes_beside = beside.flat_map(|other| &other.causes);
        is_within
            || causes_beside.any(|cause| {
                let evidence = self.evidence.get(&cause.part);
                !run.may_be_caused_by(cause.part)
                    && evidence.is_some_and(|other| other.explains_beside(part, own))
            })
    }

    fn suspect(&self, part: PartId, own: &Evidence) -> Option<Suspect> {
        if !own.strength.is_suspect() {
            return None;
        }
        let runs = own.runs.iter().copied();
        let unexplained = runs.filter(|run| !self.is_explained(part, own, *run));
        let runs: Vec<IndexedRun> = unexplained.collect();
        let strength = Strength::of(part, &runs);
        let last = runs.iter().map(|(_, run)| run.ended).max()?;
        strength.is_suspect().then(|| Suspect {
            part,
            group: common_parts(&runs),
            strength,
            last,
            is_doubtful: strength.began_before
                && !has_crashed_in_trial(part, &runs)
                && late_crashes(&runs) <= MAX_LATE_CRASHES,
        })
    }
}

fn began_before(run: &PartCrash, part: PartId) -> bool {
    let mut causes = run.causes.iter();
    causes.any(|cause| cause.part == part && cause.began_before)
}

/// Returns whether a run began while the crashes before it kept the part in quarantine: only trials do.
fn has_crashed_in_trial(part: PartId, runs: &[IndexedRun]) -> bool {
    runs.iter().enumerate().any(|(count, (_, run))| {
        let before = &runs[..count];
        let last = before.last();
        last.is_some_and(|(_, last)| run.began >= last.ended + CONTACT_TIME)
            && Strength::of(part, before).is_enough()
    })
}

/// Returns the number of crashes under runs that began when hosts had had time to learn of the first crashes.
fn late_crashes(runs: &[IndexedRun]) -> usize {
    let mut known = BTreeSet::new();
    let mut distinct = runs.iter().filter(|(index, _)| known.insert(*index));
    let Some((_, fifth)) = distinct.nth(MAX_CRASHES_BEFORE_LIMIT - 1) else {
        return 0;
    };
    let is_late = |run: &PartCrash| run.began > fifth.ended + CONTACT_TIME;
    runs.iter().filter(|(_, run)| is_late(run)).count()
}

/// Returns the parts that are possible causes in all runs.
fn common_parts(runs: &[IndexedRun]) -> Vec<PartId> {
    let Some((_, first)) = runs.first() else {
        return Vec::new();
    };
    let parts = first.causes.iter().map(|cause| cause.part);
    parts
        .filter(|part| runs.iter().all(|(_, run)| run.may_be_caused_by(*part)))
        .collect()
}

/// Returns the parts that are suspected to have caused these crashes, which are ordered by time.
///
/// A part that is in all requests of another one can't be told from it by crashes alone: until answers have begun on
/// one of them, requests with either are refused only if they have what was common to all.
#[must_use]
pub fn find_suspects(crashes: &[&PartCrash]) -> Vec<Suspect> {
    let analysis = Analysis::new(crashes);
    let evidence = analysis.evidence.iter();
    let mut suspects: Vec<Suspect> = evidence
        .filter_map(|(part, own)| analysis.suspect(*part, own))
        .collect();
    suspects.sort_by_key(|suspect| (Reverse(suspect.strength.count()), suspect.part));
    suspects
}

/// Returns for each run the index of its upstream's crash: that of the first run which shares it.
fn crash_indices(crashes: &[&PartCrash]) -> Vec<CrashIndex> {
    let mut by_upstream: HashMap<&str, Vec<CrashIndex>> = HashMap::new();
    let mut indices = Vec::with_capacity(crashes.len());
    for (position, run) in crashes.iter().enumerate() {
        let known = by_upstream.entry(&run.upstream).or_default();
        let mut shared = known.iter().copied();
        let shared = shared.find(|index| crashes[*index].is_same_upstream_crash(run));
        if shared.is_none() {
            known.push(position);
        }
        indices.push(shared.unwrap_or(position));
    }
    indices
}
