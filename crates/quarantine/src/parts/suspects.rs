//! Determines from the known crashes which parts of prompts are suspected to cause them.

use {
    super::{
        PartId,
        crash::{PartCrash, PossibleCause},
    },
    std::{
        collections::{BTreeSet, HashMap},
        time::Instant,
    },
    tealshore_core::ids::Fingerprint,
};

/// The minimum number of crashes in a row, each under a run that began after the previous crash, that quarantine a
/// part. Upstreams that crash together count once.
const MIN_SEQUENCE: usize = 3;
/// The minimum weight of the crashes that quarantine a part.
const MIN_WEIGHT: usize = 4;
/// The maximum number of crashes of one request that add to the weight: more of them speak against the whole request,
/// not against a part of it.
const MAX_WEIGHT_PER_REQUEST: usize = 2;
/// The sequence and weight from which a part is suspected.
const SUSPECT_THRESHOLD: usize = 2;

/// Index of the crash of an upstream, under all runs that it had at that time.
type CrashIndex = usize;

/// How strongly crashes incriminate a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strength {
    /// The number of crashes in a row, each under a run that began after the previous crash.
    pub sequence: usize,
    /// The number of crashes, of which few count for each request.
    pub weight: usize,
}

impl Strength {
    /// Returns whether the part is quarantined.
    #[must_use]
    pub fn is_enough(self) -> bool {
        self.sequence >= MIN_SEQUENCE && self.weight >= MIN_WEIGHT
    }

    fn is_suspect(self) -> bool {
        self.sequence >= SUSPECT_THRESHOLD && self.weight >= SUSPECT_THRESHOLD
    }

    fn of(runs: &[(CrashIndex, &PartCrash)]) -> Self {
        let mut counted = BTreeSet::new();
        let mut by_request: HashMap<Fingerprint, usize> = HashMap::new();
        let mut sequence = 0;
        let mut last: Option<&PartCrash> = None;
        for (index, run) in runs {
            if last.is_none_or(|last| run.follows(last)) {
                sequence += 1;
                last = Some(run);
            }
            if counted.insert(*index) {
                *by_request.entry(run.request).or_default() += 1;
            }
        }
        let weights = by_request.values();
        let weight = weights.map(|count| (*count).min(MAX_WEIGHT_PER_REQUEST));
        Self {
            sequence,
            weight: weight.sum(),
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
}

impl Suspect {
    /// Returns whether a request with these parts has the whole group.
    #[must_use]
    pub fn is_in(&self, parts: &[PartId]) -> bool {
        self.group.iter().all(|part| parts.contains(part))
    }
}

/// What the crashes show of one part.
struct Evidence<'a> {
    runs: Vec<(CrashIndex, &'a PartCrash)>,
    crashes: BTreeSet<CrashIndex>,
    group: Vec<PartId>,
    strength: Strength,
    began_before: bool,
}

impl<'a> Evidence<'a> {
    fn new(part: PartId, runs: Vec<(CrashIndex, &'a PartCrash)>) -> Self {
        Self {
            crashes: runs.iter().map(|(index, _)| *index).collect(),
            group: common_parts(&runs),
            strength: Strength::of(&runs),
            began_before: runs.iter().any(|(_, run)| began_before(run, part)),
            runs,
        }
    }

    /// Returns whether this part is the better explanation of crashes that it shares with another part.
    ///
    /// It is if all its requests have the other part, which is also in requests without it: the first part of many
    /// prompts is in the requests of each part that crashes upstreams. It is too if it is incriminated more strongly:
    /// requests beside a crashing one lose the same upstreams.
    fn explains(&self, part: PartId, other: PartId, of_other: &Self) -> bool {
        if !self.strength.is_enough() || of_other.group.contains(&part) {
            return false;
        }
        self.group.contains(&other) || self.rank() > of_other.rank()
    }

    fn rank(&self) -> (bool, usize) {
        (!self.began_before, self.strength.sequence)
    }
}

fn began_before(run: &PartCrash, part: PartId) -> bool {
    let mut causes = run.causes.iter();
    causes.any(|cause| cause.part == part && cause.began_before)
}

/// Returns the parts that are possible causes in all runs.
fn common_parts(runs: &[(CrashIndex, &PartCrash)]) -> Vec<PartId> {
    let Some((_, first)) = runs.first() else {
        return Vec::new();
    };
    let parts = first.causes.iter().map(|cause| cause.part);
    parts
        .filter(|part| runs.iter().all(|(_, run)| run.may_be_caused_by(*part)))
        .collect()
}

/// Returns the parts that are suspected to have caused these crashes, which are ordered by time.
#[must_use]
pub fn find_suspects(crashes: &[&PartCrash]) -> Vec<Suspect> {
    let evidence = collect_evidence(crashes);
    let mut suspects: Vec<Suspect> = evidence
        .iter()
        .filter_map(|(part, own)| suspect(*part, own, &evidence))
        .collect();
    suspects.sort_by_key(|suspect| (std::cmp::Reverse(suspect.strength), suspect.part));
    suspects
}

fn collect_evidence<'a>(crashes: &[&'a PartCrash]) -> HashMap<PartId, Evidence<'a>> {
    let indices = crash_indices(crashes);
    let mut runs: HashMap<PartId, Vec<(CrashIndex, &PartCrash)>> = HashMap::new();
    for (run, index) in crashes.iter().zip(indices) {
        for PossibleCause { part, .. } in &run.causes {
            runs.entry(*part).or_default().push((index, run));
        }
    }
    runs.into_iter()
        .filter(|(_, runs)| runs.len() >= SUSPECT_THRESHOLD)
        .map(|(part, runs)| (part, Evidence::new(part, runs)))
        .collect()
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

fn suspect(part: PartId, own: &Evidence, all: &HashMap<PartId, Evidence>) -> Option<Suspect> {
    if !own.strength.is_suspect() {
        return None;
    }
    let others = all.iter().filter(|(other, _)| **other != part);
    let explaining = others.filter(|(other, evidence)| evidence.explains(**other, part, own));
    let explained: BTreeSet<CrashIndex> = explaining
        .flat_map(|(_, evidence)| evidence.crashes.iter().copied())
        .collect();
    let mut runs = own.runs.clone();
    runs.retain(|(index, _)| !explained.contains(index));
    let strength = Strength::of(&runs);
    let last = runs.iter().map(|(_, run)| run.ended).max()?;
    strength.is_suspect().then(|| Suspect {
        part,
        group: common_parts(&runs),
        strength,
        last,
    })
}
