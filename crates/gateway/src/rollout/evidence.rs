//! What answers told of two versions of a service.

use {
    super::{outcome::Quality, turns::MAX_CANARY_UPSTREAMS},
    crate::edge::Revision,
    serde::{Deserialize, Serialize},
    tealshore_core::ids::{EngineId, ServiceId},
    xxhash_rust::xxh3::xxh3_64,
};

/// How often a version was answered, and how often badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, and sends that were lost.
    pub answers: u32,
    /// Those that failed, or came much later than usual.
    pub bad: u32,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// How many more are bad than there would be at the rate of another tally.
    fn excess_over(self, other: Self) -> u32 {
        let (answers, bad) = (u64::from(other.answers), u64::from(other.bad));
        let expected = (u64::from(self.answers) * bad).div_ceil(answers.max(1));
        self.bad
            .saturating_sub(u32::try_from(expected).unwrap_or(u32::MAX))
    }
}

/// Stands for a route's name in what hosts tell each other: names may be long.
pub type RouteKey = u32;

/// All routes that are not told apart.
const OTHER_ROUTES_KEY: RouteKey = 0;
/// The sends of all routes, of which the lost ones are bad. Losses are told apart from answers: those of
/// upstreams that die would hide how often a version fails.
const LOSSES_KEY: RouteKey = RouteKey::MAX;
/// Routes that are told apart, and all others together: a datagram has room for few, and a service
/// with more of them is judged by those that were seen first.
pub const MAX_TRACKED_ROUTES: usize = 6;

/// Upstreams of a tried version that are told apart, twice as many as take its requests in turns: some die and
/// others take their place.
const MAX_TRACKED_UPSTREAMS: usize = 2 * MAX_CANARY_UPSTREAMS;

/// The key of a route.
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
    /// Adds answers of a route.
    fn add_to_route(&mut self, route: RouteKey, answers: Tally) {
        match self.0.iter_mut().find(|(key, _)| *key == route) {
            Some((_, tally)) => tally.add(answers),
            None => self.0.push((route, answers)),
        }
    }

    /// The answers of a route.
    #[must_use]
    pub fn of(&self, route: RouteKey) -> Tally {
        let found = self.0.iter().find(|(key, _)| *key == route);
        found.map(|(_, tally)| *tally).unwrap_or_default()
    }

    /// The sum over all routes, without answers that were lost.
    #[must_use]
    pub fn sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in self.0.iter().filter(|(key, _)| *key != LOSSES_KEY) {
            sum.add(*tally);
        }
        sum
    }

    /// All sends, of which the lost ones are bad.
    #[must_use]
    pub fn losses(&self) -> Tally {
        self.of(LOSSES_KEY)
    }

    /// The sum over all routes, with answers that were lost.
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

/// What one send adds to the tallies: to that of its route, where it was answered, and to losses.
fn tally_entries(route: RouteKey, quality: Quality) -> impl Iterator<Item = (RouteKey, Tally)> {
    let one = |is_bad: bool| Tally {
        answers: 1,
        bad: u32::from(is_bad),
    };
    let is_lost = quality == Quality::Lost;
    let answer = (!is_lost).then(|| (route, one(quality.is_bad())));
    answer.into_iter().chain([(LOSSES_KEY, one(is_lost))])
}

/// What answers told since an order, on one host or on several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The version of the order's row.
    pub order: Revision,
    /// Of the version that serves. It lists each route that is told apart.
    from: RouteTallies,
    /// Of the version that is tried, by upstream: one bad upstream does not make a bad version.
    /// All that are not told apart go by an empty name.
    target: Vec<(EngineId, RouteTallies)>,
}

/// Stands for the upstreams that are not told apart.
const OTHER_UPSTREAMS: &str = "";

impl Evidence {
    /// No evidence yet.
    #[must_use]
    pub fn new(order: Revision) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Adds one send to the version that serves.
    pub fn record_serving(&mut self, route: RouteKey, quality: Quality) {
        for (key, one) in tally_entries(route, quality) {
            self.add_serving(key, one);
        }
    }

    /// Adds one send to an upstream of the version that is tried.
    pub fn record_target(&mut self, upstream: &EngineId, route: RouteKey, quality: Quality) {
        for (key, one) in tally_entries(route, quality) {
            self.add_target(upstream, key, one);
        }
    }

    /// Adds answers of the version that serves.
    pub fn add_serving(&mut self, route: RouteKey, answers: Tally) {
        let route = self.tracked_key(route);
        self.from.add_to_route(route, answers);
    }

    /// Adds answers of the version that is tried.
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

    /// Adds what another host saw of the same roll-out; that of another order is left out.
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

    /// The routes that are told apart, and the key of all others if there are any.
    pub fn routes(&self) -> impl Iterator<Item = RouteKey> + '_ {
        let keys = self.from.0.iter().map(|(route, _)| *route);
        keys.filter(|key| *key != LOSSES_KEY)
    }

    /// The answers of the version that serves.
    #[must_use]
    pub fn serving(&self) -> &RouteTallies {
        &self.from
    }

    /// The answers of each upstream of the version that is tried which is told apart.
    pub fn target(&self) -> impl Iterator<Item = &RouteTallies> {
        let tracked = self.target.iter().filter(|(id, _)| id != OTHER_UPSTREAMS);
        tracked.map(|(_, tallies)| tallies)
    }

    /// The answers of all other upstreams of that version.
    pub fn untracked_targets(&self) -> impl Iterator<Item = &RouteTallies> {
        let others = self.target.iter().filter(|(id, _)| id == OTHER_UPSTREAMS);
        others.map(|(_, tallies)| tallies)
    }

    /// The bad answers of the version that is tried, with the losses that are more than those of the version that serves
    /// explain: where a hall dies, upstreams of both end.
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

    /// How many sends it tells of, answered or lost.
    #[must_use]
    pub fn sends(&self) -> u32 {
        let serving = self.from.sum_with_losses().answers;
        serving.saturating_add(self.target_sum().answers)
    }

    /// The sum over the upstreams of the version that is tried, with answers that were lost.
    #[must_use]
    pub fn target_sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tallies) in &self.target {
            sum.add(tallies.sum_with_losses());
        }
        sum
    }

    /// The key under which a route is counted, for both versions alike.
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

/// How many bad answers of the version that an order tries a host knows of. The largest that any host
/// knows counts: a host that starts has not heard what processes saw that are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadAnswers {
    /// The service.
    pub service: ServiceId,
    /// The version of the order's row.
    pub order: Revision,
    /// The bad answers of all hosts.
    pub count: u32,
}
