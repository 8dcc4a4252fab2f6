//! Ends runs that a stream left. Closing the connection of a run may not end it: it may have broken on one side alone,
//! and some engines go on with a run whose connection has closed.

use {
    super::StreamRun,
    crate::{
        connection::{CallBounds, short_call},
        edge::{SourceRun, StopAnswer},
        forward::dial::{DialFailure, dial},
        state::GatewayState,
        view::{Upstream, UpstreamRecord},
    },
    std::{convert::Infallible, future::ready, net::SocketAddr, sync::Arc, time::Duration},
    tealshore_core::{
        clock,
        ids::{EngineId, RequestId},
    },
    tealshore_runs::KnownRun,
    tokio::{runtime::Handle, task::AbortHandle, time::sleep},
};

/// The pauses before the orders to end one run, until one is answered.
const ORDER_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// The bounds of an order. It is answered once the run's memory was copied.
const ORDER_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_secs(2),
    answer_bytes: 64 * 1024,
};
/// The bounds of the call that frees the copied memory.
const RELEASE_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_millis(500),
    answer_bytes: 64 * 1024,
};

/// A run that its engine may still work on although nobody reads its events.
struct AbandonedRun {
    upstream: Arc<Upstream>,
    request: RequestId,
    /// Why it was left, for logs.
    cause: &'static str,
    /// The engine to which its memory is copied, as the order has to name one.
    target: SocketAddr,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The engine ended the run.
    Stopped,
    /// The engine has no such run.
    NoRun,
    /// The engine can't carry out the order now.
    Busy,
    /// The engine does not know the order.
    Refused,
    /// Nothing listens at the engine's address, or another incarnation does.
    Gone,
    /// The engine did not answer.
    Unanswered,
}

impl Ending {
    /// The name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::NoRun => "no-run",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::Gone => "gone",
            Self::Unanswered => "unanswered",
        }
    }

    /// Whether the run may still go on, and another order may end it.
    fn is_open(self) -> bool {
        match self {
            Self::Busy | Self::Unanswered => true,
            Self::Stopped | Self::NoRun | Self::Refused | Self::Gone => false,
        }
    }
}

/// The orders of one stream, by engine.
#[derive(Default)]
pub(super) struct RunEndings(Vec<(EngineId, AbortHandle)>);

impl RunEndings {
    /// Gives no further orders to an engine at which the stream is about to run again.
    fn cancel(&mut self, engine: &EngineId) {
        for (_, order) in self.0.extract_if(.., |(id, _)| id == engine) {
            order.abort();
        }
    }
}

impl StreamRun {
    /// Ends the runs that the stream left, now that it is sent to `next`.
    pub(super) fn end_earlier_runs(&mut self, next: &Upstream) {
        let next = &next.record;
        self.endings.cancel(&next.id);
        let mut left = Vec::new();
        for earlier in &mut self.earlier_runs {
            if !earlier.is_ended && earlier.upstream.record.id != next.id {
                earlier.is_ended = true;
                left.push((earlier.upstream.clone(), earlier.cause));
            }
        }
        for (upstream, cause) in left {
            self.end_run(upstream, self.call.request(), cause, Some(next.address));
        }
        if let Some(KnownRun { trace, .. }) = self.left_by_caller.take()
            && trace.engine != next.id
            && let Some(upstream) = self.state.view.upstreams.get(&trace.engine)
        {
            self.end_run(
                upstream,
                trace.request,
                "resumed-by-caller",
                Some(next.address),
            );
        }
    }

    /// Ends the runs that the stream may have left at engines, as it goes on nowhere else.
    pub(super) fn end_all_runs(&mut self, cause: &'static str) {
        let attempt = self.attempt.take().map(|attempt| attempt.upstream.clone());
        let running_at = attempt.or_else(|| self.sending_to.take());
        let mut left: Vec<(Arc<Upstream>, &'static str)> = running_at
            .map(|upstream| (upstream, cause))
            .into_iter()
            .collect();
        let earlier = self.earlier_runs.drain(..).filter(|run| !run.is_ended);
        left.extend(earlier.map(|run| (run.upstream, run.cause)));
        for (upstream, cause) in left {
            let target = self.any_other_engine(&upstream.record);
            self.end_run(upstream, self.call.request(), cause, target);
        }
    }

    /// An engine to which the memory of a run can be copied, in the same hall if there is one.
    fn any_other_engine(&self, than: &UpstreamRecord) -> Option<SocketAddr> {
        let ready = self.state.view.upstreams.ready(&than.service);
        let others = ready.iter().filter(|other| other.record.id != than.id);
        let nearest = others.min_by_key(|other| other.record.hall != than.hall)?;
        Some(nearest.record.address)
    }

    /// Starts to end a run in the background, if its engine knows the order.
    fn end_run(
        &mut self,
        upstream: Arc<Upstream>,
        request: RequestId,
        cause: &'static str,
        target: Option<SocketAddr>,
    ) {
        // The runtime is gone if the process exits: its connections close then.
        let (Some(target), Ok(runtime)) = (target, Handle::try_current()) else {
            return;
        };
        if !self.engines().copies {
            return;
        }
        let engine = upstream.record.id.clone();
        let run = AbandonedRun {
            upstream,
            request,
            cause,
            target,
        };
        let order = runtime.spawn(end(self.state.clone(), run)).abort_handle();
        self.endings.0.push((engine, order));
    }
}

/// Orders an engine to end a run until it answers.
async fn end(state: Arc<GatewayState>, run: AbandonedRun) {
    let began = clock::now();
    let mut ending = Ending::Unanswered;
    let mut orders = 0;
    for pause in ORDER_PAUSES {
        sleep(pause).await;
        orders += 1;
        ending = order_end(&state, &run).await;
        if !ending.is_open() {
            break;
        }
    }
    let name = ending.name();
    state.metrics.run_endings.with_label_values(&[name]).inc();
    log::info!(
        "stream: end of run ordered request={} upstream={} cause={} outcome={name} orders={orders} took_ms={}",
        run.request,
        run.upstream.record.id,
        run.cause,
        clock::elapsed(began).as_millis()
    );
}

async fn order_end(state: &GatewayState, run: &AbandonedRun) -> Ending {
    let upstream = &run.upstream;
    if upstream.is_replaced() {
        return Ending::Gone;
    }
    let record = &upstream.record;
    let protocol = &state.protocol;
    let request = protocol.copy_call(record, &run.request, run.target, SourceRun::Stops);
    state.record_unpermitted(record);
    let stream = match dial(state, upstream).await {
        Ok(dialed) => dialed.stream,
        Err(DialFailure::Refused) => return Ending::Gone,
        Err(DialFailure::Unanswered) => return Ending::Unanswered,
    };
    let opening = ready(Ok::<_, Infallible>(stream));
    let Ok((status, body)) = short_call(opening, request, ORDER_BOUNDS).await else {
        return Ending::Unanswered;
    };
    match protocol.read_stopped(status, &body) {
        StopAnswer::Stopped { copy } => {
            release(state, upstream, &copy).await;
            Ending::Stopped
        }
        StopAnswer::NoRun => Ending::NoRun,
        StopAnswer::Busy => Ending::Busy,
        StopAnswer::Refused => Ending::Refused,
    }
}

/// Frees the memory of a run that was stopped, at its engine and at the engine to which it was copied.
async fn release(state: &GatewayState, upstream: &Upstream, copy: &str) {
    let request = state.protocol.release_call(&upstream.record, copy);
    state.record_unpermitted(&upstream.record);
    let Ok(dialed) = dial(state, upstream).await else {
        return;
    };
    let opening = ready(Ok::<_, Infallible>(dialed.stream));
    // Engines free the memory by themselves some seconds later.
    let _ = short_call(opening, request, RELEASE_BOUNDS).await;
}
