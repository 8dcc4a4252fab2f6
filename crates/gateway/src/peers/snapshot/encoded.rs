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
pub struct SnapshotCache(Mutex<HashMap<String, Encoded>>);

struct Encoded {
    since: Instant,
    bytes: Bytes,
}

impl SnapshotCache {
    /// Returns the response to a request from the cache, or encodes it; `None` if `encode` returns none.
    pub fn get_or_encode(
        &self,
        asked: &str,
        now: Instant,
        encode: impl FnOnce() -> Option<Bytes>,
    ) -> Option<Bytes> {
        let mut encoded = self.0.lock();
        encoded.retain(|_, it| now.saturating_duration_since(it.since) < SNAPSHOT_CACHE_TIME);
        if let Some(known) = encoded.get(asked) {
            return Some(known.bytes.clone());
        }
        let bytes = encode()?;
        let entry = Encoded {
            since: now,
            bytes: bytes.clone(),
        };
        encoded.insert(asked.to_owned(), entry);
        Some(bytes)
    }
}
