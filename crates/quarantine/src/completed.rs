//! Requests that got whole answers a short time ago: they crash nothing.

use {
    std::{
        collections::{HashMap, VecDeque},
        time::{Duration, Instant},
    },
    tealshore_core::ids::Fingerprint,
};

/// For how long a whole answer outweighs a crash. A request that many ask for is answered far more often
/// than that, and runs on each engine that ends.
const EXONERATION_PERIOD: Duration = Duration::from_secs(60);
/// The most answers that are remembered: some 100 kB.
const MAX_ANSWERS: usize = 4_096;

/// Requests that got whole answers a short time ago.
#[derive(Debug, Default)]
pub struct Completed {
    newest: HashMap<Fingerprint, Instant>,
    order: VecDeque<(Fingerprint, Instant)>,
}

impl Completed {
    /// Notes a whole answer.
    pub fn note(&mut self, request: Fingerprint, now: Instant) {
        self.newest.insert(request, now);
        self.order.push_back((request, now));
        while self.order.len() > MAX_ANSWERS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((request, at)) = self.order.pop_front() else {
            return;
        };
        if self.newest.get(&request) == Some(&at) {
            self.newest.remove(&request);
        }
    }

    /// Whether a request got a whole answer a short time before a moment, or since.
    #[must_use]
    pub fn outweighs_crash_at(&self, request: Fingerprint, moment: Instant) -> bool {
        let answered = self.newest.get(&request);
        answered.is_some_and(|at| moment.saturating_duration_since(*at) < EXONERATION_PERIOD)
    }
}
