//! The places of requests for which this host is the home.

use {
    crate::place::{Place, PlaceKey, Reservation},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, hash_map::Entry},
        hash::{BuildHasher, RandomState},
        time::{Duration, Instant},
    },
};

/// How many shards there are; each has its own lock.
const SHARDS: usize = 16;

/// The bounds of the book.
#[derive(Clone, Copy, Debug)]
pub struct PlaceBookOptions {
    /// How long a place is kept after it was last told.
    pub lifetime: Duration,
    /// The most places in all; beyond, new ones are not noted.
    pub max_places: usize,
}

impl Default for PlaceBookOptions {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            max_places: 100_000,
        }
    }
}

struct NotedPlace {
    place: Place,
    noted_at: Instant,
}

type Shard = HashMap<PlaceKey, NotedPlace>;

/// The places, in shards.
pub struct PlaceBook {
    options: PlaceBookOptions,
    hasher: RandomState,
    shards: Vec<Mutex<Shard>>,
}

impl PlaceBook {
    /// An empty book.
    #[must_use]
    pub fn new(options: PlaceBookOptions) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            options,
            hasher: RandomState::new(),
            shards,
        }
    }

    /// Notes the place of a request unless it has one.
    pub fn reserve(&self, key: PlaceKey, place: Place) -> Reservation {
        let mut shard = self.shard(&key).lock();
        self.make_room(&mut shard);
        let is_full = shard.len() >= self.options.max_places / SHARDS;
        match shard.entry(key) {
            Entry::Occupied(known) => Reservation::Existing(known.get().place.clone()),
            Entry::Vacant(free) => {
                if !is_full {
                    free.insert(NotedPlace {
                        place,
                        noted_at: Instant::now(),
                    });
                }
                Reservation::Reserved
            }
        }
    }

    /// The place of a request.
    #[must_use]
    pub fn find(&self, key: &PlaceKey) -> Option<Place> {
        self.shard(key)
            .lock()
            .get(key)
            .map(|noted| noted.place.clone())
    }

    /// Notes that the customer cancelled a request; its place.
    pub fn cancel(&self, key: &PlaceKey) -> Option<Place> {
        let mut shard = self.shard(key).lock();
        let noted = shard.get_mut(key)?;
        noted.place.cancelled = true;
        Some(noted.place.clone())
    }

    /// Notes where a request runs now. Of two attempts the later one counts; another
    /// generation replaces the one before. What was cancelled stays so.
    pub fn moved(&self, key: PlaceKey, mut place: Place) {
        let mut shard = self.shard(&key).lock();
        if let Some(known) = shard.get(&key)
            && known.place.generation == place.generation
        {
            if known.place.attempt > place.attempt {
                return;
            }
            place.cancelled |= known.place.cancelled;
        }
        shard.insert(
            key,
            NotedPlace {
                place,
                noted_at: Instant::now(),
            },
        );
    }

    /// How many places are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether no place is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, key: &PlaceKey) -> &Mutex<Shard> {
        let hash = self.hasher.hash_one(key);
        &self.shards[usize::try_from(hash % SHARDS as u64).unwrap_or(0)]
    }

    /// Drops what is past its time, once the shard has grown large.
    fn make_room(&self, shard: &mut Shard) {
        let lifetime = self.options.lifetime;
        let is_large = shard.len() >= self.options.max_places / SHARDS / 2;
        let is_old = |noted: &NotedPlace| noted.noted_at.elapsed() >= lifetime;
        if is_large {
            shard.retain(|_, noted| !is_old(noted));
        }
    }
}
