//! Which limit each upstream names, by answers and by what other hosts tell of theirs.

use {
    crate::AdvertisedLimit,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tealshore_core::ids::{Born, EngineId},
};

/// How long a limit binds also towards another life under the same id. An answer names no life, and the row
/// of a new one comes later than its first answers.
const RESTART_OVERLAP: Duration = Duration::from_secs(2);
/// How long the end of a limit is remembered and told: past it no older word of another host travels.
const REMOVAL_TTL: Duration = Duration::from_secs(10);
/// How many upstreams are remembered: more than the largest fleet lists at once. Past it the word that was
/// heard longest ago is forgotten.
pub const MAX_UPSTREAMS: usize = 8_192;

/// A limit, or its end, as one host tells it to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The upstream.
    pub upstream: EngineId,
    /// Its life.
    pub born: Born,
    /// How many requests a second it takes from all hosts together; none where it no longer names a limit.
    pub per_s: Option<f64>,
    /// How long ago the answer came that said so, in milliseconds.
    pub age_ms: u32,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, in requests a second.
    pub before: Option<f64>,
    /// The limit now.
    pub now: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    born: Born,
    per_s: Option<f64>,
    /// When the newest answer came that said so, here or at the host that told of it.
    stated_at: Instant,
}

/// The limits that upstreams name, as far as this host knows.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: HashMap<EngineId, LimitRecord>,
}

impl KnownLimits {
    /// Takes in what an answer says, to a request that was sent at `sent`; what it changed. An answer without
    /// the word ends a limit only where its request was sent after the word was last heard: answers pass each
    /// other on their way.
    pub fn note_answer(
        &mut self,
        id: &EngineId,
        born: Born,
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
        let same_life = before.filter(|known| known.born == born);
        let per_s_before = same_life.and_then(|known| known.per_s);
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

    /// Takes in what another host told; whether it is news.
    pub fn merge(&mut self, news: &LimitUpdate, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(news.age_ms));
        let Some(stated_at) = now.checked_sub(age) else {
            return false;
        };
        let is_readable = news
            .per_s
            .is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
        let before = self.known.get(&news.upstream);
        if !is_readable || before.is_some_and(|before| before.stated_at >= stated_at) {
            return false;
        }
        let is_news = before.map_or(news.per_s.is_some(), |before| {
            (before.born, before.per_s) != (news.born, news.per_s)
        });
        let known = LimitRecord {
            born: news.born,
            per_s: news.per_s,
            stated_at,
        };
        self.put(&news.upstream, known, now);
        is_news
    }

    /// How many requests a second a life of an upstream takes from all hosts together; none where it
    /// names no limit.
    #[must_use]
    pub fn per_s(&self, id: &EngineId, born: Born, now: Instant) -> Option<f64> {
        let known = self.known.get(id)?;
        let age = now.saturating_duration_since(known.stated_at);
        let binds = known.born == born || age < RESTART_OVERLAP;
        known.per_s.filter(|_| binds)
    }

    /// What is known of one upstream, to tell others.
    #[must_use]
    pub fn update_for(&self, id: &EngineId, now: Instant) -> Option<LimitUpdate> {
        let known = self.known.get(id)?;
        Some(known.update(id, now))
    }

    /// All that is known, to tell others.
    #[must_use]
    pub fn updates(&self, now: Instant) -> Vec<LimitUpdate> {
        let all = self.known.iter();
        let told = all.filter(|(_, known)| known.is_shareable(now));
        told.map(|(id, known)| known.update(id, now)).collect()
    }

    /// Whether no upstream names a limit, as far as is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets upstreams that are no longer listed, and ends of limits that all have heard of.
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
