//! Which upstreams of a version that is tried get its requests.

use {
    crate::{edge::StoreTime, view::Upstream},
    std::{sync::Arc, time::Duration},
};

/// Upstreams of a version that is tried take all of its requests in turn, as many at once as its
/// share of the requests is for, each for so long: then they have about the load that all will
/// have, and faults under load show.
const TURN: Duration = Duration::from_millis(500);
/// How many upstreams take turns at least: enough that one that is bad by itself is outvoted.
const LEAST_TAKERS: usize = 3;
/// The most that do: what answers told of each one travels between hosts.
pub const MOST_TAKERS: usize = 12;

/// Who gets the requests of a version that is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    /// How many of its upstreams take turns.
    pub takers: usize,
    /// How many of these have their turn at once.
    pub at_once: usize,
}

impl Turns {
    /// Of so many upstreams, at the share of the requests that the version gets. Fewer would have a
    /// load that none will have: prompts would wait for each other, and a good version seem slow.
    #[must_use]
    pub fn of(upstreams: usize, share: f64) -> Self {
        let all = f64::from(u32::try_from(upstreams).unwrap_or(u32::MAX));
        let fits =
            |count: &usize| f64::from(u32::try_from(*count).unwrap_or(u32::MAX)) <= all * share;
        let share_of_all = (1..=MOST_TAKERS).take_while(fits).count();
        Self {
            takers: share_of_all.max(LEAST_TAKERS).min(upstreams),
            at_once: share_of_all.max(1).min(upstreams),
        }
    }
}

/// Of the upstreams of a version that is tried, those whose turn it is; all that take turns while
/// the store's time is not known.
pub(super) fn turn_takers(
    mut upstreams: Vec<Arc<Upstream>>,
    share: f64,
    now: Option<StoreTime>,
) -> Vec<Arc<Upstream>> {
    let turns = Turns::of(upstreams.len(), share);
    upstreams.sort_by(|a, b| a.record.id.cmp(&b.record.id));
    upstreams.truncate(turns.takers);
    let (Some(now), false) = (now, upstreams.is_empty()) else {
        return upstreams;
    };
    let turn = now.as_millis() / TURN.as_millis();
    let first = usize::try_from(turn % upstreams.len() as u128).unwrap_or_default();
    upstreams.rotate_left(first);
    upstreams.truncate(turns.at_once);
    upstreams
}
