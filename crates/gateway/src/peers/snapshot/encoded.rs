//! Cache of encoded snapshots, for many hosts that ask at the same time.

use {
    bytes::Bytes,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long an encoded snapshot is reused. All hosts of a hall ask for a changed set within this time.
pub const SNAPSHOT_CACHE_TIME: Duration = Duration::from_millis(100);

/// Encoded responses by request path and query. The bytes are shared, so a response to many hosts is encoded and held
/// in memory once.
#[derive(Default)]
pub struct SnapshotCache(Mutex<HashMap<String, CachedSnapshot>>);

struct CachedSnapshot {
    created: Instant,
    bytes: Bytes,
}

impl SnapshotCache {
    /// Returns the response to a request from the cache, or encodes it; `None` if `encode` returns none.
    pub fn get_or_encode(
        &self,
        path_and_query: &str,
        now: Instant,
        encode: impl FnOnce() -> Option<Bytes>,
    ) -> Option<Bytes> {
        let mut snapshots = self.0.lock();
        snapshots
            .retain(|_, entry| now.saturating_duration_since(entry.created) < SNAPSHOT_CACHE_TIME);
        if let Some(cached) = snapshots.get(path_and_query) {
            return Some(cached.bytes.clone());
        }
        let bytes = encode()?;
        let entry = CachedSnapshot {
            created: now,
            bytes: bytes.clone(),
        };
        snapshots.insert(path_and_query.to_owned(), entry);
        Some(bytes)
    }
}
