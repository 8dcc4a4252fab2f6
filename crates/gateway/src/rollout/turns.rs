//! Which upstreams of a version that is tried get its requests.

use {
    crate::{edge::StoreTime, view::Upstream},
    std::{sync::Arc, time::Duration},
};

/// Upstreams of a version that is tried take all of its requests in turn, as many at once as its
/// share of the requests is for, each for so long: then they have about the load that all will
/// have, and faults under load show.
const ROTATION_INTERVAL: Duration = Duration::from_millis(500);
/// How many upstreams take rotation at least: enough that one that is bad by itself is outvoted.
const MIN_CANARY_UPSTREAMS: usize = 3;
/// The most that do: what answers told of each one travels between hosts.
pub const MAX_CANARY_UPSTREAMS: usize = 12;

/// Who gets the requests of a version that is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryRotation {
    /// How many of its upstreams take rotation.
    pub members: usize,
    /// How many of these have their turn at once.
    pub active: usize,
}

impl CanaryRotation {
    /// Of so many upstreams, at the share of the requests that the version gets. Fewer would have a
    /// load that none will have: prompts would wait for each other, and a good version seem slow.
    #[must_use]
    pub fn new(upstreams: usize, share: f64) -> Self {
        let all = f64::from(u32::try_from(upstreams).unwrap_or(u32::MAX));
        let fits =
            |count: &usize| f64::from(u32::try_from(*count).unwrap_or(u32::MAX)) <= all * share;
        let share_of_all = (1..=MAX_CANARY_UPSTREAMS).take_while(fits).count();
        Self {
            members: share_of_all.max(MIN_CANARY_UPSTREAMS).min(upstreams),
            active: share_of_all.max(1).min(upstreams),
        }
    }
}

/// Of the upstreams of a version that is tried, those whose turn it is; all that take rotation while
/// the store's time is not known.
pub(super) fn active_upstreams(
    mut upstreams: Vec<Arc<Upstream>>,
    share: f64,
    now: Option<StoreTime>,
) -> Vec<Arc<Upstream>> {
    let rotation = CanaryRotation::new(upstreams.len(), share);
    upstreams.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    upstreams.truncate(rotation.members);
    let (Some(now), false) = (now, upstreams.is_empty()) else {
        return upstreams;
    };
    let turn = now.as_millis() / ROTATION_INTERVAL.as_millis();
    let first = usize::try_from(turn % upstreams.len() as u128).unwrap_or_default();
    upstreams.rotate_left(first);
    upstreams.truncate(rotation.active);
    upstreams
}
