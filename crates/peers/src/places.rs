//! Directory of the locations of requests for which this host is the home.

use {
    crate::place::{Location, RequestKey, Reservation},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, hash_map::Entry},
        hash::{BuildHasher, RandomState},
        time::{Duration, Instant},
    },
    tealshore_core::clock,
};

/// Number of shards; each has its own lock.
const SHARDS: usize = 16;

/// Limits of a [`LocationDirectory`].
#[derive(Clone, Copy, Debug)]
pub struct LocationDirectoryOptions {
    /// How long a location is kept after its last update.
    pub lifetime: Duration,
    /// Maximum number of locations in all shards; beyond it, reservations are not stored.
    pub max_locations: usize,
}

impl Default for LocationDirectoryOptions {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            max_locations: 100_000,
        }
    }
}

struct LocationEntry {
    location: Location,
    updated_at: Instant,
}

type Shard = HashMap<RequestKey, LocationEntry>;

/// The locations of requests by key, in shards.
pub struct LocationDirectory {
    options: LocationDirectoryOptions,
    hasher: RandomState,
    shards: Vec<Mutex<Shard>>,
}

impl LocationDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(options: LocationDirectoryOptions) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self {
            options,
            hasher: RandomState::new(),
            shards,
        }
    }

    /// Stores the location of a request unless it has one.
    pub fn reserve(&self, key: RequestKey, location: Location) -> Reservation {
        let mut shard = self.shard(&key).lock();
        self.evict_expired(&mut shard);
        let is_full = shard.len() >= self.options.max_locations / SHARDS;
        match shard.entry(key) {
            Entry::Occupied(known) => Reservation::Existing(known.get().location.clone()),
            Entry::Vacant(free) => {
                if !is_full {
                    free.insert(LocationEntry {
                        location,
                        updated_at: clock::now(),
                    });
                }
                Reservation::Reserved
            }
        }
    }

    /// The location of a request.
    #[must_use]
    pub fn find(&self, key: &RequestKey) -> Option<Location> {
        self.shard(key)
            .lock()
            .get(key)
            .map(|stored| stored.location.clone())
    }

    /// Marks a request as cancelled by the customer and returns its location.
    pub fn cancel(&self, key: &RequestKey) -> Option<Location> {
        let mut shard = self.shard(key).lock();
        let stored = shard.get_mut(key)?;
        stored.location.cancelled = true;
        Some(stored.location.clone())
    }

    /// Updates the location of a request. An earlier attempt never replaces a later one of the same
    /// generation, and a cancelled generation stays cancelled. A different generation replaces the
    /// stored one.
    pub fn update(&self, key: RequestKey, mut location: Location) {
        let mut shard = self.shard(&key).lock();
        if let Some(known) = shard.get(&key)
            && known.location.generation == location.generation
        {
            if known.location.attempt > location.attempt {
                return;
            }
            location.cancelled |= known.location.cancelled;
        }
        shard.insert(
            key,
            LocationEntry {
                location,
                updated_at: clock::now(),
            },
        );
    }

    /// Number of stored locations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether no location is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, key: &RequestKey) -> &Mutex<Shard> {
        let hash = self.hasher.hash_one(key);
        &self.shards[usize::try_from(hash % SHARDS as u64).unwrap_or(0)]
    }

    /// Removes expired locations once the shard is at least half full.
    fn evict_expired(&self, shard: &mut Shard) {
        let lifetime = self.options.lifetime;
        let is_large = shard.len() >= self.options.max_locations / SHARDS / 2;
        let is_expired = |stored: &LocationEntry| clock::elapsed(stored.updated_at) >= lifetime;
        if is_large {
            shard.retain(|_, stored| !is_expired(stored));
        }
    }
}
