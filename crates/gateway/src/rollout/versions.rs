//! Decides which versions of a service may receive requests.

use {
    super::record::{Phase, RolloutOrder, RolloutRecord},
    crate::edge::Revision,
    tealshore_core::ids::EngineVersion,
};

/// A version that has listed upstreams which accept requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version of these upstreams.
    pub version: EngineVersion,
    /// The oldest row of these upstreams. Upstreams of a new version have younger rows than all
    /// others, so hosts without other information agree on which version was there first.
    pub oldest_row: Revision,
}

/// The versions that may receive requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Only this version.
    Only(EngineVersion),
    /// The target receives canaries within its share, and `from` all other requests.
    Canary {
        /// The serving version.
        from: EngineVersion,
        /// The version under trial.
        target: EngineVersion,
    },
    /// The target receives all requests; `from` is used only while no upstream of the target
    /// accepts requests.
    Prefer {
        /// The version to move to.
        target: EngineVersion,
        /// The version that served before.
        from: EngineVersion,
    },
}

/// Returns which versions of a service may receive requests.
///
/// Without a record for the known order, only the version that served before is permitted, as this
/// host may be the last to receive a roll-back. `serving` is the version that this host saw serve
/// before. If none of its upstreams is listed, the version that was listed first is permitted.
/// Returns `None` if no upstream is listed and there is no such record.
#[must_use]
pub fn permit(
    listed: &[ListedVersion],
    order: Option<&RolloutOrder>,
    record: Option<&RolloutRecord>,
    serving: Option<&EngineVersion>,
) -> Option<Permit> {
    let current = record.filter(|record| order.is_none_or(|order| order.revision <= record.order));
    if let Some(record) = current {
        return Some(permit_of(record));
    }
    let before = record.map(RolloutRecord::serving).or(serving);
    let is_listed = |version: &EngineVersion| listed.iter().any(|it| it.version == *version);
    if let Some(before) = before.filter(|version| is_listed(version)) {
        return Some(Permit::Only(before.clone()));
    }
    // The order's target is not excluded here: the order may go back to the version that was there
    // first.
    let oldest = listed.iter().min_by_key(|it| it.oldest_row);
    oldest.map(|it| Permit::Only(it.version.clone()))
}

/// Returns the permit given by a record.
pub(super) fn permit_of(record: &RolloutRecord) -> Permit {
    let (from, target) = (record.from.clone(), record.target.clone());
    match record.phase {
        Phase::Canary => Permit::Canary { from, target },
        Phase::Shifting => Permit::Prefer { target, from },
        Phase::Completed => Permit::Only(target),
        Phase::RolledBack => Permit::Only(from),
    }
}
