//! Selects the upstreams of the target version that receive canaries.

use {
    crate::{edge::StoreTime, view::Upstream},
    std::{sync::Arc, time::Duration},
};

/// Time for which an upstream receives canaries before the next one takes over. At any time, as
/// many upstreams receive canaries as the target's share of the requests corresponds to. Each then
/// has about the load it would have after the roll-out, so that faults under load show.
const ROTATION_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of upstreams in the rotation. Three are enough to outvote a single faulty one.
const MIN_CANARY_UPSTREAMS: usize = 3;
/// Maximum number of upstreams in the rotation. It is bounded as hosts exchange evidence about
/// each one.
pub const MAX_CANARY_UPSTREAMS: usize = 12;

/// Number of upstreams that receive canaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryRotation {
    /// Upstreams in the rotation.
    pub members: usize,
    /// Upstreams of the rotation that receive canaries at the same time.
    pub active: usize,
}

impl CanaryRotation {
    /// Sizes the rotation for the number of upstreams and the target's share of the requests. With
    /// fewer active upstreams, each would get more load than after the roll-out: prompts would
    /// queue, and a good version would seem slow.
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

/// Returns the upstreams that receive canaries now, or the whole rotation if the store's time is
/// not known.
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
