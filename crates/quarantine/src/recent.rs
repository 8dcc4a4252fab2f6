//! A bounded record of when something last happened, by key.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::Instant,
};

/// The latest moment of each key; of the recorded moments, the newest `MAX` are kept.
#[derive(Debug)]
pub(crate) struct RecentMoments<K, const MAX: usize> {
    newest: HashMap<K, Instant>,
    order: VecDeque<(K, Instant)>,
}

impl<K, const MAX: usize> Default for RecentMoments<K, MAX> {
    fn default() -> Self {
        Self {
            newest: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, const MAX: usize> RecentMoments<K, MAX> {
    /// Records that it happened now.
    pub(crate) fn record(&mut self, key: K, now: Instant) {
        self.newest.insert(key, now);
        self.order.push_back((key, now));
        while self.order.len() > MAX {
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

    /// Returns when it last happened, if that is remembered.
    pub(crate) fn last(&self, key: K) -> Option<Instant> {
        self.newest.get(&key).copied()
    }
}
