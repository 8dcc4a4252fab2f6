//! Copies a run's memory again when the engine that held the first copy is lost.
//!
//! An engine keeps such a copy for a few seconds only, so the call is repeated for as long as the
//! run lasts. Each repeat copies only what is new.

use {
    crate::{
        connection::{CallBounds, short_call},
        edge::SourceRun,
        forward::dial::dial,
        state::GatewayState,
        view::Upstream,
    },
    futures::TryFutureExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
    tealshore_notices::Availability,
    tealshore_runs::MemoryCopy,
    tokio::sync::oneshot,
};

/// The interval between copy calls, well below the time for which engines keep a copy.
const REFRESH_INTERVAL: Duration = Duration::from_millis(2_500);
/// The bounds of a copy call, which is answered once the copy is complete.
const COPY_CALL_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_secs(2),
    answer_bytes: 64 * 1024,
};

/// The copies of one run that replace its first one after that was lost.
#[derive(Default)]
pub struct Recopy {
    /// The engine that receives the copies, once the first one was lost.
    target: Option<Arc<Upstream>>,
    begun: Option<Instant>,
    call: Option<oneshot::Receiver<MemoryCopy>>,
}

impl Recopy {
    /// Returns the copy that the last call made, if the call has finished.
    pub fn take_finished(&mut self) -> Option<MemoryCopy> {
        let made = self.call.as_mut()?.try_recv();
        match made {
            Ok(copy) => {
                self.call = None;
                Some(copy)
            }
            Err(oneshot::error::TryRecvError::Closed) => {
                // The call failed: the next one may choose another engine.
                self.call = None;
                self.target = None;
                None
            }
            Err(oneshot::error::TryRecvError::Empty) => None,
        }
    }

    /// Whether to make a call now. `has_live_holder` says that a live engine holds a copy.
    pub fn is_due(&self, has_live_holder: bool, now: Instant) -> bool {
        if self.call.is_some() {
            return false;
        }
        let waited = self.begun.map(|begun| now.saturating_duration_since(begun));
        match waited {
            None => !has_live_holder,
            Some(waited) => waited >= REFRESH_INTERVAL,
        }
    }

    /// Starts a call. The copy goes to the same engine as the last one, or to `chosen` if there was
    /// none, if the last call failed, or if that engine is suspected, is leaving or is no longer
    /// listed.
    pub fn begin(
        &mut self,
        state: &Arc<GatewayState>,
        source: Arc<Upstream>,
        run: RequestId,
        chosen: Arc<Upstream>,
        now: Instant,
    ) {
        let kept = self.target.take().filter(|target| {
            let is_listed = state.view.upstreams.accepts_work(&target.record.id);
            let leaves = state.availability(&target.record, now) == Availability::Leaving;
            is_listed && !leaves && !target.is_suspected(now)
        });
        let target = kept.unwrap_or(chosen);
        self.target = Some(target.clone());
        self.begun = Some(now);
        let (made, call) = oneshot::channel();
        self.call = Some(call);
        let state = state.clone();
        tokio::spawn(async move {
            if let Some(copy) = copy(&state, &source, &run, &target).await {
                // The receiver is gone if the run has ended.
                let _ = made.send(copy);
            }
        });
    }
}

async fn copy(
    state: &GatewayState,
    source: &Upstream,
    run: &RequestId,
    target: &Upstream,
) -> Option<MemoryCopy> {
    let record = &source.record;
    let address = target.record.address;
    let request = state
        .protocol
        .copy_call(record, run, address, SourceRun::Continues);
    state.record_unpermitted(&source.record);
    let opening = dial(state, source).map_ok(|dialed| dialed.stream);
    let answer = short_call(opening, request, COPY_CALL_BOUNDS).await;
    let name = answer
        .ok()
        .and_then(|(status, body)| state.protocol.read_copied(status, &body));
    log::info!(
        "stream: memory copy ended request={run} upstream={} copy_to={} outcome={}",
        source.record.id,
        target.record.id,
        if name.is_some() { "copied" } else { "failed" }
    );
    Some(MemoryCopy {
        upstream: target.record.id.clone(),
        address: source.record.address,
        name: name?,
    })
}
