//! Encoded sets that are given to many hosts in the same moment.

use {
    bytes::Bytes,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long an encoded set is given again: all hosts of a hall ask for a changed set within this.
pub const SHARED_FOR: Duration = Duration::from_millis(100);

/// Encoded answers by what was asked. They share their bytes, so that an answer that is given to many hosts at once
/// is encoded once and held once.
#[derive(Default)]
pub struct EncodedSets(Mutex<HashMap<String, Encoded>>);

struct Encoded {
    since: Instant,
    bytes: Bytes,
}

impl EncodedSets {
    /// The answer to an ask, encoded now unless it was a moment ago; none where it can't be.
    pub fn get_or_encode(
        &self,
        asked: &str,
        now: Instant,
        encode: impl FnOnce() -> Option<Bytes>,
    ) -> Option<Bytes> {
        let mut encoded = self.0.lock();
        encoded.retain(|_, it| now.saturating_duration_since(it.since) < SHARED_FOR);
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
