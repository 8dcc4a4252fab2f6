//! Handles the headers of the store's answers: the store's era and unknown headers.

use {
    super::GatewayState,
    crate::edge::{EraNamed, RowSet, StoreEra, StoreHead},
    parking_lot::Mutex,
    std::{
        collections::HashSet,
        sync::atomic::{AtomicBool, Ordering},
    },
    tealshore_core::clock,
};

/// The maximum number of header names that are remembered so that each is logged only once.
const MAX_LOGGED_HEADERS: usize = 100;

/// What was already logged about headers of the store's answers.
#[derive(Default)]
pub(super) struct StoreHeads {
    has_logged_missing: AtomicBool,
    has_logged_unreadable: AtomicBool,
    unknown_headers: Mutex<HashSet<String>>,
}

impl GatewayState {
    /// Processes the headers of the store's answer to a call about a set of rows. Returns the era of the answer; `None`
    /// if it is earlier than the known one.
    pub fn record_store_head(&self, head: &StoreHead, set: RowSet) -> Option<StoreEra> {
        self.log_unknown_era(head.era, set);
        for header in &head.unknown_headers {
            self.log_unknown_header(header.as_str(), set);
        }
        let era = self.feed.era_of_answer(head.era)?;
        self.record_era(era, set.name());
        Some(era)
    }

    /// Records an era of the store, with its source for the log.
    pub(super) fn record_era(&self, era: StoreEra, era_source: &str) {
        let before = self.feed.era();
        if era > before {
            self.expect_rewrites(era, clock::now());
        }
        if self.feed.record_era(era) {
            log::warn!(
                "store: restored from an older copy era={era} before={before} heard_from={era_source} known={:?}",
                self.feed.watermark()
            );
            self.metrics.store_era.set(i64::from(era));
            self.feed.notify();
        }
    }

    /// Logs once that an answer names no era although earlier ones did, and once that the era can't be read.
    fn log_unknown_era(&self, named: EraNamed, set: RowSet) {
        let heads = &self.store_heads;
        let has_logged = match named {
            EraNamed::Era(_) => return,
            EraNamed::No if self.feed.era() == 0 => return,
            EraNamed::No => &heads.has_logged_missing,
            EraNamed::Unreadable => &heads.has_logged_unreadable,
        };
        if !has_logged.swap(true, Ordering::Relaxed) {
            log::warn!(
                "store: era missing or unreadable named={named:?} counted_as={} set={}",
                self.feed.era(),
                set.name()
            );
        }
    }

    fn log_unknown_header(&self, header: &str, set: RowSet) {
        let mut known = self.store_heads.unknown_headers.lock();
        if known.len() < MAX_LOGGED_HEADERS && known.insert(header.to_owned()) {
            log::warn!("store: unknown header header={header} set={}", set.name());
        }
    }
}
