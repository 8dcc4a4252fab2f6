//! What the heads of the store's answers say.

use {
    super::GatewayState,
    crate::edge::{EraNamed, RowSet, StoreEra, StoreHead},
    parking_lot::Mutex,
    std::collections::HashSet,
};

/// The most names of headers that are remembered, so that each is logged once.
const MOST_HEADERS: usize = 100;

/// What the heads of the store's answers said so far.
#[derive(Default)]
pub(super) struct StoreHeads {
    era: Mutex<EraNamed>,
    unknown_headers: Mutex<HashSet<String>>,
}

impl GatewayState {
    /// Notes the head of an answer of the store to a call about a set. Tells the era of the answer; none where
    /// it is of an earlier one than is known.
    pub fn note_store_head(&self, head: &StoreHead, set: RowSet) -> Option<StoreEra> {
        self.log_named(head.era, set);
        for header in &head.unknown_headers {
            self.log_unknown_header(header.as_str(), set);
        }
        let era = self.feed.era_of_answer(head.era)?;
        self.note_era(era, set.name());
        Some(era)
    }

    /// Notes an era of the store, and from whom it was heard.
    pub(super) fn note_era(&self, era: StoreEra, heard_from: &str) {
        let before = self.feed.era();
        if self.feed.note_era(era) {
            log::warn!(
                "store: back from an older copy era={era} before={before} heard_from={heard_from} known={:?}",
                self.feed.watermark()
            );
            self.metrics.store_era.set(i64::from(era));
            self.feed.notify();
        }
    }

    /// Logs what answers say of the era, where that is not what the last one said.
    fn log_named(&self, named: EraNamed, set: RowSet) {
        let before = std::mem::replace(&mut *self.store_heads.era.lock(), named);
        if before != named {
            log::info!(
                "store: era named={named:?} before={before:?} set={}",
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
