//! What the heads of the store's answers say.

use {
    super::GatewayState,
    crate::edge::{EraNamed, RowSet, StoreHead},
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
    /// Notes the head of an answer of the store to a call about a set.
    pub fn note_store_head(&self, head: &StoreHead, set: RowSet) {
        self.log_era(head.era, set);
        for header in &head.unknown_headers {
            self.log_unknown_header(header.as_str(), set);
        }
    }

    fn log_era(&self, named: EraNamed, set: RowSet) {
        let mut known = self.store_heads.era.lock();
        if *known == named {
            return;
        }
        let before = std::mem::replace(&mut *known, named);
        drop(known);
        if let EraNamed::Era(era) = named {
            self.metrics.store_era.set(i64::from(era));
        }
        log::info!("store: era={named:?} before={before:?} set={}", set.name());
    }

    fn log_unknown_header(&self, header: &str, set: RowSet) {
        let mut known = self.store_heads.unknown_headers.lock();
        if known.len() < MOST_HEADERS && known.insert(header.to_owned()) {
            log::warn!("store: unknown header header={header} set={}", set.name());
        }
    }
}
