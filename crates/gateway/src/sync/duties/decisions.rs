//! Decisions of the holder of the duties: which windows are reported and which engines are ordered.

use {
    super::DutyRunner,
    crate::{capacity, duties::PlacedOrder, options::Duty, state::GatewayState},
    std::time::{Duration, Instant},
    tealshore_duties::{
        lease::era_of,
        usage::{UsageStep, settle_delay},
    },
};

/// How long after its end a window is decided. Hosts send their counts once a second, and three
/// consecutive datagrams of one host are seldom lost. A successor of a crashed holder still reports
/// within ten seconds.
const SETTLE_TIME: Duration = Duration::from_millis(3_500);
/// A process learns what others decided within this time after its start.
const EXCHANGE_TIME: Duration = Duration::from_secs(1);
/// How often the holder evaluates which engines are needed.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(1);

impl DutyRunner {
    /// Whether there is a decision that the store has not confirmed.
    pub(super) fn has_unwritten_decision(&self) -> bool {
        let (draft, record) = (&self.draft, &self.record);
        let is_written = |placed: &PlacedOrder| {
            let mut known = record.orders.iter();
            known.any(|it| it.order == placed.order)
        };
        draft.usage.next != record.usage.next || !draft.orders.iter().all(is_written)
    }

    /// Adds pending decisions to the draft.
    pub(super) fn decide(&mut self, now: Instant) {
        let state = self.state().clone();
        if state.duties.has(Duty::ReportUsage) {
            self.decide_usage(&state, now);
        }
        let was_checked_recently = self.capacity_checked_at.is_some_and(|checked_at| {
            now.saturating_duration_since(checked_at) < CAPACITY_INTERVAL
        });
        if state.duties.has(Duty::OrderEngines) && !was_checked_recently {
            self.capacity_checked_at = Some(now);
            for order in capacity::orders_to_place(&state, &self.draft.orders, now) {
                self.draft.place_order(order);
            }
        }
    }

    /// Leaves out windows that may have been reported before this process started, if the row is from before a restore
    /// of the store of which this process knows nothing: a missing report costs less than a second, different one.
    pub(super) fn leave_out_unwitnessed(&mut self, now: Instant) {
        let row_era = era_of(self.record.lease.fence);
        if self.first_era.is_none_or(|first_era| row_era >= first_era) {
            return;
        }
        let state = self.state().clone();
        let since_epoch = state.duties.since_epoch(state.feed.store_time(now), now);
        let age = now.saturating_duration_since(self.started);
        let started = since_epoch.saturating_sub(age) + EXCHANGE_TIME;
        let bounds = self.options.usage;
        let settle = SETTLE_TIME.min(bounds.due / 2);
        let usage = &mut self.draft.usage;
        state.duties.add_lost_decisions(usage);
        if let Some(windows) = usage.leave_out_decidable(bounds, settle, started) {
            log::warn!(
                "duties: usage reports left out windows={windows:?} cause=perhaps-reported row_era={row_era} \
                 first_era={:?}",
                self.first_era
            );
        }
    }

    fn decide_usage(&mut self, state: &GatewayState, now: Instant) {
        // Decisions of another holder may arrive only after the row was read.
        state.duties.add_lost_decisions(&mut self.draft.usage);
        let bounds = self.options.usage;
        let since_epoch = state.duties.since_epoch(state.feed.store_time(now), now);
        let usage = &mut self.draft.usage;
        usage.start_at(bounds.window_at(since_epoch));
        for window in usage.drop_expired(bounds, since_epoch) {
            log::warn!("duties: usage report dropped window={window} cause=not-taken");
        }
        let settle_time = SETTLE_TIME.min(bounds.due / 2);
        let lease_age = self
            .lease_taken_at
            .map(|lease_taken_at| now.saturating_duration_since(lease_taken_at));
        let settle_time = settle_delay(settle_time, bounds, lease_age.unwrap_or_default());
        let step = state
            .duties
            .with_ledger(|ledger| usage.step(ledger, bounds, settle_time, since_epoch));
        if let UsageStep::Decide(reports) = step {
            let first = reports.first().map(|report| report.window);
            if let (Some(next), Some(first)) = (usage.next, first)
                && first > next
            {
                log::warn!("duties: usage reports dropped windows={next}..{first} cause=too-old");
            }
            for report in &reports {
                let processes = state
                    .duties
                    .with_ledger(|ledger| ledger.processes(report.window));
                let delay = since_epoch.saturating_sub(bounds.window_end(report.window));
                log::info!(
                    "duties: usage decided window={} requests={} customers={} processes={processes} \
                     hosts={} after_ms={}",
                    report.window,
                    report.counts.values().sum::<u64>(),
                    report.counts.len(),
                    state.peers.max_known_hosts(),
                    delay.as_millis()
                );
            }
            usage.decide(reports);
        }
    }
}
