//! What the heads of the store's answers say.

use {
    super::GatewayState,
    crate::edge::{EraNamed, RowSet, StoreEra, StoreHead},
    parking_lot::Mutex,
    std::{
        collections::HashSet,
        sync::atomic::{AtomicBool, Ordering},
    },
};

/// The most names of headers that are remembered, so that each is logged once.
const MOST_HEADERS: usize = 100;

/// What the heads of the store's answers said so far.
#[derive(Default)]
pub(super) struct StoreHeads {
    has_told_missing: AtomicBool,
    has_told_unreadable: AtomicBool,
    unknown_headers: Mutex<HashSet<String>>,
}

impl GatewayState {
    /// Notes the head of an answer of the store to a call about a set. Tells the era of the answer; none where
    /// it is of an earlier one than is known.
    pub fn note_store_head(&self, head: &StoreHead, set: RowSet) -> Option<StoreEra> {
        self.log_unknown_era(head.era, set);
        for header in &head.unknown_headers {
            self.log_unknown_header(header.as_str(), set);
        }
        let era = self.feed.era_of_answer(head.era)?;
        self.record_era(era, set.name());
        Some(era)
    }

    /// Notes an era of the store, and from whom it was heard.
    pub(super) fn record_era(&self, era: StoreEra, heard_from: &str) {
        let before = self.feed.era();
        if self.feed.record_era(era) {
            log::warn!(
                "store: restored from an older copy era={era} before={before} heard_from={heard_from} known={:?}",
                self.feed.watermark()
            );
            self.metrics.store_era.set(i64::from(era));
            self.feed.notify();
        }
    }

    /// Logs once that an answer names no era though others did, and once that it names one that can't be read.
    fn log_unknown_era(&self, named: EraNamed, set: RowSet) {
        let heads = &self.store_heads;
        let has_told = match named {
            EraNamed::Era(_) => return,
            EraNamed::No if self.feed.era() == 0 => return,
            EraNamed::No => &heads.has_told_missing,
            EraNamed::Unreadable => &heads.has_told_unreadable,
        };
        if !has_told.swap(true, Ordering::Relaxed) {
            log::warn!(
                "store: era not known named={named:?} counted_as={} set={}",
                self.feed.era(),
                set.name()
            );
        }
    }

    fn log_unknown_header(&self, header: &str, set: RowSet) {
        let mut known = self.store_heads.unknown_headers.lock();
        if known.len() < MOST_HEADERS && known.insert(header.to_owned()) {
            log::warn!("store: unknown header header={header} set={}", set.name());
        }
    }
}
