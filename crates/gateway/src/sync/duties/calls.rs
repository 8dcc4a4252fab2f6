//! The calls that the holder of the duties makes to the platform.

use {
    super::DutyRunner,
    crate::duties::{
        OrderState,
        api::{self, DutyAnswer, DutyCaller},
    },
    bytes::Bytes,
    http::Request,
    std::time::{Duration, Instant},
    tealshore_capacity::EngineOrder,
    tealshore_core::clock,
    tealshore_duties::usage::UsageReport,
};

/// Time limit of a call to the platform. A renewal and a lost answer from the store still fit into
/// the same tenure.
const API_TIMEOUT: Duration = Duration::from_millis(800);
/// A call is made only if this much of the tenure remains, so that it need not be cut short.
const MIN_REMAINING_TENURE: Duration = Duration::from_millis(900);
/// Pause after the first failed call to the platform; each further failure doubles it.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
/// Upper limit of the pause.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Backoff after failed calls to the platform.
#[derive(Default)]
pub(super) struct ApiBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl ApiBackoff {
    fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    fn reset(&mut self) {
        *self = Self::default();
    }

    fn record_failure(&mut self, now: Instant) {
        let factor = 1_u32 << self.failures.min(8);
        self.failures += 1;
        self.until = Some(now + (INITIAL_PAUSE * factor).min(MAX_PAUSE));
    }
}

/// A call to make.
enum DueCall {
    Usage(UsageReport),
    Engines(EngineOrder),
}

impl DueCall {
    fn duty(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Engines(_) => "engines",
        }
    }
}

impl DutyRunner {
    /// Makes one call that is needed and whose decision is stored. Returns whether there was one.
    pub(super) async fn call_platform(&mut self, now: Instant) -> bool {
        if !self.backoff.is_over(now) {
            return false;
        }
        let Some(due) = self.next_due_call() else {
            return false;
        };
        let Some(tenure) = self.state().duties.tenure(now) else {
            return false;
        };
        let remaining = tenure.until.saturating_duration_since(now);
        if remaining < MIN_REMAINING_TENURE.min(self.options.lease.hold / 2) {
            self.state().duties.with_lease(|lease| lease.renew_now());
            return true;
        }
        let caller = DutyCaller {
            holder: self.state().duties.process().clone(),
            fence: tenure.fence,
        };
        let request = self.request(&due, &caller);
        let time_limit = API_TIMEOUT.min(self.options.lease.hold / 2);
        let answer = api::call(self.options.address, request, tenure, time_limit).await;
        let took = clock::elapsed(now);
        match answer {
            Ok((status, _)) => {
                let answer = self.state().protocol.read_duty_answer(status);
                self.handle_answer(&due, answer, caller.fence, took);
            }
            Err(error) => {
                self.record_call(&due, error.name(), caller.fence, took);
                self.backoff.record_failure(clock::now());
            }
        }
        true
    }

    /// The next call. Usage reports come first, in order of their windows: a lost report affects a
    /// customer's bill, whereas a late order only costs money.
    fn next_due_call(&self) -> Option<DueCall> {
        if let Some(report) = self.draft.usage.decided.first() {
            return Some(DueCall::Usage(report.clone()));
        }
        let orders = self.draft.orders.iter();
        let open = orders
            .clone()
            .find(|placed| placed.state == OrderState::Open);
        open.map(|placed| DueCall::Engines(placed.order.clone()))
    }

    fn request(&self, due: &DueCall, caller: &DutyCaller) -> Request<Bytes> {
        let protocol = &self.state().protocol;
        match due {
            DueCall::Usage(report) => protocol.usage_call(report, caller),
            DueCall::Engines(order) => protocol.engine_order_call(order, caller),
        }
    }

    fn handle_answer(&mut self, due: &DueCall, answer: DutyAnswer, fence: u64, took: Duration) {
        let now = clock::now();
        match answer {
            DutyAnswer::Accepted => {
                self.record_call(due, "accepted", fence, took);
                self.backoff.reset();
                self.mark_completed(due, OrderState::Accepted);
            }
            DutyAnswer::Unavailable => {
                self.record_call(due, "unavailable", fence, took);
                self.backoff.reset();
                self.mark_completed(due, OrderState::Unavailable);
            }
            DutyAnswer::Fenced => {
                self.record_call(due, "fenced", fence, took);
                self.backoff.record_failure(now);
                self.state()
                    .duties
                    .with_lease(|lease| lease.record_fenced());
            }
            DutyAnswer::Refused(status) => {
                self.record_call(due, status.as_str(), fence, took);
                self.backoff.record_failure(now);
            }
        }
    }

    /// Marks a call as completed in the draft. A successor that does not know this repeats the call,
    /// which has no further effect.
    fn mark_completed(&mut self, due: &DueCall, state: OrderState) {
        match due {
            DueCall::Usage(report) => self.draft.usage.mark_settled(report.window),
            DueCall::Engines(order) => self.draft.record_outcome(order, state),
        }
    }

    fn record_call(&self, due: &DueCall, outcome: &str, fence: u64, took: Duration) {
        let what = match due {
            DueCall::Usage(report) => format!("window={}", report.window),
            DueCall::Engines(order) => format!(
                "service={} hall={} kind={} engines={}",
                order.service,
                order.hall,
                order.kind.name(),
                order.engines
            ),
        };
        log::info!(
            "duties: platform called duty={} {what} outcome={outcome} fence={fence} took_ms={}",
            due.duty(),
            took.as_millis()
        );
        self.state().metrics.count_duty_call(due.duty(), outcome);
    }
}
