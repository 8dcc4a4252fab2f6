//! When answers last began on each part.

use {
    super::{PartId, RuntimeId},
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// How long before a crash an answer may have begun on a part for the part to be an unlikely cause.
const RECENT_BEGIN: Duration = Duration::from_secs(60);
/// The maximum number of remembered begins; they take about 300 kB.
const MAX_BEGINS: usize = 4_096;

type Key = (PartId, RuntimeId);

/// When this host last saw an answer begin on each part.
#[derive(Debug, Default)]
pub(super) struct Begins {
    newest: HashMap<Key, Instant>,
    order: VecDeque<(Key, Instant)>,
}

impl Begins {
    /// Records that an answer began.
    pub fn record(&mut self, part: PartId, runtime: RuntimeId, now: Instant) {
        let key = (part, runtime);
        self.newest.insert(key, now);
        self.order.push_back((key, now));
        while self.order.len() > MAX_BEGINS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((key, at)) = self.order.pop_front() else {
            return;
        };
        if self.newest.get(&key) == Some(&at) {
            self.newest.remove(&key);
        }
    }

    /// Returns whether an answer began at this moment or later.
    pub fn is_begun_since(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let newest = self.newest.get(&(part, runtime));
        newest.is_some_and(|at| *at >= moment)
    }

    /// Returns whether an answer began shortly before this moment.
    pub fn is_begun_before(&self, part: PartId, runtime: RuntimeId, moment: Instant) -> bool {
        let newest = self.newest.get(&(part, runtime));
        newest.is_some_and(|at| moment.saturating_duration_since(*at) <= RECENT_BEGIN)
    }
}
