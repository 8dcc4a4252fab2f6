//! Which versions of a service may get requests.

use {
    super::record::{Phase, RolloutOrder, RolloutRecord},
    crate::edge::Revision,
    tealshore_core::ids::EngineVersion,
};

/// A version of which upstreams are listed that take work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version.
    pub version: EngineVersion,
    /// The oldest row of such an upstream. Rows of a new version are younger than all others, so
    /// hosts that know nothing else agree on which version was there first.
    pub oldest_row: Revision,
}

/// Which versions may get requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// This one alone.
    Only(EngineVersion),
    /// All but a bounded share goes to the first, the canaries to the second.
    Canary {
        /// The version that serves.
        from: EngineVersion,
        /// The version that is tried.
        target: EngineVersion,
    },
    /// The first; the second only while the first has no upstream that takes work.
    Prefer {
        /// The version that is to serve.
        target: EngineVersion,
        /// The version that served before.
        from: EngineVersion,
    },
}

/// Which versions of a service may get requests.
///
/// Without a record of the order that is known, what served before goes on alone: this host may be
/// the last to hear of a roll-back. `serving` is the version that this host saw serve before.
/// None where no upstream is listed and nothing is known.
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
    // Not by the order's target: an order may go back to the version that was there first.
    let oldest = listed.iter().min_by_key(|it| it.oldest_row);
    oldest.map(|it| Permit::Only(it.version.clone()))
}

/// What a record lets get requests.
pub(super) fn permit_of(record: &RolloutRecord) -> Permit {
    let (from, target) = (record.from.clone(), record.target.clone());
    match record.phase {
        Phase::Canary => Permit::Canary { from, target },
        Phase::Shifting => Permit::Prefer { target, from },
        Phase::Completed => Permit::Only(target),
        Phase::RolledBack => Permit::Only(from),
    }
}
