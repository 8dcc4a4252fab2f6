//! The calls to the platform that the holder of the duties makes.

use {
    super::DutyKeeper,
    crate::duties::{
        OrderState,
        api::{self, DutyAnswer, DutyCaller},
    },
    bytes::Bytes,
    http::Request,
    std::time::{Duration, Instant},
    tealshore_capacity::EngineOrder,
    tealshore_duties::usage::UsageReport,
};

/// How long the platform may take for a call. With it, a renewal and a lost answer of the store still
/// fit into a tenure.
const API_BOUND: Duration = Duration::from_millis(800);
/// A call is made only where so much of the tenure is left, so that it need not be cut short.
const LEAST_TENURE: Duration = Duration::from_millis(900);
/// The pause after the platform did not take a call, and the longest one: it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// When the platform is called again after it failed.
#[derive(Default)]
pub(super) struct ApiPause {
    failures: u32,
    until: Option<Instant>,
}

impl ApiPause {
    fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    fn note_answer(&mut self) {
        *self = Self::default();
    }

    fn note_failure(&mut self, now: Instant) {
        let factor = 1_u32 << self.failures.min(8);
        self.failures += 1;
        self.until = Some(now + (FIRST_PAUSE * factor).min(LONGEST_PAUSE));
    }
}

/// A call that is due.
enum Due {
    Usage(UsageReport),
    Engines(EngineOrder),
}

impl Due {
    fn duty(&self) -> &'static str {
        match self {
            Self::Usage(_) => "usage",
            Self::Engines(_) => "engines",
        }
    }
}

impl DutyKeeper {
    /// Makes one call that is due and was written down; whether there was one.
    pub(super) async fn call_platform(&mut self, now: Instant) -> bool {
        if !self.pause.is_over(now) {
            return false;
        }
        let Some(due) = self.due() else {
            return false;
        };
        let Some(tenure) = self.state().duties.tenure(now) else {
            return false;
        };
        let left = tenure.until.saturating_duration_since(now);
        if left < LEAST_TENURE.min(self.options.lease.hold / 2) {
            self.state().duties.with_lease(|lease| lease.renew_now());
            return true;
        }
        let caller = DutyCaller {
            holder: self.state().duties.process().clone(),
            fence: tenure.fence,
        };
        let request = self.request(&due, &caller);
        let bound = API_BOUND.min(self.options.lease.hold / 2);
        let answer = api::call(self.options.address, request, tenure, bound).await;
        let took = now.elapsed();
        match answer {
            Ok((status, _)) => {
                let answer = self.state().protocol.read_duty_answer(status);
                self.take_answer(&due, answer, caller.fence, took);
            }
            Err(loss) => {
                self.note_call(&due, loss.name(), caller.fence, took);
                self.pause.note_failure(Instant::now());
            }
        }
        true
    }

    /// What is due: reports first, the oldest before others; they cost a customer's bill, an order
    /// that is a moment late only money.
    fn due(&self) -> Option<Due> {
        if let Some(report) = self.draft.usage.decided.first() {
            return Some(Due::Usage(report.clone()));
        }
        let orders = self.draft.orders.iter();
        let open = orders
            .clone()
            .find(|placed| placed.state == OrderState::Open);
        open.map(|placed| Due::Engines(placed.order.clone()))
    }

    fn request(&self, due: &Due, caller: &DutyCaller) -> Request<Bytes> {
        let protocol = &self.state().protocol;
        match due {
            Due::Usage(report) => protocol.usage_call(report, caller),
            Due::Engines(order) => protocol.engine_order_call(order, caller),
        }
    }

    fn take_answer(&mut self, due: &Due, answer: DutyAnswer, fence: u64, took: Duration) {
        let now = Instant::now();
        match answer {
            DutyAnswer::Accepted => {
                self.note_call(due, "accepted", fence, took);
                self.pause.note_answer();
                self.settle(due, OrderState::Accepted);
            }
            DutyAnswer::Unavailable => {
                self.note_call(due, "unavailable", fence, took);
                self.pause.note_answer();
                self.settle(due, OrderState::Unavailable);
            }
            DutyAnswer::Fenced => {
                self.note_call(due, "fenced", fence, took);
                self.pause.note_failure(now);
                self.state()
                    .duties
                    .with_lease(|lease| lease.record_fenced());
            }
            DutyAnswer::Refused(status) => {
                self.note_call(due, status.as_str(), fence, took);
                self.pause.note_failure(now);
            }
        }
    }

    /// Notes in the draft that nothing is left to do of a call; a successor that does not learn it
    /// repeats the call, which changes nothing.
    fn settle(&mut self, due: &Due, state: OrderState) {
        match due {
            Due::Usage(report) => self.draft.usage.mark_settled(report.window),
            Due::Engines(order) => self.draft.note_outcome(order, state),
        }
    }

    fn note_call(&self, due: &Due, outcome: &str, fence: u64, took: Duration) {
        let what = match due {
            Due::Usage(report) => format!("window={}", report.window),
            Due::Engines(order) => format!(
                "service={} hall={} kind={} engines={}",
                order.service,
                order.hall,
                order.kind.name(),
                order.engines
            ),
        };
        log::info!(
            "duties: called duty={} {what} outcome={outcome} fence={fence} took_ms={}",
            due.duty(),
            took.as_millis()
        );
        self.state().metrics.count_duty_call(due.duty(), outcome);
    }
}
