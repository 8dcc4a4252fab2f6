//! The rate limits that upstreams advertise, learned from their answers and from other hosts.

use {
    crate::AdvertisedLimit,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{EngineId, StartTime},
};

/// How long a limit also applies to another incarnation with the same id. Answers do not say which incarnation
/// sent them, and the row of a new incarnation arrives later than its first answers.
const RESTART_OVERLAP: Duration = Duration::from_secs(2);
/// How long the removal of a limit is remembered and shared. No older update of another host is still on its
/// way after that.
const REMOVAL_TTL: Duration = Duration::from_secs(10);
/// The maximum number of upstreams, which is more than the largest fleet lists at once. Beyond it, the limit
/// with the oldest information is dropped.
pub const MAX_UPSTREAMS: usize = 8_192;

/// A limit or its removal, as hosts send it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The upstream's id.
    pub upstream: EngineId,
    /// The upstream's incarnation.
    pub born: StartTime,
    /// How many requests per second the upstream accepts from all hosts together; none if it no longer
    /// advertises a limit.
    pub per_s: Option<f64>,
    /// The age of the answer that this information comes from, in milliseconds.
    pub age_ms: u32,
}

/// How an answer changed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, in requests per second.
    pub before: Option<f64>,
    /// The limit now, in requests per second.
    pub now: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    born: StartTime,
    per_s: Option<f64>,
    /// When the newest answer with this information arrived, at this host or at the host that shared it.
    stated_at: Instant,
}

/// The limits that upstreams advertise, as far as this host knows.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: HashMap<EngineId, LimitRecord>,
}

impl KnownLimits {
    /// Processes the limit in an answer to a request that was sent at `sent`, and returns what changed. An
    /// answer without a limit removes the known one only if its request was sent after that limit was last
    /// advertised, because answers can overtake each other.
    pub fn record_answer(
        &mut self,
        id: &EngineId,
        born: StartTime,
        named: AdvertisedLimit,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let before = self.known.get(id).copied();
        let per_s = match (named, before) {
            (AdvertisedLimit::Unreadable, _) | (AdvertisedLimit::No, None) => return None,
            (AdvertisedLimit::No, Some(known)) if sent <= known.stated_at => return None,
            (AdvertisedLimit::No, Some(LimitRecord { per_s: None, .. })) => return None,
            (AdvertisedLimit::No, Some(_)) => None,
            (AdvertisedLimit::PerSecond(per_s), _) => Some(per_s),
        };
        let same_incarnation = before.filter(|known| known.born == born);
        let per_s_before = same_incarnation.and_then(|known| known.per_s);
        self.put(
            id,
            LimitRecord {
                born,
                per_s,
                stated_at: now,
            },
            now,
        );
        (per_s_before != per_s).then_some(LimitChange {
            before: per_s_before,
            now: per_s,
        })
    }

    /// Merges an update from another host. Returns whether the limit or its incarnation changed.
    pub fn merge(&mut self, update: &LimitUpdate, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(update.age_ms));
        let Some(stated_at) = now.checked_sub(age) else {
            return false;
        };
        let is_valid = update
            .per_s
            .is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
        let before = self.known.get(&update.upstream);
        if !is_valid || before.is_some_and(|before| before.stated_at >= stated_at) {
            return false;
        }
        let has_changed = before.map_or(update.per_s.is_some(), |before| {
            (before.born, before.per_s) != (update.born, update.per_s)
        });
        let known = LimitRecord {
            born: update.born,
            per_s: update.per_s,
            stated_at,
        };
        self.put(&update.upstream, known, now);
        has_changed
    }

    /// Returns how many requests per second an incarnation of an upstream accepts from all hosts together, or
    /// none if no limit applies.
    #[must_use]
    pub fn per_s(&self, id: &EngineId, born: StartTime, now: Instant) -> Option<f64> {
        let known = self.known.get(id)?;
        let age = now.saturating_duration_since(known.stated_at);
        let binds = known.born == born || age < RESTART_OVERLAP;
        known.per_s.filter(|_| binds)
    }

    /// Returns the update about one upstream for other hosts.
    #[must_use]
    pub fn update_for(&self, id: &EngineId, now: Instant) -> Option<LimitUpdate> {
        let known = self.known.get(id)?;
        Some(known.update(id, now))
    }

    /// Returns all updates for other hosts.
    #[must_use]
    pub fn updates(&self, now: Instant) -> Vec<LimitUpdate> {
        let all = self.known.iter();
        let shareable = all.filter(|(_, known)| known.is_shareable(now));
        shareable.map(|(id, known)| known.update(id, now)).collect()
    }

    /// Returns whether nothing is known of any upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops upstreams that are no longer listed, and removals that all hosts have received by now.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool, now: Instant) {
        self.known
            .retain(|id, known| is_listed(id) && known.is_shareable(now));
    }

    fn put(&mut self, id: &EngineId, known: LimitRecord, now: Instant) {
        if self.known.len() >= MAX_UPSTREAMS && !self.known.contains_key(id) {
            self.make_room(now);
        }
        self.known.insert(id.clone(), known);
    }

    fn make_room(&mut self, now: Instant) {
        self.known.retain(|_, known| known.is_shareable(now));
        if self.known.len() < MAX_UPSTREAMS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| known.stated_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.known.remove(&id);
        }
    }
}

impl LimitRecord {
    fn is_shareable(&self, now: Instant) -> bool {
        self.per_s.is_some() || now.saturating_duration_since(self.stated_at) < REMOVAL_TTL
    }

    fn update(&self, id: &EngineId, now: Instant) -> LimitUpdate {
        LimitUpdate {
            upstream: id.clone(),
            born: self.born,
            per_s: self.per_s,
            age_ms: self.age_ms(now),
        }
    }

    fn age_ms(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.stated_at).as_millis();
        u32::try_from(age).unwrap_or(u32::MAX)
    }
}
