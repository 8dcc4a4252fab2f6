//! What the holder of the duties decides: which windows are reported, and which engines are ordered.

use {
    super::DutyKeeper,
    crate::{capacity, duties::PlacedOrder, options::Duty, state::GatewayState},
    std::time::{Duration, Instant},
    tealshore_duties::usage::{UsageStep, settle_delay},
};

/// How long after its end a window is decided. Hosts tell their counts once a second, and three such
/// datagrams of one host are seldom lost in turn; a successor of a holder that dies then still reports
/// within ten seconds.
const SETTLE: Duration = Duration::from_millis(3_500);
/// How often the holder looks which engines are needed.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(1);

impl DutyKeeper {
    /// Whether something was decided that the store has not confirmed.
    pub(super) fn has_unwritten_decision(&self) -> bool {
        let (draft, record) = (&self.draft, &self.record);
        let is_written = |placed: &PlacedOrder| {
            let mut known = record.orders.iter();
            known.any(|it| it.order == placed.order)
        };
        draft.usage.next != record.usage.next || !draft.orders.iter().all(is_written)
    }

    /// Decides what is due, in the draft.
    pub(super) fn decide(&mut self, now: Instant) {
        let state = self.state().clone();
        if state.duties.has(Duty::ReportUsage) {
            self.decide_usage(&state, now);
        }
        let is_looked_at = self
            .capacity_seen
            .is_some_and(|seen| now.saturating_duration_since(seen) < CAPACITY_INTERVAL);
        if state.duties.has(Duty::OrderEngines) && !is_looked_at {
            self.capacity_seen = Some(now);
            for order in capacity::wanted(&state, &self.draft.orders, now) {
                self.draft.place(order);
            }
        }
    }

    fn decide_usage(&mut self, state: &GatewayState, now: Instant) {
        // Another holder's decisions may be heard of only after the row was read.
        state.duties.add_lost_decisions(&mut self.draft.usage);
        let bounds = self.options.usage;
        let since_epoch = state.duties.since_epoch(state.feed.store_time(now), now);
        let usage = &mut self.draft.usage;
        usage.start_at(bounds.window_at(since_epoch));
        for window in usage.drop_expired(bounds, since_epoch) {
            log::warn!("duties: usage given up window={window} cause=not-taken");
        }
        let settle = SETTLE.min(bounds.due / 2);
        let held_for = self.taken.map(|taken| now.saturating_duration_since(taken));
        let settle = settle_delay(settle, bounds, held_for.unwrap_or_default());
        let step = state
            .duties
            .with_ledger(|ledger| usage.step(ledger, bounds, settle, since_epoch));
        if let UsageStep::Decide(reports) = step {
            let first = reports.first().map(|report| report.window);
            if let (Some(next), Some(first)) = (usage.next, first)
                && first > next
            {
                log::warn!("duties: usage given up windows={next}..{first} cause=too-old");
            }
            for report in &reports {
                let processes = state
                    .duties
                    .with_ledger(|ledger| ledger.processes(report.window));
                let late = since_epoch.saturating_sub(bounds.window_end(report.window));
                log::info!(
                    "duties: usage decided window={} requests={} customers={} processes={processes} \
                     hosts={} after_ms={}",
                    report.window,
                    report.counts.values().sum::<u64>(),
                    report.counts.len(),
                    state.peers.most_hosts(),
                    late.as_millis()
                );
            }
            usage.decide(reports);
        }
    }
}
