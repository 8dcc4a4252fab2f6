//! The limits that upstreams name for all hosts together.

use {
    super::GatewayState,
    crate::{edge::AnswerFacts, view::UpstreamRecord},
    std::time::Instant,
    tealshore_rates::LimitNamed,
};

impl GatewayState {
    /// Takes in whether an upstream names a limit in the answer to a request that was sent at `sent`.
    pub(super) fn note_limit(
        &self,
        record: &UpstreamRecord,
        facts: &AnswerFacts,
        request: &str,
        sent: Instant,
    ) {
        let named = facts.limit;
        match named {
            // Only an answer that is an upstream's own tells that it names none.
            LimitNamed::No if !facts.signed || self.limits.read().is_empty() => return,
            LimitNamed::No => {}
            LimitNamed::PerSecond(_) => self.count_notice("limit"),
            LimitNamed::Unreadable => self.count_notice("limit-unreadable"),
        }
        let now = Instant::now();
        let mut limits = self.limits.write();
        let change = limits.note_answer(&record.id, record.born, named, sent, now);
        drop(limits);
        if let Some(change) = change {
            log::info!(
                "upstream: limit request={request} upstream={} per_s={:?} before={:?}",
                record.id,
                change.now,
                change.before
            );
        }
    }
}
