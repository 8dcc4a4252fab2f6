//! Counts of good and bad answers of the two versions of a service, by route and upstream.

use {
    super::{outcome::Quality, turns::MAX_CANARY_UPSTREAMS},
    crate::edge::Revision,
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{EngineId, ServiceId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of answers of a version, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers. A tally of losses counts all sends here.
    pub answers: u32,
    /// Answers that failed or took much longer than usual. A tally of losses counts lost sends here.
    pub bad: u32,
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// Bad answers beyond the number expected at the rate of `other`.
    fn excess_over(self, other: Self) -> u32 {
        let (answers, bad) = (u64::from(other.answers), u64::from(other.bad));
        let expected = (u64::from(self.answers) * bad).div_ceil(answers.max(1));
        self.bad
            .saturating_sub(u32::try_from(expected).unwrap_or(u32::MAX))
    }
}

/// Hash of a route's name. Names can be long, so hosts exchange this key instead.
pub type RouteKey = u32;

/// Key that groups all routes that are not tracked separately.
const OTHER_ROUTES_KEY: RouteKey = 0;
/// Key of the tally of losses, which counts the sends of all routes, with lost ones as bad. Losses are kept apart from
/// answers: those caused by dying upstreams would hide how often a version fails.
const LOSSES_KEY: RouteKey = RouteKey::MAX;
/// Routes that are tracked separately; all others are grouped. A datagram has room for few routes, so a service with
/// more is evaluated by the first ones seen.
pub const MAX_TRACKED_ROUTES: usize = 6;

/// Upstreams of the target version that are tracked separately. This is twice the number that receive canaries, since
/// some die and others replace them.
const MAX_TRACKED_UPSTREAMS: usize = 2 * MAX_CANARY_UPSTREAMS;

/// Returns the key of a route.
#[must_use]
pub fn route_key(name: &str) -> RouteKey {
    let short = xxh3_64(name.as_bytes()) & u64::from(RouteKey::MAX);
    let key = RouteKey::try_from(short).unwrap_or_default();
    key.clamp(OTHER_ROUTES_KEY + 1, LOSSES_KEY - 1)
}

/// Tallies by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTallies(Vec<(RouteKey, Tally)>);

impl RouteTallies {
    /// Adds answers to the tally of a route.
    fn add_to_route(&mut self, route: RouteKey, answers: Tally) {
        match self.0.iter_mut().find(|(key, _)| *key == route) {
            Some((_, tally)) => tally.add(answers),
            None => self.0.push((route, answers)),
        }
    }

    /// Returns the tally of a route.
    #[must_use]
    pub fn of(&self, route: RouteKey) -> Tally {
        let found = self.0.iter().find(|(key, _)| *key == route);
        found.map(|(_, tally)| *tally).unwrap_or_default()
    }

    /// Sum over all routes, without lost sends.
    #[must_use]
    pub fn sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in self.0.iter().filter(|(key, _)| *key != LOSSES_KEY) {
            sum.add(*tally);
        }
        sum
    }

    /// Tally of losses: all sends, with lost ones as bad.
    #[must_use]
    pub fn losses(&self) -> Tally {
        self.of(LOSSES_KEY)
    }

    /// Sum over all routes, with lost sends as bad answers.
    #[must_use]
    pub fn sum_with_losses(&self) -> Tally {
        let lost = self.losses().bad;
        let mut sum = self.sum();
        sum.add(Tally {
            answers: lost,
            bad: lost,
        });
        sum
    }
}

/// Returns the increments for one send: to the tally of its route if it was answered, and to the tally of losses.
fn tally_entries(route: RouteKey, quality: Quality) -> impl Iterator<Item = (RouteKey, Tally)> {
    let one = |is_bad: bool| Tally {
        answers: 1,
        bad: u32::from(is_bad),
    };
    let is_lost = quality == Quality::Lost;
    let answer = (!is_lost).then(|| (route, one(quality.is_bad())));
    answer.into_iter().chain([(LOSSES_KEY, one(is_lost))])
}

/// Evidence gathered since an order was given, by one host or by several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Version of the order's row.
    pub order: Revision,
    /// Tallies of the serving version. Contains an entry for each tracked route.
    from: RouteTallies,
    /// Tallies of the target version by upstream, so that one bad upstream is not taken for a bad version. Upstreams
    /// that are not tracked separately share the entry with an empty name.
    target: Vec<(EngineId, RouteTallies)>,
}

/// Name of the entry for upstreams that are not tracked separately.
const OTHER_UPSTREAMS: &str = "";

impl Evidence {
    /// Creates empty evidence for an order.
    #[must_use]
    pub fn new(order: Revision) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Records one send to the serving version.
    pub fn record_serving(&mut self, route: RouteKey, quality: Quality) {
        for (key, one) in tally_entries(route, quality) {
            self.add_serving(key, one);
        }
    }

    /// Records one send to an upstream of the target version.
    pub fn record_target(&mut self, upstream: &EngineId, route: RouteKey, quality: Quality) {
        for (key, one) in tally_entries(route, quality) {
            self.add_target(upstream, key, one);
        }
    }

    /// Adds answers of the serving version.
    pub fn add_serving(&mut self, route: RouteKey, answers: Tally) {
        let route = self.tracked_key(route);
        self.from.add_to_route(route, answers);
    }

    /// Adds answers of an upstream of the target version.
    pub fn add_target(&mut self, upstream: &EngineId, route: RouteKey, answers: Tally) {
        let route = self.tracked_key(route);
        let is_known = self.target.iter().any(|(id, _)| id == upstream);
        let name = if is_known || self.target.len() < MAX_TRACKED_UPSTREAMS {
            upstream
        } else {
            OTHER_UPSTREAMS
        };
        match self.target.iter_mut().find(|(id, _)| id == name) {
            Some((_, tallies)) => tallies.add_to_route(route, answers),
            None => {
                let tallies = RouteTallies(vec![(route, answers)]);
                self.target.push((name.to_owned(), tallies));
            }
        }
    }

    /// Adds evidence from another host. Ignores evidence that belongs to another order.
    pub fn add(&mut self, other: &Self) {
        if self.order != other.order {
            return;
        }
        for (route, answers) in &other.from.0 {
            self.add_serving(*route, *answers);
        }
        for (upstream, tallies) in &other.target {
            for (route, answers) in &tallies.0 {
                self.add_target(upstream, *route, *answers);
            }
        }
    }

    /// Keys of the tracked routes, and the key of the grouped routes if there are any.
    pub fn routes(&self) -> impl Iterator<Item = RouteKey> + '_ {
        let keys = self.from.0.iter().map(|(route, _)| *route);
        keys.filter(|key| *key != LOSSES_KEY)
    }

    /// Tallies of the serving version.
    #[must_use]
    pub fn serving(&self) -> &RouteTallies {
        &self.from
    }

    /// Tallies of each tracked upstream of the target version.
    pub fn target(&self) -> impl Iterator<Item = &RouteTallies> {
        let tracked = self.target.iter().filter(|(id, _)| id != OTHER_UPSTREAMS);
        tracked.map(|(_, tallies)| tallies)
    }

    /// Tallies of the target's upstreams that are not tracked separately.
    pub fn untracked_targets(&self) -> impl Iterator<Item = &RouteTallies> {
        let others = self.target.iter().filter(|(id, _)| id == OTHER_UPSTREAMS);
        others.map(|(_, tallies)| tallies)
    }

    /// Bad answers of the target version, plus its losses beyond those expected from the loss rate of the serving
    /// version. When a hall dies, upstreams of both versions are lost.
    #[must_use]
    pub fn bad_answers(&self) -> u32 {
        let mut answers = Tally::default();
        let mut losses = Tally::default();
        for (_, tallies) in &self.target {
            answers.add(tallies.sum());
            losses.add(tallies.losses());
        }
        let excess = losses.excess_over(self.from.losses());
        answers.bad.saturating_add(excess)
    }

    /// Number of recorded sends to both versions, answered or lost.
    #[must_use]
    pub fn sends(&self) -> u32 {
        let serving = self.from.sum_with_losses().answers;
        serving.saturating_add(self.target_sum().answers)
    }

    /// Sum over all upstreams of the target version, with lost sends as bad answers.
    #[must_use]
    pub fn target_sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tallies) in &self.target {
            sum.add(tallies.sum_with_losses());
        }
        sum
    }

    /// Returns the key under which a route is counted, and adds the key to the tracked routes if there is room. Both
    /// versions use the same keys.
    fn tracked_key(&mut self, route: RouteKey) -> RouteKey {
        if route == LOSSES_KEY {
            return LOSSES_KEY;
        }
        let is_tracked = |key: RouteKey| key != OTHER_ROUTES_KEY;
        let has_room = self.routes().filter(|key| is_tracked(*key)).count() < MAX_TRACKED_ROUTES;
        let key = if has_room || self.routes().any(|known| known == route) {
            route
        } else {
            OTHER_ROUTES_KEY
        };
        if !self.routes().any(|known| known == key) {
            self.from.add_to_route(key, Tally::default());
        }
        key
    }
}

/// Bad answers of an order's target version, as known to one host. The largest count that any host reports is used: a
/// host that has just started lacks what hosts that are gone had seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadAnswers {
    /// The service that is rolled out.
    pub service: ServiceId,
    /// Version of the order's row.
    pub order: Revision,
    /// Bad answers summed over all hosts.
    pub count: u32,
}
